//! Logs changes of what this router believes of an upstream: that it is dead, that it leaves, that it
//! wants nothing for a time. Relies on [`crate::decision_log`] for the lines. Owns nothing.

use crate::call_kind::CallKind;
use crate::decision_log::{UpstreamLeaving, UpstreamPaused, UpstreamStateChanged, ms};
use cloverpier_observe::Log;
use cloverpier_router_policy::prelude::Upstream;
use std::net::SocketAddr;
use std::time::Duration;

/// Logs that what is believed of an upstream has changed, and why.
pub(crate) fn log_belief(
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

/// By whom this router learned that an upstream leaves.
pub(crate) enum LeavingSource<'a> {
    /// By the upstream itself.
    Answer(CallKind<'a>),
    /// By a peer.
    Peer(SocketAddr),
}

/// Logs that an upstream leaves, and by whom that is known.
pub(crate) fn log_leaving(log: &Log, upstream: &Upstream, source: &LeavingSource<'_>, age_ms: u64) {
    let (via, request, peer) = match source {
        LeavingSource::Answer(via) => (via.log_name(), via.request(), None),
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

/// Logs that an upstream has begun to want nothing for a time.
pub(crate) fn log_wait(log: &Log, upstream: &Upstream, time: Duration, via: CallKind<'_>) {
    let line = UpstreamPaused {
        upstream: upstream.name.as_str(),
        wait_ms: ms(time),
        via: via.log_name(),
        request: via.request(),
    };
    log.info("server.waits", &line);
}
