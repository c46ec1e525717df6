//! Logs what is believed of upstreams, when that changes. Owns nothing.

use crate::decision_log::UpstreamBelief;
use crate::router::Router;
use cloverpier_router_policy::prelude::Upstream;

/// Logs that what is believed of an upstream has changed, and why.
pub(crate) fn log_belief(
    router: &Router,
    event: &'static str,
    upstream: &Upstream,
    reason: &str,
    silent_ms: u64,
) {
    let line = UpstreamBelief {
        upstream: upstream.name.as_str(),
        address: upstream.address.to_string(),
        reason,
        silent_ms,
    };
    router.log.info(event, &line);
}
