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

mod bucket;
mod client;
mod limiter;
mod search;

pub use bucket::{HandedOut, PermitBucket};
pub use client::{ANSWER_TIMEOUT, PermitClient};
pub use limiter::{Limiter, LimiterAnswer, LimiterMap, RouterPlace};
pub use search::{PermitSearch, QUESTION_PATIENCE, patience};

use crate::limit::{LimitChange, LimitReport, LimitStatement, StatedLimits, WrittenBetween};
use crate::upstream::UpstreamKey;
use cloverpier_core::DataCentre;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A router whose periods come so much later than due stood still: others may take it for dead.
const MAX_PERIOD: Duration = Duration::from_millis(900);
/// A request that nobody can be asked for waits this long: the routers that live are known soon.
const NO_LIMITER_PAUSE: Duration = Duration::from_millis(200);

/// A permit is not used later than this after its time, as when this process stood still: what the
/// upstream gets then was counted for another moment.
const USABLE_FOR: Duration = Duration::from_millis(100);

/// Whether a permit whose time was `due` may be used.
pub fn is_usable(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) <= USABLE_FOR
}

/// An ask for the permits of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitAsk {
    /// The router that asks.
    pub from: SocketAddr,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// For how many requests; 0 asks whether the limiter answers.
    pub count: u32,
    /// How long each of them may wait for its turn.
    pub max_wait: Duration,
}

/// What requests get that no permit can be had for in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRefusal {
    /// After what time a permit is free.
    pub next: Duration,
    /// After what time the request's caller should retry: those that were refused before it come
    /// first.
    pub retry: Duration,
    /// The time in which each of the routers that ask gets one permit.
    pub turn: Duration,
}

/// An ask, as it is sent to the limiter; the order of fields is on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Tells the asks of one router apart.
    pub number: u64,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// See [`PermitAsk::count`].
    pub count: u32,
    /// See [`PermitAsk::max_wait`].
    pub max_wait: Duration,
    /// What the asking router knows of the limit.
    pub limit: Option<LimitReport>,
}

/// What a limiter answers; the order of fields is on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Of the ask.
    pub number: u64,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The permits; `None` where the router is not the limiter, as far as it knows.
    pub handed_out: Option<HandedOut>,
    /// What the limiter knows of the limit.
    pub limit: Option<LimitReport>,
}

/// What a router is to do with a request for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Send it: the upstream is not limited.
    Unlimited,
    /// Send it after this time: this router is the limiter.
    Granted(Duration),
    /// Ask this router.
    Ask(SocketAddr),
    /// Do not send it.
    Refused {
        /// After what time its caller should retry.
        retry: Duration,
    },
}

/// An upstream, as far as its limit is concerned.
#[derive(Clone, Copy, Debug)]
pub struct LimitedUpstream<'a> {
    /// Its key.
    pub key: UpstreamKey,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// When its newest known start began, as a Unix time in milliseconds, if known.
    pub born_ms: Option<u64>,
}

/// The upstreams that limit themselves, as one choice sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitedUpstreams {
    limited: Vec<UpstreamKey>,
    withheld: Vec<UpstreamKey>,
}

impl LimitedUpstreams {
    /// None does.
    pub const NONE: Self = Self {
        limited: Vec::new(),
        withheld: Vec::new(),
    };

    /// Whether any does.
    pub fn limits_any(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Whether an upstream limits itself.
    pub fn is_limited(&self, upstream: UpstreamKey) -> bool {
        self.limited.contains(&upstream)
    }

    /// Whether the choice leaves it out, as no permit can be had.
    pub fn is_withheld(&self, upstream: UpstreamKey) -> bool {
        self.withheld.contains(&upstream)
    }

    /// Whether the choice leaves any out.
    pub fn withholds_any(&self) -> bool {
        !self.withheld.is_empty()
    }
}

/// What a router knows of limits and permits.
#[derive(Clone, Debug)]
pub struct Permits {
    own: SocketAddr,
    limits: StatedLimits,
    limiter: Limiter,
    client: PermitClient,
    last_period: Option<Instant>,
}

impl Permits {
    /// A router that knows no limit and nobody else yet.
    pub fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            own,
            limits: StatedLimits::default(),
            limiter: Limiter::new(own, now),
            client: PermitClient::default(),
            last_period: None,
        }
    }

    /// The limits.
    pub fn limits(&self) -> &StatedLimits {
        &self.limits
    }

    /// The limits, to forget some.
    pub fn limits_mut(&mut self) -> &mut StatedLimits {
        &mut self.limits
    }

    /// Applies what an answer says of its sender's limit; `would_name` says whether it would name one if
    /// there were one.
    pub fn on_statement(
        &mut self,
        upstream: UpstreamKey,
        said: LimitStatement,
        would_name: bool,
        written: WrittenBetween,
        now: Instant,
    ) -> LimitChange {
        let limits = &mut self.limits;
        let change = match said {
            LimitStatement::Named(rate) => limits.on_named(upstream, rate, written, now),
            LimitStatement::Unnamed if would_name => limits.on_unnamed(upstream, written, now),
            LimitStatement::Unnamed | LimitStatement::Unreadable => LimitChange::Nothing,
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
            LimitChange::Nothing => false,
            LimitChange::Begun(_) | LimitChange::Ended(_) => true,
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

    /// Whether an upstream is left out of a choice in which there are others: no permit could be had of
    /// late.
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

    /// Hands out permits; `None` where that is another router's to do, or the upstream is not limited.
    fn hand_out(
        &mut self,
        upstream: LimitedUpstream<'_>,
        ask: &PermitAsk,
        now: Instant,
    ) -> Option<HandedOut> {
        let rate = self.limits.rate(upstream.key, now)?;
        if self.stood_still(now) {
            self.limiter.on_paused(now);
        }
        let client = &self.client;
        let is_silent = |router| client.is_silent(router, now);
        let answer = self
            .limiter
            .on_ask(ask, upstream.data_centre, rate, is_silent, now);
        match answer {
            LimiterAnswer::HandedOut(handed_out) => Some(handed_out),
            LimiterAnswer::NotLimiter => None,
        }
    }

    /// Answers another router's ask; `upstream` is `None` where this router does not know it.
    pub fn on_request(
        &mut self,
        from: SocketAddr,
        request: &PermitRequest,
        upstream: Option<LimitedUpstream<'_>>,
        now: Instant,
    ) -> PermitReply {
        self.client.on_speaking(from);
        let born_ms = upstream.and_then(|upstream| upstream.born_ms);
        if let Some(report) = &request.limit {
            self.on_report(report, born_ms, now);
        }
        let ask = PermitAsk {
            from,
            upstream: request.upstream,
            count: request.count,
            max_wait: request.max_wait,
        };
        let handed_out = upstream.and_then(|upstream| self.hand_out(upstream, &ask, now));
        PermitReply {
            number: request.number,
            upstream: request.upstream,
            handed_out,
            limit: self.limits.report(request.upstream, born_ms, now),
        }
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

    /// Takes account of the routers that live, once a period; no map means that they are those of the
    /// period before. `hold` is how long it takes at most until all have noticed a change.
    pub fn on_period(&mut self, map: Option<LimiterMap>, hold: Duration, now: Instant) {
        if self.stood_still(now) {
            self.limiter.on_paused(now);
        }
        self.last_period = Some(now);
        self.limiter.on_routers(map, hold, now);
    }

    /// Whether this process stood still since the last period, or none was yet.
    fn stood_still(&self, now: Instant) -> bool {
        let is_late = |at: Instant| now.saturating_duration_since(at) > MAX_PERIOD;
        self.last_period.is_none_or(is_late)
    }

    /// Gives up what is another router's by now, or not limited any more.
    pub fn give_up_old<'a>(
        &mut self,
        find: impl Fn(UpstreamKey) -> Option<LimitedUpstream<'a>>,
        now: Instant,
    ) {
        let (limits, client) = (&self.limits, &mut self.client);
        client.retain(|upstream| limits.rate(upstream, now).is_some(), now);
        let (client, own) = (&self.client, self.own);
        let is_silent = |router| client.is_silent(router, now);
        self.limiter.retain(|map, upstream| {
            let is_limited = limits.rate(upstream, now).is_some();
            let place = find(upstream).filter(|_| is_limited);
            let limiter = place.and_then(|u| map.limiter_of(u.key, u.data_centre, is_silent));
            limiter == Some(own)
        });
    }
}
