//! Failure detection after an upstream was declared dead: when it is checked, and whether its data
//! centre is down.
//!
//! - **Question.** An upstream was declared dead and is suspected. When is it checked again, what does
//!   the response to a check mean, and should requests avoid the other upstreams of its data centre?
//! - **Inputs.** When the upstream was suspected, by this router or by a peer; when its entry was
//!   removed from the platform's list; how many upstreams of a service are listed in a data centre,
//!   and how many of them are suspected.
//! - **Answer.** The times of checks; a [`CheckResult`]; whether a data centre seems to be down.
//! - **Why.** A suspected upstream gets no new requests, so only a check can clear it. When a data
//!   centre fails, most of its engines fail together, and each attempt at a dead engine delays a
//!   request.
//!
//! `cloverpierd` has no such state: its operators list upstreams, and after a failure it uses an
//! upstream only as a last resort for a while (`cloverpier_route::view`).
//!
//! Owns the constants and rules; [`crate::upstream::UpstreamState`] holds the suspicion of each
//! upstream.

use crate::successor::SUCCESSOR_CHECK_PERIOD;
use cloverpier_core::UpstreamName;
use std::time::{Duration, Instant};

/// Delay between the first and the second check of a suspected upstream; doubled for each further
/// check up to [`MAX_CHECK_BACKOFF`].
const INITIAL_CHECK_BACKOFF: Duration = Duration::from_millis(150);
/// Longest delay between two checks of a suspected upstream.
const MAX_CHECK_BACKOFF: Duration = Duration::from_millis(1_000);
/// Interval at which a router looks for suspected upstreams whose check is due.
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Timeout of a check, from the connection attempt to the end of the response.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// How long after the suspicion of an upstream began a check is sent through a peer as well: a response that arrived
/// there too late for the probe shows that only this router's path has failed.
pub const RECENT_SUSPICION: Duration = Duration::from_millis(1_000);
/// Timeout of a probe's HTTP request to a silent upstream. Usually a waiting request declares the
/// upstream dead earlier, after [`crate::liveness::LivenessBounds::probe_timeout`].
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a probe whose connection broke is repeated. Well below the time for which a request
/// is held until its last attempt is classified as a crash or not
/// ([`cloverpier_crashes::tracker::MAX_HOLD`]).
pub const PROBE_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum number of consecutive probes while each connection is reset. With
/// [`PROBE_RETRY_DELAY`] between them they take about as long as one probe may stay unanswered
/// ([`PROBE_TIMEOUT`]).
pub const MAX_PROBES: u32 = 25;
/// Connect timeout for the connection that carries probes.
pub const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer's report that it suspects an upstream counts. Heartbeats repeat the report every
/// 200 ms by default, so the suspicion ends about a second after the peer has cleared the upstream.
pub const PEER_SUSPICION_TTL: Duration = Duration::from_millis(1_000);
/// Time within which running upstreams whose entries expired during an outage of the platform's store
/// are listed again after the outage: the platform guarantees two seconds.
pub const RELIST_WINDOW: Duration = Duration::from_millis(2_000);
/// How long nobody must have reached the store, as far as this router knows, before entries may expire: upstreams renew
/// theirs, and one expires after several renewals are missed. A router that stood still, or whose watchers all read the
/// store again after it lost its history, misses it for less.
pub const MIN_OUTAGE: Duration = Duration::from_millis(500);
/// How long a successor is used that a reachable store does not list. A starting upstream registers at once, and the news
/// of an entry takes half a second.
pub(crate) const UNLISTED_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after an outage of the platform's store within which a router learns of the entries that expired during the
/// outage. An entry that is found removed later was removed while the store was reachable, so its upstream leaves.
pub(crate) const EXPIRY_WINDOW: Duration = Duration::from_millis(2_000);

/// Minimum number of suspected upstreams of a service at which a data centre seems to be down: one
/// or two engines may crash independently.
const MIN_SUSPECTS: usize = 3;
/// Minimum fraction of a service's upstreams in a data centre that are suspected when the data centre
/// seems to be down.
const MIN_SUSPECT_SHARE: f64 = 0.2;

/// This router's suspicion that an upstream is dead, with the schedule of its checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub since: Instant,
    next_check: Instant,
    backoff: Duration,
    /// Checks are due every [`SUCCESSOR_CHECK_PERIOD`] until then, to find a successor in time.
    frequent_checks_until: Option<Instant>,
}

impl Suspicion {
    /// A new suspicion; the first check is due immediately.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            next_check: now,
            backoff: INITIAL_CHECK_BACKOFF,
            frequent_checks_until: None,
        }
    }

    /// Makes checks due every [`SUCCESSOR_CHECK_PERIOD`] until the given moment.
    pub fn check_frequently_until(&mut self, until: Instant) {
        self.frequent_checks_until = Some(until);
    }

    /// Returns whether a check is due; if so, schedules the next one.
    pub fn start_due_check(&mut self, now: Instant) -> bool {
        if now < self.next_check {
            return false;
        }
        let is_frequent = self.frequent_checks_until.is_some_and(|until| now < until);
        if is_frequent {
            self.next_check = now + SUCCESSOR_CHECK_PERIOD;
            return true;
        }
        self.next_check = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_CHECK_BACKOFF);
        true
    }
}

/// What the response to a check of an upstream shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The upstream responded, so it is alive.
    Alive,
    /// Another process responded at the upstream's address, so the upstream has ended.
    Replaced,
}

/// Classifies the response to a probe or check of the upstream `expected`. `responder` is the name in
/// the response; a response without a name (`None`) counts as the expected upstream's.
pub fn check_result(expected: &UpstreamName, responder: Option<&UpstreamName>) -> CheckResult {
    if responder.is_some_and(|name| name != expected) {
        CheckResult::Replaced
    } else {
        CheckResult::Alive
    }
}

/// Numbers of a service's listed and suspected upstreams in one data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DataCentreCounts {
    pub listed: usize,
    pub suspected: usize,
}

impl DataCentreCounts {
    /// Whether so many upstreams are suspected that the others have probably failed, too.
    pub fn seems_down(self) -> bool {
        let min_suspected = self.listed as f64 * MIN_SUSPECT_SHARE;
        self.suspected >= MIN_SUSPECTS && self.suspected as f64 >= min_suspected
    }
}
