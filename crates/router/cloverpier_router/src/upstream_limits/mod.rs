//! The request rates to which upstreams limit all routers together, and the permits to send requests to these
//! upstreams.
//!
//! An upstream advertises its rate limit in its responses. One router per upstream, the upstream's limiter, grants the
//! permits; the others request them by datagram. `cloverpier_router_policy::{limit, permit}` makes all decisions.
//! [`UpstreamLimits`] owns the limits, the permits and the pending permit requests. It relies on the log, counters,
//! timers and datagrams of [`LimitDependencies`], and not on the router.
//!
//! | concern | module |
//! | --- | --- |
//! | limits that responses and peers report | [`updates`] |
//! | which changes of a limit are reported | [`reported_rates`] |
//! | the choice of an upstream for a request, with a permit | [`search`] |
//! | permits for this router's requests | [`acquire`] |
//! | permits for other routers | [`limiter`] |
//!
//! [`crate::limit_reports`] sends the limits to peers.

mod acquire;
mod limiter;
mod reported_rates;
mod search;
mod updates;

pub(crate) use acquire::Permission;
pub(crate) use updates::LimitResponse;

use crate::datagrams::Datagrams;
use crate::decision_log::LimiterUnresponsive;
use crate::metric_kinds::CounterByKind;
use acquire::PendingRequest;
use cloverpier_observe::Log;
use cloverpier_router_policy::permit::{LimitedUpstream, LimitedUpstreams, PermitSearch, Permits};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey, UpstreamState};
use cloverpier_timers::Timers;
use reported_rates::ReportedRates;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Numbers of rate-limited upstreams of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitedCounts {
    /// Upstreams with a rate limit.
    pub limited: usize,
    /// Those of them that are excluded for now, as the limiter has refused a permit or has not replied.
    pub without_permit: usize,
}

/// The router's resources that [`UpstreamLimits`] uses.
#[derive(Debug)]
pub(crate) struct LimitDependencies {
    /// This router's address for peers.
    pub own_address: SocketAddr,
    /// For the clock, the waits for permits and the timeouts of permit requests.
    pub timers: Timers,
    /// Sends permit requests and replies.
    pub datagrams: Rc<Datagrams>,
    /// Receives a line for each reported change of a limit, and for each limiter that becomes unresponsive.
    pub log: Log,
    /// Counts limits that begin, change and end.
    pub limit_counter: CounterByKind,
    /// Counts permits and refusals, by outcome.
    pub permit_counter: CounterByKind,
    /// Draws the first number of a permit request, and varies for how long a refusal excludes an upstream.
    pub rng: fastrand::Rng,
}

/// The limits of upstreams as this router has received them, the permits that it grants as a limiter, and its permit
/// requests to other limiters.
#[derive(Debug)]
pub(crate) struct UpstreamLimits {
    deps: LimitDependencies,
    permits: RefCell<Permits>,
    rng: RefCell<fastrand::Rng>,
    /// Permit requests without a reply so far, by their numbers.
    pending: RefCell<HashMap<u64, PendingRequest>>,
    last_request_number: Cell<u64>,
    reported_rates: RefCell<ReportedRates>,
    /// When a limit last changed by enough to be reported; `None` before. Limits are repeated to peers for a few
    /// seconds after that.
    pub last_report: Cell<Option<Instant>>,
}

impl UpstreamLimits {
    /// Creates the state without any limits.
    pub fn new(mut deps: LimitDependencies) -> Self {
        let now = deps.timers.now();
        // A random start, so that a late reply to a request of a previous process matches none of this process.
        let first_number = deps.rng.u64(..u64::MAX / 2);
        Self {
            permits: RefCell::new(Permits::new(deps.own_address, now)),
            rng: RefCell::new(deps.rng.fork()),
            pending: RefCell::default(),
            last_request_number: Cell::new(first_number),
            reported_rates: RefCell::default(),
            last_report: Cell::default(),
            deps,
        }
    }

    /// The rate-limited upstreams, and which of them the choice for a request excludes at this point of its search.
    pub fn limited_upstreams(&self, search: &PermitSearch) -> LimitedUpstreams {
        let permits = self.permits.borrow();
        if permits.limits().is_empty() {
            return LimitedUpstreams::NONE;
        }
        permits.limited_upstreams(search, self.deps.timers.now())
    }

    /// Whether requests to an upstream need a permit.
    pub fn is_limited(&self, upstream: &Upstream) -> bool {
        let key = UpstreamKey::of(&upstream.name);
        let permits = self.permits.borrow();
        permits.limits().rate(key, self.deps.timers.now()).is_some()
    }

    /// Counts the rate-limited ones of some upstreams, for log lines.
    pub fn count_limited<'a>(
        &self,
        states: impl Iterator<Item = &'a UpstreamState>,
    ) -> LimitedCounts {
        let permits = self.permits.borrow();
        let mut counts = LimitedCounts::default();
        if permits.limits().is_empty() {
            return counts;
        }
        let now = self.deps.timers.now();
        for state in states {
            let is_limited = permits.limits().rate(state.key, now).is_some();
            counts.limited += usize::from(is_limited);
            counts.without_permit += usize::from(permits.is_backing_off(state.key, now));
        }
        counts
    }

    /// Logs and counts a limiter that has become unresponsive, so that another router takes its place.
    fn log_unresponsive_limiter(&self, limiter: SocketAddr) {
        self.deps.permit_counter.count("limiter-silent");
        let line = LimiterUnresponsive {
            limiter: limiter.to_string(),
        };
        self.deps.log.info("limiter.silent", &line);
    }
}

/// The attributes of an upstream that the permit policy needs.
fn limited_upstream(upstream: &Upstream) -> LimitedUpstream<'_> {
    LimitedUpstream {
        key: UpstreamKey::of(&upstream.name),
        data_centre: &upstream.data_centre,
        start_time_ms: upstream.start_time_ms(),
    }
}
