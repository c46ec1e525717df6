//! Configuration and upstreams, handed from router to router over HTTP.

use crate::body::ReplyBody;
use crate::connection::HttpClient;
use crate::peer_messages::{UpstreamsReply, decode, encode};
use crate::reply::{Reply, own_reply};
use crate::router::Router;
use crate::store_sync::{
    UpstreamChanges, UpstreamList, apply_configuration, apply_upstream_changes, apply_upstream_list,
};
use cloverpier_router_policy::prelude::*;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A router that watches the store gives it this much time to tell a version first.
const STORE_FIRST: Duration = Duration::from_millis(400);
/// How long a fetch may take.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Versions are compared at least this often.
const PERIOD: Duration = Duration::from_millis(500);
/// After a fetch that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

const CONFIGURATION_PATH: &str = "/versions/catalog";
const UPSTREAMS_PATH: &str = "/versions/fleet";

/// A peer that knows a newer version.
struct Newer {
    peer: SocketAddr,
    version: u64,
}

/// Fetches versions that peers have and this router lacks, for as long as the process runs.
pub(crate) async fn fetch_newer(router: Rc<Router>) {
    let mut callers = HashMap::new();
    loop {
        tokio::select! {
            () = router.newer_version_seen.notified() => {}
            () = tokio::time::sleep(PERIOD) => {}
        }
        if router.watches_store() && router.is_serving() {
            tokio::time::sleep(STORE_FIRST).await;
        }
        let fetched = fetch_configuration(&router, &mut callers).await
            && fetch_upstreams(&router, &mut callers).await;
        if !fetched {
            callers.clear();
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

/// A live peer that knows a version above `known`; one of the newest, by chance.
fn newer_at(router: &Router, known: u64, version: impl Fn(&PeerEntry) -> u64) -> Option<Newer> {
    let silence = router.peer_silence();
    let directory = router.directory.borrow();
    let versions: Vec<Newer> = directory
        .live(Instant::now(), silence)
        .map(|(peer, entry)| Newer {
            peer: *peer,
            version: version(entry),
        })
        .collect();
    let newest = versions.iter().map(|n| n.version).max()?;
    let newest = versions
        .into_iter()
        .filter(|n| n.version == newest && newest > known);
    router.rng.borrow_mut().choice(newest.collect::<Vec<_>>())
}

fn caller_of(
    callers: &mut HashMap<SocketAddr, Rc<HttpClient>>,
    peer: SocketAddr,
) -> Rc<HttpClient> {
    let caller = callers.entry(peer);
    Rc::clone(caller.or_insert_with(|| Rc::new(HttpClient::new(peer, TIMEOUT))))
}

/// Fetches a newer configuration; false when that failed.
async fn fetch_configuration(
    router: &Router,
    callers: &mut HashMap<SocketAddr, Rc<HttpClient>>,
) -> bool {
    let known = router.configuration().map_or(0, |c| c.version());
    let Some(newer) = newer_at(router, known, |e| e.configuration_version) else {
        return true;
    };
    let answer = caller_of(callers, newer.peer)
        .get(CONFIGURATION_PATH, TIMEOUT)
        .await;
    let Ok(answer) = answer else { return false };
    match decode::<Configuration>(&answer.body) {
        Ok(parts) => {
            apply_configuration(router, parts, &format!("peer {}", newer.peer));
        }
        Err(_) => return false,
    }
    true
}

/// Fetches newer upstreams; false when that failed.
async fn fetch_upstreams(
    router: &Router,
    callers: &mut HashMap<SocketAddr, Rc<HttpClient>>,
) -> bool {
    let known = router.upstreams.borrow().revision();
    let Some(newer) = newer_at(router, known, |e| e.upstreams_revision) else {
        return true;
    };
    let path = if router.upstreams_known.get() {
        format!("{UPSTREAMS_PATH}?after={known}")
    } else {
        UPSTREAMS_PATH.to_owned()
    };
    let answer = caller_of(callers, newer.peer).get(&path, TIMEOUT).await;
    let Ok(answer) = answer else { return false };
    let from = format!("peer {}", newer.peer);
    match decode::<UpstreamsReply>(&answer.body) {
        Ok(UpstreamsReply::List {
            upstreams,
            revision,
        }) => {
            apply_upstream_list(
                router,
                UpstreamList {
                    upstreams,
                    revision,
                },
                &from,
            );
        }
        Ok(UpstreamsReply::Changes { changes, revision }) => {
            apply_upstream_changes(router, UpstreamChanges { changes, revision }, &from);
        }
        Err(_) => return false,
    }
    true
}

/// Hands versions to peers.
pub(crate) async fn on_peer(router: Rc<Router>, request: Request<Incoming>) -> Reply {
    let packed = match request.uri().path() {
        CONFIGURATION_PATH => router.configuration().and_then(|c| encode(c.parts()).ok()),
        UPSTREAMS_PATH if router.upstreams_known.get() => {
            pack_upstreams(&router, asked_after(&request))
        }
        _ => None,
    };
    match packed {
        Some(bytes) => Response::new(ReplyBody::whole(bytes)),
        None => own_reply(StatusCode::NOT_FOUND, "no such version"),
    }
}

fn asked_after(request: &Request<Incoming>) -> Option<u64> {
    let query = request.uri().query()?;
    query.strip_prefix("after=")?.parse().ok()
}

fn pack_upstreams(router: &Router, after: Option<u64>) -> Option<Vec<u8>> {
    let table = router.upstreams.borrow();
    let revision = table.revision();
    let changes = after.and_then(|after| table.changes_after(after));
    let message = match changes {
        Some(changes) => UpstreamsReply::Changes { changes, revision },
        None => UpstreamsReply::List {
            upstreams: table.listed(),
            revision,
        },
    };
    encode(&message).ok()
}
