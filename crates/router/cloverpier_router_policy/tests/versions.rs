//! From whom newer versions are fetched, and how many copies a router hands out.

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::version_fetch::{FetchSources, FetchStep, PeerVersion};
use cloverpier_router_policy::version_serving::{CopyPacing, CopyStep, LinkRate};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn peer(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

struct FetchHarness {
    sources: FetchSources,
    rng: fastrand::Rng,
    now: Instant,
}

impl FetchHarness {
    fn new() -> Self {
        Self {
            sources: FetchSources::default(),
            rng: fastrand::Rng::with_seed(1),
            now: Instant::now(),
        }
    }

    fn step(&mut self, known: u64, versions: &[u64]) -> FetchStep {
        let all_near = versions.iter().map(|version| (*version, true));
        self.step_of(known, all_near.collect())
    }

    /// Where some of the peers are in the own data centre.
    fn step_of(&mut self, known: u64, versions: Vec<(u64, bool)>) -> FetchStep {
        let peers = (1..).map(peer).zip(versions);
        let peers = peers.map(|(peer, (version, is_local))| PeerVersion {
            peer,
            version,
            is_local,
        });
        self.sources.step(known, peers, self.now, &mut self.rng)
    }
}

#[test]
fn versions_are_fetched_from_a_peer_with_the_newest() {
    let mut fetch = FetchHarness::new();
    assert_eq!(fetch.step(4, &[4, 7, 5]), FetchStep::Fetch(peer(2)));
    assert_eq!(fetch.step(7, &[4, 7, 5]), FetchStep::UpToDate);
    assert_eq!(fetch.step(0, &[]), FetchStep::UpToDate);
}

#[test]
fn a_busy_peer_is_left_alone_for_as_long_as_it_says() {
    let mut fetch = FetchHarness::new();
    fetch.sources.on_busy(peer(1), ms(80), fetch.now);
    assert_eq!(fetch.step(4, &[7, 7]), FetchStep::Fetch(peer(2)));
    // An older version is no substitute: the newest is a moment away.
    fetch.sources.on_busy(peer(2), ms(50), fetch.now);
    assert_eq!(fetch.step(4, &[7, 7, 6]), FetchStep::Wait(ms(50)));
    // Never without a pause.
    fetch.now += Duration::from_nanos(49_999_999);
    assert_eq!(fetch.step(4, &[7, 7, 6]), FetchStep::Wait(ms(1)));
    fetch.now += Duration::from_nanos(1);
    assert_eq!(fetch.step(4, &[7, 7, 6]), FetchStep::Fetch(peer(2)));
}

#[test]
fn a_peer_that_failed_is_avoided_while_another_has_something_newer() {
    let mut fetch = FetchHarness::new();
    fetch.sources.on_failed(peer(1), fetch.now);
    assert_eq!(fetch.step(4, &[7, 6]), FetchStep::Fetch(peer(2)));
    assert_eq!(fetch.step(4, &[7, 4]), FetchStep::Fetch(peer(1)));
    fetch.now += ms(1_000);
    assert_eq!(fetch.step(4, &[7, 6]), FetchStep::Fetch(peer(1)));
}

#[test]
fn small_copies_are_handed_out_at_once_and_large_ones_in_turn() {
    let link = LinkRate::from_mbps(10.0);
    // Half of 1.25 MB/s.
    assert_eq!(link.copy_time(62_500), ms(100));
    let now = Instant::now();
    let mut pacing = CopyPacing::default();
    let small = (0..70).map(|_| pacing.step(1_000, link, now));
    let handed_out = small.filter(|step| *step == CopyStep::Send).count();
    assert_eq!(handed_out, 32, "what passes in 50 ms, and one more");
    let mut pacing = CopyPacing::default();
    assert_eq!(pacing.step(62_500, link, now), CopyStep::Send);
    assert_eq!(pacing.step(62_500, link, now), CopyStep::Refuse(ms(50)));
    let later = now + ms(50);
    assert_eq!(pacing.step(62_500, link, later), CopyStep::Send);
    assert_eq!(pacing.step(62_500, link, later), CopyStep::Refuse(ms(100)));
}

#[test]
fn a_list_that_is_read_again_reaches_peers_as_changes() {
    let upstream = |name: &str, port: u16| Upstream {
        name: cloverpier_core::UpstreamName::new(name),
        service: cloverpier_core::ServiceName::new("drafts"),
        address: peer(port),
        data_centre: cloverpier_core::DataCentre::new("hall-a"),
        slots: 64,
        draining: false,
        start: None,
    };
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let first = vec![upstream("one", 1), upstream("two", 2), upstream("three", 3)];
    table.apply_list(first, 10, now);
    assert_eq!(
        table.changes_after(9),
        None,
        "nothing is known of the time before"
    );
    let mut drains = upstream("one", 1);
    drains.draining = true;
    let again = vec![drains.clone(), upstream("three", 3), upstream("four", 4)];
    table.apply_list(again, 20, now);
    let expected = vec![
        UpstreamChange::Gone(upstream("two", 2).name),
        UpstreamChange::Listed(drains),
        UpstreamChange::Listed(upstream("four", 4)),
    ];
    assert_eq!(table.changes_after(10), Some(expected));
    assert_eq!(table.changes_after(20), Some(Vec::new()));
}

#[test]
fn a_peer_of_the_own_data_centre_is_preferred() {
    let mut fetch = FetchHarness::new();
    let versions = vec![(7, false), (6, true), (7, false)];
    assert_eq!(fetch.step_of(4, versions), FetchStep::Fetch(peer(2)));
    // Where no wait is set, others are asked at once.
    assert_eq!(
        fetch.step_of(4, vec![(7, false), (4, true)]),
        FetchStep::Fetch(peer(1))
    );
}

#[test]
fn peers_elsewhere_are_asked_after_a_wait() {
    let mut fetch = FetchHarness::new();
    fetch.sources = FetchSources::with_remote_delay(ms(200));
    let far = || vec![(7, false), (4, true)];
    assert_eq!(fetch.step_of(4, far()), FetchStep::Wait(ms(200)));
    fetch.now += ms(150);
    assert_eq!(fetch.step_of(4, far()), FetchStep::Wait(ms(50)));
    fetch.now += ms(50);
    assert_eq!(fetch.step_of(4, far()), FetchStep::Fetch(peer(1)));
    // Once somebody near has it, the next wait is a whole one again.
    assert_eq!(fetch.step_of(4, vec![(7, true)]), FetchStep::Fetch(peer(1)));
    assert_eq!(fetch.step_of(7, vec![(8, false)]), FetchStep::Wait(ms(200)));
}
