//! Timeouts and intervals: heartbeats between routers, startup, calls to the store, idle connections and shutdown.

use cloverpier_router_policy::connection_reuse::{
    MAX_IDLE_CONNECTIONS, idle_connection_limit, is_reusable,
};
use cloverpier_router_policy::deadline::CallerTimeout;
use cloverpier_router_policy::first_read::{FirstRead, StartupState, first_read};
use cloverpier_router_policy::heartbeat::{
    HeartbeatRotation, change_recipients, load_ttl, peer_timeout,
};
use cloverpier_router_policy::lifecycle::{
    ShutdownStep, StreamDurations, accepts_streams, hold_deadline, router_state, shutdown_step,
};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_ping::PingPacing;
use cloverpier_router_policy::store_watch::{may_call, watches_from};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn peers(count: u16) -> Vec<SocketAddr> {
    (1..=count).map(|n| ([127, 0, 0, 1], n).into()).collect()
}

#[test]
fn a_peer_is_live_until_three_of_its_heartbeats_are_lost() {
    assert_eq!(peer_timeout(ms(200), 8), ms(1_100));
    assert_eq!(peer_timeout(ms(400), 8), ms(1_200));
    // A router sends to 64 peers in four rounds.
    assert_eq!(peer_timeout(ms(200), 64), ms(2_400));
    assert_eq!(load_ttl(ms(1_100)), ms(1_500));
    assert_eq!(load_ttl(ms(2_400)), ms(2_400));
}

#[test]
fn heartbeats_reach_every_peer_in_rotation() {
    let mut turn = HeartbeatRotation::default();
    let all = peers(64);
    let reached: HashSet<SocketAddr> = (0..4)
        .flat_map(|_| turn.next_peers(all.clone(), false))
        .collect();
    assert_eq!(reached.len(), 64);
    assert_eq!(turn.next_peers(all.clone(), true).len(), 64);
    assert_eq!(turn.next_peers(peers(16), false).len(), 16);
}

#[test]
fn a_change_is_sent_to_a_bounded_number_of_peers() {
    let mut rng = fastrand::Rng::with_seed(1);
    assert_eq!(change_recipients(peers(96), &mut rng).len(), 96);
    assert_eq!(change_recipients(peers(300), &mut rng).len(), 96);
}

/// Guards against refusals after the loss of all routers. Callers return before any router has its list of
/// upstreams; a caller that is refused mostly retries at another router that is not ready.
#[test]
fn a_starting_router_holds_requests_unless_the_store_fails() {
    let started = Instant::now();
    let arrived = started + ms(100);
    let until = hold_deadline(started, false, arrived, CallerTimeout::Absent).unwrap();
    // Of 295 routers that start together, the last one has its list of upstreams 0.48 s after the start.
    assert!(until >= started + ms(500) && until <= started + ms(1_000));
    assert_eq!(
        hold_deadline(started, true, arrived, CallerTimeout::Absent),
        None
    );
}

/// Guards against requests that a starting router holds until their callers have left, such as a retried lookup with
/// 55 ms left.
#[test]
fn a_request_is_held_no_longer_than_its_callers_timeout() {
    let started = Instant::now();
    let arrived = started + ms(50);
    let limit = CallerTimeout::Within(ms(55));
    let until = hold_deadline(started, false, arrived, limit).unwrap();
    assert!(
        until < arrived + ms(55),
        "the hold ends before the caller's timeout"
    );
    for limit in [ms(25_000), Duration::MAX] {
        let long_timeout = CallerTimeout::Within(limit);
        let until = hold_deadline(started, false, arrived, long_timeout).unwrap();
        assert!(until >= started + ms(500) && until <= started + ms(1_000));
    }
}

#[test]
fn a_starting_router_receives_heartbeats_before_it_watches_the_store() {
    let now = Instant::now();
    // The wait is at least two heartbeat intervals of 200 ms. A change of the configuration has to be in force within
    // 2 s of its acceptance.
    assert!(watches_from(now) >= now + ms(400) && watches_from(now) <= now + ms(800));
}

#[test]
fn a_fallback_watcher_calls_the_store_only_after_an_answered_ping() {
    assert!(may_call(WatcherRole::Chosen, false));
    assert!(!may_call(WatcherRole::Fallback, false));
    assert!(may_call(WatcherRole::Fallback, true));
    assert!(!may_call(WatcherRole::Standby, true));
}

#[test]
fn fallback_watchers_spread_their_first_pings_and_back_off() {
    let mut pacing = PingPacing::default();
    assert_eq!(pacing.pause(WatcherRole::Standby, 72, || 0.5), None);
    assert_eq!(pacing.pause(WatcherRole::Chosen, 72, || 0.5), Some(ms(250)));
    assert_eq!(
        pacing.pause(WatcherRole::Fallback, 72, || 0.5),
        Some(ms(72))
    );
    let mut pauses = Vec::new();
    for _ in 0..4 {
        pacing.on_result(false, WatcherRole::Fallback, 72);
        pauses.push(pacing.pause(WatcherRole::Fallback, 72, || 1.0).unwrap());
    }
    assert_eq!(pauses, [ms(1_000), ms(4_000), ms(7_200), ms(7_200)]);
    pacing.on_result(true, WatcherRole::Fallback, 72);
    assert_eq!(
        pacing.pause(WatcherRole::Fallback, 72, || 1.0),
        Some(ms(250))
    );
    // After a time as standby the first ping is spread again, over at most 150 ms at any fleet size.
    assert_eq!(pacing.pause(WatcherRole::Standby, 300, || 1.0), None);
    assert_eq!(
        pacing.pause(WatcherRole::Fallback, 300, || 1.0),
        Some(ms(150))
    );
}

#[test]
fn a_fallback_watcher_serves_peers_while_its_store_calls_are_recent() {
    let now = Instant::now();
    let later = now + ms(1_400);
    assert!(WatcherRole::Chosen.serves_peers(None, now));
    assert!(WatcherRole::Fallback.serves_peers(Some(now), now));
    assert!(!WatcherRole::Fallback.serves_peers(Some(now), later));
}

#[test]
fn an_idle_connection_is_not_reused_shortly_before_its_upstream_closes_it() {
    assert!(is_reusable(ms(3_299), ms(4_000)));
    assert!(!is_reusable(ms(3_300), ms(4_000)));
    assert!(!is_reusable(ms(0), ms(700)));
}

#[test]
fn a_router_that_shuts_down_serves_for_a_while_and_exits_before_it_is_killed() {
    let grace = ms(8_000);
    assert_eq!(shutdown_step(ms(3_499), 0, grace), ShutdownStep::Serve);
    assert_eq!(shutdown_step(ms(3_500), 0, grace), ShutdownStep::Exit);
    assert_eq!(shutdown_step(ms(7_699), 1, grace), ShutdownStep::Serve);
    assert_eq!(shutdown_step(ms(7_700), 1, grace), ShutdownStep::Exit);
    let grace = ms(8_000);
    assert!(accepts_streams(None, Some(ms(20_000)), grace));
    assert!(accepts_streams(Some(ms(2_500)), None, grace));
    assert!(!accepts_streams(Some(ms(2_501)), None, grace));
    assert_eq!(router_state(true, true), PeerState::Leaving);
    assert_eq!(router_state(false, true), PeerState::Ready);
    assert_eq!(router_state(false, false), PeerState::Starting);
}

#[test]
fn a_router_that_shuts_down_rejects_streams_that_it_would_cut_off() {
    let mut durations = StreamDurations::default();
    assert_eq!(durations.expected(), None);
    for duration in 1..=40 {
        durations.on_completed(ms(duration * 100));
    }
    // The longest stream took 4 s; the estimate allows a quarter more.
    let expected = durations.expected();
    assert_eq!(expected, Some(ms(5_000)));
    let grace = ms(7_000);
    assert!(accepts_streams(Some(ms(1_700)), expected, grace));
    assert!(!accepts_streams(Some(ms(1_701)), expected, grace));
    // Streams that take about the whole grace period are rejected at once. Short streams are rejected once callers have
    // had the time to switch to another address.
    assert!(!accepts_streams(Some(ms(1)), Some(ms(6_700)), grace));
    assert!(accepts_streams(Some(ms(2_500)), Some(ms(10)), grace));
    assert!(!accepts_streams(Some(ms(2_501)), Some(ms(10)), grace));
}

fn starting(age: Duration, peers: usize) -> StartupState {
    StartupState {
        is_seed: false,
        age,
        has_peers: peers > 0,
        peers,
        random: 0.5,
    }
}

#[test]
fn seeds_read_the_store_at_once_and_routers_of_small_fleets_after_a_delay() {
    let seed = StartupState {
        is_seed: true,
        ..starting(ms(0), 985)
    };
    assert_eq!(first_read(&seed), FirstRead::Now);
    assert_eq!(
        first_read(&starting(ms(0), 8)),
        FirstRead::NotBefore(ms(100))
    );
    assert_eq!(first_read(&starting(ms(100), 8)), FirstRead::Now);
}

#[test]
fn a_router_without_peers_reads_the_store_soon() {
    assert_eq!(
        first_read(&starting(ms(100), 0)),
        FirstRead::NotBefore(ms(250))
    );
    assert_eq!(first_read(&starting(ms(250), 0)), FirstRead::Now);
}

#[test]
fn in_a_large_fleet_few_routers_read_the_store_if_no_copy_arrives() {
    let read_decision = |random, age| {
        first_read(&StartupState {
            random,
            ..starting(age, 1_024)
        })
    };
    // The random number places three, then eight, then half of the routers before this one.
    assert_eq!(read_decision(3.0 / 1_024.0, ms(0)), FirstRead::Now);
    let doubled = FirstRead::NotBefore(ms(4_500));
    assert_eq!(read_decision(8.0 / 1_024.0, ms(300)), doubled);
    assert_eq!(read_decision(8.0 / 1_024.0, ms(4_500)), FirstRead::Now);
    assert_eq!(
        read_decision(0.5, ms(5_000)),
        FirstRead::NotBefore(ms(13_500))
    );
    assert_eq!(read_decision(0.5, ms(13_500)), FirstRead::Now);
}

/// Guards against resets of requests by upstreams, because the idle connections of all routers use up the number of
/// connections that an upstream accepts.
#[test]
fn all_routers_together_keep_fewer_idle_connections_than_an_upstream_accepts() {
    for routers in [1, 8, 60, 295, 986] {
        for max_connections in [1, 32, 110, 370, 1_800] {
            let idle = idle_connection_limit(max_connections, routers);
            assert!(idle <= MAX_IDLE_CONNECTIONS);
            assert!(
                idle * routers <= max_connections as usize,
                "{routers} {max_connections}"
            );
        }
    }
    assert_eq!(idle_connection_limit(1_800, 8), MAX_IDLE_CONNECTIONS);
    assert_eq!(idle_connection_limit(1_800, 986), 1);
    assert_eq!(idle_connection_limit(110, 8), 10);
    assert_eq!(idle_connection_limit(0, 986), MAX_IDLE_CONNECTIONS);
}
