//! Takes what upstreams and peers say of limits, and logs what that changes.
//!
//! What a statement changes is decided in `cloverpier_router_policy::limit`; which changes go to peers, in
//! [`super::reported`]. Owns no state of its own.

use super::{UpstreamLimits, place_of};
use crate::call_kind::CallKind;
use crate::decision_log::RateLimitChanged;
use cloverpier_router_policy::limit::{
    LimitChange, LimitReport, LimitStatement, Rate, WrittenBetween,
};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey, UpstreamState};
use std::net::SocketAddr;
use std::time::Instant;

/// An answer of an upstream, as far as its limit is concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitAnswer<'a> {
    /// The upstream.
    pub upstream: &'a Upstream,
    /// What it says.
    pub said: LimitStatement,
    /// Whether it would name a limit if there were one: only answers to requests have to.
    pub would_name: bool,
    /// When it was written.
    pub written: WrittenBetween,
    /// The call.
    pub via: CallKind<'a>,
}

/// By whom a limit was learned.
#[derive(Clone, Copy, Debug)]
enum LimitSource<'a> {
    /// By an answer of the upstream.
    Answer(CallKind<'a>),
    /// By a peer, this many milliseconds after the answer had reached a router.
    Peer(SocketAddr, u32),
}

impl UpstreamLimits {
    /// Applies what an answer says of its sender's limit; returns what is to be sent to all peers at once.
    pub fn on_answer(&self, answer: &LimitAnswer<'_>) -> Option<LimitReport> {
        let now = answer.written.heard;
        let key = UpstreamKey::of(&answer.upstream.name);
        let mut permits = self.permits.borrow_mut();
        let change = permits.on_statement(key, answer.said, answer.would_name, answer.written, now);
        drop(permits);
        if !self
            .reported
            .borrow_mut()
            .is_worth_a_report(key, change, now)
        {
            return None;
        }
        let source = LimitSource::Answer(answer.via);
        self.note(answer.upstream, change, source, now);
        self.report(answer.upstream, now)
    }

    /// Applies a peer's report of an upstream; returns whether that is worth passing on.
    pub fn on_report(
        &self,
        report: &LimitReport,
        state: Option<&UpstreamState>,
        peer: SocketAddr,
    ) -> bool {
        let now = self.parts.timers.now();
        let born_ms = state.and_then(UpstreamState::start_time_ms);
        let mut permits = self.permits.borrow_mut();
        let change = permits.on_report(report, born_ms, now);
        drop(permits);
        let mut reported = self.reported.borrow_mut();
        let is_update = reported.is_worth_a_report(report.upstream, change, now);
        drop(reported);
        if let Some(state) = state.filter(|_| is_update) {
            let source = LimitSource::Peer(peer, report.heard_age_ms);
            self.note(&state.upstream, change, source, now);
        }
        is_update
    }

    /// What is reported to peers that may have missed it.
    pub fn reports(&self, born_ms: impl Fn(UpstreamKey) -> Option<u64>) -> Vec<LimitReport> {
        let now = self.parts.timers.now();
        let permits = self.permits.borrow();
        let limits = permits.limits();
        let upstreams = limits.upstreams().into_iter();
        let reports = upstreams.filter_map(|u| limits.report(u, born_ms(u), now));
        reports.collect()
    }

    /// What is known of the limit of one upstream.
    pub(super) fn report(&self, upstream: &Upstream, now: Instant) -> Option<LimitReport> {
        let key = UpstreamKey::of(&upstream.name);
        let permits = self.permits.borrow();
        permits.limits().report(key, upstream.start_time_ms(), now)
    }

    /// Forgets the limit of an upstream that has started again.
    pub fn forget(&self, upstream: &Upstream) {
        let key = UpstreamKey::of(&upstream.name);
        self.permits.borrow_mut().limits_mut().forget(key);
    }

    /// Forgets the limits of upstreams that are not known any more.
    pub fn retain(&self, is_known: impl Fn(UpstreamKey) -> bool) {
        let now = self.parts.timers.now();
        self.permits.borrow_mut().limits_mut().retain(is_known, now);
    }

    /// Logs and counts what was learned of a limit.
    fn note(
        &self,
        upstream: &Upstream,
        change: LimitChange,
        source: LimitSource<'_>,
        now: Instant,
    ) {
        let (kind, from, to) = match change {
            LimitChange::Nothing => return,
            LimitChange::Begun(rate) => ("begun", None, Some(rate)),
            LimitChange::Changed { from, to } => ("changed", Some(from), Some(to)),
            LimitChange::Ended(rate) => ("ended", Some(rate), None),
        };
        self.parts.limits.count(kind);
        self.last_report.set(Some(now));
        let (via, request, peer, age_ms) = match source {
            LimitSource::Answer(via) => (via.log_name(), via.request(), None, 0),
            LimitSource::Peer(peer, age_ms) => ("peer", None, Some(peer.to_string()), age_ms),
        };
        let limiter = self.permits.borrow().limiter_of(place_of(upstream), now);
        let line = RateLimitChanged {
            upstream: upstream.name.as_str(),
            rate: to.map(Rate::as_per_second),
            previous_rate: from.map(Rate::as_per_second),
            via,
            request,
            peer,
            age_ms,
            limiter: limiter.map(|limiter| limiter.to_string()),
        };
        self.parts.log.info("server.limits", &line);
    }
}
