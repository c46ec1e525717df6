//! Logs changes of what this router believes of an upstream: that it is dead, that it leaves, that it
//! wants nothing for a time. Relies on [`crate::decision_log`] for the lines. Owns nothing.

use crate::decision_log::{LeavingLearned, UpstreamBelief, WaitLearned, ms};
use crate::router::Router;
use cloverpier_router_policy::prelude::Upstream;
use std::net::SocketAddr;
use std::time::Duration;

/// The call whose answer said something of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Via<'a> {
    /// A request of a caller, by its id.
    Request(&'a str),
    /// A probe of a silent upstream.
    Probe,
    /// A check of a suspected one.
    Check,
    /// A question about its load.
    LoadQuestion,
    /// A question about the prompts that it has read.
    CacheQuestion,
}

impl Via<'_> {
    /// Its word in log lines.
    fn word(&self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Probe => "probe",
            Self::Check => "check",
            Self::LoadQuestion => "load",
            Self::CacheQuestion => "cache",
        }
    }

    /// The request's id, if it was one.
    fn request(&self) -> Option<&str> {
        match self {
            Self::Request(id) => Some(id),
            _ => None,
        }
    }
}

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

/// By whom this router learned that an upstream leaves.
pub(crate) enum LeavingSource<'a> {
    /// By the upstream itself.
    Answer(Via<'a>),
    /// By a peer.
    Peer(SocketAddr),
}

/// Logs that an upstream leaves, and by whom that is known.
pub(crate) fn log_leaving(
    router: &Router,
    upstream: &Upstream,
    source: &LeavingSource<'_>,
    age_ms: u64,
) {
    let (via, request, peer) = match source {
        LeavingSource::Answer(via) => (via.word(), via.request(), None),
        LeavingSource::Peer(peer) => ("peer", None, Some(peer.to_string())),
    };
    let line = LeavingLearned {
        upstream: upstream.name.as_str(),
        address: upstream.address.to_string(),
        via,
        request,
        peer,
        age_ms,
    };
    router.log.info("server.leaving", &line);
}

/// Logs that an upstream has begun to want nothing for a time.
pub(crate) fn log_wait(router: &Router, upstream: &Upstream, time: Duration, via: Via<'_>) {
    let line = WaitLearned {
        upstream: upstream.name.as_str(),
        wait_ms: ms(time),
        via: via.word(),
        request: via.request(),
    };
    router.log.info("server.waits", &line);
}
