//! When a router reads changes of upstreams from the store as nobody shows that its list is the newest.

use cloverpier_router_policy::list_evidence::{EVIDENCE_TTL, ListEvidence, is_proof};
use std::time::{Duration, Instant};

#[test]
fn the_store_is_read_once_the_last_proof_is_too_old() {
    let now = Instant::now();
    let mut evidence = ListEvidence::new(now);
    evidence.on_proof(now + Duration::from_millis(200));
    assert_eq!(
        evidence.read_at(false),
        now + Duration::from_millis(200) + EVIDENCE_TTL
    );
}

#[test]
fn a_proof_that_arrives_late_does_not_take_the_evidence_back() {
    let now = Instant::now();
    let mut evidence = ListEvidence::new(now + Duration::from_secs(1));
    evidence.on_proof(now);
    assert_eq!(evidence.proven_at(), now + Duration::from_secs(1));
}

#[test]
fn pauses_between_reads_grow_until_a_proof_arrives() {
    let mut now = Instant::now();
    let mut evidence = ListEvidence::new(now);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        now = evidence.read_at(false);
        evidence.on_read(now);
        pauses.push(evidence.read_at(false) - now);
    }
    assert!(pauses.is_sorted() && pauses[4] > pauses[0], "{pauses:?}");
    evidence.on_proof(now);
    evidence.on_read(now);
    assert_eq!(evidence.read_at(false) - now, EVIDENCE_TTL);
}

#[test]
fn only_watchers_that_reach_the_store_and_have_no_newer_list_prove_it() {
    let fresh = Some(Duration::from_millis(250));
    let stale = Some(Duration::from_secs(3));
    assert!(is_proof(fresh, 7, 7));
    assert!(is_proof(fresh, 6, 7));
    assert!(!is_proof(fresh, 8, 7));
    assert!(!is_proof(stale, 7, 7));
    assert!(!is_proof(None, 7, 7));
}
