//! HTTP client for calls to peers.
//!
//! Each call sends one request and receives one reply. Owns the reused connections to peers and the
//! counts of calls and bytes. Errors distinguish a failed connection from a timeout, because callers
//! take the first as a sign that no router process runs at the address.

use crate::message::{CodecError, PeerReply, PeerRequest, decode, encode};
use cloverpier_body::{BodyError, read_body};
use cloverpier_core::Secret;
use reqwest::{Client, StatusCode};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A connection that has been idle for this time is closed. The confirmation of a configuration calls
/// every member, and must not leave a connection to each of them open.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of the idle connections to one peer.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum length in bytes of a message between routers, a request or a reply: more than a configuration of 35,000 accounts
/// (7 MB, docs/CAPACITY.md).
pub const MAX_MESSAGE: usize = 32 << 20;

/// The request header with the secret that all routers share; a peer rejects a request without the
/// right one.
pub const PEER_HEADER: &str = "cloverpier-peer";

/// The reason why a call to a peer has no reply.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection failed, or no complete reply arrived before the timeout.
    #[snafu(display("no reply from the peer: {source}"))]
    NoReply {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The reply is not complete, or too long.
    #[snafu(display("no whole reply from the peer: {source}"))]
    IncompleteReply {
        /// Why not.
        source: BodyError,
    },
    /// The peer sent a status other than 200, such as 401 for a wrong secret or 400 for a request
    /// that it can't decode.
    #[snafu(display("the peer rejected the request with status {status}"))]
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// The request can't be encoded, or the reply can't be decoded.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// The error of the codec.
        source: CodecError,
    },
    /// The reply is not of the variant that belongs to the request.
    #[snafu(display("the peer's reply does not match the request"))]
    UnexpectedReply,
}

impl PeerError {
    /// Whether connecting to the peer failed before the timeout, as when the peer's machine refuses
    /// the connection because no process listens on the port.
    pub fn is_connect_error(&self) -> bool {
        matches!(self, Self::NoReply { source } if source.is_connect() && !source.is_timeout())
    }
}

/// A client for calls to all peers; clones share the connections and the counts.
#[derive(Clone, Debug)]
pub struct PeerClient {
    http: Client,
    secret: Secret,
    traffic: Arc<TrafficCounters>,
}

#[derive(Debug, Default)]
struct TrafficCounters {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// Counts of the calls through a [`PeerClient`] and its clones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of calls, including failed ones.
    pub calls: u64,
    /// Bytes of the bodies of all requests.
    pub sent: u64,
    /// Bytes of the bodies of the replies with status 200.
    pub received: u64,
}

impl PeerClient {
    /// Creates a client without open connections; `secret` authenticates its requests.
    pub fn new(secret: Secret) -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .redirect(reqwest::redirect::Policy::none())
            .build();
        Self {
            http: http.expect("a client without TLS and proxies can always be built"),
            secret,
            traffic: Arc::default(),
        }
    }

    /// Sends a request to the peer that listens at `peers_at` and waits for its reply.
    ///
    /// `timeout` bounds the whole call, including connecting.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the peer may have executed the request even then.
    pub async fn call(
        &self,
        peers_at: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let body = encode(request)?;
        let traffic = &self.traffic;
        traffic.calls.fetch_add(1, Ordering::Relaxed);
        traffic.sent.fetch_add(body.len() as u64, Ordering::Relaxed);
        let req = self
            .http
            .post(format!("http://{peers_at}/peer"))
            .header(PEER_HEADER, self.secret.reveal())
            .timeout(timeout)
            .body(body);
        let res = req.send().await.context(NoReplySnafu)?;
        if res.status() != StatusCode::OK {
            return RejectedSnafu {
                status: res.status().as_u16(),
            }
            .fail();
        }
        let body = read_body(res, MAX_MESSAGE).await;
        let body = body.context(IncompleteReplySnafu)?;
        let received = &traffic.received;
        received.fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(decode(&body)?)
    }

    /// The current counts of calls and bytes.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            calls: self.traffic.calls.load(Ordering::Relaxed),
            sent: self.traffic.sent.load(Ordering::Relaxed),
            received: self.traffic.received.load(Ordering::Relaxed),
        }
    }
}
