//! Collects what is known of the silence of an attempt's upstream.
//!
//! `cloverpier_router_policy::silence` decides what the silence means. Relies on [`crate::health`] for the time of each
//! upstream's last response, and on the table of upstreams for those that have requests. Owns no state.

use crate::decision_log::{SilentAttempt, ms};
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::silence::{SilenceEvidence, SilenceScope};
use std::time::Instant;

/// What is known of the silence of an attempt that last made progress at `last_progress`; `None` for an upstream that
/// this router does not know any more.
pub(crate) fn evidence(
    router: &Router,
    upstream: &UpstreamName,
    last_progress: Instant,
    now: Instant,
) -> Option<SilenceEvidence> {
    let table = router.upstreams.borrow();
    let service = &table.get(upstream)?.upstream.service;
    let others = table.of_service(service).filter(|state| {
        let name = &state.upstream.name;
        name != upstream && state.own_load.requests > 0
    });
    let heard_at = |name: &UpstreamName| router.health.last_own_response(name);
    let mut evidence = SilenceEvidence {
        without_progress: now.saturating_duration_since(last_progress),
        upstream_silent: heard_at(upstream).map(|at| now.saturating_duration_since(at)),
        others_awaited: 0,
        others_heard: 0,
    };
    for other in others {
        let is_heard = heard_at(&other.upstream.name).is_some_and(|at| at > last_progress);
        evidence.others_awaited += 1;
        evidence.others_heard += usize::from(is_heard);
    }
    Some(evidence)
}

/// The fields of log lines about a silence.
pub(crate) fn log_fields(evidence: &SilenceEvidence) -> SilentAttempt {
    SilentAttempt {
        silence: evidence.scope(),
        silent_ms: ms(evidence.without_progress),
        upstream_silent_ms: evidence.upstream_silent.map(ms),
        others_awaited: evidence.others_awaited,
        others_heard: evidence.others_heard,
    }
}

/// The label of a scope in metrics.
pub(crate) fn scope_name(scope: SilenceScope) -> &'static str {
    match scope {
        SilenceScope::Attempt => "attempt",
        SilenceScope::Upstream => "server",
        SilenceScope::Service => "service",
    }
}
