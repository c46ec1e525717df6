//! What routers know of each other: the directory, and who watches the store.

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::search_timeout;
use cloverpier_router_policy::store_watch::{ReadyPeer, max_backoff, watcher_role};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const WITHIN: Duration = Duration::from_secs(1);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn entry(port: u16, state: PeerState, heard: Instant) -> PeerEntry {
    PeerEntry {
        callers: address(port),
        state,
        last_heartbeat: heard,
        configuration_version: 1,
        upstreams_revision: 1,
        store_age: None,
        budget_use: Vec::new(),
    }
}

#[test]
fn only_ready_and_live_routers_are_listed() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut directory = PeerTable::default();
    directory.on_heartbeat(address(1), entry(11, PeerState::Ready, now));
    directory.on_heartbeat(address(2), entry(12, PeerState::Leaving, now));
    directory.on_heartbeat(address(3), entry(13, PeerState::Starting, now));
    directory.on_heartbeat(address(4), entry(14, PeerState::Ready, start));
    let listed = directory.addresses_for_callers(Some(address(10)), now, WITHIN);
    assert_eq!(listed, [address(11), address(10)]);
}

#[test]
fn a_router_that_hears_nobody_lists_all_that_it_knows() {
    let start = Instant::now();
    let mut directory = PeerTable::default();
    directory.on_heartbeat(address(1), entry(11, PeerState::Ready, start));
    let now = start + Duration::from_secs(5);
    let listed: HashSet<_> = directory
        .addresses_for_callers(Some(address(10)), now, WITHIN)
        .into_iter()
        .collect();
    assert_eq!(listed, HashSet::from([address(10), address(11)]));
}

#[test]
fn a_router_that_is_not_ready_lists_others() {
    let now = Instant::now();
    let mut directory = PeerTable::default();
    directory.on_heartbeat(address(1), entry(11, PeerState::Ready, now));
    assert_eq!(
        directory.addresses_for_callers(None, now, WITHIN),
        [address(11)]
    );
}

#[test]
fn named_peers_are_told_until_they_are_heard_or_forgotten() {
    let start = Instant::now();
    let mut directory = PeerTable::default();
    assert!(directory.on_mentioned(address(1), start));
    assert!(!directory.on_mentioned(address(1), start), "named already");
    assert_eq!(directory.addresses(), [address(1)]);
    directory.on_heartbeat(address(1), entry(11, PeerState::Ready, start));
    assert_eq!(directory.addresses(), [address(1)]);
    directory.forget_old(start + Duration::from_secs(90));
    assert!(directory.addresses().is_empty());
}

/// The routers that watch the store when all hear each other.
fn followers(routers: &[SocketAddr], store_age: Option<Duration>) -> Vec<SocketAddr> {
    let follows = |own: &SocketAddr| {
        let others = routers.iter().filter(|r| *r != own);
        let live: Vec<ReadyPeer> = others
            .map(|peer| ReadyPeer {
                peer: *peer,
                store_age,
            })
            .collect();
        watcher_role(*own, &live).watches()
    };
    routers.iter().copied().filter(|r| follows(r)).collect()
}

#[test]
fn three_of_many_routers_follow_the_store() {
    let routers: Vec<SocketAddr> = (1..=40).map(address).collect();
    let fresh = Some(Duration::from_millis(300));
    assert_eq!(followers(&routers, fresh).len(), 3);
    assert_eq!(followers(&routers[..2], fresh).len(), 2);
}

#[test]
fn all_follow_the_store_when_no_follower_has_a_fresh_word() {
    let routers: Vec<SocketAddr> = (1..=10).map(address).collect();
    assert_eq!(followers(&routers, Some(Duration::from_secs(3))).len(), 10);
    assert_eq!(followers(&routers, None).len(), 10);
}

#[test]
fn routers_take_turns_at_a_store_that_answers_nobody() {
    let routers: Vec<SocketAddr> = (1..=72).map(address).collect();
    let pause_of = |own: &SocketAddr| {
        let others = routers.iter().filter(|r| *r != own);
        max_backoff(*own, &others.copied().collect::<Vec<_>>())
    };
    let pauses: Vec<Duration> = routers.iter().map(pause_of).collect();
    let second = Duration::from_secs(1);
    assert_eq!(pauses.iter().filter(|p| **p == second).count(), 3);
    let calls_a_second: f64 = pauses.iter().map(|p| 1.0 / p.as_secs_f64()).sum();
    assert!(calls_a_second < 13.0, "{calls_a_second}");
    assert_eq!(max_backoff(address(1), &[]), second);
}

#[test]
fn the_prompts_last_engine_is_remembered_for_a_while() {
    let start = Instant::now();
    let mut prompt_locations = PromptLocations::default();
    let prompt = PromptKey(7);
    prompt_locations.on_read(prompt, UpstreamKey(1), start);
    prompt_locations.on_read(prompt, UpstreamKey(2), start + Duration::from_secs(20));
    let soon = start + Duration::from_secs(40);
    // The first entry is over; the later one stands.
    prompt_locations.on_read(PromptKey(8), UpstreamKey(3), soon);
    assert_eq!(
        prompt_locations.location_of(prompt, soon),
        Some(UpstreamKey(2))
    );
    let late = start + Duration::from_secs(60);
    assert_eq!(prompt_locations.location_of(prompt, late), None);
}

#[test]
fn a_request_with_little_time_does_not_wait_for_a_search() {
    let time_limit = search_timeout(Duration::from_millis(400));
    assert_eq!(time_limit, Duration::from_millis(40));
    let time_limit = search_timeout(Duration::from_secs(25));
    assert_eq!(time_limit, Duration::from_millis(250));
}
