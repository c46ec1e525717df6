//! The directory of routers, first heartbeats between new peers, the selection of store watchers, and prompt
//! locations.

use cloverpier_core::DataCentre;
use cloverpier_router_policy::heartbeat::{
    MENTIONED_TO_NEW_PEER, contacts_mentioned_peers, is_small_fleet,
};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::search_timeout;
use cloverpier_router_policy::store_watch::{
    OwnWatcherState, ReadyPeer, affects_watcher_roles, max_backoff, reported_store_age,
    watcher_role,
};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(1);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn entry(port: u16, state: PeerState, received_at: Instant) -> PeerEntry {
    PeerEntry {
        callers: address(port),
        data_centre: DataCentre::new("hall-a"),
        state,
        last_heartbeat: received_at,
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
    let listed = directory.addresses_for_callers(Some(address(10)), now, TIMEOUT);
    assert_eq!(listed, [address(11), address(10)]);
}

#[test]
fn a_router_without_live_peers_lists_all_peers() {
    let start = Instant::now();
    let mut directory = PeerTable::default();
    directory.on_heartbeat(address(1), entry(11, PeerState::Ready, start));
    let now = start + Duration::from_secs(5);
    let listed: HashSet<_> = directory
        .addresses_for_callers(Some(address(10)), now, TIMEOUT)
        .into_iter()
        .collect();
    assert_eq!(listed, HashSet::from([address(10), address(11)]));
}

/// Simulates a fleet whose routers all start at once. Each router sends a first heartbeat to three seeds, and
/// each first heartbeat names as many peers as it may. A router sends a first heartbeat to new peers that sent
/// it one or that were named, where the fleet size allows. Returns the highest number of first heartbeats that
/// one router sends.
fn most_first_heartbeats_of_one_router(fleet: u16) -> usize {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tables = vec![PeerTable::default(); usize::from(fleet)];
    let mut first_heartbeats = vec![0; usize::from(fleet)];
    let starts = (0..fleet).flat_map(|from| (0..3).map(move |seed| (from, seed)));
    let mut in_transit: VecDeque<(u16, u16)> = starts.filter(|(from, seed)| from != seed).collect();
    while let Some((from, to)) = in_transit.pop_front() {
        first_heartbeats[usize::from(from)] += 1;
        let mut known = tables[usize::from(from)].addresses();
        known.retain(|peer| *peer != address(to));
        let mentioned = rng.choose_multiple(known, MENTIONED_TO_NEW_PEER);
        let table = &mut tables[usize::from(to)];
        if !table.contains(address(from)) && is_small_fleet(table.count()) {
            in_transit.push_back((to, from));
        }
        table.on_heartbeat(address(from), entry(from, PeerState::Starting, now));
        for peer in mentioned {
            if contacts_mentioned_peers(table.count()) && table.on_mentioned(peer, now) {
                in_transit.push_back((to, peer.port()));
            }
        }
    }
    first_heartbeats.into_iter().max().unwrap_or(0)
}

#[test]
fn first_heartbeats_are_bounded_when_a_fleet_starts_at_once() {
    for fleet in [50, 300, 600] {
        let most = most_first_heartbeats_of_one_router(fleet);
        assert!(most <= 100, "{most} of {fleet}");
    }
}

#[test]
fn a_router_that_is_not_ready_does_not_list_itself() {
    let now = Instant::now();
    let mut directory = PeerTable::default();
    directory.on_heartbeat(address(1), entry(11, PeerState::Ready, now));
    assert_eq!(
        directory.addresses_for_callers(None, now, TIMEOUT),
        [address(11)]
    );
}

#[test]
fn mentioned_peers_are_kept_until_they_expire() {
    let start = Instant::now();
    let mut directory = PeerTable::default();
    assert!(directory.on_mentioned(address(1), start));
    assert!(
        !directory.on_mentioned(address(1), start),
        "mentioned already"
    );
    assert_eq!(directory.addresses(), [address(1)]);
    directory.on_heartbeat(address(1), entry(11, PeerState::Ready, start));
    assert_eq!(directory.addresses(), [address(1)]);
    directory.remove_expired(start + Duration::from_secs(90));
    assert!(directory.addresses().is_empty());
}

/// A router's inputs to the selection of watchers; its port determines its data centre.
fn own_watcher_state(address: SocketAddr, is_fresh: bool) -> OwnWatcherState {
    OwnWatcherState {
        address,
        data_centre: data_centre_of(address),
        is_fresh,
    }
}

fn data_centre_of(router: SocketAddr) -> DataCentre {
    DataCentre::new(format!("hall-{}", router.port() % 4))
}

/// The role of each router, if each reports the store age that `store_age` returns for it.
fn roles(
    routers: &[SocketAddr],
    store_age: impl Fn(SocketAddr) -> Option<Duration>,
) -> Vec<(SocketAddr, WatcherRole)> {
    let is_fresh = |router| store_age(router).is_some_and(|age| age < Duration::from_secs(1));
    let role = |own: &SocketAddr| {
        let others = routers.iter().filter(|r| *r != own);
        let live = others.map(|peer| ReadyPeer {
            peer: *peer,
            data_centre: data_centre_of(*peer),
            store_age: store_age(*peer),
        });
        let live: Vec<ReadyPeer> = live.collect();
        (
            *own,
            watcher_role(&own_watcher_state(*own, is_fresh(*own)), &live),
        )
    };
    routers.iter().map(role).collect()
}

fn watchers(routers: &[SocketAddr], store_age: Option<Duration>) -> HashSet<SocketAddr> {
    let roles = roles(routers, |_| store_age);
    let watching = roles.into_iter().filter(|(_, role)| role.watches());
    watching.map(|(router, _)| router).collect()
}

fn with_role(roles: &[(SocketAddr, WatcherRole)], role: WatcherRole) -> Vec<SocketAddr> {
    let of_role = roles.iter().filter(|(_, r)| *r == role);
    of_role.map(|(router, _)| *router).collect()
}

const FRESH: Option<Duration> = Some(Duration::from_millis(300));
const FAILING: Option<Duration> = Some(Duration::from_millis(2_600));

#[test]
fn three_of_many_routers_watch_the_store() {
    let routers: Vec<SocketAddr> = (1..=40).map(address).collect();
    assert_eq!(watchers(&routers, FRESH).len(), 3);
    assert_eq!(watchers(&routers[..2], FRESH).len(), 2);
}

#[test]
fn all_routers_watch_the_store_when_no_watcher_is_fresh() {
    let routers: Vec<SocketAddr> = (1..=10).map(address).collect();
    assert_eq!(watchers(&routers, FAILING).len(), 10);
    assert_eq!(watchers(&routers, None).len(), 10);
}

#[test]
fn the_chosen_watchers_are_in_different_data_centres() {
    let routers: Vec<SocketAddr> = (1..=40).map(address).collect();
    let chosen = with_role(&roles(&routers, |_| FRESH), WatcherRole::Chosen);
    let data_centres: HashSet<DataCentre> = chosen.iter().map(|r| data_centre_of(*r)).collect();
    assert_eq!(data_centres.len(), 3);
}

#[test]
fn one_fallback_replaces_each_watcher_that_does_not_reach_the_store() {
    let routers: Vec<SocketAddr> = (1..=40).map(address).collect();
    let chosen = with_role(&roles(&routers, |_| None), WatcherRole::Chosen);
    for failing in 0..3 {
        let age = |router| {
            let position = chosen.iter().position(|c| *c == router)?;
            if position < failing { FAILING } else { FRESH }
        };
        let fallbacks = with_role(&roles(&routers, age), WatcherRole::Fallback);
        assert_eq!(fallbacks.len(), failing);
        // Fallbacks that the store serves are enough: no other router becomes one.
        let age = |router| {
            if fallbacks.contains(&router) {
                FRESH
            } else {
                age(router)
            }
        };
        let final_fallbacks = with_role(&roles(&routers, age), WatcherRole::Fallback);
        assert_eq!(final_fallbacks, fallbacks);
        // Fallbacks that the store refuses, too, are replaced by as many others.
        let age = |router| {
            if fallbacks.contains(&router) {
                FAILING
            } else {
                age(router)
            }
        };
        let mut replacements = with_role(&roles(&routers, age), WatcherRole::Fallback);
        replacements.retain(|router| !fallbacks.contains(router));
        assert_eq!(replacements.len(), failing);
    }
}

#[test]
fn all_routers_become_fallbacks_when_no_watcher_reaches_the_store() {
    let routers: Vec<SocketAddr> = (1..=72).map(address).collect();
    let chosen = with_role(&roles(&routers, |_| None), WatcherRole::Chosen);
    let age = |router| chosen.contains(&router).then_some(FAILING).flatten();
    let all = roles(&routers, age);
    assert_eq!(with_role(&all, WatcherRole::Standby), Vec::new());
}

#[test]
fn a_watcher_whose_calls_fail_reports_a_stale_age_at_once() {
    let now = Instant::now();
    let age = |role, fails| reported_store_age(role, Some(now), fails, 72, now);
    assert_eq!(age(WatcherRole::Chosen, false), Some(Duration::ZERO));
    assert_eq!(age(WatcherRole::Chosen, true), FAILING);
    assert_eq!(age(WatcherRole::Fallback, true), FAILING);
    assert_eq!(age(WatcherRole::Standby, true), None);
    let never = reported_store_age(WatcherRole::Chosen, None, false, 72, now);
    assert_eq!(never, FAILING);
    assert!(affects_watcher_roles(FRESH, FAILING, 8));
    assert!(affects_watcher_roles(FAILING, None, 8));
    assert!(!affects_watcher_roles(FRESH, Some(Duration::ZERO), 8));
}

#[test]
fn the_backoff_of_fallbacks_grows_with_the_fleet() {
    let second = Duration::from_secs(1);
    assert_eq!(max_backoff(WatcherRole::Chosen, 72), second);
    assert_eq!(
        max_backoff(WatcherRole::Fallback, 72),
        Duration::from_millis(7_200)
    );
    assert_eq!(max_backoff(WatcherRole::Fallback, 1), second);
}

#[test]
fn the_last_engine_of_a_prompt_is_kept_for_a_limited_time() {
    let start = Instant::now();
    let mut prompt_locations = PromptLocations::default();
    let prompt = PromptKey(7);
    prompt_locations.on_read(prompt, UpstreamKey(1), start);
    prompt_locations.on_read(prompt, UpstreamKey(2), start + Duration::from_secs(20));
    let soon = start + Duration::from_secs(40);
    // The first entry has expired; the later one is still valid.
    prompt_locations.on_read(PromptKey(8), UpstreamKey(3), soon);
    assert_eq!(
        prompt_locations.location_of(prompt, soon),
        Some(UpstreamKey(2))
    );
    let late = start + Duration::from_secs(60);
    assert_eq!(prompt_locations.location_of(prompt, late), None);
}

#[test]
fn a_short_deadline_shortens_the_prompt_search() {
    let time_limit = search_timeout(Duration::from_millis(400));
    assert_eq!(time_limit, Duration::from_millis(40));
    let time_limit = search_timeout(Duration::from_secs(25));
    assert_eq!(time_limit, Duration::from_millis(250));
}
