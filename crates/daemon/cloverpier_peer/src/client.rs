//! Calls to peers.
//!
//! One request, one reply, over kept connections; owns the counts of bytes. A closed port is
//! distinguished from silence, as no process acts on anything there.

use crate::message::{CodecError, PeerReply, PeerRequest, decode, encode};
use cloverpier_core::Secret;
use reqwest::{Client, StatusCode};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Connections that nobody used for this long are closed: a confirmation asks every member, and
/// must not leave a connection to each.
const IDLE_CONNECTION: Duration = Duration::from_secs(5);
/// Idle connections kept to one peer at most.
const IDLE_CONNECTIONS: usize = 4;

/// How long a connection to a peer may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The header that carries the peers' secret.
pub const PEER_HEADER: &str = "cloverpier-peer";

/// Why a call to a peer has no reply.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The peer can't be reached or did not answer in time.
    #[snafu(display("no reply: {source}"))]
    NoReply {
        /// What the call ran into.
        source: reqwest::Error,
    },
    /// The peer refused the call.
    #[snafu(display("refused with status {status}"))]
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// The reply can't be read, or the request can't be written.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// Why.
        source: CodecError,
    },
    /// The reply is of another kind than the request asks for.
    #[snafu(display("a reply of another kind"))]
    OtherKind,
}

impl PeerError {
    /// Whether the peer's machine answered that no process listens there.
    pub fn nobody_listens(&self) -> bool {
        matches!(self, Self::NoReply { source } if source.is_connect() && !source.is_timeout())
    }
}

/// Connections to peers, and the bytes that went over them.
#[derive(Clone, Debug)]
pub struct Peers {
    http: Client,
    secret: Secret,
    traffic: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// What went to peers and came back so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls.
    pub calls: u64,
    /// Bytes of bodies sent.
    pub sent: u64,
    /// Bytes of bodies received.
    pub received: u64,
}

impl Peers {
    /// A pool without connections.
    pub fn new(secret: Secret) -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .pool_idle_timeout(IDLE_CONNECTION)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .redirect(reqwest::redirect::Policy::none())
            .build();
        Self {
            http: http.expect("a client without TLS and proxies can always be built"),
            secret,
            traffic: Arc::default(),
        }
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the peer may have acted on the request all the same.
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
        let body = res.bytes().await.context(NoReplySnafu)?;
        let received = &traffic.received;
        received.fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(decode(&body)?)
    }

    /// What went to peers and came back so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            calls: self.traffic.calls.load(Ordering::Relaxed),
            sent: self.traffic.sent.load(Ordering::Relaxed),
            received: self.traffic.received.load(Ordering::Relaxed),
        }
    }
}
