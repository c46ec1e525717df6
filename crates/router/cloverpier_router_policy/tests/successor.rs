//! Upstreams that are known before the platform's list names them.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::successor::{must_be_same_service, recognizable_until};
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

const REUSE: Duration = Duration::from_secs(2);

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

/// A table that lists "former" at 9000 and "other" at 9001.
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
fn an_answer_counts_while_no_other_service_can_have_the_address() {
    let sign = Instant::now();
    assert!(must_be_same_service(sign, sign + ms(1_200), REUSE));
    assert!(must_be_same_service(sign, sign + ms(1_749), REUSE));
    // What arrived may have been on its way for a while.
    assert!(!must_be_same_service(sign, sign + ms(1_750), REUSE));
    assert!(!must_be_same_service(sign, sign + ms(5_000), REUSE));
    // Where the platform says nothing of addresses, nothing is concluded.
    assert!(!must_be_same_service(sign, sign, Duration::ZERO));
}

quickcheck! {
    /// However long the last sign of life travelled, up to the bound on delays, the process
    /// that gave the answer was there before another service could be.
    fn the_answering_process_was_there_in_time(delay_ms: u8, ended_ms: u16, answered_ms: u16) -> bool {
        let start = Instant::now();
        let sent = start;
        let sign = sent + ms(u64::from(delay_ms) % 251);
        let ended = sent + ms(ended_ms.into());
        let answered = sign + ms(answered_ms.into());
        !must_be_same_service(sign, answered, REUSE) || answered < ended.max(sent) + REUSE
    }
}

#[test]
fn a_successor_gets_requests_and_its_former_start_does_not() {
    let now = Instant::now();
    let mut table = table(now);
    assert!(table.add_successor(&"former".into(), upstream("next", 9_000)));
    assert!(is_usable(&table, "next"));
    assert!(!is_usable(&table, "former"));
    // Peers learn of it by a message of its own: it is not in the platform's list.
    assert!(table.listed().iter().all(|u| u.name.as_str() != "next"));
}

#[test]
fn what_is_known_at_an_address_is_not_replaced_by_an_older_message() {
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
fn the_platforms_list_overrides_what_was_concluded() {
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
fn one_that_the_list_does_not_name_in_time_is_gone() {
    let now = Instant::now();
    let later = now + ms(9_000);
    let news = |table: &mut UpstreamTable, revision, at| {
        table.apply_list(vec![upstream("other", 9_001)], revision, at);
    };
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    // Without news of the list nothing is missed, and an upstream has two seconds to enter
    // itself once there are some.
    news(&mut table, 2, later);
    news(&mut table, 3, later + ms(2_000));
    assert!(is_usable(&table, "next"));
    news(&mut table, 4, later + ms(2_001));
    assert!(!is_usable(&table, "next"));
}

#[test]
fn one_that_is_listed_later_is_handed_on_like_any_other() {
    let now = Instant::now();
    let mut table = table(now);
    table.add_successor(&"former".into(), upstream("next", 9_000));
    let listed = UpstreamChange::Listed(upstream("next", 9_000));
    table.apply_changes(vec![listed], 2, now);
    assert!(table.listed().iter().any(|u| u.name.as_str() == "next"));
}

#[test]
fn one_that_is_never_listed_is_forgotten_when_it_is_dead() {
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
fn a_dead_upstream_is_checked_closely_while_a_successor_would_be_recognized() {
    let now = Instant::now();
    let mut table = table(now);
    let name = UpstreamName::new("former");
    table.suspect(&name, now);
    table.await_successor(&name, recognizable_until(now, REUSE));
    let steps = (0..40).map(|step| now + ms(step * 50));
    let checks = steps.filter(|at| !table.start_due_checks(*at).is_empty());
    // Every 100 ms up to 1.75 s, and then with growing pauses.
    assert_eq!(checks.count(), 20);
}
