//! Upstreams that want nothing for a while: who gets requests, what may be asked, what callers learn.

use cloverpier_core::{DataCentre, ServiceName, Wait};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::{Refusal, retry_after};
use cloverpier_router_policy::replica::{Replica, usable_replica};
use quickcheck::quickcheck;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const SERVICE: &str = "drafts";
const WAIT: Duration = Duration::from_millis(1_500);
const BORN_MS: u64 = 1_790_000_000_000;

fn table(names: &[&str], now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let upstreams = names.iter().zip(9_000..).map(|(name, port)| Upstream {
        name: (*name).into(),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("hall-a"),
        slots: 4,
        draining: false,
        start: Some(UpstreamStart {
            version: "v1".into(),
            born_ms: Some(BORN_MS),
        }),
    });
    table.apply_list(upstreams.collect(), 1, now);
    table
}

fn choose(table: &UpstreamTable, tried: &[&str], now: Instant) -> Choice {
    let tried: Vec<_> = tried.iter().map(|name| (*name).into()).collect();
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
        tried: &tried,
        connected: &HashSet::new(),
        suspect_content: None,
        overcommit: false,
        reported: &ReportedLoad::default(),
        versions: &VersionRule::ANY,
        limits: &LimitedUpstreams::NONE,
        now,
    };
    choose_upstream(table, &demand, &mut fastrand::Rng::with_seed(1))
}

fn name_of(choice: &Choice) -> Option<&str> {
    match choice {
        Choice::Upstream(upstream) => Some(upstream.name.as_str()),
        Choice::None(_) => None,
    }
}

#[test]
fn one_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    assert!(table.on_wait(&"a".into(), WAIT, now));
    assert_eq!(name_of(&choose(&table, &[], now)), Some("b"));
    // Also where the other one has failed the request.
    assert_eq!(
        choose(&table, &["b"], now),
        Choice::None(NoUpstream::NoneUsable)
    );
    // A suspected one comes first: it may live, and this one does not want it.
    table.suspect(&"b".into(), now);
    assert_eq!(name_of(&choose(&table, &[], now)), Some("b"));
    assert_eq!(name_of(&choose(&table, &["b"], now + WAIT)), Some("a"));
}

#[test]
fn a_replica_there_is_not_used_meanwhile() {
    let now = Instant::now();
    let mut table = table(&["a", "b"], now);
    let engine = table.get(&"a".into()).unwrap().upstream.clone();
    let replica = Replica::begin(&table, engine);
    table.on_wait(&"a".into(), WAIT, now);
    let usable = |now| {
        usable_replica(
            &table,
            &VersionRule::ANY,
            &LimitedUpstreams::NONE,
            Some(&replica),
            now,
        )
        .is_some()
    };
    assert!(!usable(now));
    assert!(usable(now + WAIT));
}

#[test]
fn a_whole_service_that_wants_nothing_is_told_by_the_first_that_may_be_asked_again() {
    let now = Instant::now();
    let service = ServiceName::new(SERVICE);
    let mut table = table(&["a", "b"], now);
    table.on_wait(&"a".into(), 2 * WAIT, now);
    assert_eq!(table.wait_of_service(&service, now), None);
    table.on_wait(&"b".into(), WAIT, now);
    assert_eq!(
        choose(&table, &[], now),
        Choice::None(NoUpstream::AllPaused)
    );
    let wait = table.wait_of_service(&service, now).unwrap();
    assert_eq!((wait.left, wait.passed), (WAIT, Duration::ZERO));
    let later = now + WAIT / 3;
    let wait = table.wait_of_service(&service, later).unwrap();
    assert_eq!((wait.left, wait.passed), (WAIT - WAIT / 3, WAIT / 3));
    // Nobody who comes too late for its objective is kept longer.
    let objective = WAIT / 2;
    let refusal = Refusal::UpstreamsPaused { wait, objective };
    assert_eq!(retry_after(refusal), WAIT - WAIT / 3);
}

/// Guards against callers that all return at the moment at which their upstreams want requests again.
#[test]
fn callers_return_in_the_order_in_which_they_were_refused_and_soon() {
    let objective = 5 * WAIT;
    let after = |passed: Duration| {
        let wait = ServiceWait {
            left: WAIT - passed,
            passed,
        };
        retry_after(Refusal::UpstreamsPaused { wait, objective })
    };
    let returns: Vec<Duration> = (0..10)
        .map(|n| WAIT * n / 10 + after(WAIT * n / 10))
        .collect();
    assert_eq!(returns[0], WAIT);
    assert!(returns.is_sorted());
    assert_eq!(returns[5], WAIT + WAIT / 2);
    let room = objective - WAIT / 10;
    assert!(returns[9] <= WAIT + room / 5);
}

#[test]
fn a_later_start_wants_requests() {
    let now = Instant::now();
    let mut table = table(&["a"], now);
    table.on_wait(&"a".into(), WAIT, now);
    table.on_start(&"a".into(), Some(BORN_MS + 1));
    assert_eq!(name_of(&choose(&table, &[], now)), Some("a"));
}

#[test]
fn one_question_may_be_asked_meanwhile() {
    let now = Instant::now();
    let mut table = table(&["a"], now);
    let name = "a".into();
    table.on_wait(&name, WAIT, now);
    assert_eq!(table.asked_again_at(&name, now), None);
    assert!(table.try_ask(&name, now));
    assert!(!table.try_ask(&name, now));
    assert_eq!(table.asked_again_at(&name, now), Some(now + WAIT));
    assert!(table.try_ask(&name, now + WAIT));
    // Checks of a suspected one are the same.
    let later = now + WAIT;
    table.on_wait(&name, WAIT, later);
    table.suspect(&name, later);
    assert_eq!(table.start_due_checks(later).len(), 1);
    let close_to_its_end = later + WAIT - Duration::from_millis(1);
    assert_eq!(table.start_due_checks(close_to_its_end).len(), 0);
    assert_eq!(table.start_due_checks(later + WAIT).len(), 1);
}

#[test]
fn a_silent_upstream_is_probed_once_it_may_be_asked_again() {
    let now = Instant::now();
    let bounds = LivenessBounds {
        probe_after: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(200),
        stall_after: Duration::from_secs(60),
    };
    let mut liveness = Liveness::new(bounds, now);
    liveness.hold_probes_until(Some(now + WAIT));
    let step = liveness.step(now, None, now + bounds.probe_after);
    assert_eq!(step, LivenessStep::WaitUntil(now + WAIT));
    liveness.hold_probes_until(None);
    assert_eq!(liveness.step(now, None, now + WAIT), LivenessStep::Probe);
}

quickcheck! {
    /// Whatever times an upstream names, it is left alone until the last of them is over.
    fn no_time_that_was_named_is_shortened(named: Vec<(u16, u16)>) -> bool {
        let mut now = Instant::now();
        let mut wait = None;
        let mut last = now;
        for (pause, time) in named {
            now += Duration::from_millis(u64::from(pause));
            let time = Duration::from_millis(u64::from(time));
            let begun = Wait::begin(wait, time, now);
            last = last.max(now + time);
            if begun.until() != last.max(now) {
                return false;
            }
            wait = Some(begun);
        }
        wait.is_none_or(|wait| !wait.binds(last))
    }
}
