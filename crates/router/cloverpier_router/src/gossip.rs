//! Messages between fronts: who lives, who has which work, who knows newer versions.
//!
//! Heartbeats and changes are datagrams: a lost one costs little, as the next
//! heartbeat says it all again. All are in `MessagePack`.

use crate::front::{Front, PEERS_A_TURN};
use crate::peer_messages::{Change, Heartbeat, LoadReport, PeerMessage, decode, encode};
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Changes are told to all peers up to this many, to so many of them beyond.
const MOST_TOLD_OF_CHANGES: usize = 96;
/// Peers named in one heartbeat.
const NAMED: usize = 8;
/// Upstreams told of in one message.
const MOST_UPSTREAMS: usize = 64;
/// A report of work counts for this long, in a small fleet.
const WORK_COUNTS_FOR: Duration = Duration::from_millis(1_500);
/// Bytes of the longest datagram.
const DATAGRAM: usize = 8_192;
/// Messages that carry news are at least this far apart.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
/// Seeds are named again this often.
const SEED_PERIOD: Duration = Duration::from_secs(2);

/// Sends heartbeats and changes for as long as the process runs.
pub(crate) async fn send_messages(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut turn = 0;
    let mut next_heartbeat = Instant::now();
    let mut next_seeds = next_heartbeat;
    loop {
        let now = Instant::now();
        if now >= next_seeds {
            name_seeds(&front, now);
            next_seeds = now + SEED_PERIOD;
        }
        if now >= next_heartbeat {
            forget_old(&front, now);
            front.decide_following(now);
            let peers = heartbeat_peers(&front, &mut turn, now);
            send(
                &socket,
                &PeerMessage::Heartbeat(heartbeat(&front, now)),
                &peers,
            );
            next_heartbeat = now + front.settings().heartbeat;
        }
        if let Some(change) = take_change(&front) {
            send(&socket, &PeerMessage::Change(change), &change_peers(&front));
        }
        wait_for_news(&front, next_heartbeat).await;
    }
}

/// Waits for the next heartbeat, or for news that peers should hear at once.
async fn wait_for_news(front: &Front, next_heartbeat: Instant) {
    tokio::time::sleep(LEAST_PAUSE).await;
    tokio::select! {
        () = front.news.notified() => {}
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

fn name_seeds(front: &Front, now: Instant) {
    let settings = front.settings();
    let mut directory = front.directory.borrow_mut();
    for seed in &settings.seeds {
        if *seed != settings.listen.peers {
            directory.on_named(*seed, now);
        }
    }
}

fn forget_old(front: &Front, now: Instant) {
    let counts_for = front.peer_silence().max(WORK_COUNTS_FOR);
    front
        .upstreams
        .borrow_mut()
        .peer_work
        .forget_old(now, counts_for);
    front.directory.borrow_mut().forget_old(now);
}

/// The peers whose turn it is; all of them hear a front whose word from the store they rely on.
fn heartbeat_peers(front: &Front, turn: &mut usize, now: Instant) -> Vec<SocketAddr> {
    let mut all = front.directory.borrow().addresses();
    if all.len() <= PEERS_A_TURN || front.has_word_for_peers(now) {
        return all;
    }
    all.sort_unstable();
    let start = *turn % all.len();
    *turn = turn.wrapping_add(PEERS_A_TURN);
    all.rotate_left(start);
    all.truncate(PEERS_A_TURN);
    all
}

fn change_peers(front: &Front) -> Vec<SocketAddr> {
    let all = front.directory.borrow().addresses();
    if all.len() <= MOST_TOLD_OF_CHANGES {
        return all;
    }
    let mut rng = front.rng.borrow_mut();
    rng.choose_multiple(all, MOST_TOLD_OF_CHANGES)
}

fn heartbeat(front: &Front, now: Instant) -> Heartbeat {
    let settings = front.settings();
    let table = front.upstreams.borrow();
    let mut work = table.own_work();
    work.truncate(MOST_UPSTREAMS);
    let mut suspects = table.suspects();
    suspects.truncate(MOST_UPSTREAMS);
    let named = front.directory.borrow().addresses();
    let named = front.rng.borrow_mut().choose_multiple(named, NAMED);
    Heartbeat {
        sender: settings.listen.peers,
        callers: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        state: front.state(),
        configuration_version: front.catalog().map_or(0, |c| c.version()),
        upstreams_revision: table.revision(),
        store_age_ms: store_age_ms(front, now),
        load: work.into_iter().map(LoadReport::new).collect(),
        suspects,
        prompt_locations: running_places(front),
        known_peers: named,
        budget_use: front.spent(now),
    }
}

/// Where the prompts of running streams are, as peers may have started since or missed it.
fn running_places(front: &Front) -> Vec<(PromptKey, UpstreamKey)> {
    let running = front.running.borrow();
    let places = running
        .iter()
        .map(|(prompt, upstream)| (*prompt, *upstream));
    places.take(MOST_UPSTREAMS).collect()
}

fn store_age_ms(front: &Front, now: Instant) -> Option<u32> {
    let heard = front.store_heard.get().filter(|_| front.follows_store())?;
    let age = now.saturating_duration_since(heard).as_millis();
    u32::try_from(age).ok()
}

fn take_change(front: &Front) -> Option<Change> {
    let mut changed = std::mem::take(&mut *front.changed.borrow_mut());
    let mut places = std::mem::take(&mut *front.changed_places.borrow_mut());
    places.truncate(MOST_UPSTREAMS);
    if changed.is_empty() {
        return None;
    }
    changed.sort_unstable();
    changed.dedup();
    changed.truncate(MOST_UPSTREAMS);
    let table = front.upstreams.borrow();
    let states: Vec<&UpstreamState> = changed.iter().filter_map(|name| table.get(name)).collect();
    let suspects = states.iter().filter(|s| s.is_suspect());
    Some(Change {
        sender: front.settings().listen.peers,
        suspects: suspects.map(|s| s.key).collect(),
        prompt_locations: places,
        load: states
            .iter()
            .map(|s| LoadReport::new((s.key, s.own)))
            .collect(),
    })
}

/// Takes messages for as long as the process runs.
pub(crate) async fn receive_messages(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // Reports of unreachable peers arrive here; they need no answer.
            continue;
        };
        let now = Instant::now();
        match decode(&buffer[..length]) {
            Ok(PeerMessage::Heartbeat(heartbeat)) => on_heartbeat(&front, heartbeat, now),
            Ok(PeerMessage::Change(change)) => on_change(&front, change, now),
            // Of another release, or cut off: the next one may be read.
            Err(_) => {}
        }
    }
}

fn on_change(front: &Front, change: Change, now: Instant) {
    for (prompt, upstream) in change.prompt_locations {
        front.places.borrow_mut().on_read(prompt, upstream, now);
    }
    let mut table = front.upstreams.borrow_mut();
    for report in change.load {
        let (key, work) = report.into_load();
        table.peer_work.on_change(change.sender, key, work, now);
    }
    for key in change.suspects {
        table.on_doubt(key, now);
    }
}

fn on_heartbeat(front: &Front, heartbeat: Heartbeat, now: Instant) {
    let own = front.settings().listen.peers;
    if heartbeat.sender == own {
        return;
    }
    let mut table = front.upstreams.borrow_mut();
    let work = heartbeat.load.into_iter().map(LoadReport::into_load);
    table
        .peer_work
        .on_report(heartbeat.sender, work.collect(), now);
    for key in heartbeat.suspects {
        table.on_doubt(key, now);
    }
    for (prompt, upstream) in heartbeat.prompt_locations {
        front.places.borrow_mut().on_read(prompt, upstream, now);
    }
    let is_newer = heartbeat.upstreams_revision > table.revision()
        || heartbeat.configuration_version > front.catalog().map_or(0, |c| c.version());
    drop(table);
    let mut directory = front.directory.borrow_mut();
    for peer in heartbeat.known_peers {
        if peer != own {
            directory.on_named(peer, now);
        }
    }
    let store_age = heartbeat
        .store_age_ms
        .map(|ms| Duration::from_millis(ms.into()));
    directory.on_heard(
        heartbeat.sender,
        PeerEntry {
            front: heartbeat.callers,
            state: heartbeat.state,
            heard: now,
            catalog_version: heartbeat.configuration_version,
            upstreams_revision: heartbeat.upstreams_revision,
            store_age,
            spent: heartbeat.budget_use,
        },
    );
    if is_newer {
        front.newer.notify_one();
    }
}
