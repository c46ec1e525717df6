//! What is silent: an attempt, its upstream, or its service.

use cloverpier_router_policy::silence::{SilenceEvidence, SilenceScope};
use std::time::Duration;

/// An attempt that has made no progress for 1 s, at an upstream that has sent nothing since, beside three others that
/// have requests.
const SILENT: SilenceEvidence = SilenceEvidence {
    without_progress: Duration::from_millis(1_000),
    upstream_silent: Some(Duration::from_millis(1_000)),
    others_awaited: 3,
    others_heard: 3,
};

#[test]
fn an_attempt_alone_is_silent_where_its_upstream_responds_to_others() {
    let evidence = SilenceEvidence {
        upstream_silent: Some(Duration::from_millis(20)),
        others_heard: 0,
        ..SILENT
    };
    assert_eq!(evidence.scope(), SilenceScope::Attempt);
}

#[test]
fn an_upstream_is_silent_where_others_respond() {
    assert_eq!(SILENT.scope(), SilenceScope::Upstream);
    let never_heard = SilenceEvidence {
        upstream_silent: None,
        ..SILENT
    };
    assert_eq!(never_heard.scope(), SilenceScope::Upstream);
}

#[test]
fn a_service_is_silent_where_none_of_its_upstreams_responds() {
    let evidence = SilenceEvidence {
        others_heard: 0,
        ..SILENT
    };
    assert_eq!(evidence.scope(), SilenceScope::Service);
}

#[test]
fn the_silence_of_the_only_upstream_with_requests_says_nothing_of_the_service() {
    let evidence = SilenceEvidence {
        others_awaited: 0,
        others_heard: 0,
        ..SILENT
    };
    assert_eq!(evidence.scope(), SilenceScope::Upstream);
}
