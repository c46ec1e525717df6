//! Configuration and upstreams, handed from router to router over HTTP.
//!
//! One half fetches what peers have and this router lacks; the other serves what this router
//! has. Whom to ask, and when, is decided in `cloverpier_router_policy::version_fetch`; the
//! shapes are [`crate::peer_messages`]'s.

use crate::body::ReplyBody;
use crate::decision_log::{FetchFailed, VersionFetched, VersionServed, ms};
use crate::http_client::{CallError, HttpClient};
use crate::peer_messages::{CodecError, UpstreamsReply, decode, encode};
use crate::reply::{Reply, own_reply};
use crate::router::Router;
use crate::source::{UpstreamChanges, UpstreamList};
use crate::store_view::{
    Watched, apply_configuration, apply_upstream_changes, apply_upstream_list, log_dependency,
};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::version_fetch::{
    COMPARE_PERIOD, FAILURE_PAUSE, FETCH_TIMEOUT, STORE_FIRST,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Paths at a peer; they are on the wire.
const CONFIGURATION_PATH: &str = "/versions/catalog";
const UPSTREAMS_PATH: &str = "/versions/fleet";

/// A peer did not hand out a version.
#[derive(Debug, Snafu)]
enum FetchError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The answer cannot be read.
    #[snafu(display("{source}"))]
    Codec { source: CodecError },
}

/// A fetch that failed: of what, from whom, after how long.
struct FailedFetch {
    watched: Watched,
    from: SocketAddr,
    took: Duration,
    error: FetchError,
}

fn log_failed(router: &Router, failed: &FailedFetch) {
    let line = FetchFailed {
        name: "peers",
        reason: &failed.error.to_string(),
        what: failed.watched.name(),
        from: failed.from,
        took_ms: ms(failed.took),
    };
    router.log.info("peer.fetch_failed", &line);
}

/// Connections to peers, one each, kept until a fetch fails.
type Clients = HashMap<SocketAddr, Rc<HttpClient>>;

/// Fetches versions that peers have and this router lacks, until the process ends.
pub(crate) async fn fetch_newer(router: Rc<Router>) {
    let mut clients = Clients::new();
    let mut is_failing = false;
    loop {
        tokio::select! {
            () = router.peers.newer_version_seen() => {}
            () = tokio::time::sleep(COMPARE_PERIOD) => {}
        }
        if router.store.role().watches() && router.store.is_serving() {
            tokio::time::sleep(STORE_FIRST).await;
        }
        let Err(failed) = fetch_both(&router, &mut clients).await else {
            is_failing = false;
            continue;
        };
        router.metrics.version_fetches.count("failed");
        // Of failures in a row, as while a peer is dead and not missed yet, one is logged.
        if !std::mem::replace(&mut is_failing, true) {
            log_failed(&router, &failed);
        }
        clients.clear();
        tokio::time::sleep(FAILURE_PAUSE).await;
    }
}

async fn fetch_both(router: &Router, clients: &mut Clients) -> Result<(), FailedFetch> {
    fetch_configuration(router, clients).await?;
    fetch_upstreams(router, clients).await
}

/// A live peer that has a version above `known`.
fn newer_at(
    router: &Router,
    known: u64,
    version: impl Fn(&PeerEntry) -> u64,
) -> Option<SocketAddr> {
    let (now, timeout) = (router.now(), router.peer_timeout());
    let mut rng = router.rng.borrow_mut();
    router
        .peers
        .with_newer(known, version, now, timeout, &mut rng)
}

fn client_of(clients: &mut Clients, peer: SocketAddr) -> Rc<HttpClient> {
    let client = clients.entry(peer);
    Rc::clone(client.or_insert_with(|| Rc::new(HttpClient::new(peer, FETCH_TIMEOUT))))
}

/// Asks a peer for a version and reads its reply; logs what it took.
async fn fetch<T: DeserializeOwned>(
    router: &Router,
    clients: &mut Clients,
    (watched, peer): (Watched, SocketAddr),
    path: &str,
) -> Result<T, FailedFetch> {
    let client = client_of(clients, peer);
    let began = router.now();
    let answer = client.get(path, FETCH_TIMEOUT).await.context(CallSnafu);
    let took = router.now().saturating_duration_since(began);
    let decoded = answer.and_then(|answer| {
        let message = decode(&answer.body).context(CodecSnafu)?;
        Ok((message, answer.body.len()))
    });
    let failed = |error| FailedFetch {
        watched,
        from: peer,
        took,
        error,
    };
    let (message, bytes) = decoded.map_err(failed)?;
    router.metrics.version_fetches.count("whole");
    router.metrics.version_fetch.observe(took);
    let line = VersionFetched {
        what: watched.name(),
        from: peer,
        bytes,
        took_ms: ms(took),
    };
    router.log.info("version.fetched", &line);
    Ok(message)
}

/// Fetches a newer configuration, where a peer has one.
async fn fetch_configuration(router: &Router, clients: &mut Clients) -> Result<(), FailedFetch> {
    let known = router.store.configuration_version();
    let Some(peer) = newer_at(router, known, |p| p.configuration_version) else {
        return Ok(());
    };
    let asked = (Watched::Configuration, peer);
    let configuration: Configuration = fetch(router, clients, asked, CONFIGURATION_PATH).await?;
    apply_configuration(router, configuration, &format!("peer {peer}"));
    Ok(())
}

/// Fetches newer upstreams, where a peer has them.
async fn fetch_upstreams(router: &Router, clients: &mut Clients) -> Result<(), FailedFetch> {
    let known = router.upstreams.borrow().revision();
    let Some(peer) = newer_at(router, known, |p| p.upstreams_revision) else {
        return Ok(());
    };
    let path = if router.store.knows_upstreams() {
        format!("{UPSTREAMS_PATH}?after={known}")
    } else {
        UPSTREAMS_PATH.to_owned()
    };
    let from = format!("peer {peer}");
    match fetch(router, clients, (Watched::Upstreams, peer), &path).await? {
        UpstreamsReply::List {
            upstreams,
            revision,
        } => {
            let list = UpstreamList {
                upstreams,
                revision,
            };
            apply_upstream_list(router, list, &from);
        }
        UpstreamsReply::Changes { changes, revision } => {
            let changes = UpstreamChanges { changes, revision };
            apply_upstream_changes(router, changes, &from);
        }
    }
    Ok(())
}

/// Hands versions to peers.
pub(crate) async fn on_peer(router: Rc<Router>, request: Request<Incoming>) -> Reply {
    let packed = match request.uri().path() {
        CONFIGURATION_PATH => router.store.configuration().map(|c| encode(c.parts())),
        UPSTREAMS_PATH if router.store.knows_upstreams() => {
            Some(encode(&upstreams_reply(&router, asked_after(&request))))
        }
        _ => None,
    };
    match packed {
        Some(Ok(bytes)) => {
            log_served(&router, request.uri().path(), bytes.len());
            Response::new(ReplyBody::whole(bytes))
        }
        Some(Err(error)) => {
            log_dependency(&router, "peer.unsent", "peers", &error.to_string());
            own_reply(StatusCode::NOT_FOUND, "no such version")
        }
        None => own_reply(StatusCode::NOT_FOUND, "no such version"),
    }
}

/// Counts the bytes handed out; a configuration, which is large and seldom changes, is also
/// logged.
fn log_served(router: &Router, path: &str, bytes: usize) {
    router.metrics.version_bytes.inc_by(bytes as u64);
    if path != CONFIGURATION_PATH {
        return;
    }
    let line = VersionServed {
        what: Watched::Configuration.name(),
        version: router.store.configuration_version(),
        bytes,
    };
    router.log.info("version.served", &line);
}

/// The revision after which changes are asked for; without a readable one, the whole list is.
fn asked_after(request: &Request<Incoming>) -> Option<u64> {
    let query = request.uri().query()?;
    query.strip_prefix("after=")?.parse().ok()
}

fn upstreams_reply(router: &Router, after: Option<u64>) -> UpstreamsReply {
    let table = router.upstreams.borrow();
    let revision = table.revision();
    match after.and_then(|after| table.changes_after(after)) {
        Some(changes) => UpstreamsReply::Changes { changes, revision },
        None => UpstreamsReply::List {
            upstreams: table.listed(),
            revision,
        },
    }
}
