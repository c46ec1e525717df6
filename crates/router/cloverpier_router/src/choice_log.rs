//! Logs which upstream was chosen for an attempt, with the inputs of the choice.
//!
//! The load of the chosen upstream and the numbers of excluded upstreams come from the table of upstreams at the
//! time of logging, so the log line has to be written right after the choice. Owns no state.

use crate::decision_log::{UpstreamChosen, ms, ms_since};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::SoftwareVersion;
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// A proof of the list that is older than this is logged with each choice.
const RECENT_PROOF: Duration = Duration::from_secs(1);

/// The inputs of a choice that the log line contains in addition to the request and the chosen upstream.
pub(crate) struct ChoiceInputs<'a> {
    /// The number of the attempt, from 1. Earlier attempts that did not reach an upstream do not count.
    pub attempt: u32,
    /// The engine that keeps a replica of the attempt's KV cache; `None` without a replica.
    pub replica: Option<&'a Upstream>,
    /// The id of the last event that the caller has, after which the stream resumes; `None` for a stream from its
    /// beginning and for a plain request.
    pub resumes_after: Option<u64>,
    /// The software version that began the stream; `None` if it has not been determined, and for a plain request.
    pub began_version: Option<&'a StreamVersion>,
    /// Whether the upstream was chosen because it has a replica of the last attempt's KV cache.
    pub from_replica: bool,
    /// Whether the request is kept away from other requests, because its content may crash upstreams.
    pub is_isolated: bool,
    /// Number of engines that reported their load in response to a query.
    pub loads_reported: usize,
    /// The load that the chosen upstream reported; `None` if it was not queried or did not respond in time.
    pub reported_load: Option<Load>,
    /// The predicted time to the first event of a stream; `None` while no rate is known, and for a plain request.
    pub predicted: Option<Duration>,
    /// When the choice was made.
    pub now: Instant,
}

impl ChoiceInputs<'_> {
    /// The inputs for the next attempt of a plain request; streams set the other fields.
    pub fn for_next_attempt(attempts: &Attempts, now: Instant) -> Self {
        Self {
            attempt: attempts.sent() + 1,
            replica: None,
            resumes_after: None,
            began_version: None,
            from_replica: false,
            is_isolated: false,
            loads_reported: 0,
            reported_load: None,
            predicted: None,
            now,
        }
    }
}

/// Logs which upstream gets an attempt, with the inputs of the choice.
pub(crate) fn log_choice(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    inputs: &ChoiceInputs<'_>,
) {
    let table = router.upstreams.borrow();
    // An upstream that is no longer in the table has no load.
    let state = table.get(&upstream.name);
    let own_load = state.map_or_else(Load::default, |s| s.own_load);
    let pace_age = state.and_then(|s| s.known_pace.age(inputs.now));
    let peers = table.peer_load.at(UpstreamKey::of(&upstream.name));
    let service = &request.service.name;
    let exclusions = table.exclusion_counts(service, inputs.now);
    let limited = router
        .upstream_limits
        .count_limited(table.of_service(service));
    router.log.info(
        "server.chosen",
        &UpstreamChosen {
            request: &request.id,
            route: &request.route.name,
            service: request.service.name.as_str(),
            upstream: upstream.name.as_str(),
            version: upstream.version().map(SoftwareVersion::as_str),
            attempt: inputs.attempt,
            own_requests: own_load.requests,
            peer_requests: peers.requests,
            unread_tokens: own_load.unread_tokens + peers.unread_tokens,
            replica: inputs.replica.map(|r| r.name.as_str()),
            predicted_ms: inputs.predicted.map(ms),
            pace: state
                .filter(|_| pace_age.is_some())
                .map(|s| s.pace(inputs.now)),
            pace_age_ms: pace_age.map(ms),
            loads_reported: inputs.loads_reported,
            reported_requests: inputs.reported_load.map(|load| load.requests),
            reported_memory: inputs.reported_load.map(|load| load.memory_tokens),
            prompt: request.prompt,
            resumes_after: inputs.resumes_after,
            resumes: request.stream.resumes.as_deref(),
            began_version: inputs.began_version.map(StreamVersion::as_str),
            from_replica: inputs.from_replica,
            is_isolated: inputs.is_isolated,
            listing: state
                .map(UpstreamState::listing)
                .filter(|listing| *listing != Listing::Listed),
            leaving: exclusions.leaving,
            waiting: exclusions.waiting,
            limited: limited.limited,
            without_permit: limited.without_permit,
            configuration_version: request.configuration_version,
            upstreams_revision: table.revision(),
            newer_list_known_ms: router
                .store
                .newer_list_known_since()
                .map(|since| ms_since(since, inputs.now)),
            list_proven_ms: router
                .list_checks
                .proven_at()
                .map(|at| inputs.now.saturating_duration_since(at))
                .filter(|age| *age > RECENT_PROOF)
                .map(ms),
            age_ms: ms_since(request.arrived, inputs.now),
        },
    );
}
