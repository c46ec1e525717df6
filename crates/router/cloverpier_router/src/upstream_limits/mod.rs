//! The limits that upstreams name in their answers, and permits to send requests to those that do.
//!
//! Everything is decided in `cloverpier_router_policy::{limit, permit}`. [`UpstreamLimits`] owns what is
//! known of limits, and the asks that wait for their answers; it takes the log, counters, timers and
//! datagrams, and knows nothing of the router. [`learn`] takes what is said of limits, [`offer`] finds an
//! upstream for a request, [`acquire`] gets permits, [`limiter`] answers other routers;
//! [`crate::limit_reports`] notifies peers.

mod acquire;
mod learn;
mod limiter;
mod offer;
mod reported;

pub(crate) use acquire::Permission;
pub(crate) use learn::LimitAnswer;

use crate::datagrams::Datagrams;
use crate::decision_log::LimiterUnresponsive;
use crate::metrics::CounterByKind;
use acquire::PendingAsk;
use cloverpier_observe::Log;
use cloverpier_router_policy::permit::{LimitedUpstream, LimitedUpstreams, PermitSearch, Permits};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey, UpstreamState};
use cloverpier_timers::Timers;
use reported::ReportedRates;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// How many upstreams of a service limit themselves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitedCounts {
    /// All that do.
    pub limited: usize,
    /// Those for which no permit could be had a moment ago.
    pub without_permit: usize,
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
    pub limits: CounterByKind,
    /// Counts permits.
    pub permits: CounterByKind,
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
    reported: RefCell<ReportedRates>,
    /// When something was learned last that peers should know.
    pub last_report: Cell<Option<Instant>>,
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
            reported: RefCell::default(),
            last_report: Cell::default(),
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

    /// Logs that a limiter is passed over, as it does not answer.
    fn note_passed_over(&self, limiter: SocketAddr) {
        self.parts.permits.count("limiter-silent");
        let line = LimiterUnresponsive {
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
        born_ms: upstream.start_time_ms(),
    }
}
