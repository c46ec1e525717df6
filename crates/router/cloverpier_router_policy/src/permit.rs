//! Permits to send requests to upstreams that limit themselves.
//!
//! - **Question.** May this router send a request to an upstream now that takes this many a second from all
//!   routers together, when may it, or when should its caller retry?
//! - **Inputs.** The limits ([`crate::limit`]); which routers live, and which of them were lost a while
//!   ago; asks of other routers, and their answers; how long the request may wait.
//! - **Answer.** A [`Want`] for the router that has the request; a [`PermitReply`] for one that asks.
//! - **Why.** What an upstream allows at once is one number for all routers. Shares cannot hold it: with
//!   sixty routers that may each send one, sixty arrive. So one router, the upstream's *limiter*, counts
//!   for all, and hands out each permit to the request that uses it. All find it by the same hash among
//!   the routers that live, in the upstream's data centre if any does, so that nobody has to agree on it.
//!   A router that becomes the limiter hands out nothing until all others have had the time to notice;
//!   where routers are missing, it hands out the part of the rate that those which are left have of all,
//!   so that the parts of a fleet that is cut in two do not send twice as much together.
//!
//! [`Permits`] owns what a router knows of limits, the permits that it hands out, and what it was answered
//! last. Nothing of it is used while no upstream is limited.

mod ask;
mod bucket;
mod client;
mod hand_out;
mod limited;
mod limiter;
mod search;

pub use ask::{PermitAsk, PermitRefusal, PermitReply, PermitRequest, Want, is_usable};
pub use bucket::{HandedOut, PermitBucket};
pub use client::{ANSWER_TIMEOUT, PermitClient};
pub use limited::{LimitedUpstream, LimitedUpstreams};
pub use limiter::{Limiter, LimiterAnswer, LimiterMap, RouterPlace};
pub use search::{PermitSearch, QUESTION_PATIENCE, patience};

use crate::limit::{AdvertisedLimits, LimitChange, LimitReport, LimitStatement, ResponseInterval};
use crate::upstream::UpstreamKey;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request that nobody can be asked for waits this long: the routers that live are known soon.
const NO_LIMITER_PAUSE: Duration = Duration::from_millis(200);

/// What a router knows of limits and permits.
#[derive(Clone, Debug)]
pub struct Permits {
    own: SocketAddr,
    limits: AdvertisedLimits,
    limiter: Limiter,
    client: PermitClient,
    last_period: Option<Instant>,
}

impl Permits {
    /// A router that knows no limit and nobody else yet.
    pub fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            own,
            limits: AdvertisedLimits::default(),
            limiter: Limiter::new(own, now),
            client: PermitClient::default(),
            last_period: None,
        }
    }

    /// The limits.
    pub fn limits(&self) -> &AdvertisedLimits {
        &self.limits
    }

    /// The limits, to forget some.
    pub fn limits_mut(&mut self) -> &mut AdvertisedLimits {
        &mut self.limits
    }

    /// Applies what an answer says of its sender's limit; `would_name` says whether it would name one if
    /// there were one.
    pub fn on_statement(
        &mut self,
        upstream: UpstreamKey,
        said: LimitStatement,
        would_name: bool,
        written: ResponseInterval,
        now: Instant,
    ) -> LimitChange {
        let limits = &mut self.limits;
        let change = match said {
            LimitStatement::Advertised(rate) => limits.on_advertised(upstream, rate, written, now),
            LimitStatement::Absent if would_name => limits.on_absent(upstream, written, now),
            LimitStatement::Absent | LimitStatement::Unreadable => LimitChange::Unchanged,
        };
        self.on_change(upstream, change);
        change
    }

    /// Applies what a peer says of a limit.
    pub fn on_report(
        &mut self,
        report: &LimitReport,
        born_ms: Option<u64>,
        now: Instant,
    ) -> LimitChange {
        let change = self.limits.on_report(report, born_ms, now);
        self.on_change(report.upstream, change);
        change
    }

    fn on_change(&mut self, upstream: UpstreamKey, change: LimitChange) {
        let is_more = match change {
            LimitChange::Unchanged => false,
            LimitChange::Started(_) | LimitChange::Ended(_) => true,
            LimitChange::Changed { from, to } => to > from,
        };
        if is_more {
            self.client.forget(upstream);
        }
    }

    /// The upstreams that limit themselves, and those of them that a request is not offered to.
    pub fn seen_by(&self, search: &PermitSearch, now: Instant) -> LimitedUpstreams {
        let limited: Vec<UpstreamKey> = self.limits.limited(now).collect();
        let withheld = limited.iter().copied();
        let withheld = withheld.filter(|upstream| search.withholds(self, *upstream, now));
        LimitedUpstreams {
            withheld: withheld.collect(),
            limited,
        }
    }

    /// Whether an upstream is left out of a choice in which there are others: no permit could be had just
    /// now.
    pub fn is_left_out(&self, upstream: UpstreamKey, now: Instant) -> bool {
        self.limits.rate(upstream, now).is_some() && self.client.is_left_out(upstream, now)
    }

    /// What to do with a request that is to be sent to an upstream and may wait this long.
    pub fn want(
        &mut self,
        upstream: LimitedUpstream<'_>,
        max_wait: Duration,
        now: Instant,
    ) -> Want {
        if self.limits.rate(upstream.key, now).is_none() {
            return Want::Unlimited;
        }
        if let Some(retry) = self.client.refuse_unasked(upstream.key, max_wait, now) {
            return Want::Refused { retry };
        }
        let Some(limiter) = self.limiter_of(upstream, now) else {
            return Want::Refused {
                retry: NO_LIMITER_PAUSE,
            };
        };
        if limiter != self.own {
            return Want::Ask(limiter);
        }
        let ask = PermitAsk {
            from: self.own,
            upstream: upstream.key,
            count: 1,
            max_wait,
        };
        self.want_own(upstream, &ask, now)
    }

    /// Takes a permit that this router hands out itself.
    fn want_own(&mut self, upstream: LimitedUpstream<'_>, ask: &PermitAsk, now: Instant) -> Want {
        // Where this router is not the limiter after all, there is nothing, and the caller soon retries.
        let handed_out = self.hand_out(upstream, ask, now).unwrap_or_default();
        match handed_out.waits.first() {
            Some(wait) => Want::Granted(*wait),
            None => Want::Refused {
                retry: handed_out.refusal.map_or(NO_LIMITER_PAUSE, |r| r.retry),
            },
        }
    }

    /// The router that hands out an upstream's permits, as far as this one knows.
    pub fn limiter_of(&self, upstream: LimitedUpstream<'_>, now: Instant) -> Option<SocketAddr> {
        let client = &self.client;
        let is_silent = |router| client.is_silent(router, now);
        let map = self.limiter.map();
        map.limiter_of(upstream.key, upstream.data_centre, is_silent)
    }

    /// Applies a limiter's answer; returns what the request gets.
    pub fn on_reply(
        &mut self,
        from: SocketAddr,
        reply: &PermitReply,
        born_ms: Option<u64>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Want {
        if let Some(report) = &reply.limit {
            self.on_report(report, born_ms, now);
        }
        let refusal = match &reply.handed_out {
            Some(handed_out) => handed_out.refusal,
            // Who is the limiter is known to all soon.
            None => Some(PermitRefusal {
                next: NO_LIMITER_PAUSE,
                retry: NO_LIMITER_PAUSE,
                turn: NO_LIMITER_PAUSE,
            }),
        };
        let client = &mut self.client;
        client.on_answer(reply.upstream, from, refusal, rng, now);
        let waits = reply.handed_out.as_ref().and_then(|h| h.waits.first());
        match waits {
            Some(wait) => Want::Granted(*wait),
            None => Want::Refused {
                retry: refusal.map_or(NO_LIMITER_PAUSE, |refusal| refusal.retry),
            },
        }
    }

    /// Records that a limiter did not answer a request's ask in time; returns whether it is passed over
    /// from now on.
    pub fn on_unanswered(
        &mut self,
        upstream: UpstreamKey,
        limiter: SocketAddr,
        now: Instant,
    ) -> bool {
        self.client.leave_out(upstream, now);
        self.client.on_silence(limiter, now)
    }

    /// Records that a limiter did not answer whether it is there; returns whether it is passed over from
    /// now on.
    pub fn on_silence(&mut self, limiter: SocketAddr, now: Instant) -> bool {
        self.client.on_silence(limiter, now)
    }

    /// Records that a limiter answered whether it is there.
    pub fn on_speaking(&mut self, limiter: SocketAddr) {
        self.client.on_speaking(limiter);
    }

    /// The routers that are passed over and whether they answer by now is to be asked, once a period.
    pub fn silent_limiters(&self, now: Instant) -> Vec<SocketAddr> {
        self.client.silent(now)
    }
}
