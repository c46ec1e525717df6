//! The part of [`Permits`] that hands out permits, to this router's own requests and to other routers.
//!
//! Relies on [`Permits::on_period`] being called once a period: whoever was late for one stood still, and
//! hands out nothing until all others have noticed. Owns no state of its own.

use super::{
    HandedOut, LimitedUpstream, LimiterAnswer, LimiterMap, PermitAsk, PermitReply, PermitRequest,
    Permits,
};
use crate::upstream::UpstreamKey;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A router whose periods come so much later than due stood still: others may take it for dead.
const MAX_PERIOD: Duration = Duration::from_millis(900);

impl Permits {
    /// Hands out permits; `None` where that is another router's to do, or the upstream is not limited.
    pub(super) fn hand_out(
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
