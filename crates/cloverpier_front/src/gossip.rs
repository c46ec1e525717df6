//! Heartbeats between fronts: who lives, who has which work, who knows newer versions.
//!
//! Heartbeats are datagrams: a lost one costs nothing, as the next one says it
//! all again. Versions are fetched over HTTP. Both are MessagePack.

use crate::connection::Caller;
use crate::front::Front;
use crate::reply::{Reply, own_reply};
use crate::body::ReplyBody;
use crate::sync::{FleetList, take_catalog, take_fleet};
use cloverpier_core::DataCentre;
use cloverpier_relay::prelude::*;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Heartbeats sent in one period at most; with more peers they take turns.
const MOST_A_PERIOD: usize = 16;
/// Peers named in one heartbeat.
const NAMED: usize = 8;
/// Servers told of in one heartbeat.
const MOST_TOLD: usize = 64;
/// A report of work counts for this long.
const WORK_COUNTS_FOR: Duration = Duration::from_millis(1_500);
/// A peer's newer version is fetched after this pause, as the store mostly tells it first.
const FETCH_AFTER: Duration = Duration::from_millis(400);
/// How long a fetch may take.
const FETCH_PATIENCE: Duration = Duration::from_millis(1_000);
/// Bytes of the longest datagram.
const DATAGRAM: usize = 8_192;
/// Heartbeats that carry news are at least this far apart.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
/// Seeds are tried again this often.
const SEED_PERIODS: u32 = 10;

/// Paths of the versions that a front hands to peers.
const CATALOG_PATH: &str = "/versions/catalog";
const FLEET_PATH: &str = "/versions/fleet";

/// Work at one server, in few bytes.
#[derive(Debug, Serialize, Deserialize)]
struct WorkReport {
    server: ServerKey,
    requests: u32,
    unread_tokens: u32,
    memory_tokens: u32,
}

/// What a front tells its peers.
#[derive(Debug, Serialize, Deserialize)]
struct Heartbeat {
    sender: SocketAddr,
    front: SocketAddr,
    data_centre: DataCentre,
    state: PeerState,
    catalog_version: u64,
    fleet_revision: u64,
    work: Vec<WorkReport>,
    named: Vec<SocketAddr>,
}

/// A list of servers as it travels.
#[derive(Debug, Serialize, Deserialize)]
struct FleetMessage {
    servers: Vec<Server>,
    revision: u64,
}

/// Sends heartbeats for as long as the process runs.
pub(crate) async fn send_heartbeats(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut period = 0u32;
    let mut turn = 0usize;
    loop {
        let settings = front.settings();
        let now = Instant::now();
        front.fleet.borrow_mut().peer_work.forget_old(now, WORK_COUNTS_FOR);
        front.directory.borrow_mut().forget_old(now);
        if period.is_multiple_of(SEED_PERIODS) {
            name_seeds(&front, now);
        }
        if let Ok(bytes) = rmp_serde::to_vec(&heartbeat(&front)) {
            for peer in next_peers(&front, &mut turn) {
                // A heartbeat that can't be sent is as one that was lost.
                let _ = socket.try_send_to(&bytes, peer);
            }
        }
        period = period.wrapping_add(1);
        wait_for_turn(&front, settings.heartbeat).await;
    }
}

/// Waits for the next period, or for news that peers should hear at once.
async fn wait_for_turn(front: &Front, period: Duration) {
    tokio::time::sleep(LEAST_PAUSE).await;
    let rest = period.saturating_sub(LEAST_PAUSE);
    tokio::select! {
        () = front.news.notified() => {}
        () = tokio::time::sleep(rest) => {}
    }
}

fn name_seeds(front: &Front, now: Instant) {
    let settings = front.settings();
    let mut directory = front.directory.borrow_mut();
    for seed in &settings.seeds {
        if *seed != settings.listen.peers {
            directory.on_named(*seed, now);
        }
    }
}

fn next_peers(front: &Front, turn: &mut usize) -> Vec<SocketAddr> {
    let mut all = front.directory.borrow().addresses();
    if all.len() <= MOST_A_PERIOD {
        return all;
    }
    all.sort_unstable();
    let start = *turn % all.len();
    *turn = turn.wrapping_add(MOST_A_PERIOD);
    all.rotate_left(start);
    all.truncate(MOST_A_PERIOD);
    all
}

fn heartbeat(front: &Front) -> Heartbeat {
    let settings = front.settings();
    let fleet = front.fleet.borrow();
    let mut work = fleet.own_work();
    work.truncate(MOST_TOLD);
    let named = front.directory.borrow().addresses();
    let named = front.rng.borrow_mut().choose_multiple(named, NAMED);
    Heartbeat {
        sender: settings.listen.peers,
        front: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        state: front.state(),
        catalog_version: front.catalog().map_or(0, |c| c.version()),
        fleet_revision: fleet.revision(),
        work: work.into_iter().map(report).collect(),
        named,
    }
}

fn report((server, work): (ServerKey, Work)) -> WorkReport {
    WorkReport {
        server,
        requests: work.requests,
        unread_tokens: work.unread_tokens,
        memory_tokens: work.memory_tokens,
    }
}

/// Takes heartbeats for as long as the process runs.
pub(crate) async fn receive_heartbeats(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // Reports of unreachable peers arrive here; they need no answer.
            continue;
        };
        if let Ok(heartbeat) = rmp_serde::from_slice::<Heartbeat>(&buffer[..length]) {
            on_heartbeat(&front, heartbeat, Instant::now());
        }
    }
}

fn on_heartbeat(front: &Front, heartbeat: Heartbeat, now: Instant) {
    let own = front.settings().listen.peers;
    if heartbeat.sender == own {
        return;
    }
    let work = heartbeat.work.into_iter().map(|report| {
        let work = Work {
            requests: report.requests,
            unread_tokens: report.unread_tokens,
            memory_tokens: report.memory_tokens,
        };
        (report.server, work)
    });
    let mut fleet = front.fleet.borrow_mut();
    fleet.peer_work.on_report(heartbeat.sender, work.collect(), now);
    drop(fleet);
    let mut directory = front.directory.borrow_mut();
    for peer in heartbeat.named {
        if peer != own {
            directory.on_named(peer, now);
        }
    }
    directory.on_heard(
        heartbeat.sender,
        PeerEntry {
            front: heartbeat.front,
            data_centre: heartbeat.data_centre,
            state: heartbeat.state,
            heard: now,
            catalog_version: heartbeat.catalog_version,
            fleet_revision: heartbeat.fleet_revision,
        },
    );
}

/// Fetches versions that peers have and the store hasn't told, for as long as the process runs.
pub(crate) async fn fetch_newer(front: Rc<Front>) {
    loop {
        let behind_catalog = newest(&front, |e| e.catalog_version);
        let behind_fleet = newest(&front, |e| e.fleet_revision);
        tokio::time::sleep(FETCH_AFTER).await;
        if let Some((peer, version)) = behind_catalog
            && front.catalog().map_or(0, |c| c.version()) < version
        {
            fetch_catalog(&front, peer).await;
        }
        if let Some((peer, revision)) = behind_fleet
            && front.fleet.borrow().revision() < revision
        {
            fetch_fleet(&front, peer).await;
        }
    }
}

/// A live peer that knows the newest version.
fn newest(front: &Front, version: impl Fn(&PeerEntry) -> u64) -> Option<(SocketAddr, u64)> {
    let directory = front.directory.borrow();
    let now = Instant::now();
    let live = directory
        .heard()
        .filter(|(_, e)| now.saturating_duration_since(e.heard) < crate::front::PEER_SILENCE);
    let versions = live.map(|(peer, entry)| (*peer, version(entry)));
    versions.max_by_key(|(_, version)| *version)
}

async fn fetch_catalog(front: &Front, peer: SocketAddr) {
    let caller = Caller::new(peer, FETCH_PATIENCE);
    let Ok(answer) = caller.get(CATALOG_PATH, FETCH_PATIENCE).await else {
        return;
    };
    if let Ok(parts) = rmp_serde::from_slice::<CatalogParts>(&answer.body) {
        take_catalog(front, parts, &format!("peer {peer}"));
    }
}

async fn fetch_fleet(front: &Front, peer: SocketAddr) {
    let caller = Caller::new(peer, FETCH_PATIENCE);
    let Ok(answer) = caller.get(FLEET_PATH, FETCH_PATIENCE).await else {
        return;
    };
    if let Ok(message) = rmp_serde::from_slice::<FleetMessage>(&answer.body) {
        let list = FleetList {
            servers: message.servers,
            revision: message.revision,
        };
        take_fleet(front, list, &format!("peer {peer}"));
    }
}

/// Hands versions to peers.
pub(crate) async fn on_peer(front: Rc<Front>, request: Request<Incoming>) -> Reply {
    let packed = match request.uri().path() {
        CATALOG_PATH => front.catalog().and_then(|c| rmp_serde::to_vec(c.parts()).ok()),
        FLEET_PATH if front.fleet_known.get() => pack_fleet(&front),
        _ => None,
    };
    match packed {
        Some(bytes) => Response::new(ReplyBody::whole(bytes)),
        None => own_reply(StatusCode::NOT_FOUND, "no such version"),
    }
}

fn pack_fleet(front: &Front) -> Option<Vec<u8>> {
    let fleet = front.fleet.borrow();
    let message = FleetMessage {
        servers: fleet.listed(),
        revision: fleet.revision(),
    };
    rmp_serde::to_vec(&message).ok()
}
