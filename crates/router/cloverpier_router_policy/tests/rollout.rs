//! Roll-outs: what a router makes of orders, answers and what others say.

use cloverpier_core::{ServiceName, SoftwareVersion, UpstreamName};
use cloverpier_router_policy::attempt_failure::AttemptFailure;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::book::{UNORDERED_HOLD, new_view};
use cloverpier_router_policy::rollout::evidence::{
    AnswerCounts, Arm, Evidence, EvidenceKey, EvidenceReport, FleetEvidence, Measure, Observed,
    OwnEvidence, RouteKey, SentCounts,
};
use cloverpier_router_policy::rollout::judgement::{Fault, Judgement, judge};
use cloverpier_router_policy::rollout::schedule::{
    ExposureBounds, Situation, Step, first_progress, step,
};
use cloverpier_router_policy::rollout::{OrderId, Permille, RolloutBook};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const BOUNDS: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 50.0,
};

fn service() -> ServiceName {
    ServiceName::new("lookups")
}

fn order(version: &str, made: u64) -> RolloutOrder {
    let duration = Duration::from_secs(12);
    RolloutOrder::new(&service(), version.into(), duration, made)
}

fn view(version: &str, revision: u64) -> RolloutView {
    new_view(service(), revision, Some(order(version, revision)), BOUNDS)
}

fn listed(versions: &[&str]) -> BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> {
    let versions = versions.iter().map(SoftwareVersion::new);
    BTreeMap::from([(service(), versions.collect())])
}

/// A book that has known one version for long, and a moment.
fn book() -> (RolloutBook, Instant) {
    let now = Instant::now();
    let mut book = RolloutBook::default();
    book.on_listed(&listed(&["v1"]), now);
    (book, now + Duration::from_secs(60))
}

/// Whether a version gets nothing.
fn is_barred(book: &RolloutBook, version: &str, now: Instant) -> bool {
    let rule = book.rule(&service(), |_| 4, now, &mut fastrand::Rng::with_seed(1));
    rule.bars(Some(&version.into()))
}

#[test]
fn a_version_without_an_order_waits_for_one_and_is_like_others_then() {
    let (mut book, now) = book();
    book.on_listed(&listed(&["v1", "v2"]), now);
    assert!(is_barred(&book, "v2", now));
    assert!(!is_barred(&book, "v1", now));
    let later = now + UNORDERED_HOLD;
    assert!(!is_barred(&book, "v2", later));
    // The versions that a router finds when it starts are none that appeared.
    let mut fresh = RolloutBook::default();
    fresh.on_listed(&listed(&["v1", "v2"]), now);
    assert!(!is_barred(&fresh, "v2", now));
}

#[test]
fn an_order_lets_some_requests_to_its_version_at_once() {
    let (mut book, now) = book();
    book.on_listed(&listed(&["v1", "v2"]), now);
    assert_eq!(book.on_view(view("v2", 7), now), OrderUpdate::Ordered);
    assert!(!is_barred(&book, "v2", now));
    assert_eq!(book.on_view(view("v2", 7), now), OrderUpdate::Nothing);
}

#[test]
fn a_version_whose_order_is_replaced_or_taken_back_gets_nothing() {
    let (mut book, now) = book();
    book.on_view(view("v2", 7), now);
    assert_eq!(book.on_view(view("v3", 9), now), OrderUpdate::Ordered);
    assert!(is_barred(&book, "v2", now));
    assert!(!is_barred(&book, "v3", now));
    // What a peer still says of the former order changes nothing.
    assert_eq!(book.on_view(view("v2", 7), now), OrderUpdate::Nothing);
    let withdrawn = new_view(service(), 10, None, BOUNDS);
    assert_eq!(book.on_view(withdrawn, now), OrderUpdate::Withdrawn);
    assert!(is_barred(&book, "v3", now));
    // Ordered again, it is judged again.
    assert_eq!(book.on_view(view("v3", 11), now), OrderUpdate::Ordered);
    assert!(!is_barred(&book, "v3", now));
}

#[test]
fn a_version_that_is_rolled_back_gets_nothing_and_one_that_is_completed_everything() {
    let (mut book, now) = book();
    book.on_view(view("v2", 7), now);
    let to = |stage| Progress {
        stage,
        ..Progress::default()
    };
    assert!(book.on_progress(&service(), to(Stage::RolledBack), now));
    assert!(is_barred(&book, "v2", now));
    // Only what the store holds goes before it.
    assert!(!book.on_progress(&service(), to(Stage::All), now));
    let confirmed = Progress {
        is_confirmed: true,
        ..to(Stage::Completed)
    };
    assert!(book.on_progress(&service(), confirmed, now));
    assert!(!is_barred(&book, "v2", now));
    assert!(!book.on_progress(&service(), to(Stage::RolledBack), now));
    // A completed version stays good when its order goes.
    book.on_view(new_view(service(), 10, None, BOUNDS), now);
    assert!(!is_barred(&book, "v2", now));
}

#[derive(Clone, Copy, Debug)]
struct AnyProgress(Progress);

impl Arbitrary for AnyProgress {
    fn arbitrary(g: &mut Gen) -> Self {
        let stages = [
            Stage::Canary,
            Stage::Load,
            Stage::Part,
            Stage::All,
            Stage::Moving,
            Stage::RolledBack,
            Stage::Completed,
        ];
        Self(Progress {
            stage: *g.choose(&stages).unwrap(),
            share: Permille::of(f64::from(u8::arbitrary(g)) / 255.0),
            round: u8::arbitrary(g) % 3,
            is_confirmed: bool::arbitrary(g),
        })
    }
}

quickcheck! {
    /// Routers that hear the same in any order, and any number of times, agree.
    fn what_routers_agree_on_depends_on_no_order(
        a: AnyProgress,
        b: AnyProgress,
        c: AnyProgress
    ) -> bool {
        let (a, b, c) = (a.0, b.0, c.0);
        let is_same = a.join(b).join(c) == a.join(b.join(c)) && a.join(b) == b.join(a);
        is_same && a.join(a) == a && a.join(b).join(b) == a.join(b)
    }
}

const ROUTE: RouteKey = RouteKey(1);

fn key(arm: Arm, route: RouteKey) -> EvidenceKey {
    EvidenceKey {
        route,
        measure: Measure::Answer,
        arm,
    }
}

fn counts(failed: u32, good: u32, ms: u64) -> AnswerCounts {
    let mut counts = AnswerCounts {
        failed,
        ..AnswerCounts::default()
    };
    for _ in 0..good {
        counts.times.add(Duration::from_millis(ms));
    }
    counts
}

fn evidence(entries: &[(Arm, AnswerCounts)]) -> Evidence {
    let entries = entries.iter().cloned();
    entries.map(|(arm, c)| (key(arm, ROUTE), c)).collect()
}

#[test]
fn a_version_that_fails_or_is_slow_at_two_upstreams_is_bad() {
    let failing = evidence(&[
        (Arm::Former, counts(2, 300, 30)),
        (Arm::Target(1), counts(5, 6, 30)),
        (Arm::Target(2), counts(4, 8, 30)),
    ]);
    let Judgement::Bad(objection) = judge(&failing, 4) else {
        panic!("{:?}", judge(&failing, 4));
    };
    assert_eq!(
        (objection.fault, objection.bad, objection.answers),
        (Fault::Fails, 9, 23)
    );
    let slow = evidence(&[
        (Arm::Former, counts(0, 300, 30)),
        (Arm::Target(1), counts(0, 8, 150)),
        (Arm::Target(2), counts(0, 8, 150)),
    ]);
    assert!(matches!(judge(&slow, 4), Judgement::Bad(o) if o.fault == Fault::Slow));
}

#[test]
fn answers_that_do_not_come_are_slow_before_they_come() {
    let mut awaited = counts(0, 0, 0);
    for _ in 0..8 {
        awaited.awaited.add(Duration::from_millis(120));
    }
    let slow = evidence(&[
        (Arm::Former, counts(0, 300, 30)),
        (Arm::Target(1), awaited.clone()),
        (Arm::Target(2), awaited),
    ]);
    assert!(matches!(judge(&slow, 4), Judgement::Bad(o) if o.fault == Fault::Slow));
}

#[test]
fn one_bad_upstream_among_several_is_not_a_bad_version() {
    let grey = evidence(&[
        (Arm::Former, counts(2, 300, 30)),
        (Arm::Target(1), counts(12, 12, 30)),
        (Arm::Target(2), counts(0, 24, 30)),
    ]);
    assert!(matches!(judge(&grey, 4), Judgement::OneGroup(_)));
    // Where there is no other, it is the version.
    let alone = evidence(&[
        (Arm::Former, counts(2, 300, 30)),
        (Arm::Target(1), counts(12, 12, 30)),
    ]);
    assert!(matches!(judge(&alone, 1), Judgement::Bad(_)));
}

#[test]
fn what_fails_at_every_version_speaks_against_none() {
    // One kind of request of the users fails in 14 of 100 cases.
    let usual = evidence(&[
        (Arm::Former, counts(140, 860, 30)),
        (Arm::Target(1), counts(8, 42, 30)),
        (Arm::Target(2), counts(9, 41, 30)),
    ]);
    assert_eq!(judge(&usual, 4), Judgement::Nothing);
}

#[test]
fn a_fault_on_one_route_is_seen_among_many_good_answers() {
    let mut one_route = evidence(&[
        (Arm::Former, counts(0, 2_000, 30)),
        (Arm::Target(1), counts(0, 200, 30)),
        (Arm::Target(2), counts(0, 200, 30)),
    ]);
    let other = RouteKey(2);
    one_route.insert(key(Arm::Former, other), counts(1, 100, 30));
    one_route.insert(key(Arm::Target(1), other), counts(4, 3, 30));
    one_route.insert(key(Arm::Target(2), other), counts(3, 4, 30));
    assert!(matches!(judge(&one_route, 4), Judgement::Bad(o) if o.route == Some(other)));
}

#[test]
fn a_break_is_a_bad_answer_only_if_its_upstream_lives() {
    let now = Instant::now();
    let name = UpstreamName::new("one");
    let observed = |start| Observed {
        upstream: &name,
        start,
        is_target: true,
        route: ROUTE,
    };
    let broke = AttemptFailure::BrokenBeforeResponse {
        was_unsent: false,
        error: "reset".to_owned(),
    };
    let failures = |own: &OwnEvidence| -> u32 {
        let reports = own.reports(OrderId(1), Stage::Canary, 0, now);
        let entries = reports.iter().flat_map(|report| &report.entries);
        entries.map(|(_, c)| c.failed).sum()
    };
    let mut own = OwnEvidence::default();
    let mut table = UpstreamTable::default();
    let upstream = Upstream {
        name: name.clone(),
        service: service(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "hall-a".into(),
        slots: 4,
        draining: false,
        start: Some(UpstreamStart {
            version: "v2".into(),
            born_ms: Some(1),
        }),
    };
    table.apply_list(vec![upstream], 1, now);
    let first = table.get(&name).unwrap().start();
    own.on_failure(observed(first), &broke, now);
    assert_eq!(failures(&own), 0);
    // Its next start answers: the one before has died.
    table.on_start(&name, Some(2));
    let second = table.get(&name).unwrap().start();
    let id = own.begin(observed(second), Measure::Answer, now);
    own.on_answer(id, observed(second), now);
    assert_eq!(failures(&own), 0);
    // The same start answers: it lives, and gave a bad answer.
    own.on_failure(observed(second), &broke, now);
    let id = own.begin(observed(second), Measure::Answer, now);
    own.on_answer(id, observed(second), now);
    assert_eq!(failures(&own), 1);
}

/// What a router that decides knows two seconds after an order of two minutes.
fn step_with(fleet: &FleetEvidence, routers: &[SocketAddr], progress: Progress) -> Step {
    let known_since = Instant::now();
    step(&Situation {
        now: known_since + Duration::from_secs(2),
        known_since,
        stage_since: known_since,
        duration: Duration::from_secs(120),
        progress,
        evidence: fleet,
        upstreams: 4,
        routers,
        bounds: BOUNDS,
    })
}

fn report_of(sent: u32) -> EvidenceReport {
    EvidenceReport {
        order: OrderId(1),
        stage: Stage::Canary,
        former_in_flight: 0,
        sent: SentCounts {
            former: sent,
            target: 0,
        },
        entries: Vec::new(),
    }
}

#[test]
fn the_share_is_not_raised_before_all_routers_have_said_how_many_requests_there_are() {
    // On a busy machine the first reports came late; no request seemed to be there, and half of
    // all went to a version that was not known to be good: 196 of 454.
    let routers: Vec<SocketAddr> = (1..=2).map(|n| ([127, 0, 0, n], 7_104).into()).collect();
    let first = first_progress(BOUNDS);
    let mut fleet = FleetEvidence::default();
    assert_eq!(step_with(&fleet, &routers, first), Step::Stay);
    fleet.on_report(routers[0], report_of(2));
    assert_eq!(step_with(&fleet, &routers, first), Step::Stay);
    // Two requests in two seconds: 120 until the end, of which 31 may be canaries.
    fleet.on_report(routers[1], report_of(0));
    let Step::Go(raised) = step_with(&fleet, &routers, first) else {
        panic!("not raised");
    };
    assert!((0.2..0.3).contains(&raised.share.part()), "{raised:?}");
    // More come: the share falls.
    fleet.on_report(routers[1], report_of(1_000));
    let Step::Go(lowered) = step_with(&fleet, &routers, raised) else {
        panic!("not lowered");
    };
    assert!(lowered.share.part() < 0.06, "{lowered:?}");
    assert!(lowered.join(raised) == lowered);
}
