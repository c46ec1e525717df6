//! Membership and failure detection in a large fleet, and the reports of store watchers.

use cloverpier_core::DataCentre;
use cloverpier_router_policy::membership::{
    MemberState, MemberUpdate, Membership, ReceivedGossip, SUCCESSORS, UpdateOutcome,
};
use cloverpier_router_policy::peers::PeerState;
use cloverpier_router_policy::watcher_reports::{WatcherReport, WatcherReports};
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

/// The membership of router 0 after a message from each of the routers 1 to `others`.
fn membership_with(others: u16, now: Instant) -> Membership {
    let mut membership = Membership::new(update(0, READY, 1));
    for number in 1..=others {
        membership.on_message(update(number, READY, 1), now);
    }
    membership
}

/// Checks the predecessors every 100 ms for 4 s, with messages from all routers except `silent`. Returns the
/// routers declared dead, and the number of probes sent until then.
fn simulate_silence(
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
        let step = membership.check_predecessors(false, now);
        probes += step.probe.len();
        if !step.dead.is_empty() {
            return (step.dead, probes);
        }
    }
    (Vec::new(), probes)
}

#[test]
fn a_silent_predecessor_is_probed_before_it_is_declared_dead() {
    let start = Instant::now();
    let mut membership = membership_with(2, start);
    let (dead, probes) = simulate_silence(&mut membership, 1, 2, start);
    assert_eq!(dead, [router(1)]);
    assert!(probes >= 3, "{probes}");
    assert!(membership.is_recorded_dead(router(1)));
    assert_eq!(membership.count(), 1);
}

#[test]
fn an_isolated_router_declares_no_router_dead() {
    let start = Instant::now();
    let mut membership = membership_with(2, start);
    let mut now = start;
    for _ in 0..100 {
        now += Duration::from_secs(3);
        assert!(membership.check_predecessors(false, now).dead.is_empty());
    }
    assert!(membership.is_isolated(now));
    assert_eq!(membership.live(now).count(), 0);
}

#[test]
fn silence_during_a_pause_of_this_process_is_ignored() {
    let start = Instant::now();
    let mut membership = membership_with(2, start);
    membership.check_predecessors(false, start);
    let after = start + Duration::from_secs(2);
    let step = membership.check_predecessors(true, after);
    assert!(step.probe.is_empty() && step.dead.is_empty(), "{step:?}");
}

#[test]
fn a_router_refutes_an_update_that_declares_it_dead() {
    let now = Instant::now();
    let mut membership = membership_with(2, now);
    let outcome = membership.on_update(update(0, MemberState::Dead, 1), now);
    assert_eq!(outcome, UpdateOutcome::Changed);
    assert_eq!(membership.own().state, READY);
    assert!(membership.own().stamp > 1);

    let mut peer = Membership::new(update(9, READY, 1));
    peer.on_message(update(0, READY, 1), now);
    peer.on_update(update(0, MemberState::Dead, 1), now);
    let outcome = peer.on_message(update(0, READY, 1), now);
    assert_eq!(outcome, UpdateOutcome::RecordedDead);
    peer.on_message(membership.own().clone(), now);
    assert!(!peer.is_recorded_dead(router(0)));
}

#[test]
fn departures_are_reported_once_and_not_after_a_return() {
    let now = Instant::now();
    let mut membership = membership_with(3, now);
    let leaving = update(1, MemberState::Alive(PeerState::Leaving), 2);
    membership.on_update(leaving.clone(), now);
    membership.on_members(vec![update(2, MemberState::Dead, 1)], now);
    assert_eq!(
        membership.take_departures(),
        [leaving, update(2, MemberState::Dead, 1)]
    );
    assert!(!membership.has_departures());
    membership.on_update(update(3, MemberState::Dead, 1), now);
    membership.on_update(update(3, READY, 2), now);
    assert!(!membership.has_departures());
}

#[test]
fn a_lasting_digest_mismatch_leads_to_one_member_list_request() {
    let start = Instant::now();
    let mut membership = membership_with(100, start);
    let mut rng = fastrand::Rng::with_seed(1);
    let sender = update(4, READY, 1);
    let mut requests_members = |members, now| {
        let seen = ReceivedGossip {
            sender: &sender,
            wants_reply: false,
            members,
            digest: 1,
            updates: &[],
        };
        membership.on_gossip(seen, &mut rng, now).request_members
    };
    assert!(!requests_members(102, start), "updates may be in transit");
    let later = start + Duration::from_secs(3);
    assert!(requests_members(102, later));
    assert!(
        !requests_members(102, later),
        "the previous request was just sent"
    );
}

#[test]
fn a_router_that_restarts_before_it_was_ready_is_reported_as_new() {
    let now = Instant::now();
    let mut membership = Membership::new(update(0, READY, 1));
    let starting = MemberState::Alive(PeerState::Starting);
    let mut is_new_or_changed = |stamp| {
        let sender = update(1, starting, stamp);
        let seen = ReceivedGossip {
            sender: &sender,
            wants_reply: true,
            members: 0,
            digest: 1,
            updates: &[],
        };
        let mut rng = fastrand::Rng::with_seed(1);
        membership.on_gossip(seen, &mut rng, now).is_new_or_changed
    };
    assert!(is_new_or_changed(1));
    assert!(is_new_or_changed(300));
}

#[test]
fn an_unstamped_message_revives_a_dead_router() {
    let now = Instant::now();
    let mut membership = membership_with(2, now);
    membership.on_update(update(1, MemberState::Dead, 1), now);
    membership.on_unstamped_message(update(1, READY, 0), now);
    assert!(!membership.is_recorded_dead(router(1)));
}

#[test]
fn recipients_are_bounded_for_any_fleet_size() {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(1);
    for others in [10, 100, 1_000] {
        let mut membership = membership_with(others, now);
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
    /// The resulting membership does not depend on the order in which updates arrive, or on repeats.
    fn membership_does_not_depend_on_the_order_or_repetition_of_updates(received: Vec<(u8, u8, bool)>, seed: u64) -> bool {
        let now = Instant::now();
        let received: Vec<MemberUpdate> = received
            .into_iter()
            .map(|(number, stamp, is_dead)| {
                let state = if is_dead { MemberState::Dead } else { READY };
                update(1 + u16::from(number % 5), state, u64::from(stamp % 4))
            })
            .collect();
        let initial = || membership_with(5, now);
        let mut one = initial();
        for update in &received {
            one.on_update(update.clone(), now);
        }
        let mut other = initial();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut shuffled = received.clone();
        shuffled.extend(received);
        rng.shuffle(&mut shuffled);
        for update in shuffled {
            other.on_update(update, now);
        }
        one.digest() == other.digest() && one.count() == other.count()
    }
}

fn watcher_report(number: u64, store_age_ms: u32) -> WatcherReport {
    WatcherReport {
        router: router(1),
        number,
        store_age_ms,
    }
}

#[test]
fn a_watcher_report_ages_until_a_newer_one_arrives() {
    let start = Instant::now();
    let mut reports = WatcherReports::default();
    assert!(reports.on_report(watcher_report(2, 100), start));
    assert!(
        !reports.on_report(watcher_report(1, 0), start),
        "an older report is ignored"
    );
    let later = start + Duration::from_secs(1);
    assert_eq!(
        reports.store_age(router(1), later),
        Some(Duration::from_millis(1_100))
    );
    assert!(reports.on_report(watcher_report(3, 0), later));
    assert_eq!(reports.store_age(router(1), later), Some(Duration::ZERO));
    let long_after = later + Duration::from_secs(60);
    assert!(reports.watchers(long_after).is_empty());
}
