//! Rate limits that upstreams advertise: how many requests per second each upstream accepts from all
//! routers together.
//!
//! - **Question.** At which rate may requests be sent to an upstream now, given the limits that the
//!   upstream advertised in its responses to this router and to peers?
//! - **Inputs.** The rate in a response, or that the response contains none; the interval in which the
//!   upstream generated that response.
//! - **Answer.** The allowed [`Rate`], or `None` for an upstream that is not limited; the
//!   [`LimitChange`] that a response causes; the [`LimitReport`] for peers.
//! - **Why.** An upstream under load advertises a rate in its responses. Responses arrive out of order, so
//!   a response without a rate ends a limit only if the upstream generated it after the last response with
//!   a rate. That order is certain only if the request was sent after that last response had arrived. Of
//!   two responses whose order is unknown, the lower rate applies. After a rate rises or a limit ends, the
//!   allowed rate grows by slow start: all routers receive the change within milliseconds, and each of
//!   them would select that upstream as the least loaded.
//!
//! Owns the limits. A limit applies to one incarnation of an upstream; the caller removes it when a new
//! incarnation is found.

mod rate;
mod report;

pub use rate::Rate;
pub use report::{LimitReport, split_into_messages};

use crate::upstream::UpstreamKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The factor by which slow start multiplies the allowed rate each second.
const GROWTH_PER_SECOND: f64 = 4.0;
/// How long slow start restricts the rate after a limit has ended.
const SLOW_START_DURATION: Duration = Duration::from_secs(3);
/// How long the end of a limit stays recorded: longer than any message about that limit is in transit, so
/// that a delayed message does not start the limit again.
const ENDED_LIMIT_RETENTION: Duration = Duration::from_secs(60);

/// The interval in which an upstream generated a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseInterval {
    /// When the request was sent to the upstream.
    pub request_sent_at: Instant,
    /// When the response arrived at the router that had sent the request.
    pub response_received_at: Instant,
}

impl ResponseInterval {
    /// Whether the response was certainly generated after another response.
    fn is_after(self, other: Self) -> bool {
        self.request_sent_at >= other.response_received_at
    }
}

/// The rate limit that a response contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitStatement {
    /// The response contains no limit.
    #[default]
    Absent,
    /// The upstream accepts this rate from all routers together.
    Advertised(Rate),
    /// The response contains a limit that cannot be parsed, or more than one.
    Unreadable,
}

/// The effect of a response, or of a peer's report, on the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The advertised rate is the same as before, or the response is ignored as out of date.
    Unchanged,
    /// The upstream, which was not limited before, advertises this rate.
    Started(Rate),
    /// The upstream advertises another rate than before.
    Changed {
        /// The previous rate.
        from: Rate,
        /// The new rate.
        to: Rate,
    },
    /// The upstream no longer advertises a limit; contains the last rate.
    Ended(Rate),
}

/// An allowed rate that grows exponentially after a limit has risen or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SlowStart {
    initial_rate: Rate,
    started_at: Instant,
}

impl SlowStart {
    fn rate(self, now: Instant) -> Rate {
        let elapsed = now.saturating_duration_since(self.started_at);
        // After 30 seconds of growth, the result is at the maximum rate for every initial rate.
        let seconds = elapsed.as_secs_f64().min(30.0);
        self.initial_rate.times(GROWTH_PER_SECOND.powf(seconds))
    }
}

/// The limit of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AdvertisedLimit {
    /// The rate that the upstream advertised last; `None` after the limit has ended.
    advertised: Option<Rate>,
    /// When the upstream generated the last response that `advertised` is based on.
    response: ResponseInterval,
    slow_start: SlowStart,
}

impl AdvertisedLimit {
    fn new(rate: Rate, response: ResponseInterval, now: Instant) -> Self {
        Self {
            advertised: Some(rate),
            response,
            slow_start: SlowStart {
                initial_rate: rate,
                started_at: now,
            },
        }
    }

    /// The rate that is allowed now; `None` if the upstream is not limited.
    fn rate(&self, now: Instant) -> Option<Rate> {
        let slow_start_rate = self.slow_start.rate(now);
        match self.advertised {
            Some(advertised) => Some(advertised.min(slow_start_rate)),
            None if !self.has_ended_for(SLOW_START_DURATION, now) => Some(slow_start_rate),
            None => None,
        }
    }

    /// Whether the limit ended at least `duration` ago.
    fn has_ended_for(&self, duration: Duration, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.slow_start.started_at);
        self.advertised.is_none() && elapsed >= duration
    }

    /// Starts slow start at the rate that is allowed now.
    fn begin_slow_start(&mut self, now: Instant) {
        if let Some(initial_rate) = self.rate(now) {
            self.slow_start = SlowStart {
                initial_rate,
                started_at: now,
            };
        }
    }
}

/// The limits of all upstreams that are limited, and of those whose limit ended recently.
#[derive(Clone, Debug, Default)]
pub struct AdvertisedLimits {
    by_upstream: HashMap<UpstreamKey, AdvertisedLimit>,
}

impl AdvertisedLimits {
    /// The rate at which all routers together may send requests to an upstream; `None` if the upstream is
    /// not limited.
    pub fn rate(&self, upstream: UpstreamKey, now: Instant) -> Option<Rate> {
        self.by_upstream.get(&upstream)?.rate(now)
    }

    /// The upstreams that are limited, those in slow start after the end of a limit included.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = UpstreamKey> {
        let limited = self.by_upstream.iter();
        let limited = limited.filter(move |(_, limit)| limit.rate(now).is_some());
        limited.map(|(upstream, _)| *upstream)
    }

    /// Whether no upstream has a limit or a recently ended one.
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    /// Applies a response that contains a rate. Ignores a response that is certainly older than the
    /// recorded one, and a higher rate in a response that is not certainly newer.
    pub fn on_advertised(
        &mut self,
        upstream: UpstreamKey,
        rate: Rate,
        response: ResponseInterval,
        now: Instant,
    ) -> LimitChange {
        let new_limit = AdvertisedLimit::new(rate, response, now);
        let Some(recorded) = self.by_upstream.get_mut(&upstream) else {
            self.by_upstream.insert(upstream, new_limit);
            return LimitChange::Started(rate);
        };
        if recorded.response.is_after(response) {
            return LimitChange::Unchanged;
        }
        let Some(from) = recorded.advertised else {
            *recorded = new_limit;
            return LimitChange::Started(rate);
        };
        if !response.is_after(recorded.response) && rate > from {
            return LimitChange::Unchanged;
        }
        if rate > from {
            recorded.begin_slow_start(now);
        }
        recorded.advertised = Some(rate);
        recorded.response = response;
        if from == rate {
            return LimitChange::Unchanged;
        }
        LimitChange::Changed { from, to: rate }
    }

    /// Applies a response without a rate. The response ends a limit only if it is certainly newer than
    /// the recorded one.
    pub fn on_absent(
        &mut self,
        upstream: UpstreamKey,
        response: ResponseInterval,
        now: Instant,
    ) -> LimitChange {
        let recorded = self.by_upstream.get_mut(&upstream);
        let Some(limit) = recorded.filter(|limit| response.is_after(limit.response)) else {
            return LimitChange::Unchanged;
        };
        limit.response = response;
        let Some(rate) = limit.advertised else {
            return LimitChange::Unchanged;
        };
        limit.begin_slow_start(now);
        limit.advertised = None;
        LimitChange::Ended(rate)
    }

    /// Removes the limit of an upstream, as after the start of its next incarnation.
    pub fn remove(&mut self, upstream: UpstreamKey) {
        self.by_upstream.remove(&upstream);
    }

    /// Removes the limits of upstreams for which `is_listed` is false, and limits that ended at least 60
    /// seconds ago.
    pub fn retain(&mut self, is_listed: impl Fn(UpstreamKey) -> bool, now: Instant) {
        self.by_upstream.retain(|upstream, limit| {
            is_listed(*upstream) && !limit.has_ended_for(ENDED_LIMIT_RETENTION, now)
        });
    }
}
