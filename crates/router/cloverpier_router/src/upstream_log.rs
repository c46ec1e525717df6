//! Log lines for changes of an upstream's recorded state: suspected dead, replaced, leaving, or paused for a
//! time.
//!
//! Relies on [`crate::decision_log`] for the fields of the lines. Owns no state.

use crate::call_kind::CallKind;
use crate::decision_log::{UpstreamLeaving, UpstreamPaused, UpstreamStateChanged, ms};
use cloverpier_observe::Log;
use cloverpier_router_policy::prelude::Upstream;
use std::net::SocketAddr;
use std::time::Duration;

/// Logs a change of an upstream's state with its reason. `silent_ms` is for how many milliseconds the
/// upstream had been silent or suspected, or 0 where that does not apply.
pub(crate) fn log_upstream_change(
    log: &Log,
    event: &'static str,
    upstream: &Upstream,
    reason: &str,
    silent_ms: u64,
) {
    let line = UpstreamStateChanged {
        upstream: upstream.name.as_str(),
        address: upstream.address.to_string(),
        reason,
        silent_ms,
    };
    log.info(event, &line);
}

/// The source of the announcement that an upstream leaves.
pub(crate) enum LeavingSource<'a> {
    /// The upstream's response to this call.
    Response(CallKind<'a>),
    /// The report of the peer with this address.
    Peer(SocketAddr),
}

/// Logs that an upstream leaves, with the source of the announcement. `age_ms` is the time since the
/// announcement reached the first router.
pub(crate) fn log_leaving(log: &Log, upstream: &Upstream, source: &LeavingSource<'_>, age_ms: u64) {
    let (via, request, peer) = match source {
        LeavingSource::Response(via) => (via.log_name(), via.request(), None),
        LeavingSource::Peer(peer) => ("peer", None, Some(peer.to_string())),
    };
    let line = UpstreamLeaving {
        upstream: upstream.name.as_str(),
        address: upstream.address.to_string(),
        via,
        request,
        peer,
        age_ms,
    };
    log.info("server.leaving", &line);
}

/// Logs that an upstream accepts no requests for `time`, as its response to the call `via` requires.
pub(crate) fn log_wait_period(log: &Log, upstream: &Upstream, time: Duration, via: CallKind<'_>) {
    let line = UpstreamPaused {
        upstream: upstream.name.as_str(),
        wait_ms: ms(time),
        via: via.log_name(),
        request: via.request(),
    };
    log.info("server.waits", &line);
}
