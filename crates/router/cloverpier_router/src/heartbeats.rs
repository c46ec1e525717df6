//! Messages between routers: who lives, who has which load, who knows newer versions.
//!
//! Heartbeats and changes are datagrams: a lost one costs little, as the next
//! heartbeat says it all again. All are in `MessagePack`.

use crate::peer_messages::{Change, Heartbeat, LoadReport, PeerMessage, decode, encode};
use crate::router::{PEERS_A_TURN, Router};
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Changes are told to all peers up to this many, to so many of them beyond.
const MAX_TOLD_OF_CHANGES: usize = 96;
/// Peers named in one heartbeat.
const NAMED: usize = 8;
/// Upstreams told of in one message.
const MAX_UPSTREAMS: usize = 64;
/// A report of load counts for this long, in a small fleet.
const WORK_COUNTS_FOR: Duration = Duration::from_millis(1_500);
/// Bytes of the longest datagram.
const DATAGRAM: usize = 8_192;
/// Messages that carry news are at least this far apart.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Seeds are named again this often.
const SEED_PERIOD: Duration = Duration::from_secs(2);

/// Sends heartbeats and changes for as long as the process runs.
pub(crate) async fn send_messages(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut turn = 0;
    let mut next_heartbeat = Instant::now();
    let mut next_seeds = next_heartbeat;
    loop {
        let now = Instant::now();
        if now >= next_seeds {
            name_seeds(&router, now);
            next_seeds = now + SEED_PERIOD;
        }
        if now >= next_heartbeat {
            forget_old(&router, now);
            router.decide_watcher_role(now);
            let peers = heartbeat_peers(&router, &mut turn, now);
            send(
                &socket,
                &PeerMessage::Heartbeat(heartbeat(&router, now)),
                &peers,
            );
            next_heartbeat = now + router.settings().heartbeat;
        }
        if let Some(change) = take_change(&router) {
            send(
                &socket,
                &PeerMessage::Change(change),
                &change_peers(&router),
            );
        }
        wait_for_news(&router, next_heartbeat).await;
    }
}

/// Waits for the next heartbeat, or for news that peers should hear at once.
async fn wait_for_news(router: &Router, next_heartbeat: Instant) {
    tokio::time::sleep(MIN_PAUSE).await;
    tokio::select! {
        () = router.state_changed.notified() => {}
        () = tokio::time::sleep_until(next_heartbeat.into()) => {}
    }
}

fn send(socket: &UdpSocket, message: &PeerMessage, peers: &[SocketAddr]) {
    let Ok(bytes) = encode(message) else {
        return;
    };
    for peer in peers {
        // A message that can't be sent is as one that was lost.
        let _ = socket.try_send_to(&bytes, *peer);
    }
}

fn name_seeds(router: &Router, now: Instant) {
    let settings = router.settings();
    let mut directory = router.directory.borrow_mut();
    for seed in &settings.seeds {
        if *seed != settings.listen.peers {
            directory.on_named(*seed, now);
        }
    }
}

fn forget_old(router: &Router, now: Instant) {
    let counts_for = router.peer_silence().max(WORK_COUNTS_FOR);
    router
        .upstreams
        .borrow_mut()
        .peer_load
        .forget_old(now, counts_for);
    router.directory.borrow_mut().forget_old(now);
}

/// The peers whose turn it is; all of them hear a router whose word from the store they rely on.
fn heartbeat_peers(router: &Router, turn: &mut usize, now: Instant) -> Vec<SocketAddr> {
    let mut all = router.directory.borrow().addresses();
    if all.len() <= PEERS_A_TURN || router.serves_peers(now) {
        return all;
    }
    all.sort_unstable();
    let start = *turn % all.len();
    *turn = turn.wrapping_add(PEERS_A_TURN);
    all.rotate_left(start);
    all.truncate(PEERS_A_TURN);
    all
}

fn change_peers(router: &Router) -> Vec<SocketAddr> {
    let all = router.directory.borrow().addresses();
    if all.len() <= MAX_TOLD_OF_CHANGES {
        return all;
    }
    let mut rng = router.rng.borrow_mut();
    rng.choose_multiple(all, MAX_TOLD_OF_CHANGES)
}

fn heartbeat(router: &Router, now: Instant) -> Heartbeat {
    let settings = router.settings();
    let table = router.upstreams.borrow();
    let mut load = table.own_load();
    load.truncate(MAX_UPSTREAMS);
    let mut suspects = table.suspects();
    suspects.truncate(MAX_UPSTREAMS);
    let named = router.directory.borrow().addresses();
    let named = router.rng.borrow_mut().choose_multiple(named, NAMED);
    Heartbeat {
        sender: settings.listen.peers,
        callers: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        state: router.state(),
        configuration_version: router.configuration().map_or(0, |c| c.version()),
        upstreams_revision: table.revision(),
        store_age_ms: store_age_ms(router, now),
        load: load.into_iter().map(LoadReport::new).collect(),
        suspects,
        prompt_locations: running_prompts(router),
        known_peers: named,
        budget_use: router.spent(now),
    }
}

/// Where the prompts of running streams are, as peers may have started since or missed it.
fn running_prompts(router: &Router) -> Vec<(PromptKey, UpstreamKey)> {
    let running = router.running.borrow();
    let prompt_locations = running
        .iter()
        .map(|(prompt, upstream)| (*prompt, *upstream));
    prompt_locations.take(MAX_UPSTREAMS).collect()
}

fn store_age_ms(router: &Router, now: Instant) -> Option<u32> {
    let heard = router
        .last_store_success
        .get()
        .filter(|_| router.watches_store())?;
    let age = now.saturating_duration_since(heard).as_millis();
    u32::try_from(age).ok()
}

fn take_change(router: &Router) -> Option<Change> {
    let mut changed = std::mem::take(&mut *router.changed.borrow_mut());
    let mut prompt_locations = std::mem::take(&mut *router.new_prompt_locations.borrow_mut());
    prompt_locations.truncate(MAX_UPSTREAMS);
    if changed.is_empty() {
        return None;
    }
    changed.sort_unstable();
    changed.dedup();
    changed.truncate(MAX_UPSTREAMS);
    let table = router.upstreams.borrow();
    let states: Vec<&UpstreamState> = changed.iter().filter_map(|name| table.get(name)).collect();
    let suspects = states.iter().filter(|s| s.is_suspected());
    Some(Change {
        sender: router.settings().listen.peers,
        suspects: suspects.map(|s| s.key).collect(),
        prompt_locations,
        load: states
            .iter()
            .map(|s| LoadReport::new((s.key, s.own_load)))
            .collect(),
    })
}

/// Takes messages for as long as the process runs.
pub(crate) async fn receive_messages(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // Reports of unreachable peers arrive here; they need no answer.
            continue;
        };
        let now = Instant::now();
        match decode(&buffer[..length]) {
            Ok(PeerMessage::Heartbeat(heartbeat)) => on_heartbeat(&router, heartbeat, now),
            Ok(PeerMessage::Change(change)) => on_change(&router, change, now),
            // Of another release, or cut off: the next one may be read.
            Err(_) => {}
        }
    }
}

fn on_change(router: &Router, change: Change, now: Instant) {
    for (prompt, upstream) in change.prompt_locations {
        router
            .prompt_locations
            .borrow_mut()
            .on_read(prompt, upstream, now);
    }
    let mut table = router.upstreams.borrow_mut();
    for report in change.load {
        let (key, load) = report.into_load();
        table.peer_load.on_change(change.sender, key, load, now);
    }
    for key in change.suspects {
        table.on_peer_suspicion(key, now);
    }
}

fn on_heartbeat(router: &Router, heartbeat: Heartbeat, now: Instant) {
    let own = router.settings().listen.peers;
    if heartbeat.sender == own {
        return;
    }
    let mut table = router.upstreams.borrow_mut();
    let load = heartbeat.load.into_iter().map(LoadReport::into_load);
    table
        .peer_load
        .on_report(heartbeat.sender, load.collect(), now);
    for key in heartbeat.suspects {
        table.on_peer_suspicion(key, now);
    }
    for (prompt, upstream) in heartbeat.prompt_locations {
        router
            .prompt_locations
            .borrow_mut()
            .on_read(prompt, upstream, now);
    }
    let is_newer = heartbeat.upstreams_revision > table.revision()
        || heartbeat.configuration_version > router.configuration().map_or(0, |c| c.version());
    drop(table);
    let mut directory = router.directory.borrow_mut();
    for peer in heartbeat.known_peers {
        if peer != own {
            directory.on_named(peer, now);
        }
    }
    let store_age = heartbeat
        .store_age_ms
        .map(|ms| Duration::from_millis(ms.into()));
    directory.on_heartbeat_or_activity(
        heartbeat.sender,
        PeerEntry {
            router: heartbeat.callers,
            state: heartbeat.state,
            heard: now,
            configuration_version: heartbeat.configuration_version,
            upstreams_revision: heartbeat.upstreams_revision,
            store_age,
            spent: heartbeat.budget_use,
        },
    );
    if is_newer {
        router.newer_version_seen.notify_one();
    }
}
