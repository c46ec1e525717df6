//! Limits that upstreams name: how many requests a second each takes from all routers together.
//!
//! - **Question.** What does an upstream take now, given what its answers said, here and at peers?
//! - **Inputs.** The rate that an answer names, or that it names none; within which time the upstream
//!   wrote that answer.
//! - **Answer.** Its [`Rate`], or that it is not limited; what an answer changes of that; what is
//!   reported to peers.
//! - **Why.** An upstream names a rate in its answers while it is in need. Answers overtake each other, so
//!   one that names nothing ends a limit only if the upstream wrote it later than the last one that named
//!   it, which is certain only of an answer to a request that was sent after that one had arrived. Of two
//!   answers whose order is not known the lower rate counts. Where a rate rises or ends, what is sent rises
//!   by slow start: all routers learn it within milliseconds, and the upstream would be the least loaded
//!   one to each of them.
//!
//! Owns the limits. A limit binds one start of an upstream; whoever learns of the next start has it
//! forgotten.

mod rate;
mod report;

pub use rate::Rate;
pub use report::{LimitReport, in_messages};

use crate::upstream::UpstreamKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How many times more may be sent after each second of slow start.
const GROWTH_PER_SECOND: f64 = 4.0;
/// How long slow start lasts after the end of a limit.
const SLOW_START: Duration = Duration::from_secs(3);
/// The end of a limit is remembered for longer than any message about the limit is under way.
const ENDED_KEPT_FOR: Duration = Duration::from_secs(60);

/// Within which time an upstream wrote an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenBetween {
    /// When the request was sent.
    pub sent: Instant,
    /// When the answer arrived.
    pub heard: Instant,
}

impl WrittenBetween {
    /// Whether an answer was certainly written later than another one.
    fn is_after(self, other: Self) -> bool {
        self.sent >= other.heard
    }
}

/// What an answer says of its sender's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitStatement {
    /// It names none.
    #[default]
    Unnamed,
    /// It names this one.
    Named(Rate),
    /// It names one that cannot be read.
    Unreadable,
}

/// What an answer, or a peer's report, changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing.
    Nothing,
    /// The upstream limits itself from now on.
    Begun(Rate),
    /// It names another rate.
    Changed {
        /// The rate before.
        from: Rate,
        /// The rate from now on.
        to: Rate,
    },
    /// It names none any more.
    Ended(Rate),
}

/// From which rate on, and since when, what is sent rises to what is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SlowStart {
    from: Rate,
    since: Instant,
}

impl SlowStart {
    fn rate(self, now: Instant) -> Rate {
        let passed = now.saturating_duration_since(self.since);
        // Beyond this, growth has left all rates behind.
        let seconds = passed.as_secs_f64().min(30.0);
        self.from.times(GROWTH_PER_SECOND.powf(seconds))
    }
}

/// What is known of the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StatedLimit {
    /// What it named last; `None` once it names none.
    named: Option<Rate>,
    /// When the upstream wrote the answer that said so last.
    written: WrittenBetween,
    slow_start: SlowStart,
}

impl StatedLimit {
    fn new(rate: Rate, written: WrittenBetween, now: Instant) -> Self {
        Self {
            named: Some(rate),
            written,
            slow_start: SlowStart {
                from: rate,
                since: now,
            },
        }
    }

    /// What may be sent now; `None` where it is not limited.
    fn rate(&self, now: Instant) -> Option<Rate> {
        let risen = self.slow_start.rate(now);
        match self.named {
            Some(named) => Some(named.min(risen)),
            None if !self.is_over(SLOW_START, now) => Some(risen),
            None => None,
        }
    }

    /// Whether it ended at least this long ago.
    fn is_over(&self, time: Duration, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.slow_start.since);
        self.named.is_none() && since >= time
    }

    /// What may be sent rises from what it is now.
    fn begin_slow_start(&mut self, now: Instant) {
        if let Some(from) = self.rate(now) {
            self.slow_start = SlowStart { from, since: now };
        }
    }
}

/// The limits of all upstreams that have one, or had one a while ago.
#[derive(Clone, Debug, Default)]
pub struct StatedLimits {
    by_upstream: HashMap<UpstreamKey, StatedLimit>,
}

impl StatedLimits {
    /// The rate at which requests may be sent to an upstream; `None` where it is not limited.
    pub fn rate(&self, upstream: UpstreamKey, now: Instant) -> Option<Rate> {
        self.by_upstream.get(&upstream)?.rate(now)
    }

    /// The upstreams that are limited.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = UpstreamKey> {
        let limited = self.by_upstream.iter();
        let limited = limited.filter(move |(_, limit)| limit.rate(now).is_some());
        limited.map(|(upstream, _)| *upstream)
    }

    /// Whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    /// Applies an answer that names a rate.
    pub fn on_named(
        &mut self,
        upstream: UpstreamKey,
        rate: Rate,
        written: WrittenBetween,
        now: Instant,
    ) -> LimitChange {
        let begun = StatedLimit::new(rate, written, now);
        let Some(known) = self.by_upstream.get_mut(&upstream) else {
            self.by_upstream.insert(upstream, begun);
            return LimitChange::Begun(rate);
        };
        if known.written.is_after(written) {
            return LimitChange::Nothing;
        }
        let Some(from) = known.named else {
            *known = begun;
            return LimitChange::Begun(rate);
        };
        if !written.is_after(known.written) && rate > from {
            return LimitChange::Nothing;
        }
        if rate > from {
            known.begin_slow_start(now);
        }
        known.named = Some(rate);
        known.written = written;
        if from == rate {
            return LimitChange::Nothing;
        }
        LimitChange::Changed { from, to: rate }
    }

    /// Applies an answer of an upstream that names no rate.
    pub fn on_unnamed(
        &mut self,
        upstream: UpstreamKey,
        written: WrittenBetween,
        now: Instant,
    ) -> LimitChange {
        let known = self.by_upstream.get_mut(&upstream);
        let Some(limit) = known.filter(|limit| written.is_after(limit.written)) else {
            return LimitChange::Nothing;
        };
        limit.written = written;
        let Some(rate) = limit.named else {
            return LimitChange::Nothing;
        };
        limit.begin_slow_start(now);
        limit.named = None;
        LimitChange::Ended(rate)
    }

    /// Forgets the limit of an upstream that has started again.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.by_upstream.remove(&upstream);
    }

    /// Forgets the limits of upstreams that are not known any more, and those that ended long ago.
    pub fn retain(&mut self, is_known: impl Fn(UpstreamKey) -> bool, now: Instant) {
        self.by_upstream
            .retain(|upstream, limit| is_known(*upstream) && !limit.is_over(ENDED_KEPT_FOR, now));
    }
}
