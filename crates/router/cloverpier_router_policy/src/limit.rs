//! Limits that upstreams name: how many requests a second each takes from all routers together.
//!
//! - **Question.** What does an upstream take now, given what its answers said?
//! - **Inputs.** The rate that an answer names, or that it names none; within which time the upstream
//!   wrote that answer.
//! - **Answer.** Its [`Rate`], or that it is not limited; what an answer changes of that.
//! - **Why.** An upstream names a rate in its answers while it is in need. Answers overtake each other, so
//!   one that names nothing ends a limit only if the upstream wrote it later than the last one that named
//!   it, which is certain only of an answer to a request that was sent after that one had arrived. Of two
//!   answers whose order is not known the lower rate counts.
//!
//! Owns the limits. A limit binds one start of an upstream; whoever learns of the next start has it
//! forgotten.

mod rate;

pub use rate::Rate;

use crate::upstream::UpstreamKey;
use std::collections::HashMap;
use std::time::Instant;

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

/// What an answer changed.
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

/// The limit of an upstream, and when it wrote the answer that named it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StatedLimit {
    rate: Rate,
    written: WrittenBetween,
}

/// The limits of all upstreams that have one.
#[derive(Clone, Debug, Default)]
pub struct StatedLimits {
    by_upstream: HashMap<UpstreamKey, StatedLimit>,
}

impl StatedLimits {
    /// The rate of an upstream, if it is limited.
    pub fn rate(&self, upstream: UpstreamKey) -> Option<Rate> {
        self.by_upstream.get(&upstream).map(|limit| limit.rate)
    }

    /// Applies an answer that names a rate.
    pub fn on_named(
        &mut self,
        upstream: UpstreamKey,
        rate: Rate,
        written: WrittenBetween,
    ) -> LimitChange {
        let limit = StatedLimit { rate, written };
        let Some(known) = self.by_upstream.get_mut(&upstream) else {
            self.by_upstream.insert(upstream, limit);
            return LimitChange::Begun(rate);
        };
        if known.written.is_after(written) {
            return LimitChange::Nothing;
        }
        if !written.is_after(known.written) && rate > known.rate {
            return LimitChange::Nothing;
        }
        let from = known.rate;
        *known = limit;
        if from == rate {
            return LimitChange::Nothing;
        }
        LimitChange::Changed { from, to: rate }
    }

    /// Applies an answer of an upstream that names no rate.
    pub fn on_unnamed(&mut self, upstream: UpstreamKey, written: WrittenBetween) -> LimitChange {
        let known = self.by_upstream.get(&upstream);
        let Some(limit) = known.filter(|limit| written.is_after(limit.written)) else {
            return LimitChange::Nothing;
        };
        let rate = limit.rate;
        self.by_upstream.remove(&upstream);
        LimitChange::Ended(rate)
    }

    /// Forgets the limit of an upstream that has started again.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.by_upstream.remove(&upstream);
    }

    /// Forgets the limits of upstreams that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(UpstreamKey) -> bool) {
        self.by_upstream.retain(|upstream, _| is_known(*upstream));
    }
}
