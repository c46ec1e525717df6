//! When a silent upstream is probed and when it is declared dead.
//!
//! - **Question.** An upstream that has a request says nothing: wait, probe it, declare it
//!   dead, or move this stream alone?
//! - **Inputs.** When the upstream was active last, on any connection; since when a probe is
//!   under way; when this stream progressed last; [`LivenessBounds`]; the present moment.
//! - **Answer.** A [`LivenessStep`].
//! - **Why.** A host that loses power sends no reset, so silence is all there is to see. But
//!   a busy engine is silent, too, while it reads a prompt, and a false alarm costs reading
//!   a prompt again. So silence leads to a probe, and only an unanswered probe to a verdict.
//!
//! [`Liveness`] is the state of one wait. It relies on being stepped at the moments that it
//! asks for: that is how it notices that this process itself was paused.

use std::time::{Duration, Instant};

/// If a timer fires later than this, this process was paused (VM freeze, no CPU), so the silence is
/// no evidence against the upstream.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);

/// A silent plain upstream is probed after this many objectives of the route.
const PLAIN_PROBE_OBJECTIVES: f64 = 1.0;
/// A plain answer that may be had from another upstream is given up after this many objectives: by
/// then it is late, and the other one may still be in time for the caller's deadline.
const PLAIN_STALL_OBJECTIVES: f64 = 2.0;

/// Bounds on silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessBounds {
    /// Silence of the upstream after which it is probed.
    pub probe_after: Duration,
    /// Silence after the probe's start that means that the upstream is dead.
    pub probe_timeout: Duration,
    /// Time without progress of this stream, at a living upstream, after which it is moved.
    pub stall_after: Duration,
}

impl LivenessBounds {
    /// Bounds for a plain request.
    ///
    /// `has_alternative` says whether another upstream may get the request; without one it
    /// waits for the whole `route_timeout`.
    pub fn of_plain(
        objective: Duration,
        route_timeout: Duration,
        probe_timeout: Duration,
        has_alternative: bool,
    ) -> Self {
        Self {
            probe_after: objective.mul_f64(PLAIN_PROBE_OBJECTIVES),
            probe_timeout,
            stall_after: if has_alternative {
                objective.mul_f64(PLAIN_STALL_OBJECTIVES)
            } else {
                route_timeout
            },
        }
    }

    /// The same bounds for a stream whose pauses are in time up to `gap_objective`: it is not
    /// moved before it is late.
    #[must_use]
    pub fn with_gap_objective(self, gap_objective: Option<Duration>) -> Self {
        let stall_after = match gap_objective {
            Some(gap) => self.stall_after.max(gap),
            None => self.stall_after,
        };
        Self {
            stall_after,
            ..self
        }
    }
}

/// What to do about a silent upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessStep {
    /// Wait and decide again at this moment.
    WaitUntil(Instant),
    /// Probe the upstream.
    Probe,
    /// The upstream is dead: continue at another one.
    UpstreamDead,
    /// The upstream lives and this stream does not progress: continue at another one.
    Stalled,
}

/// The silence of one stream and its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    bounds: LivenessBounds,
    /// The last event of this stream, or the moment when it was sent.
    progressed: Instant,
    /// When the timer should have fired that is awaited now.
    awaited: Instant,
    /// Silence before this moment does not count, as this process was paused.
    paused_until: Instant,
    /// The upstream is not probed before; `None` where it may be now.
    probes_from: Option<Instant>,
}

impl Liveness {
    /// A stream that was sent just now.
    pub fn new(bounds: LivenessBounds, now: Instant) -> Self {
        Self {
            bounds,
            progressed: now,
            awaited: now,
            paused_until: now,
            probes_from: None,
        }
    }

    /// Holds probes back until a moment, as the upstream wants nothing before ([`cloverpier_core::wait`]).
    pub fn hold_probes_until(&mut self, from: Option<Instant>) {
        self.probes_from = from;
    }

    /// Sets other bounds, as when the first event has arrived.
    pub fn set_bounds(&mut self, bounds: LivenessBounds) {
        self.bounds = bounds;
    }

    /// Records an event of this stream.
    pub fn on_event(&mut self, now: Instant) {
        self.progressed = now;
        self.awaited = now;
    }

    /// Decides, given the upstream's last activity and since when it is being probed.
    pub fn step(
        &mut self,
        last_activity: Instant,
        probing_since: Option<Instant>,
        now: Instant,
    ) -> LivenessStep {
        if now.saturating_duration_since(self.awaited) > PAUSE_THRESHOLD {
            self.paused_until = now;
        }
        if now >= self.stalled_at() {
            return LivenessStep::Stalled;
        }
        let silent_since = last_activity.max(self.paused_until);
        match probing_since {
            Some(probed) => self.while_probing(silent_since.max(probed), now),
            None => self.while_idle(silent_since, now),
        }
    }

    fn while_probing(&mut self, since: Instant, now: Instant) -> LivenessStep {
        let dead_at = since + self.bounds.probe_timeout;
        if now >= dead_at {
            return LivenessStep::UpstreamDead;
        }
        self.wait_until(dead_at)
    }

    fn while_idle(&mut self, since: Instant, now: Instant) -> LivenessStep {
        let probe_at = since + self.bounds.probe_after;
        let probe_at = self.probes_from.map_or(probe_at, |from| probe_at.max(from));
        if now >= probe_at {
            return LivenessStep::Probe;
        }
        self.wait_until(probe_at)
    }

    fn wait_until(&mut self, at: Instant) -> LivenessStep {
        self.awaited = at.min(self.stalled_at());
        LivenessStep::WaitUntil(self.awaited)
    }

    fn stalled_at(&self) -> Instant {
        self.progressed.max(self.paused_until) + self.bounds.stall_after
    }
}
