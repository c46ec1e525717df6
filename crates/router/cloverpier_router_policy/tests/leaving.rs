//! Which upstreams get nothing as they have said that they leave, and who else must know.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::attempt_failure::AttemptFailure;
use cloverpier_router_policy::leaving::LAST_RESORT_FOR;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::statement::{Sender, sender_of_answer, sender_of_reply};
use quickcheck::quickcheck;
use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

const SERVICE: &str = "lookups";
const BORN_MS: u64 = 1_790_000_000_000;

fn upstream(name: &str, born_ms: Option<u64>) -> Upstream {
    Upstream {
        name: name.into(),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], 9_000 + u16::from(name.as_bytes()[0])).into(),
        data_centre: DataCentre::new("hall-a"),
        slots: 4,
        draining: false,
        start: Some(UpstreamStart {
            version: "v1".into(),
            born_ms,
        }),
    }
}

fn table(names: &[&str], now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let upstreams = names.iter().map(|name| upstream(name, Some(BORN_MS)));
    table.apply_list(upstreams.collect(), 1, now);
    table
}

/// The upstreams that get requests, of a hundred choices.
fn chosen(table: &UpstreamTable, now: Instant) -> BTreeSet<String> {
    let mut rng = fastrand::Rng::with_seed(1);
    let demand = Demand {
        service: &ServiceName::new(SERVICE),
        home: &DataCentre::new("hall-a"),
        load: Load {
            requests: 1,
            ..Load::default()
        },
        engine_memory: None,
        affinity: None,
        prompt_location: None,
        is_continuation: false,
        tried: &[],
        connected: &HashSet::new(),
        suspect_content: None,
        overcommit: false,
        reported: &ReportedLoad::default(),
        versions: &VersionRule::ANY,
        limits: &LimitedUpstreams::NONE,
        now,
    };
    let choices = (0..100).filter_map(|_| match choose_upstream(table, &demand, &mut rng) {
        Choice::Upstream(upstream) => Some(upstream.name.to_string()),
        Choice::None(_) => None,
    });
    choices.collect()
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn one_that_has_said_that_it_leaves_gets_nothing_whatever_its_entry_says() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    assert!(table.on_leaving(&"a".into(), None, now));
    assert!(!table.on_leaving(&"a".into(), Some(BORN_MS), now), "known");
    assert_eq!(chosen(&table, now), names(&["b"]));
    // Entries that were written before, or by one who knows less, say that it is ready.
    let again = vec![upstream("a", Some(BORN_MS)), upstream("b", Some(BORN_MS))];
    table.apply_list(again, 2, now);
    let changed = Upstream {
        slots: 9,
        ..upstream("a", Some(BORN_MS))
    };
    table.apply_changes(vec![UpstreamChange::Listed(changed)], 3, now);
    assert_eq!(chosen(&table, now), names(&["b"]));
}

#[test]
fn it_is_remembered_though_its_entry_comes_and_goes() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    table.on_leaving(&"a".into(), None, now);
    table.apply_changes(vec![UpstreamChange::Gone("a".into())], 2, now);
    // Long enough for the entry to be forgotten.
    let later = now + Duration::from_secs(60);
    let other = UpstreamChange::Listed(upstream("b", Some(BORN_MS)));
    table.apply_changes(vec![other], 3, later);
    assert!(table.get(&"a".into()).is_none());
    let back = UpstreamChange::Listed(upstream("a", Some(BORN_MS)));
    table.apply_changes(vec![back], 4, later);
    assert_eq!(chosen(&table, later), names(&["b"]));
}

#[test]
fn a_later_start_under_the_same_name_serves() {
    let now = Instant::now();
    let mut listed = table(&["a", "b"], now);
    listed.on_leaving(&"a".into(), None, now);
    let next = upstream("a", Some(BORN_MS + 1));
    listed.apply_changes(vec![UpstreamChange::Listed(next)], 2, now);
    assert_eq!(chosen(&listed, now), names(&["a", "b"]));
    // The same where an answer names the start before the list does.
    let mut answered = table(&["a", "b"], now);
    answered.on_leaving(&"a".into(), None, now);
    answered.on_start(&"a".into(), Some(BORN_MS + 1));
    assert_eq!(chosen(&answered, now), names(&["a", "b"]));
    // What a peer was told of the former start changes nothing.
    let report = LeavingReport {
        upstream: UpstreamKey::of(&"a".into()),
        born_ms: Some(BORN_MS),
        age_ms: 30,
    };
    assert!(answered.on_peer_leavings(&[report], now).is_empty());
    assert_eq!(chosen(&answered, now), names(&["a", "b"]));
    // And that start may leave, too.
    assert!(answered.on_leaving(&"a".into(), Some(BORN_MS + 1), now));
    assert_eq!(chosen(&answered, now), names(&["b"]));
}

#[test]
fn a_peer_may_tell_of_it_before_the_list_names_it() {
    let now = Instant::now();
    let mut told = table(&["b"], now);
    let report = LeavingReport {
        upstream: UpstreamKey::of(&"a".into()),
        born_ms: None,
        age_ms: 0,
    };
    assert!(told.on_peer_leavings(&[report], now).is_empty(), "unknown");
    let listed = UpstreamChange::Listed(upstream("a", Some(BORN_MS)));
    told.apply_changes(vec![listed], 2, now);
    assert_eq!(chosen(&told, now), names(&["b"]));
}

#[test]
fn the_last_ones_serve_for_a_moment_after_they_have_said_so() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    table.on_leaving(&"a".into(), None, now);
    let later = now + LAST_RESORT_FOR / 2;
    table.on_leaving(&"b".into(), None, later);
    assert_eq!(chosen(&table, later), names(&["a", "b"]));
    // Each from when it has said so.
    assert_eq!(chosen(&table, now + LAST_RESORT_FOR), names(&["b"]));
    assert_eq!(chosen(&table, later + LAST_RESORT_FOR), names(&[]));
    // A suspected one that stays comes before them.
    table.apply_changes(
        vec![UpstreamChange::Listed(upstream("c", Some(BORN_MS)))],
        2,
        later,
    );
    table.suspect(&"c".into(), later);
    assert_eq!(chosen(&table, later), names(&["c"]));
}

#[test]
fn how_long_ago_it_was_said_travels_with_the_news() {
    let now = Instant::now();
    let mut first = table(&["a"], now);
    first.on_leaving(&"a".into(), None, now);
    let told_at = now + LAST_RESORT_FOR / 2;
    let reports = first.leavings(told_at);
    let mut second = table(&["a"], told_at);
    assert_eq!(second.on_peer_leavings(&reports, told_at).len(), 1);
    // Otherwise each router that hears of it late would serve the longer.
    assert_eq!(chosen(&second, told_at), names(&["a"]));
    assert_eq!(chosen(&second, now + LAST_RESORT_FOR), names(&[]));
}

#[test]
fn whose_statement_it_is() {
    let asked: UpstreamName = "a".into();
    let said = |name: Option<&str>| UpstreamStatement {
        name: name.map(Into::into),
        is_leaving: true,
        ..UpstreamStatement::default()
    };
    let other = Sender::Other("b".into());
    assert_eq!(sender_of_answer(&asked, &said(None)), Sender::Asked);
    assert_eq!(sender_of_answer(&asked, &said(Some("a"))), Sender::Asked);
    assert_eq!(sender_of_answer(&asked, &said(Some("b"))), other);
    // Only the upstream that a request names runs it, so whatever else counts is its own.
    let reply = |verdict, name| sender_of_reply(&asked, &said(name), &verdict);
    assert_eq!(reply(Ok(()), None), Sender::Asked);
    let refused = Err(AttemptFailure::NotRun { status: 503 });
    assert_eq!(reply(refused, None), Sender::Asked);
    assert_eq!(reply(Err(AttemptFailure::Unsigned), None), Sender::Asked);
    // Another process turns it down, and may say who it is.
    let misdirected = || Err(AttemptFailure::Misdirected);
    assert_eq!(reply(misdirected(), None), Sender::Unknown);
    assert_eq!(reply(misdirected(), Some("a")), Sender::Unknown);
    assert_eq!(reply(misdirected(), Some("b")), other);
    // Surplus bytes belong to nobody.
    let surplus = Err(AttemptFailure::RequestIdMismatch);
    assert_eq!(reply(surplus, Some("a")), Sender::Unknown);
}

quickcheck! {
    /// Routers that are told the same, in whatever order and however often, believe the same.
    fn the_order_of_news_changes_nothing(news: Vec<(u8, Option<u8>)>, again: Vec<u8>) -> bool {
        let now = Instant::now();
        let reports: Vec<LeavingReport> = news
            .iter()
            .map(|(name, born)| LeavingReport {
                upstream: UpstreamKey::of(&["a", "b", "c"][usize::from(*name) % 3].into()),
                // Where an upstream says when it started, it always does.
                born_ms: born.map(|born| BORN_MS + u64::from(born % 3)).filter(|_| name % 3 != 0),
                age_ms: 10,
            })
            .filter(|report| report.born_ms.is_some() || report.upstream == UpstreamKey::of(&"a".into()))
            .collect();
        let repeated: Vec<LeavingReport> = again
            .iter()
            .filter_map(|at| reports.get(usize::from(*at) % reports.len().max(1)).copied())
            .collect();
        let mut forward = table(&["a", "b", "c"], now);
        forward.on_peer_leavings(&reports, now);
        let mut backward = table(&["a", "b", "c"], now);
        backward.on_peer_leavings(&repeated, now);
        for report in reports.iter().rev() {
            backward.on_peer_leavings(&[*report], now);
        }
        let later = now + LAST_RESORT_FOR;
        chosen(&forward, later) == chosen(&backward, later)
    }
}
