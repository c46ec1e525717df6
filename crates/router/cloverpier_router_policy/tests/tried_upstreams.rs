//! Which upstreams get no further attempt of a request.

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::tried_upstreams::TriedUpstreams;

#[test]
fn only_upstreams_without_proof_of_a_failure_are_readmitted_and_only_once() {
    let mut tried = TriedUpstreams::default();
    tried.on_failure(&"dead".into(), &AttemptFailure::UpstreamDead);
    tried.on_failure(&"cut".into(), &AttemptFailure::PathLost);
    tried.on_failure(&"silent".into(), &AttemptFailure::UpstreamSilent);
    tried.on_failure(&"stuck".into(), &AttemptFailure::Stalled);
    tried.on_failure(&"gone".into(), &AttemptFailure::UpstreamDead);
    assert_eq!(tried.excluded().len(), 5);
    assert!(tried.readmit_left());
    assert_eq!(tried.excluded(), ["dead".into(), "gone".into()]);
    assert!(!tried.readmit_left());
    assert_eq!(tried.last(), Some(&"gone".into()));
}
