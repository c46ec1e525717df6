//! Suspected upstreams: how they are checked, and what their number says of a data centre.
//!
//! - **Question.** An upstream was declared dead. When is it checked again, what does a
//!   check's answer mean, and are the other upstreams of its data centre worth a try?
//! - **Inputs.** When it was suspected, by this router or by a peer; when its entry vanished
//!   from the platform's list; how many upstreams of a service in a data centre are listed,
//!   and how many of them are suspected.
//! - **Answer.** Times of checks; a [`CheckResult`]; whether a data centre seems dead.
//! - **Why.** A suspected upstream gets nothing new, so only a check can clear it. On the
//!   platform's sites most engines of a data centre die together, and each dead one that is
//!   tried costs a request time.
//!
//! `cloverpierd` has no such state: its operators list upstreams, and after a failure one is
//! a last resort for a while (`cloverpier_route::view`).
//!
//! The state itself is kept per upstream in [`crate::upstream::UpstreamState`].

use crate::successor::CHECK_PAUSE;
use cloverpier_core::UpstreamName;
use std::time::{Duration, Instant};

/// Pause before the second check of a suspect; doubled up to [`MAX_CHECK_BACKOFF`].
const INITIAL_CHECK_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause between two checks.
const MAX_CHECK_BACKOFF: Duration = Duration::from_millis(1_000);
/// How often due checks are looked for.
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// How long a check waits for connection and answer.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a probe of a silent upstream waits in the background; the verdict that the upstream is
/// dead comes earlier, by [`crate::liveness::LivenessBounds::probe_timeout`].
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// A probe whose connection breaks is repeated after this time: well within the time for which a request
/// waits for the judgement of its last attempt ([`cloverpier_crashes::tracker::MAX_HOLD`]).
pub const REPROBE_AFTER: Duration = Duration::from_millis(40);
/// Probes in a row at most, where each is reset: about as long as one may stay unanswered.
pub const MAX_PROBES: u32 = 25;
/// How long the connection that carries probes may take to come up.
pub const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer's suspicion counts. Heartbeats repeat it each 200 ms by default, so it ends
/// about a second after the peer has cleared the upstream.
pub const PEER_SUSPICION_TTL: Duration = Duration::from_millis(1_000);
/// Entries of living upstreams that lapsed in an outage of the platform's store are back
/// within two seconds of its end: the platform's bound.
pub const RETURN_WINDOW: Duration = Duration::from_millis(2_000);

/// A data centre seems dead to a service from this number of suspects on, as one or two engines
/// crash alone.
const MIN_SUSPECTS: usize = 3;
/// And from this part of the service's upstreams there.
const MIN_SUSPECT_SHARE: f64 = 0.2;

/// Why an upstream gets no requests although it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub since: Instant,
    next_check: Instant,
    backoff: Duration,
    /// It is checked closely until then, as a successor would be recognized.
    successor_until: Option<Instant>,
}

impl Suspicion {
    /// A suspicion that is checked at once.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            next_check: now,
            backoff: INITIAL_CHECK_BACKOFF,
            successor_until: None,
        }
    }

    /// Has the upstream checked closely until a moment.
    pub fn await_successor(&mut self, until: Instant) {
        self.successor_until = Some(until);
    }

    /// Whether a check is due; if so, the next one is scheduled.
    pub fn start_due_check(&mut self, now: Instant) -> bool {
        if now < self.next_check {
            return false;
        }
        let is_close = self.successor_until.is_some_and(|until| now < until);
        if is_close {
            self.next_check = now + CHECK_PAUSE;
            return true;
        }
        self.next_check = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_CHECK_BACKOFF);
        true
    }
}

/// What the answer to a check means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The upstream lives.
    Alive,
    /// Another process answers at its address: this upstream is gone.
    Replaced,
}

/// Reads the answer to a check, which may name the upstream that gave it.
pub fn check_result(expected: &UpstreamName, answering: Option<&UpstreamName>) -> CheckResult {
    if answering.is_some_and(|name| name != expected) {
        CheckResult::Replaced
    } else {
        CheckResult::Alive
    }
}

/// Upstreams of one service in one data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DataCentreCounts {
    pub listed: usize,
    pub suspected: usize,
}

impl DataCentreCounts {
    /// Whether enough are suspected that the others are probably dead, too.
    pub fn seems_dead(self) -> bool {
        let share = self.listed as f64 * MIN_SUSPECT_SHARE;
        self.suspected >= MIN_SUSPECTS && self.suspected as f64 >= share
    }
}
