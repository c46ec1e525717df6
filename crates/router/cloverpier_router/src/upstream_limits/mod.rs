//! The limits that upstreams name in their answers, and permits to send requests to those that do.
//!
//! Everything is decided in `cloverpier_router_policy::{limit, permit}`. [`UpstreamLimits`] owns what is
//! known of limits, and the asks that wait for their answers; it takes the log, counters, timers and
//! datagrams, and knows nothing of the router. [`offer`] finds an upstream for a request, [`acquire`] gets permits,
//! [`limiter`] answers other routers; [`crate::limit_news`] tells peers.

mod acquire;
mod limiter;
mod offer;
mod told;

pub(crate) use acquire::Permission;

use crate::datagrams::Datagrams;
use crate::decision_log::{LimitLearned, LimiterPassedOver};
use crate::metrics::ByKind;
use crate::via::Via;
use acquire::PendingAsk;
use cloverpier_observe::Log;
use cloverpier_router_policy::limit::{
    LimitChange, LimitReport, LimitStatement, Rate, WrittenBetween,
};
use cloverpier_router_policy::permit::{LimitedUpstream, LimitedUpstreams, PermitSearch, Permits};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey, UpstreamState};
use cloverpier_timers::Timers;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use told::ToldRates;

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
    pub via: Via<'a>,
}

/// How many upstreams of a service limit themselves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitedCounts {
    /// All that do.
    pub limited: usize,
    /// Those for which no permit could be had a moment ago.
    pub without_permit: usize,
}

/// By whom a limit was learned.
#[derive(Clone, Copy, Debug)]
enum LimitSource<'a> {
    /// By an answer of the upstream.
    Answer(Via<'a>),
    /// By a peer.
    Peer(SocketAddr),
}

/// What [`UpstreamLimits`] uses of the router.
#[derive(Debug)]
pub(crate) struct LimitParts {
    /// This router's address for peers.
    pub own: SocketAddr,
    /// Waits for answers.
    pub timers: Timers,
    /// Carries asks.
    pub datagrams: Rc<Datagrams>,
    /// Takes the lines.
    pub log: Log,
    /// Counts limits that begin, change and end.
    pub limits: ByKind,
    /// Counts permits.
    pub permits: ByKind,
    /// Spreads asks.
    pub rng: fastrand::Rng,
}

/// The limits that are known, and the permits.
#[derive(Debug)]
pub(crate) struct UpstreamLimits {
    parts: LimitParts,
    permits: RefCell<Permits>,
    rng: RefCell<fastrand::Rng>,
    pending: RefCell<HashMap<u64, PendingAsk>>,
    last_number: Cell<u64>,
    told: RefCell<ToldRates>,
    /// When something was learned last that peers should know.
    pub last_news: Cell<Option<Instant>>,
}

impl UpstreamLimits {
    /// Knows of no limit yet.
    pub fn new(mut parts: LimitParts) -> Self {
        let now = parts.timers.now();
        // Answers to asks of a former run find none here.
        let first_number = parts.rng.u64(..u64::MAX / 2);
        Self {
            permits: RefCell::new(Permits::new(parts.own, now)),
            rng: RefCell::new(parts.rng.fork()),
            pending: RefCell::default(),
            last_number: Cell::new(first_number),
            told: RefCell::default(),
            last_news: Cell::default(),
            parts,
        }
    }

    /// The upstreams that limit themselves, as a search for one sees them.
    pub fn seen_by(&self, search: &PermitSearch) -> LimitedUpstreams {
        let permits = self.permits.borrow();
        if permits.limits().is_empty() {
            return LimitedUpstreams::NONE;
        }
        permits.seen_by(search, self.parts.timers.now())
    }

    /// Whether an upstream limits itself.
    pub fn is_limited(&self, upstream: &Upstream) -> bool {
        let key = UpstreamKey::of(&upstream.name);
        let permits = self.permits.borrow();
        permits
            .limits()
            .rate(key, self.parts.timers.now())
            .is_some()
    }

    /// How many of some upstreams limit themselves, for log lines.
    pub fn limited_of<'a>(&self, states: impl Iterator<Item = &'a UpstreamState>) -> LimitedCounts {
        let permits = self.permits.borrow();
        let mut counts = LimitedCounts::default();
        if permits.limits().is_empty() {
            return counts;
        }
        let now = self.parts.timers.now();
        for state in states {
            let is_limited = permits.limits().rate(state.key, now).is_some();
            counts.limited += usize::from(is_limited);
            counts.without_permit += usize::from(permits.is_left_out(state.key, now));
        }
        counts
    }

    /// Applies what an answer says of its sender's limit; returns what all peers are to be told at once.
    pub fn on_answer(&self, answer: &LimitAnswer<'_>) -> Option<LimitReport> {
        let now = answer.written.heard;
        let key = UpstreamKey::of(&answer.upstream.name);
        let mut permits = self.permits.borrow_mut();
        let change = permits.on_statement(key, answer.said, answer.would_name, answer.written, now);
        drop(permits);
        self.note(
            answer.upstream,
            change,
            LimitSource::Answer(answer.via),
            now,
        );
        let is_told = self.told.borrow_mut().is_to_be_told(key, change, now);
        is_told.then(|| self.report(answer.upstream, now)).flatten()
    }

    /// Applies a peer's report of an upstream; returns whether it was new.
    pub fn on_report(
        &self,
        report: &LimitReport,
        state: Option<&UpstreamState>,
        peer: SocketAddr,
    ) -> bool {
        let now = self.parts.timers.now();
        let born_ms = state.and_then(UpstreamState::born_ms);
        let mut permits = self.permits.borrow_mut();
        let change = permits.on_report(report, born_ms, now);
        drop(permits);
        if let Some(state) = state {
            self.note(&state.upstream, change, LimitSource::Peer(peer), now);
        }
        change != LimitChange::Nothing
    }

    /// What peers are told that may have missed it.
    pub fn reports(&self, born_ms: impl Fn(UpstreamKey) -> Option<u64>) -> Vec<LimitReport> {
        let now = self.parts.timers.now();
        let permits = self.permits.borrow();
        let limits = permits.limits();
        let upstreams = limits.upstreams().into_iter();
        let reports = upstreams.filter_map(|u| limits.report(u, born_ms(u), now));
        reports.collect()
    }

    fn report(&self, upstream: &Upstream, now: Instant) -> Option<LimitReport> {
        let key = UpstreamKey::of(&upstream.name);
        let permits = self.permits.borrow();
        permits.limits().report(key, upstream.born_ms(), now)
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
        self.last_news.set(Some(now));
        let (via, request, peer) = match source {
            LimitSource::Answer(via) => (via.word(), via.request(), None),
            LimitSource::Peer(peer) => ("peer", None, Some(peer.to_string())),
        };
        let limiter = self.permits.borrow().limiter_of(place_of(upstream), now);
        let line = LimitLearned {
            upstream: upstream.name.as_str(),
            rate: to.map(Rate::as_per_second),
            former_rate: from.map(Rate::as_per_second),
            via,
            request,
            peer,
            limiter: limiter.map(|limiter| limiter.to_string()),
        };
        self.parts.log.info("server.limits", &line);
    }

    /// Logs that a limiter is passed over, as it does not answer.
    fn note_passed_over(&self, limiter: SocketAddr) {
        self.parts.permits.count("limiter-silent");
        let line = LimiterPassedOver {
            limiter: limiter.to_string(),
        };
        self.parts.log.info("limiter.silent", &line);
    }
}

/// An upstream, as far as its limit is concerned.
fn place_of(upstream: &Upstream) -> LimitedUpstream<'_> {
    LimitedUpstream {
        key: UpstreamKey::of(&upstream.name),
        data_centre: &upstream.data_centre,
        born_ms: upstream.born_ms(),
    }
}
