//! When a router reads the list of upstreams, and what the reports of peers show of its own.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::list_digest::ListDigest;
use cloverpier_router_policy::list_evidence::{
    EVIDENCE_TTL, ListEvidence, ListReport, OwnList, READ_PERIOD, ReportMeaning, meaning,
};
use cloverpier_router_policy::prelude::Upstream;
use std::time::{Duration, Instant};

const SHORT: usize = 39;

fn digest_of(name: &str) -> ListDigest {
    let entry = Upstream {
        name: UpstreamName::from(name),
        service: ServiceName::from("drafts"),
        address: "10.1.0.1:80".parse().unwrap(),
        data_centre: DataCentre::from("hall-a"),
        slots: 4,
        draining: false,
        start: None,
    };
    ListDigest::of([&entry].into_iter())
}

fn own(changed_at: Instant) -> OwnList {
    OwnList {
        revision: 7,
        digest: digest_of("own"),
        changed_at: Some(changed_at),
        proven_at: None,
    }
}

fn report(revision: u64, name: &str, read_age_ms: u32) -> ListReport {
    ListReport {
        revision,
        digest: digest_of(name),
        read_age_ms,
    }
}

#[test]
fn the_store_is_read_once_the_last_proof_is_too_old() {
    let now = Instant::now();
    let mut evidence = ListEvidence::new(now);
    let proven_at = now + Duration::from_millis(200);
    evidence.on_proof(proven_at);
    assert_eq!(evidence.read_at(false, SHORT), proven_at + EVIDENCE_TTL);
    assert_eq!(evidence.read_at(true, SHORT), proven_at + READ_PERIOD);
}

#[test]
fn a_list_that_was_never_proven_is_read_as_one_whose_proof_has_aged() {
    let now = Instant::now();
    let evidence = ListEvidence::new(now);
    assert_eq!(evidence.proven_at(), None);
    assert_eq!(evidence.read_at(false, SHORT), now + EVIDENCE_TTL);
}

#[test]
fn a_list_of_several_calls_is_read_less_often() {
    let now = Instant::now();
    let evidence = ListEvidence::new(now);
    assert_eq!(evidence.read_at(true, 820), now + READ_PERIOD * 2);
}

#[test]
fn a_proof_that_arrives_late_does_not_take_the_evidence_back() {
    let now = Instant::now();
    let mut evidence = ListEvidence::new(now);
    evidence.on_proof(now + Duration::from_secs(1));
    evidence.on_proof(now);
    assert_eq!(evidence.proven_at(), Some(now + Duration::from_secs(1)));
}

#[test]
fn pauses_between_reads_grow_until_a_proof_arrives() {
    let mut now = Instant::now();
    let mut evidence = ListEvidence::new(now);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        now = evidence.read_at(false, SHORT);
        evidence.on_read(now);
        pauses.push(evidence.read_at(false, SHORT) - now);
    }
    assert!(pauses.is_sorted() && pauses[4] > pauses[0], "{pauses:?}");
    evidence.on_proof(now);
    evidence.on_read(now);
    assert_eq!(evidence.read_at(false, SHORT) - now, EVIDENCE_TTL);
}

#[test]
fn the_same_list_proves_it_up_to_the_time_at_which_the_peer_read_it() {
    let now = Instant::now();
    let own = own(now);
    for revision in [6, 7, 8] {
        let meaning = meaning(&own, &report(revision, "own", 300), now);
        let read_at = now - Duration::from_millis(300);
        assert_eq!(meaning, ReportMeaning::Complete(read_at));
    }
}

#[test]
fn another_list_that_was_read_after_this_one_changed_shows_a_difference() {
    let now = Instant::now();
    let own = own(now - Duration::from_millis(400));
    for revision in [6, 7] {
        let report = report(revision, "other", 300);
        assert_eq!(meaning(&own, &report, now), ReportMeaning::Differs);
    }
}

#[test]
fn another_list_that_is_newer_or_was_read_before_shows_nothing() {
    let now = Instant::now();
    let changed_before = own(now - Duration::from_millis(400));
    let newer = report(8, "other", 300);
    assert_eq!(
        meaning(&changed_before, &newer, now),
        ReportMeaning::Nothing
    );
    let changed_since = own(now - Duration::from_millis(200));
    let before = report(7, "other", 300);
    assert_eq!(
        meaning(&changed_since, &before, now),
        ReportMeaning::Nothing
    );
    let proven_since = OwnList {
        proven_at: Some(now - Duration::from_millis(100)),
        ..changed_before
    };
    assert_eq!(meaning(&proven_since, &before, now), ReportMeaning::Nothing);
}
