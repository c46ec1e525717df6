//! Upstreams that announce in a response that they leave: which requests they still get, and how the
//! announcement reaches other routers.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::attempt_failure::AttemptFailure;
use cloverpier_router_policy::leaving::LAST_RESORT_PERIOD;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::statement::{
    Sender, sender_of_query_response, sender_of_request_response,
};
use quickcheck::quickcheck;
use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

const SERVICE: &str = "lookups";
const START_TIME_MS: u64 = 1_790_000_000_000;

fn upstream(name: &str, start_time_ms: Option<u64>) -> Upstream {
    Upstream {
        name: name.into(),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], 9_000 + u16::from(name.as_bytes()[0])).into(),
        data_centre: DataCentre::new("hall-a"),
        slots: 4,
        draining: false,
        start: Some(UpstreamStart {
            version: "v1".into(),
            start_time_ms,
        }),
    }
}

fn table(names: &[&str], now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let upstreams = names.iter().map(|name| upstream(name, Some(START_TIME_MS)));
    table.apply_list(upstreams.collect(), 1, now);
    table
}

/// The names of the upstreams that a hundred requests are sent to.
fn chosen_names(table: &UpstreamTable, now: Instant) -> BTreeSet<String> {
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

fn set_of(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_leaving_upstream_gets_no_requests_whatever_its_entry_contains() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    assert!(table.on_leaving(&"a".into(), None, now));
    assert!(
        !table.on_leaving(&"a".into(), Some(START_TIME_MS), now),
        "the announcement is known already"
    );
    assert_eq!(chosen_names(&table, now), set_of(&["b"]));
    // Entries that are out of date, or from a writer with older information, list it as ready.
    let outdated = vec![
        upstream("a", Some(START_TIME_MS)),
        upstream("b", Some(START_TIME_MS)),
    ];
    table.apply_list(outdated, 2, now);
    let changed = Upstream {
        slots: 9,
        ..upstream("a", Some(START_TIME_MS))
    };
    table.apply_changes(vec![UpstreamChange::Listed(changed)], 3, now);
    assert_eq!(chosen_names(&table, now), set_of(&["b"]));
}

#[test]
fn an_announcement_is_kept_while_the_entry_is_removed_and_added_again() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    table.on_leaving(&"a".into(), None, now);
    table.apply_changes(vec![UpstreamChange::Gone("a".into())], 2, now);
    // Long enough for the table to drop the upstream's state.
    let later = now + Duration::from_secs(60);
    let other = UpstreamChange::Listed(upstream("b", Some(START_TIME_MS)));
    table.apply_changes(vec![other], 3, later);
    assert!(table.get(&"a".into()).is_none());
    let listed_again = UpstreamChange::Listed(upstream("a", Some(START_TIME_MS)));
    table.apply_changes(vec![listed_again], 4, later);
    assert_eq!(chosen_names(&table, later), set_of(&["b"]));
}

#[test]
fn a_later_incarnation_under_the_same_name_gets_requests() {
    let now = Instant::now();
    let mut listed = table(&["a", "b"], now);
    listed.on_leaving(&"a".into(), None, now);
    let next = upstream("a", Some(START_TIME_MS + 1));
    listed.apply_changes(vec![UpstreamChange::Listed(next)], 2, now);
    assert_eq!(chosen_names(&listed, now), set_of(&["a", "b"]));
    // The same if a response contains the start time before the list does.
    let mut responded = table(&["a", "b"], now);
    responded.on_leaving(&"a".into(), None, now);
    responded.on_start(&"a".into(), Some(START_TIME_MS + 1));
    assert_eq!(chosen_names(&responded, now), set_of(&["a", "b"]));
    // A peer's report about the earlier incarnation has no effect.
    let report = LeavingReport {
        upstream: UpstreamKey::of(&"a".into()),
        start_time_ms: Some(START_TIME_MS),
        age_ms: 30,
    };
    assert!(responded.on_peer_leaving_reports(&[report], now).is_empty());
    assert_eq!(chosen_names(&responded, now), set_of(&["a", "b"]));
    // The later incarnation may leave, too.
    assert!(responded.on_leaving(&"a".into(), Some(START_TIME_MS + 1), now));
    assert_eq!(chosen_names(&responded, now), set_of(&["b"]));
}

#[test]
fn a_peers_report_counts_even_if_it_arrives_before_the_entry() {
    let now = Instant::now();
    let mut informed = table(&["b"], now);
    let report = LeavingReport {
        upstream: UpstreamKey::of(&"a".into()),
        start_time_ms: None,
        age_ms: 0,
    };
    assert!(
        informed.on_peer_leaving_reports(&[report], now).is_empty(),
        "the table does not contain the upstream"
    );
    let listed = UpstreamChange::Listed(upstream("a", Some(START_TIME_MS)));
    informed.apply_changes(vec![listed], 2, now);
    assert_eq!(chosen_names(&informed, now), set_of(&["b"]));
}

#[test]
fn the_last_upstreams_of_a_service_get_requests_for_a_while_after_their_announcements() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    table.on_leaving(&"a".into(), None, now);
    let later = now + LAST_RESORT_PERIOD / 2;
    table.on_leaving(&"b".into(), None, later);
    assert_eq!(chosen_names(&table, later), set_of(&["a", "b"]));
    // The period begins with each upstream's own announcement.
    assert_eq!(
        chosen_names(&table, now + LAST_RESORT_PERIOD),
        set_of(&["b"])
    );
    assert_eq!(
        chosen_names(&table, later + LAST_RESORT_PERIOD),
        set_of(&[])
    );
    // A suspected upstream that is not leaving is preferred.
    table.apply_changes(
        vec![UpstreamChange::Listed(upstream("c", Some(START_TIME_MS)))],
        2,
        later,
    );
    table.suspect(&"c".into(), later);
    assert_eq!(chosen_names(&table, later), set_of(&["c"]));
}

#[test]
fn a_report_contains_the_age_of_the_announcement() {
    let now = Instant::now();
    let mut first = table(&["a"], now);
    first.on_leaving(&"a".into(), None, now);
    let reported_at = now + LAST_RESORT_PERIOD / 2;
    let reports = first.leaving_reports(reported_at);
    let mut second = table(&["a"], reported_at);
    assert_eq!(
        second.on_peer_leaving_reports(&reports, reported_at).len(),
        1
    );
    // Without the age, a router that receives the report late would send requests for longer.
    assert_eq!(chosen_names(&second, reported_at), set_of(&["a"]));
    assert_eq!(chosen_names(&second, now + LAST_RESORT_PERIOD), set_of(&[]));
}

#[test]
fn statements_are_attributed_to_the_upstream_that_sent_them() {
    let addressee: UpstreamName = "a".into();
    let statement = |name: Option<&str>| UpstreamStatement {
        name: name.map(Into::into),
        is_leaving: true,
        ..UpstreamStatement::default()
    };
    let other = Sender::Other("b".into());
    assert_eq!(
        sender_of_query_response(&addressee, &statement(None)),
        Sender::Addressee
    );
    assert_eq!(
        sender_of_query_response(&addressee, &statement(Some("a"))),
        Sender::Addressee
    );
    assert_eq!(
        sender_of_query_response(&addressee, &statement(Some("b"))),
        other
    );
    // Only the upstream named in a request executes it, so a response to the request that does not
    // reject it as misdirected is from that upstream.
    let sender_of =
        |validity, name| sender_of_request_response(&addressee, &statement(name), &validity);
    assert_eq!(sender_of(Ok(()), None), Sender::Addressee);
    let refused = Err(AttemptFailure::NotRun { status: 503 });
    assert_eq!(sender_of(refused, None), Sender::Addressee);
    assert_eq!(
        sender_of(Err(AttemptFailure::Unsigned), None),
        Sender::Addressee
    );
    // Another process rejects the request and may include its own name.
    let misdirected = || Err(AttemptFailure::Misdirected);
    assert_eq!(sender_of(misdirected(), None), Sender::Unknown);
    assert_eq!(sender_of(misdirected(), Some("a")), Sender::Unknown);
    assert_eq!(sender_of(misdirected(), Some("b")), other);
    // The sender of a response to another request is unknown.
    let other_request = Err(AttemptFailure::RequestIdMismatch);
    assert_eq!(sender_of(other_request, Some("a")), Sender::Unknown);
}

quickcheck! {
    /// Routers that receive the same reports, in any order and any number of times, have the same state.
    fn the_order_and_repetition_of_reports_have_no_effect(draws: Vec<(u8, Option<u8>)>, again: Vec<u8>) -> bool {
        let now = Instant::now();
        let reports: Vec<LeavingReport> = draws
            .iter()
            .map(|(name, start_offset_ms)| LeavingReport {
                upstream: UpstreamKey::of(&["a", "b", "c"][usize::from(*name) % 3].into()),
                // An upstream reports a start time in all its responses or in none.
                start_time_ms: start_offset_ms.map(|offset| START_TIME_MS + u64::from(offset % 3)).filter(|_| name % 3 != 0),
                age_ms: 10,
            })
            .filter(|report| report.start_time_ms.is_some() || report.upstream == UpstreamKey::of(&"a".into()))
            .collect();
        let repeated: Vec<LeavingReport> = again
            .iter()
            .filter_map(|at| reports.get(usize::from(*at) % reports.len().max(1)).copied())
            .collect();
        let mut forward = table(&["a", "b", "c"], now);
        forward.on_peer_leaving_reports(&reports, now);
        let mut backward = table(&["a", "b", "c"], now);
        backward.on_peer_leaving_reports(&repeated, now);
        for report in reports.iter().rev() {
            backward.on_peer_leaving_reports(&[*report], now);
        }
        let later = now + LAST_RESORT_PERIOD;
        chosen_names(&forward, later) == chosen_names(&backward, later)
    }
}
