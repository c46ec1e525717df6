//! Fetching newer versions from peers, pacing of configuration copies, and changes between two lists of upstreams.

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
        let all_local = versions.iter().map(|version| (*version, true));
        self.step_with_locality(known, all_local.collect())
    }

    /// Decides a step with one peer for each entry of `versions`: the version, and whether the peer is local.
    fn step_with_locality(&mut self, known: u64, versions: Vec<(u64, bool)>) -> FetchStep {
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
fn the_newest_version_is_fetched() {
    let mut fetch = FetchHarness::new();
    assert_eq!(fetch.step(4, &[4, 7, 5]), FetchStep::Fetch(peer(2)));
    assert_eq!(fetch.step(7, &[4, 7, 5]), FetchStep::UpToDate);
    assert_eq!(fetch.step(0, &[]), FetchStep::UpToDate);
}

#[test]
fn a_busy_peer_is_not_used_before_the_time_that_it_gave() {
    let mut fetch = FetchHarness::new();
    fetch.sources.on_busy(peer(1), ms(80), fetch.now);
    assert_eq!(fetch.step(4, &[7, 7]), FetchStep::Fetch(peer(2)));
    // While the peers with the newest version are busy, no older version is fetched.
    fetch.sources.on_busy(peer(2), ms(50), fetch.now);
    assert_eq!(fetch.step(4, &[7, 7, 6]), FetchStep::Wait(ms(50)));
    // A wait is never shorter than 1 ms, the resolution of the timers.
    fetch.now += Duration::from_nanos(49_999_999);
    assert_eq!(fetch.step(4, &[7, 7, 6]), FetchStep::Wait(ms(1)));
    fetch.now += Duration::from_nanos(1);
    assert_eq!(fetch.step(4, &[7, 7, 6]), FetchStep::Fetch(peer(2)));
}

#[test]
fn a_peer_that_failed_is_avoided_while_another_has_a_newer_version() {
    let mut fetch = FetchHarness::new();
    fetch.sources.on_failed(peer(1), fetch.now);
    assert_eq!(fetch.step(4, &[7, 6]), FetchStep::Fetch(peer(2)));
    assert_eq!(fetch.step(4, &[7, 4]), FetchStep::Fetch(peer(1)));
    fetch.now += ms(1_000);
    assert_eq!(fetch.step(4, &[7, 6]), FetchStep::Fetch(peer(1)));
}

#[test]
fn small_copies_are_sent_at_once_and_large_ones_one_after_the_other() {
    let link = LinkRate::from_mbps(10.0);
    // Copies may use half of the bandwidth of 1.25 MB/s.
    assert_eq!(link.copy_time(62_500), ms(100));
    let now = Instant::now();
    let mut pacing = CopyPacing::default();
    let small_copies = (0..70).map(|_| pacing.step(1_000, link, now));
    let sent = small_copies.filter(|step| *step == CopyStep::Send).count();
    assert_eq!(
        sent, 32,
        "the copies that the link transmits in 50 ms, and one more"
    );
    let mut pacing = CopyPacing::default();
    assert_eq!(pacing.step(62_500, link, now), CopyStep::Send);
    assert_eq!(pacing.step(62_500, link, now), CopyStep::Refuse(ms(50)));
    let later = now + ms(50);
    assert_eq!(pacing.step(62_500, link, later), CopyStep::Send);
    assert_eq!(pacing.step(62_500, link, later), CopyStep::Refuse(ms(100)));
}

fn upstream(name: &str, port: u16) -> Upstream {
    Upstream {
        name: cloverpier_core::UpstreamName::new(name),
        service: cloverpier_core::ServiceName::new("drafts"),
        address: peer(port),
        data_centre: cloverpier_core::DataCentre::new("hall-a"),
        slots: 64,
        draining: false,
        start: None,
    }
}

#[test]
fn a_second_list_is_available_to_peers_as_changes() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let first_list = vec![upstream("one", 1), upstream("two", 2), upstream("three", 3)];
    table.apply_list(first_list, 10, now);
    assert_eq!(
        table.changes_after(9),
        None,
        "there is no record of changes before the first list"
    );
    let mut draining_upstream = upstream("one", 1);
    draining_upstream.draining = true;
    let second_list = vec![
        draining_upstream.clone(),
        upstream("three", 3),
        upstream("four", 4),
    ];
    table.apply_list(second_list, 20, now);
    let expected = vec![
        UpstreamChange::Gone(upstream("two", 2).name),
        UpstreamChange::Listed(draining_upstream),
        UpstreamChange::Listed(upstream("four", 4)),
    ];
    assert_eq!(table.changes_after(10), Some(expected));
    assert_eq!(table.changes_after(20), Some(Vec::new()));
}

#[test]
fn a_peer_that_knows_more_than_the_list_before_gets_the_second_list_whole() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.apply_list(vec![upstream("one", 1)], 10, now);
    // The watch of this router is deaf. A peer hears that "two" is listed, at 12; it is removed at 19.
    table.apply_list(vec![upstream("one", 1)], 20, now);
    assert_eq!(table.changes_after(10), Some(Vec::new()));
    for inside in [11, 12, 19] {
        assert_eq!(table.changes_after(inside), None, "{inside}");
    }
    let listed = vec![UpstreamChange::Listed(upstream("three", 3))];
    table.apply_changes(listed.clone(), 25, now);
    assert_eq!(table.changes_after(12), None);
    assert_eq!(table.changes_after(20), Some(listed.clone()));
    // The changes of a watch are complete from wherever a peer stands.
    assert_eq!(table.changes_after(22), Some(listed));
}

#[test]
fn a_peer_in_the_same_data_centre_is_preferred() {
    let mut fetch = FetchHarness::new();
    let versions = vec![(7, false), (6, true), (7, false)];
    assert_eq!(
        fetch.step_with_locality(4, versions),
        FetchStep::Fetch(peer(2))
    );
    // Without a delay, a version that only remote peers have is fetched at once.
    assert_eq!(
        fetch.step_with_locality(4, vec![(7, false), (4, true)]),
        FetchStep::Fetch(peer(1))
    );
}

#[test]
fn peers_in_other_data_centres_are_used_after_a_delay() {
    let mut fetch = FetchHarness::new();
    fetch.sources = FetchSources::with_remote_delay(ms(200));
    let only_remote = || vec![(7, false), (4, true)];
    assert_eq!(
        fetch.step_with_locality(4, only_remote()),
        FetchStep::Wait(ms(200))
    );
    fetch.now += ms(150);
    assert_eq!(
        fetch.step_with_locality(4, only_remote()),
        FetchStep::Wait(ms(50))
    );
    fetch.now += ms(50);
    assert_eq!(
        fetch.step_with_locality(4, only_remote()),
        FetchStep::Fetch(peer(1))
    );
    // After a local peer had a newer version, the delay starts again.
    assert_eq!(
        fetch.step_with_locality(4, vec![(7, true)]),
        FetchStep::Fetch(peer(1))
    );
    assert_eq!(
        fetch.step_with_locality(7, vec![(8, false)]),
        FetchStep::Wait(ms(200))
    );
}
