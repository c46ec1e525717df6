//! Who lives in a large fleet, as one router knows it, and what the watchers of the store said.

use cloverpier_core::DataCentre;
use cloverpier_router_policy::membership::{
    GossipSeen, Heard, MemberState, MemberUpdate, Membership, SUCCESSORS,
};
use cloverpier_router_policy::peers::PeerState;
use cloverpier_router_policy::watcher_beats::{WatcherBeat, WatcherBeats};
use quickcheck::quickcheck;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const READY: MemberState = MemberState::Alive(PeerState::Ready);

fn router(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7201))
}

fn update(number: u16, state: MemberState, stamp: u64) -> MemberUpdate {
    MemberUpdate {
        router: router(number),
        callers: router(number),
        data_centre: DataCentre::new(format!("hall-{}", number % 4)),
        state,
        stamp,
    }
}

/// Router 0, which has heard of `others` routers.
fn knowing(others: u16, now: Instant) -> Membership {
    let mut membership = Membership::new(update(0, READY, 1));
    for number in 1..=others {
        membership.on_message(update(number, READY, 1), now);
    }
    membership
}

/// Steps the ring each tenth of a second, with messages of all but one; returns whom it declared dead,
/// and how many probes it sent before.
fn play_silence(
    membership: &mut Membership,
    silent: u16,
    others: u16,
    start: Instant,
) -> (Vec<SocketAddr>, usize) {
    let mut probes = 0;
    for step in 1..40 {
        let now = start + Duration::from_millis(100) * step;
        for number in (1..=others).filter(|number| *number != silent) {
            membership.on_message(update(number, READY, 1), now);
        }
        let step = membership.ring_step(false, now);
        probes += step.probe.len();
        if !step.dead.is_empty() {
            return (step.dead, probes);
        }
    }
    (Vec::new(), probes)
}

#[test]
fn a_silent_neighbour_is_probed_before_it_counts_as_dead() {
    let start = Instant::now();
    let mut membership = knowing(2, start);
    let (dead, probes) = play_silence(&mut membership, 1, 2, start);
    assert_eq!(dead, [router(1)]);
    assert!(probes >= 3, "{probes}");
    assert!(membership.is_known_dead(router(1)));
    assert_eq!(membership.count(), 1);
}

#[test]
fn a_router_that_hears_from_nobody_judges_nobody() {
    let start = Instant::now();
    let mut membership = knowing(2, start);
    let mut now = start;
    for _ in 0..100 {
        now += Duration::from_secs(3);
        assert!(membership.ring_step(false, now).dead.is_empty());
    }
    assert!(membership.is_alone(now));
    assert_eq!(membership.live(now).count(), 0);
}

#[test]
fn silence_during_an_own_pause_counts_for_nothing() {
    let start = Instant::now();
    let mut membership = knowing(2, start);
    membership.ring_step(false, start);
    let after = start + Duration::from_secs(2);
    let step = membership.ring_step(true, after);
    assert!(step.probe.is_empty() && step.dead.is_empty(), "{step:?}");
}

#[test]
fn a_router_that_is_taken_for_dead_says_that_it_is_not() {
    let now = Instant::now();
    let mut membership = knowing(2, now);
    let heard = membership.on_update(update(0, MemberState::Dead, 1), now);
    assert_eq!(heard, Heard::Changed);
    assert_eq!(membership.own().state, READY);
    assert!(membership.own().stamp > 1);

    let mut peer = Membership::new(update(9, READY, 1));
    peer.on_message(update(0, READY, 1), now);
    peer.on_update(update(0, MemberState::Dead, 1), now);
    let heard = peer.on_message(update(0, READY, 1), now);
    assert_eq!(heard, Heard::TakenForDead);
    peer.on_message(membership.own().clone(), now);
    assert!(!peer.is_known_dead(router(0)));
}

#[test]
fn others_are_told_once_of_a_router_that_ends_unless_it_is_back() {
    let now = Instant::now();
    let mut membership = knowing(3, now);
    let leaving = update(1, MemberState::Alive(PeerState::Leaving), 2);
    membership.on_update(leaving.clone(), now);
    membership.on_members(vec![update(2, MemberState::Dead, 1)], now);
    assert_eq!(
        membership.take_ended(),
        [leaving, update(2, MemberState::Dead, 1)]
    );
    assert!(!membership.has_ended());
    membership.on_update(update(3, MemberState::Dead, 1), now);
    membership.on_update(update(3, READY, 2), now);
    assert!(!membership.has_ended());
}

#[test]
fn a_router_that_knows_fewer_for_long_asks_for_all() {
    let start = Instant::now();
    let mut membership = knowing(100, start);
    let mut rng = fastrand::Rng::with_seed(1);
    let sender = update(4, READY, 1);
    let mut hears = |members, now| {
        let seen = GossipSeen {
            sender: &sender,
            wants_reply: false,
            members,
            digest: 1,
            updates: &[],
        };
        membership.on_gossip(seen, &mut rng, now).ask_members
    };
    assert!(!hears(102, start), "updates may be under way");
    let later = start + Duration::from_secs(3);
    assert!(hears(102, later));
    assert!(!hears(102, later), "it has asked just now");
}

#[test]
fn a_router_that_starts_anew_before_its_former_run_was_ready_counts_as_new() {
    let now = Instant::now();
    let mut membership = Membership::new(update(0, READY, 1));
    let starting = MemberState::Alive(PeerState::Starting);
    let mut is_newcomer = |stamp| {
        let sender = update(1, starting, stamp);
        let seen = GossipSeen {
            sender: &sender,
            wants_reply: true,
            members: 0,
            digest: 1,
            updates: &[],
        };
        let mut rng = fastrand::Rng::with_seed(1);
        membership.on_gossip(seen, &mut rng, now).is_newcomer
    };
    assert!(is_newcomer(1));
    assert!(is_newcomer(300));
}

#[test]
fn a_message_without_a_stamp_brings_a_dead_router_back() {
    let now = Instant::now();
    let mut membership = knowing(2, now);
    membership.on_update(update(1, MemberState::Dead, 1), now);
    membership.on_plain_message(update(1, READY, 0), now);
    assert!(!membership.is_known_dead(router(1)));
}

#[test]
fn messages_go_to_few_however_many_there_are() {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(1);
    for others in [10, 100, 1_000] {
        let mut membership = knowing(others, now);
        for _ in 0..20 {
            let targets = membership.targets(&mut rng);
            assert!(targets.len() <= SUCCESSORS + 3, "{targets:?}");
            assert!(!targets.contains(&router(0)));
        }
        assert!(membership.flood_targets(&mut rng).len() <= 4);
        assert!(membership.flood_roots(&mut rng).len() <= 4 + 3 * 3);
    }
}

quickcheck! {
    /// What is known in the end does not depend on the order in which it came, or on repeats.
    fn news_in_any_order_lead_to_the_same(said: Vec<(u8, u8, bool)>, seed: u64) -> bool {
        let now = Instant::now();
        let said: Vec<MemberUpdate> = said
            .into_iter()
            .map(|(number, stamp, is_dead)| {
                let state = if is_dead { MemberState::Dead } else { READY };
                update(1 + u16::from(number % 5), state, u64::from(stamp % 4))
            })
            .collect();
        let known = || knowing(5, now);
        let mut one = known();
        for update in &said {
            one.on_update(update.clone(), now);
        }
        let mut other = known();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut mixed = said.clone();
        mixed.extend(said);
        rng.shuffle(&mut mixed);
        for update in mixed {
            other.on_update(update, now);
        }
        one.digest() == other.digest() && one.count() == other.count()
    }
}

fn beat(number: u64, store_age_ms: u32) -> WatcherBeat {
    WatcherBeat {
        router: router(1),
        number,
        store_age_ms,
    }
}

#[test]
fn what_a_watcher_said_ages_until_it_says_more() {
    let start = Instant::now();
    let mut beats = WatcherBeats::default();
    assert!(beats.on_beat(beat(2, 100), start));
    assert!(!beats.on_beat(beat(1, 0), start), "it said that before");
    let later = start + Duration::from_secs(1);
    assert_eq!(
        beats.store_age(router(1), later),
        Some(Duration::from_millis(1_100))
    );
    assert!(beats.on_beat(beat(3, 0), later));
    assert_eq!(beats.store_age(router(1), later), Some(Duration::ZERO));
    let long_after = later + Duration::from_secs(60);
    assert!(beats.watchers(long_after).is_empty());
}
