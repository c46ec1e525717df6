//! When a silent upstream is asked whether it lives, and when it is given up.
//!
//! A upstream that loses power sends no reset. All that is heard from it, on any
//! connection, counts as a sign of life. After a silence it is asked; without
//! an answer it is dead.

use serde::Serialize;
use std::time::{Duration, Instant};

/// A timer that fires this much late means that this process stood still.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);

/// How much silence is borne.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessBounds {
    /// Silence of the upstream after which it is asked.
    pub probe_after: Duration,
    /// Silence after the question that means that it is dead.
    pub probe_timeout: Duration,
    /// Silence of this stream, from a living upstream, after which it goes on elsewhere.
    pub stall_after: Duration,
}

/// What to do about a silent upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LivenessStep {
    /// Look again at this moment.
    #[serde(skip)]
    WaitUntil(Instant),
    /// Ask the upstream.
    Ask,
    /// The upstream is dead: go on elsewhere.
    UpstreamDead,
    /// The upstream lives and this stream is stuck: go on elsewhere.
    Stalled,
}

/// The silence of one stream and its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    bounds: LivenessBounds,
    /// The last event of this stream, or when it was sent.
    progressed: Instant,
    /// When the timer should have fired that is awaited now.
    awaited: Instant,
    /// Until when silence isn't held against the upstream, as this process slept.
    paused_until: Instant,
}

impl Liveness {
    /// A stream that was sent just now.
    pub fn new(bounds: LivenessBounds, now: Instant) -> Self {
        Self {
            bounds,
            progressed: now,
            awaited: now,
            paused_until: now,
        }
    }

    /// Sets other bounds, as when the first event has come.
    pub fn set_bounds(&mut self, bounds: LivenessBounds) {
        self.bounds = bounds;
    }

    /// Notes an event of this stream.
    pub fn on_event(&mut self, now: Instant) {
        self.progressed = now;
        self.awaited = now;
    }

    /// Decides, given when the upstream was heard last and since when it is being asked.
    pub fn step(&mut self, heard: Instant, asked: Option<Instant>, now: Instant) -> LivenessStep {
        if now.saturating_duration_since(self.awaited) > PAUSE_THRESHOLD {
            self.paused_until = now;
        }
        let since = heard.max(self.paused_until);
        if now.saturating_duration_since(self.progressed.max(self.paused_until))
            >= self.bounds.stall_after
        {
            return LivenessStep::Stalled;
        }
        match asked {
            Some(at) => self.while_probing(at.max(since), now),
            None => self.while_idle(since, now),
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
        let ask_at = since + self.bounds.probe_after;
        if now >= ask_at {
            return LivenessStep::Ask;
        }
        self.wait_until(ask_at)
    }

    fn wait_until(&mut self, at: Instant) -> LivenessStep {
        let stuck_at = self.progressed.max(self.paused_until) + self.bounds.stall_after;
        self.awaited = at.min(stuck_at);
        LivenessStep::WaitUntil(self.awaited)
    }
}
