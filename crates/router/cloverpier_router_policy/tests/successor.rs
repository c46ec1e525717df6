//! Successors: processes at the addresses of dead upstreams that get requests before the platform's list
//! contains them.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::successor::{
    is_liveness_query_due, must_be_same_service, successor_deadline,
};
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

const ADDRESS_REUSE: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(name: &str, port: u16) -> Upstream {
    Upstream {
        name: UpstreamName::new(name),
        service: ServiceName::new("drafts"),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("hall-a"),
        slots: 4,
        draining: false,
        start: None,
    }
}

/// A table that lists "former" at port 9000 and "other" at port 9001.
fn table(now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let listed = vec![upstream("former", 9_000), upstream("other", 9_001)];
    table.apply_list(listed, 1, now);
    table
}

fn is_usable(table: &UpstreamTable, name: &str) -> bool {
    let state = table.get(&name.into());
    state.is_some_and(|state| state.is_usable(Instant::now()))
}

#[test]
fn a_successor_is_accepted_while_no_other_service_can_have_the_address() {
    let call_sent = Instant::now();
    let is_accepted = |after, reuse| must_be_same_service(call_sent, call_sent + ms(after), reuse);
    assert!(is_accepted(1_200, ADDRESS_REUSE));
    assert!(is_accepted(1_999, ADDRESS_REUSE));
    // The process may have ended as soon as it had the call.
    assert!(!is_accepted(2_000, ADDRESS_REUSE));
    assert!(!is_accepted(5_000, ADDRESS_REUSE));
    // A platform without a guarantee on addresses: no successor is accepted.
    assert!(!is_accepted(0, Duration::ZERO));
}

quickcheck! {
    /// However long the predecessor lived on after the call that it answered, and however late the check's response was
    /// read, an accepted successor responded before another service could have the address.
    fn an_accepted_successor_responded_in_time(lived_ms: u16, responded_ms: u16, read_late_ms: u16) -> bool {
        let call_sent = Instant::now();
        let ended = call_sent + ms(lived_ms.into());
        let responded = ended + ms(responded_ms.into());
        let read = responded + ms(read_late_ms.into());
        !must_be_same_service(call_sent, read, ADDRESS_REUSE) || responded < ended + ADDRESS_REUSE
    }
}

#[test]
fn an_upstream_is_queried_while_its_evidence_is_still_recent() {
    let now = Instant::now();
    let is_due = |age, reuse| is_liveness_query_due(Some(now), reuse, now + ms(age));
    assert!(!is_due(299, ADDRESS_REUSE));
    assert!(is_due(300, ADDRESS_REUSE));
    assert!(is_liveness_query_due(None, ADDRESS_REUSE, now));
    // Without a time for which addresses are withheld, no successor is accepted.
    assert!(!is_due(300, Duration::ZERO));
    assert!(!is_liveness_query_due(None, Duration::ZERO, now));
}

#[test]
fn a_successor_gets_requests_and_its_predecessor_does_not() {
    let now = Instant::now();
    let mut table = table(now);
    assert!(table.add_successor(&"former".into(), upstream("next", 9_000)));
    assert!(is_usable(&table, "next"));
    assert!(!is_usable(&table, "former"));
    // The platform's list does not contain the successor, so peers receive it in a separate message.
    assert!(table.listed().iter().all(|u| u.name.as_str() != "next"));
}

#[test]
fn an_outdated_successor_message_does_not_replace_a_known_upstream() {
    let now = Instant::now();
    let mut table = table(now);
    assert!(!table.add_successor(&"former".into(), upstream("other", 9_001)));
    let listed = UpstreamChange::Listed(upstream("newest", 9_000));
    table.apply_changes(vec![listed], 2, now);
    assert!(!table.add_successor(&"former".into(), upstream("late", 9_000)));
    assert!(is_usable(&table, "newest"));
    assert!(table.get(&"late".into()).is_none());
}

#[test]
fn the_platforms_list_overrides_an_accepted_successor() {
    let now = Instant::now();
    for (change, usable) in [
        (UpstreamChange::Gone("next".into()), false),
        (UpstreamChange::Listed(upstream("next", 9_000)), true),
        (
            UpstreamChange::Listed(Upstream {
                draining: true,
                ..upstream("next", 9_000)
            }),
            false,
        ),
        (UpstreamChange::Listed(upstream("later", 9_000)), false),
    ] {
        let mut table = table(now);
        table.add_successor(&"former".into(), upstream("next", 9_000));
        table.apply_changes(vec![change.clone()], 2, now);
        assert_eq!(is_usable(&table, "next"), usable, "{change:?}");
    }
}

#[test]
fn a_successor_that_is_listed_for_another_service_is_no_upstream_of_the_assumed_one() {
    let now = Instant::now();
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    let entry = Upstream {
        service: ServiceName::new("lookups"),
        ..upstream("next", 9_000)
    };
    table.apply_changes(vec![UpstreamChange::Listed(entry)], 2, now);
    let has_next = |service: &str| {
        let service = ServiceName::new(service);
        let mut of_service = table.of_service(&service);
        of_service.any(|s| s.upstream.name.as_str() == "next")
    };
    assert!(!has_next("drafts"));
    assert!(has_next("lookups"));
}

/// Guards against requests that wait for a permit of an assumed successor while its entry arrives.
#[test]
fn a_request_that_was_chosen_for_an_assumed_successor_is_not_sent_once_its_entry_differs() {
    let now = Instant::now();
    let mut table = table(now);
    let chosen = upstream("next", 9_000);
    table.add_successor(&"former".into(), chosen.clone());
    assert!(table.is_still_usable(&chosen, now));
    let of_other_service = Upstream {
        service: ServiceName::new("lookups"),
        ..chosen.clone()
    };
    for (revision, entry) in [(2, of_other_service), (3, upstream("next", 9_002))] {
        table.apply_changes(vec![UpstreamChange::Listed(entry)], revision, now);
        assert!(!table.is_still_usable(&chosen, now), "revision {revision}");
    }
}

#[test]
fn a_successor_that_is_not_listed_in_time_counts_as_removed() {
    let now = Instant::now();
    let later = now + ms(9_000);
    let apply_list = |table: &mut UpstreamTable, revision, at| {
        table.apply_list(vec![upstream("other", 9_001)], revision, at);
    };
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    // The two seconds to register begin with the first list version after the store's outage.
    apply_list(&mut table, 2, later);
    apply_list(&mut table, 3, later + ms(2_000));
    assert!(is_usable(&table, "next"));
    apply_list(&mut table, 4, later + ms(2_001));
    assert!(!is_usable(&table, "next"));
}

#[test]
fn a_successor_that_a_reachable_store_does_not_list_gets_no_requests_for_long() {
    let now = Instant::now();
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    for passed in [0, 1_000] {
        table.expire_unlisted(true, now + ms(passed));
        assert!(is_usable(&table, "next"), "{passed}");
    }
    table.expire_unlisted(true, now + ms(1_001));
    assert!(!is_usable(&table, "next"));
}

#[test]
fn a_successor_has_two_seconds_to_register_after_an_outage_of_the_store() {
    let now = Instant::now();
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    table.expire_unlisted(true, now);
    table.expire_unlisted(false, now + ms(250));
    table.expire_unlisted(false, now + ms(9_000));
    for passed in [9_250, 11_250] {
        table.expire_unlisted(true, now + ms(passed));
        assert!(is_usable(&table, "next"), "{passed}");
    }
    table.expire_unlisted(true, now + ms(11_251));
    assert!(!is_usable(&table, "next"));
}

#[test]
fn a_successor_that_is_listed_later_is_sent_to_peers_with_the_list() {
    let now = Instant::now();
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    let listed = UpstreamChange::Listed(upstream("next", 9_000));
    table.apply_changes(vec![listed], 2, now);
    assert!(table.listed().iter().any(|u| u.name.as_str() == "next"));
}

#[test]
fn a_successor_that_is_never_listed_is_forgotten_after_it_was_declared_dead() {
    let now = Instant::now();
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    table.suspect(&"next".into(), now);
    let later = now + Duration::from_secs(21);
    let unrelated = UpstreamChange::Listed(upstream("third", 9_002));
    table.apply_changes(vec![unrelated], 2, later);
    assert!(table.get(&"next".into()).is_none());
}

#[test]
fn a_dead_upstream_is_checked_more_often_while_a_successor_can_be_accepted() {
    let now = Instant::now();
    let mut table = table(now);
    let name = UpstreamName::new("former");
    table.suspect(&name, now);
    table.check_frequently_until(&name, successor_deadline(now, ADDRESS_REUSE));
    let steps = (0..40).map(|step| now + ms(step * 50));
    let checks = steps.filter(|at| !table.start_due_checks(*at).is_empty());
    // Every 100 ms up to 1.75 s, and then at growing intervals.
    assert_eq!(checks.count(), 20);
}
