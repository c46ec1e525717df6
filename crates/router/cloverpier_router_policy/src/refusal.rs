//! Computes when a refused caller should retry.
//!
//! - **Question.** A request was refused and has not run. After which time should its caller retry?
//! - **Inputs.** The reason for the refusal; for a request that no upstream could take, the route's objective; the
//!   pause that the upstreams of the service have requested; the delay until a permit is free where they limit
//!   their request rate.
//! - **Result.** A duration, which callers receive as `Retry-After`; none where a retry is in vain.
//! - **Why.** A router refuses such a request at once and does not hold it. A caller that retries too early meets
//!   the same state; a caller that retries too late misses the objective, which is the time within which a
//!   response counts as on time. Callers that wait for the same moment retry one after the other, in the order of
//!   their refusals.
//!
//! Owns no state.

use crate::choice::NoUpstream;
use crate::stream_version::lookup::UnknownOrigin;
use crate::upstream_table::ServiceWait;
use std::time::Duration;

/// `Retry-After` of a request that no upstream could take, as a fraction of its route's objective: the retry still
/// has most of the objective left.
const RETRY_OBJECTIVE_FRACTION: f64 = 0.4;
/// Callers that were refused during a pause of all upstreams are spread over at most this fraction of the time that
/// their objective leaves after the pause.
const SPREAD_OBJECTIVE_FRACTION: f64 = 0.2;
/// Minimum `Retry-After`, however short the objective is.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);
/// Maximum `Retry-After` of a request that no upstream could take, however long the objective is.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// `Retry-After` of a router that is starting: it receives the configuration within about this time or not at all.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` where the cause is this router alone: another router can serve the request at once.
const OTHER_ROUTER_RETRY_AFTER: Duration = Duration::from_millis(10);
/// `Retry-After` of a request that resumes a stream while all upstreams of the stream's version are dead: upstreams that
/// crash are back within about 2.5 s.
const VERSION_AWAY_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` of a directory without a ready router: the next heartbeat may report one. Heartbeats are sent every
/// 200 ms by default.
const DIRECTORY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The reason why a request is refused before it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This router has no configuration or no list of upstreams yet, or its configuration lacks the service.
    Starting,
    /// This router shuts down, and the request would take longer than the shutdown.
    Stopping,
    /// The buffered bodies of other requests take the memory that this router may use for them.
    BufferMemoryFull,
    /// This router reaches the service's upstreams only through peers, and no peer took the request.
    CutOff,
    /// A directory request found no router that is ready for callers.
    NoReadyRouter,
    /// The request resumes a stream, and no other router replied to this one that may know the stream's software version.
    StreamUnknownHere,
    /// The request resumes a stream, and the store has not confirmed for a while which versions there are.
    StreamUnproven,
    /// The request resumes a stream, and all upstreams of its software version have crashed.
    StreamVersionAway,
    /// The request resumes a stream that can continue nowhere: its software version could not be determined, or no upstream of
    /// that version is left. The caller has to begin the stream again.
    StreamLost,
    /// No upstream could take the request.
    NoUpstream {
        /// The time within which a response of the route counts as on time.
        objective: Duration,
    },
    /// All upstreams of the service have requested a pause (`Retry-After`).
    UpstreamsPaused {
        /// The time until the first upstream accepts requests again, and the time since the last pause began.
        wait: ServiceWait,
        /// The time within which a response of the route counts as on time.
        objective: Duration,
    },
    /// Other streams go before this one, and its turn is predicted.
    BehindOthers {
        /// The predicted time until its turn.
        turn: Duration,
    },
    /// All upstreams of the service limit their request rate.
    UpstreamsRateLimited {
        /// The time until a permit is free for this caller, after the callers that were refused before.
        permit_delay: Duration,
    },
}

/// The state of a service at this router when no upstream took a request.
#[derive(Clone, Copy, Debug)]
pub struct ServiceState {
    /// Why no upstream got the request; `None` if the attempts at upstreams failed.
    pub no_upstream: Option<NoUpstream>,
    /// The pause that all upstreams of the service have requested; `None` if one of them accepts requests.
    pub wait: Option<ServiceWait>,
    /// Whether this router reaches the service only through peers.
    pub is_cut_off: bool,
    /// The time within which a response of the route counts as on time.
    pub objective: Duration,
}

/// The reason for a refusal. A caller is sent to another router at once only if nothing but this router's lost paths
/// explains the refusal: where all upstreams are full or paused, other routers refuse as well.
pub fn reason_for_refusal(state: ServiceState) -> Refusal {
    let objective = state.objective;
    match (state.no_upstream, state.wait) {
        (Some(NoUpstream::AllRateLimited { retry }), _) => Refusal::UpstreamsRateLimited {
            permit_delay: retry,
        },
        (Some(NoUpstream::Stopping), _) => Refusal::Stopping,
        (
            Some(NoUpstream::NoTurn {
                retry_after: Some(turn),
            }),
            None,
        ) => Refusal::BehindOthers { turn },
        (Some(NoUpstream::UnknownVersion(UnknownOrigin::NoReply)), _) => Refusal::StreamUnknownHere,
        (Some(NoUpstream::UnknownVersion(UnknownOrigin::Unproven)), _) => Refusal::StreamUnproven,
        (Some(NoUpstream::UnknownVersion(_)), _) => Refusal::StreamLost,
        (Some(NoUpstream::NoneOfVersion { is_listed }), None) if is_listed => {
            Refusal::StreamVersionAway
        }
        (Some(NoUpstream::NoneOfVersion { .. }), None) => Refusal::StreamLost,
        (_, Some(wait)) => Refusal::UpstreamsPaused { wait, objective },
        (Some(NoUpstream::AllFull | NoUpstream::NoTurn { .. }), None) => {
            Refusal::NoUpstream { objective }
        }
        _ if state.is_cut_off => Refusal::CutOff,
        _ => Refusal::NoUpstream { objective },
    }
}

/// The time after which a refused caller should retry; `None` if a retry is in vain.
pub fn retry_after(refusal: Refusal) -> Option<Duration> {
    let delay = match refusal {
        Refusal::StreamLost => return None,
        // A router that has just started gets the confirmation about as soon as the configuration.
        Refusal::Starting | Refusal::StreamUnproven => STARTING_RETRY_AFTER,
        Refusal::Stopping
        | Refusal::BufferMemoryFull
        | Refusal::CutOff
        | Refusal::StreamUnknownHere => OTHER_ROUTER_RETRY_AFTER,
        Refusal::StreamVersionAway => VERSION_AWAY_RETRY_AFTER,
        Refusal::NoReadyRouter => DIRECTORY_RETRY_AFTER,
        Refusal::NoUpstream { objective } => {
            let wait = objective.mul_f64(RETRY_OBJECTIVE_FRACTION);
            wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        }
        Refusal::UpstreamsPaused { wait, objective } => after_pause(wait, objective),
        Refusal::BehindOthers { turn } => turn.max(MIN_RETRY_AFTER),
        Refusal::UpstreamsRateLimited { permit_delay } => permit_delay.max(MIN_RETRY_AFTER),
    };
    Some(delay)
}

/// When the caller of a request should retry that was refused while all upstreams paused.
fn after_pause(wait: ServiceWait, objective: Duration) -> Duration {
    // Before the pause ends, no upstream serves the request, however short its objective is. If all callers retried when
    // the pause ends, they would meet full upstreams.
    let time_left = objective.saturating_sub(wait.remaining);
    let spread = wait
        .elapsed
        .min(time_left.mul_f64(SPREAD_OBJECTIVE_FRACTION));
    (wait.remaining + spread).max(MIN_RETRY_AFTER)
}
