//! Updates of the limits: by the responses of upstreams, by reports of peers, and when upstreams restart or disappear.
//!
//! `cloverpier_router_policy::limit` decides what a response or a report changes, [`super::reported_rates`] which
//! changes are logged and reported to peers. Owns no state of its own.

use super::{UpstreamLimits, limited_upstream};
use crate::call_kind::CallKind;
use crate::decision_log::RateLimitChanged;
use cloverpier_router_policy::limit::{
    LimitChange, LimitReport, LimitStatement, Rate, ResponseInterval,
};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey, UpstreamState};
use std::net::SocketAddr;
use std::time::Instant;

/// What an upstream's response contains about the upstream's rate limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitResponse<'a> {
    /// The upstream that sent the response.
    pub upstream: &'a Upstream,
    /// The limit that the response advertises, if any.
    pub statement: LimitStatement,
    /// Whether the response would advertise a limit if the upstream had one, so that a response without a limit may
    /// end the limit. True only for responses to callers' requests; other responses need not advertise limits.
    pub would_advertise: bool,
    /// The interval in which the upstream wrote the response: from the sending of the request to the arrival of the
    /// response.
    pub interval: ResponseInterval,
    /// The kind of the call that the upstream responded to, for log lines.
    pub via: CallKind<'a>,
}

/// The source of a change of a limit, for log lines.
#[derive(Clone, Copy, Debug)]
enum LimitSource<'a> {
    /// A response of the upstream.
    Response(CallKind<'a>),
    /// A peer's report, and the time in milliseconds since the first router received the upstream's response.
    Peer(SocketAddr, u32),
}

impl UpstreamLimits {
    /// Applies an upstream's response to the upstream's limit. Returns the report to send to all peers at once; `None`
    /// if the change is not reported.
    pub fn on_response(&self, response: &LimitResponse<'_>) -> Option<LimitReport> {
        let now = response.interval.response_received_at;
        let key = UpstreamKey::of(&response.upstream.name);
        let mut permits = self.permits.borrow_mut();
        let change = permits.on_statement(
            key,
            response.statement,
            response.would_advertise,
            response.interval,
            now,
        );
        drop(permits);
        if !self
            .reported_rates
            .borrow_mut()
            .mark_if_reportable(key, change, now)
        {
            return None;
        }
        let source = LimitSource::Response(response.via);
        self.log_change(response.upstream, change, source, now);
        self.report(response.upstream, now)
    }

    /// Applies a peer's report of an upstream's limit. Returns whether the report has to be forwarded to other peers.
    /// `state` is `None` if the upstream is not in this router's table.
    pub fn on_report(
        &self,
        report: &LimitReport,
        state: Option<&UpstreamState>,
        peer: SocketAddr,
    ) -> bool {
        let now = self.deps.timers.now();
        let start_time_ms = state.and_then(UpstreamState::start_time_ms);
        let mut permits = self.permits.borrow_mut();
        let change = permits.on_report(report, start_time_ms, now);
        drop(permits);
        let mut reported_rates = self.reported_rates.borrow_mut();
        let is_reportable = reported_rates.mark_if_reportable(report.upstream, change, now);
        drop(reported_rates);
        if let Some(state) = state.filter(|_| is_reportable) {
            let source = LimitSource::Peer(peer, report.response_age_ms);
            self.log_change(&state.upstream, change, source, now);
        }
        is_reportable
    }

    /// Reports on all limits, for peers that may have missed some. `start_time_ms` returns the start time of an
    /// upstream's process as Unix time in milliseconds, or `None` if the upstream does not report one.
    pub fn reports(&self, start_time_ms: impl Fn(UpstreamKey) -> Option<u64>) -> Vec<LimitReport> {
        let now = self.deps.timers.now();
        let permits = self.permits.borrow();
        let limits = permits.limits();
        let upstreams = limits.upstreams().into_iter();
        let reports = upstreams.filter_map(|u| limits.report(u, start_time_ms(u), now));
        reports.collect()
    }

    /// The report on an upstream's limit; `None` if the upstream has none and has not had one recently.
    pub(super) fn report(&self, upstream: &Upstream, now: Instant) -> Option<LimitReport> {
        let key = UpstreamKey::of(&upstream.name);
        let permits = self.permits.borrow();
        permits.limits().report(key, upstream.start_time_ms(), now)
    }

    /// Removes the limit of an upstream that has restarted: a limit applies to one process of the upstream.
    pub fn remove(&self, upstream: &Upstream) {
        let key = UpstreamKey::of(&upstream.name);
        self.permits.borrow_mut().limits_mut().remove(key);
    }

    /// Removes the limits of upstreams for which `is_in_table` returns false, and limits that ended a minute ago or
    /// earlier.
    pub fn retain(&self, is_in_table: impl Fn(UpstreamKey) -> bool) {
        let now = self.deps.timers.now();
        self.permits
            .borrow_mut()
            .limits_mut()
            .retain(is_in_table, now);
    }

    /// Logs and counts a change of a limit, and restarts the time for which limits are repeated to peers.
    fn log_change(
        &self,
        upstream: &Upstream,
        change: LimitChange,
        source: LimitSource<'_>,
        now: Instant,
    ) {
        let (kind, from, to) = match change {
            LimitChange::Unchanged => return,
            LimitChange::Started(rate) => ("begun", None, Some(rate)),
            LimitChange::Changed { from, to } => ("changed", Some(from), Some(to)),
            LimitChange::Ended(rate) => ("ended", Some(rate), None),
        };
        self.deps.limit_counter.count(kind);
        self.last_report.set(Some(now));
        let (via, request, peer, age_ms) = match source {
            LimitSource::Response(via) => (via.log_name(), via.request(), None, 0),
            LimitSource::Peer(peer, age_ms) => ("peer", None, Some(peer.to_string()), age_ms),
        };
        let limiter = self
            .permits
            .borrow()
            .limiter_of(limited_upstream(upstream), now);
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
        self.deps.log.info("server.limits", &line);
    }
}
