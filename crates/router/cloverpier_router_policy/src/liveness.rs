//! Failure detection while a request waits: when a silent upstream is probed and when it is declared
//! dead.
//!
//! - **Question.** Nothing arrives from an upstream that has a request. Should the router wait, probe
//!   the upstream, declare it dead, or consider moving only this request?
//! - **Inputs.** When data last arrived from the upstream, on any connection; since when a probe is in
//!   flight; when this request last made progress; [`LivenessBounds`]; the current time.
//! - **Answer.** A [`LivenessStep`].
//! - **Why.** A host that loses power sends no reset, so silence is the only evidence. But a busy engine
//!   is also silent while it processes a prompt, and after a false alarm another engine has to process
//!   the prompt again. So silence leads to a probe, and only an unanswered probe to the decision
//!   that the upstream is dead.
//!
//! What becomes of the request then is decided in [`crate::silence`]. [`Liveness`] owns the state of one waiting request.
//! It relies on its caller to call [`Liveness::step`] at the times that it returns: a late call shows that this process itself was
//! paused.

use std::time::{Duration, Instant};

/// A timer that fires later than this shows that this process was paused (the VM was frozen or the
/// process had no CPU), so the silence is no evidence against the upstream.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);

/// Silence after which the upstream of a plain (non-streaming) request is probed, as a multiple of the
/// route's response time objective.
const PLAIN_PROBE_FACTOR: f64 = 1.0;
/// Time without progress after which a plain request may move to another upstream, as a multiple of the
/// route's response time objective. By then the response is late, and another upstream may still respond
/// before the caller's deadline.
const PLAIN_STALL_FACTOR: f64 = 2.0;

/// Timeouts for a waiting request and its silent upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessBounds {
    /// Silence of the upstream, on all connections, after which it is probed.
    pub probe_after: Duration,
    /// Silence of the upstream after the start of a probe, after which it is declared dead.
    pub probe_timeout: Duration,
    /// Time without progress of this request after which it counts as stalled, even if its upstream is
    /// alive.
    pub stall_after: Duration,
}

impl LivenessBounds {
    /// Timeouts for a plain (non-streaming) request. `objective` is the route's response time objective.
    pub fn of_plain(objective: Duration, probe_timeout: Duration) -> Self {
        Self {
            probe_after: objective.mul_f64(PLAIN_PROBE_FACTOR),
            probe_timeout,
            stall_after: objective.mul_f64(PLAIN_STALL_FACTOR),
        }
    }
}

/// What a router does next for a request whose upstream is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessStep {
    /// Wait, and call [`Liveness::step`] again at this time.
    WaitUntil(Instant),
    /// Probe the upstream.
    Probe,
    /// The upstream does not respond to probes: it gets no new requests.
    UpstreamDead,
    /// The upstream may be alive, but this request makes no progress.
    Stalled,
}

/// Tracks the silence of a request's upstream and the progress of the request.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    bounds: LivenessBounds,
    /// When the last event of the stream, or part of a plain response, arrived; before the first, when
    /// the request was sent.
    last_progress: Instant,
    /// When the current wait should end.
    expected_wakeup: Instant,
    /// Silence before this time is ignored, because this process was paused.
    paused_until: Instant,
    /// When the request counts as stalled again after a decision that it waits on; `None` before such a decision.
    stalled_again_at: Option<Instant>,
    /// The upstream must not be probed before this time; `None` if it may be probed now.
    no_probe_before: Option<Instant>,
}

impl Liveness {
    /// The state of a request that is sent at `now`.
    pub fn new(bounds: LivenessBounds, now: Instant) -> Self {
        Self {
            bounds,
            last_progress: now,
            expected_wakeup: now,
            paused_until: now,
            stalled_again_at: None,
            no_probe_before: None,
        }
    }

    /// Delays probes until the given time, because the upstream accepts none earlier
    /// ([`cloverpier_core::wait`]) or a probe still waits for its permit. `None` allows probes at any time.
    pub fn hold_probes_until(&mut self, earliest: Option<Instant>) {
        self.no_probe_before = earliest;
    }

    /// Replaces the timeouts, for example after the first event of a stream has arrived.
    pub fn set_bounds(&mut self, bounds: LivenessBounds) {
        self.bounds = bounds;
        self.stalled_again_at = None;
    }

    /// When the request last made progress, or this process resumed after a pause.
    pub fn last_progress(&self) -> Instant {
        self.last_progress.max(self.paused_until)
    }

    /// The time without progress. Time before a pause of this process does not count.
    pub fn without_progress(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_progress.max(self.paused_until))
    }

    /// Lets the request wait without progress for so long from now on, before it counts as stalled again.
    pub fn extend_stall(&mut self, further: Duration, now: Instant) {
        self.stalled_again_at = Some(now + further);
    }

    /// Records that an event of the stream, or a part of a plain response, arrived.
    pub fn on_event(&mut self, now: Instant) {
        self.last_progress = now;
        self.stalled_again_at = None;
        self.expected_wakeup = now;
    }

    /// Records that the wait has ended at `now`. If that is late, this process was paused.
    pub fn on_wakeup(&mut self, now: Instant) {
        if now.saturating_duration_since(self.expected_wakeup) > PAUSE_THRESHOLD {
            self.paused_until = now;
            self.stalled_again_at = None;
        }
        self.expected_wakeup = self.expected_wakeup.max(now);
    }

    /// Records that the next wait ends at `at`, and returns that time.
    pub fn expect_wakeup_at(&mut self, at: Instant) -> Instant {
        self.expected_wakeup = at;
        at
    }

    /// Decides the next step. `last_activity` is when data last arrived from the upstream on any
    /// connection; `probing_since` is when the probe in flight was sent, `None` without one.
    pub fn step(
        &mut self,
        last_activity: Instant,
        probing_since: Option<Instant>,
        now: Instant,
    ) -> LivenessStep {
        self.on_wakeup(now);
        if now >= self.stalled_at() {
            return LivenessStep::Stalled;
        }
        let silent_since = last_activity.max(self.paused_until);
        match probing_since {
            Some(probe_sent) => self.while_probing(silent_since.max(probe_sent), now),
            None => self.without_probe(silent_since, now),
        }
    }

    fn while_probing(&mut self, silent_since: Instant, now: Instant) -> LivenessStep {
        let dead_at = silent_since + self.bounds.probe_timeout;
        if now >= dead_at {
            return LivenessStep::UpstreamDead;
        }
        self.wait_until(dead_at)
    }

    fn without_probe(&mut self, silent_since: Instant, now: Instant) -> LivenessStep {
        let probe_at = silent_since + self.bounds.probe_after;
        let probe_at = self
            .no_probe_before
            .map_or(probe_at, |earliest| probe_at.max(earliest));
        if now >= probe_at {
            return LivenessStep::Probe;
        }
        self.wait_until(probe_at)
    }

    fn wait_until(&mut self, at: Instant) -> LivenessStep {
        LivenessStep::WaitUntil(self.expect_wakeup_at(at.min(self.stalled_at())))
    }

    fn stalled_at(&self) -> Instant {
        let first = self.last_progress.max(self.paused_until) + self.bounds.stall_after;
        self.stalled_again_at.unwrap_or(first)
    }
}
