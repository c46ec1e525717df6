//! The log line of a choice, with the inputs that decided it.
//!
//! Relies on the table of upstreams for what was known of the chosen one. Owns no state.

use crate::decision_log::{UpstreamChosen, ms_since};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// The inputs of a choice, for its log line.
pub(crate) struct ChoiceNote<'a> {
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// Where the run's KV cache is replicated.
    pub replica: Option<&'a Upstream>,
    /// The last event that need not be sent.
    pub resumes_after: Option<u64>,
    /// Whether the upstream has a replica of the lost run's KV cache.
    pub from_replica: bool,
    /// Whether the choice kept it apart from other requests.
    pub apart: bool,
    /// Number of engines that said how busy they are.
    pub asked: usize,
    /// What the upstream said.
    pub reported: Option<Load>,
    /// When the choice was made.
    pub now: Instant,
}

impl ChoiceNote<'_> {
    /// A choice for the next attempt of a request.
    pub fn of(attempts: &Attempts, now: Instant) -> Self {
        Self {
            attempt: attempts.sent() + 1,
            replica: None,
            resumes_after: None,
            from_replica: false,
            apart: false,
            asked: 0,
            reported: None,
            now,
        }
    }
}

/// Logs which upstream gets a request, and why that one.
pub(crate) fn log_choice(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    note: &ChoiceNote<'_>,
) {
    let table = router.upstreams.borrow();
    // An upstream that is forgotten by now has no load.
    let own = table.get(&upstream.name).map(|s| s.own_load);
    let own = own.unwrap_or_default();
    let peers = table.peer_load.at(UpstreamKey::of(&upstream.name));
    let service = &request.service.name;
    let out = table.exclusion_counts(service, note.now);
    let limited = router.upstream_limits.limited_of(table.of_service(service));
    router.log.info(
        "server.chosen",
        &UpstreamChosen {
            request: &request.id,
            route: &request.route.name,
            service: request.service.name.as_str(),
            upstream: upstream.name.as_str(),
            attempt: note.attempt,
            own_requests: own.requests,
            peer_requests: peers.requests,
            unread_tokens: own.unread_tokens + peers.unread_tokens,
            replica: note.replica.map(|r| r.name.as_str()),
            loads_reported: note.asked,
            reported_requests: note.reported.map(|load| load.requests),
            reported_memory: note.reported.map(|load| load.memory_tokens),
            prompt: request.prompt,
            resumes_after: note.resumes_after,
            from_replica: note.from_replica,
            is_isolated: note.apart,
            leaving: out.leaving,
            waiting: out.waiting,
            limited: limited.limited,
            without_permit: limited.without_permit,
            configuration_version: request.configuration_version,
            upstreams_revision: table.revision(),
            age_ms: ms_since(request.arrived, note.now),
        },
    );
}
