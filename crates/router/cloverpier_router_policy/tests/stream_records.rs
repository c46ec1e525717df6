//! How routers remember which software version began a stream: which versions were listed, who holds the records, what
//! the replies of other routers prove.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::ReadyPeer;
use cloverpier_router_policy::stream_version::history::{
    MAX_CONFIRMATION_AGE, NEW_VERSION_HOLD, RECORD_TIME, STREAM_LIFETIME, VersionCounts,
};
use cloverpier_router_policy::stream_version::holders::{HOLDERS, HolderCandidates};
use cloverpier_router_policy::stream_version::lookup::{
    Lookup, LookupReply, LookupStep, UnknownOrigin,
};
use cloverpier_router_policy::stream_version::{OriginRecord, OriginRecords, StreamOrigin};
use quickcheck::quickcheck;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn service() -> ServiceName {
    ServiceName::new("drafts")
}

fn version(text: &str) -> StreamVersion {
    StreamVersion::Named(text.into())
}

fn upstream(index: u16, version: &str) -> Upstream {
    Upstream {
        name: UpstreamName::new(format!("engine-{index}")),
        service: service(),
        address: ([127, 0, 0, 1], 9_000 + index).into(),
        data_centre: "hall-a".into(),
        slots: 24,
        draining: false,
        start: Some(UpstreamStart {
            version: version.into(),
            start_time_ms: Some(1_000),
        }),
    }
}

/// A list with some upstreams of each version.
fn list(versions: &[(&str, u16)]) -> VersionCounts {
    let mut counts = VersionCounts::default();
    let mut index = 0;
    for (version, count) in versions {
        for _ in 0..*count {
            counts.add(&upstream(index, version));
            index += 1;
        }
    }
    counts
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + index))
}

fn peer(index: u16) -> ReadyPeer {
    ReadyPeer {
        peer: address(index),
        data_centre: DataCentre::new(format!("hall-{}", index % 4)),
        store_age: None,
    }
}

/// Whether a router with this history may claim that `v1` began all streams.
fn proves(history: &VersionHistory, confirmed_at: Instant, now: Instant) -> bool {
    let report = history.report(&service(), Some(confirmed_at), now);
    report.proven_version() == Some(&version("v1"))
}

/// A router that has read the store's marks and the list, both of which show one version.
fn settled(now: Instant) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.on_marks_read(&[], now);
    history.on_listed(&list(&[("v1", 4)]), 10, now);
    history
}

#[test]
fn a_claim_holds_for_less_time_than_a_new_version_is_held() {
    let start = Instant::now();
    let confirmed_at = start;
    let mut claiming = settled(start);
    let mut other = settled(start);
    // The new version appears at another router right after the store confirmed the list of the first one.
    other.on_listed(&list(&[("v1", 4), ("v2", 1)]), 11, start);
    for ms in (0..20_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        claiming.on_listed(&list(&[("v1", 4)]), 10, now);
        other.on_listed(&list(&[("v1", 4), ("v2", 1)]), 11, now);
        // The peer that claims has reported revision 10.
        let may_begin = other.held_for_streams(&service(), Some(10), now).is_empty();
        assert!(!(may_begin && proves(&claiming, confirmed_at, now)), "{ms}");
    }
    assert!(!proves(
        &claiming,
        confirmed_at,
        start + MAX_CONFIRMATION_AGE + SECOND
    ));
    let end = start + NEW_VERSION_HOLD;
    assert!(other.held_for_streams(&service(), Some(10), end).is_empty());
}

#[test]
fn a_version_that_all_routers_have_reported_is_held_until_the_store_can_have_its_record() {
    let now = Instant::now();
    let mut history = settled(now);
    history.on_listed(&list(&[("v1", 4), ("v2", 1)]), 11, now);
    let held = |lowest, at| history.held_for_streams(&service(), lowest, at);
    let before = now + RECORD_TIME - Duration::from_millis(1);
    for at in [now, before] {
        assert_eq!(held(Some(11), at), [version("v2")]);
    }
    let after = now + RECORD_TIME;
    assert_eq!(held(None, after), [version("v2")]);
    assert_eq!(held(Some(10), after), [version("v2")]);
    assert!(held(Some(11), after).is_empty());
}

#[test]
fn one_listed_version_proves_nothing_while_the_store_has_another_one_on_record() {
    let now = Instant::now();
    for (recorded, is_proven) in [
        (vec!["v1"], true),
        (vec!["v2"], false),
        (vec!["v2", "v1"], false),
    ] {
        let mut history = VersionHistory::default();
        history.on_listed(&list(&[("v1", 4)]), 11, now);
        let versions = recorded.iter().map(|name| version(name));
        history.on_versions_recorded(&service(), versions, now);
        history.on_marks_read(&[], now);
        assert_eq!(proves(&history, now, now), is_proven, "{recorded:?}");
        // A recorded version counts as long as a stream may last.
        let later = now + STREAM_LIFETIME;
        history.on_listed(&list(&[("v1", 4)]), 11, later);
        assert!(proves(&history, later, later), "{recorded:?}");
    }
}

#[test]
fn a_router_that_starts_among_several_versions_holds_all_but_the_one_with_most_upstreams() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    history.on_listed(&list(&[("v1", 1), ("v2", 5), ("v3", 2)]), 11, now);
    let mut held = history.held_for_streams(&service(), None, now);
    held.sort();
    assert_eq!(held, [version("v1"), version("v3")]);
}

#[test]
fn a_service_is_mixed_until_no_stream_of_the_former_version_can_last() {
    let start = Instant::now();
    let mut history = settled(start);
    history.on_listed(&list(&[("v1", 4), ("v2", 1)]), 11, start);
    assert!(history.is_mixed(&service()));
    let gone = start + SECOND;
    history.on_listed(&list(&[("v2", 4)]), 12, gone);
    let before = start + STREAM_LIFETIME - SECOND;
    history.on_listed(&list(&[("v2", 4)]), 12, before);
    assert!(history.is_mixed(&service()));
    assert_eq!(
        history.report(&service(), Some(before), before),
        VersionsReport::Several
    );
    let after = gone + STREAM_LIFETIME;
    history.on_listed(&list(&[("v2", 4)]), 12, after);
    assert!(!history.is_mixed(&service()));
    let report = history.report(&service(), Some(after), after);
    assert_eq!(report.proven_version(), Some(&version("v2")));
    // A version that returns is new again.
    history.on_listed(&list(&[("v1", 1), ("v2", 4)]), 13, after);
    assert_eq!(
        history.held_for_streams(&service(), None, after),
        [version("v1")]
    );
}

#[test]
fn a_router_without_the_past_proves_nothing_until_it_has_lived_long_enough() {
    let start = Instant::now();
    let mut history = VersionHistory::default();
    history.on_listed(&list(&[("v1", 4)]), 10, start);
    assert!(!proves(&history, start, start));
    let later = start + STREAM_LIFETIME;
    history.on_listed(&list(&[("v1", 4)]), 10, later);
    assert!(proves(&history, later, later));
}

#[test]
fn a_mark_in_the_store_makes_a_service_mixed_for_a_router_that_starts() {
    let start = Instant::now();
    let mut history = VersionHistory::default();
    history.on_marks_read(&[service()], start);
    history.on_listed(&list(&[("v1", 4)]), 10, start);
    assert!(history.is_mixed(&service()));
    assert!(!proves(&history, start, start));
    let later = start + STREAM_LIFETIME;
    history.on_listed(&list(&[("v1", 4)]), 10, later);
    assert!(proves(&history, later, later));
}

fn origin(index: u16, text: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceKey::of(&service()),
        upstream: Some(UpstreamKey::of(&upstream(index, text).name)),
        version: Some(version(text)),
        start_time_ms: None,
    }
}

fn stream(id: u64) -> StreamKey {
    StreamKey::new("account", &format!("request-{id}")).unwrap()
}

#[test]
fn a_stream_cannot_be_named_from_another_account_or_without_an_id() {
    assert_ne!(StreamKey::new("a", "1"), StreamKey::new("b", "1"));
    assert_ne!(StreamKey::new("ab", "c"), StreamKey::new("a", "bc"));
    assert_eq!(StreamKey::new("a", ""), None);
}

#[test]
fn records_expire_after_their_last_write_and_are_bounded() {
    let start = Instant::now();
    let mut records = OriginRecords::default();
    let record = |id| OriginRecord {
        stream: stream(id),
        origin: origin(0, "v1"),
    };
    records.write(record(1), start);
    records.write(record(1), start + STREAM_LIFETIME / 2);
    let late = start + STREAM_LIFETIME + SECOND;
    assert_eq!(records.get(stream(1), late), Some(&origin(0, "v1")));
    let gone = start + STREAM_LIFETIME / 2 + STREAM_LIFETIME;
    assert_eq!(records.get(stream(1), gone), None);
    for id in 0..40_000 {
        records.write(record(id), gone);
    }
    assert!(records.len() < 20_000);
    assert!(records.get(stream(39_999), gone).is_some());
}

#[test]
fn only_the_entry_of_the_process_that_began_a_stream_tells_its_version() {
    let now = Instant::now();
    let entry = |text, start_time_ms| {
        let start = UpstreamStart {
            version: text,
            start_time_ms: Some(start_time_ms),
        };
        Upstream {
            start: Some(start),
            ..upstream(0, "v1")
        }
    };
    let table_of = |entry: Upstream| {
        let mut table = UpstreamTable::default();
        table.apply_list(vec![entry], 1, now);
        table
    };
    let former = entry("v1".into(), 1_000);
    let mut table = table_of(former.clone());
    // The response with the first event states a later start than the entry.
    table.on_start(&former.name, Some(2_000));
    let origin = StreamOrigin::of_first_event(
        &service(),
        &former,
        table.by_key(UpstreamKey::of(&former.name)),
    );
    assert_eq!(origin.version_now(&table), None);
    assert_eq!(origin.version_now(&table_of(former)), None);
    let begun = table_of(entry("v2".into(), 2_000));
    assert_eq!(origin.version_now(&begun), Some(version("v2")));
    let next = table_of(entry("v3".into(), 3_000));
    assert_eq!(origin.version_now(&next), None);
}

#[test]
fn no_entry_tells_the_version_of_a_stream_of_a_process_with_two_versions() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    for (revision, text) in [(1, "v1"), (2, "v2")] {
        table.apply_list(vec![upstream(0, text)], revision, now);
    }
    let chosen = upstream(0, "v2");
    let state = table.get(&chosen.name);
    let origin = StreamOrigin::of_first_event(&service(), &chosen, state);
    let mut elsewhere = UpstreamTable::default();
    elsewhere.apply_list(vec![chosen], 2, now);
    assert_eq!(origin.version_now(&elsewhere), None);
}

#[test]
fn two_streams_of_one_name_have_no_known_version() {
    let now = Instant::now();
    let mut records = OriginRecords::default();
    let table = UpstreamTable::default();
    for text in ["v1", "v2", "v1"] {
        let origin = origin(0, text);
        records.write(
            OriginRecord {
                stream: stream(1),
                origin,
            },
            now,
        );
    }
    let held = records.get(stream(1), now).unwrap();
    assert_eq!(held.version_now(&table), None);
}

#[test]
fn an_origin_without_a_version_gets_it_from_the_list_and_loses_it_by_a_restart() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let mut origin = origin(0, "v1");
    origin.version = None;
    assert_eq!(origin.version_now(&table), None);
    table.apply_list(vec![upstream(0, "v2")], 1, now);
    assert_eq!(origin.version_now(&table), Some(version("v2")));
    // The recorded version and the listed one differ: the process may have changed before the first event.
    origin.version = Some(version("v1"));
    assert_eq!(origin.version_now(&table), None);
}

#[test]
fn holders_are_spread_over_data_centres_and_hardly_change_with_the_fleet() {
    let fleet: Vec<ReadyPeer> = (0..60).map(peer).collect();
    let mut load: HashMap<SocketAddr, usize> = HashMap::new();
    for id in 0..3_000 {
        let holders = HolderCandidates::new(&fleet).holders(stream(id));
        assert_eq!(holders.len(), HOLDERS);
        let first: HashSet<u16> = holders[..4]
            .iter()
            .map(|a| (a.port() - 7_000) % 4)
            .collect();
        assert_eq!(
            first.len(),
            4,
            "the first four are in different data centres"
        );
        let without: Vec<ReadyPeer> = fleet[1..].to_vec();
        let changed = HolderCandidates::new(&without).holders(stream(id));
        let kept = changed
            .iter()
            .filter(|holder| holders.contains(holder))
            .count();
        assert!(kept >= HOLDERS - 1);
        for holder in holders {
            *load.entry(holder).or_default() += 1;
        }
    }
    let mean = 3_000 * HOLDERS / 60;
    assert!(
        load.values()
            .all(|count| *count > mean / 2 && *count < mean * 2)
    );
}

fn single(confirmed_ms_ago: Option<u64>, single_for_ms: u64) -> VersionsReport {
    VersionsReport::Single {
        version: version("v1"),
        single_for_ms,
        confirmed_ms_ago,
    }
}

fn reply(origin: Option<StreamOrigin>, versions: VersionsReport) -> LookupReply {
    LookupReply { origin, versions }
}

#[test]
fn one_record_decides_whatever_others_know() {
    let queried = [address(1), address(2)];
    let mut lookup = Lookup::new(&queried, true);
    let own = lookup.on_reply(None, reply(None, single(None, u64::MAX)));
    assert_eq!(own, LookupStep::Wait);
    let first = lookup.on_reply(Some(address(1)), reply(None, VersionsReport::Several));
    assert_eq!(first, LookupStep::Wait);
    let found = reply(Some(origin(0, "v2")), VersionsReport::Several);
    let second = lookup.on_reply(Some(address(2)), found);
    assert_eq!(second, LookupStep::Found(origin(0, "v2")));
}

#[test]
fn a_recent_list_of_one_version_proves_it_and_others_do_not() {
    let proofs = [
        (single(Some(0), u64::MAX), true),
        (single(Some(7_500), 60_000), true),
        (single(Some(7_501), u64::MAX), false),
        (single(Some(0), 59_999), false),
        (single(None, u64::MAX), false),
        (VersionsReport::Several, false),
        (VersionsReport::Unlisted, false),
    ];
    for (report, is_proof) in proofs {
        let mut lookup = Lookup::new(&[address(1)], true);
        let step = lookup.on_reply(None, reply(None, report.clone()));
        assert_eq!(
            step == LookupStep::Single(version("v1")),
            is_proof,
            "{report:?}"
        );
    }
}

#[test]
fn the_reason_tells_whether_another_router_or_another_moment_may_help() {
    let reason = |is_named, replies: &[VersionsReport]| {
        let mut lookup = Lookup::new(&[address(1), address(2)], is_named);
        for (index, report) in replies.iter().enumerate() {
            let from = (index > 0).then(|| address(index as u16));
            lookup.on_reply(from, reply(None, report.clone()));
        }
        lookup.unknown_reason()
    };
    let old = || single(Some(60_000), u64::MAX);
    let several = || VersionsReport::Several;
    assert_eq!(reason(true, &[several()]), UnknownOrigin::NoReply);
    assert_eq!(
        reason(true, &[several(), several()]),
        UnknownOrigin::NotRecorded
    );
    assert_eq!(
        reason(true, &[old(), several()]),
        UnknownOrigin::NotRecorded
    );
    assert_eq!(reason(false, &[several()]), UnknownOrigin::NotNamed);
    assert_eq!(reason(true, &[old(), old()]), UnknownOrigin::Unproven);
    assert_eq!(reason(false, &[old(), old()]), UnknownOrigin::Unproven);
}

quickcheck! {
    /// Whatever order and repetitions records are written in, two versions never leave one of them in force.
    fn records_never_tell_one_of_two_versions(writes: Vec<(u8, bool)>) -> bool {
        let now = Instant::now();
        let table = UpstreamTable::default();
        let mut records = OriginRecords::default();
        for (index, is_second) in &writes {
            let text = if *is_second { "v2" } else { "v1" };
            let origin = origin(u16::from(index % 3), text);
            records.write(OriginRecord { stream: stream(1), origin }, now);
        }
        let versions: HashSet<bool> = writes.iter().map(|(_, is_second)| *is_second).collect();
        let known = records.get(stream(1), now).and_then(|o| o.version_now(&table));
        versions.len() < 2 || known.is_none()
    }
}
