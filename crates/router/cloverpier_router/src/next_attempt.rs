//! Where the next attempt of a request would go if its present one ended now.
//!
//! `cloverpier_router_policy::choice` decides; this module collects the inputs. [`NextAttempt`] owns what was known of the
//! request when the present attempt was sent.

use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::first_event::FirstEventForecast;
use cloverpier_router_policy::first_event_wait::Elsewhere;
use cloverpier_router_policy::permit::PermitSearch;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::{Replica, usable_replica};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The attempt that would follow the present one.
pub(crate) struct NextAttempt {
    pub router: Rc<Router>,
    pub request: Rc<RelayRequest>,
    /// The upstream of the present attempt.
    pub upstream: UpstreamName,
    /// The upstreams that get no further attempt, that of the present one included.
    pub tried: Vec<UpstreamName>,
    /// Whether the route allows another attempt; the retry budget is not considered.
    pub may_be_sent_again: bool,
    /// The versions that another attempt may go to; `None` if that is not known.
    pub versions: RefCell<Option<VersionRule>>,
    /// A hash of the request's content if that content may crash upstreams.
    pub isolation_key: Option<u64>,
    /// The replica of the KV cache of the present attempt; `None` if there is none.
    pub replica: Option<Replica>,
    /// Whether the request is a stream of which the caller has no event yet, so that it may have to wait for its turn.
    pub may_queue: Cell<bool>,
    /// Whether the request is a stream, which an engine without a free slot may get if its own engine does not respond.
    pub is_stream: bool,
}

/// The upstream that would get the next attempt.
pub(crate) struct Candidate {
    pub upstream: Upstream,
    /// The predicted time to the first event there, or zero for an upstream that is no engine; `None` while no rate is
    /// known.
    pub predicted: Option<Duration>,
}

impl NextAttempt {
    /// The other upstream at which the request would be placed; a replica is not considered.
    pub fn elsewhere(&self, now: Instant) -> Elsewhere {
        if self.would_be_refused() {
            return Elsewhere::Nowhere;
        }
        self.with_demand(now, |table, demand| {
            Elsewhere::for_next_attempt(table, demand, &mut self.router.rng.borrow_mut())
        })
        .unwrap_or(Elsewhere::Nowhere)
    }

    /// The upstream that would get the next attempt now: the engine with the replica, or the best other upstream. `None`
    /// if the request may not be sent again, within its limits and the retry budget, or no upstream has room for it.
    /// `overcommit` is whether an engine without a free slot may get a stream.
    pub fn candidate(&self, overcommit: bool, now: Instant) -> Option<Candidate> {
        if self.would_be_refused() {
            return None;
        }
        let overcommit = overcommit && self.is_stream;
        self.with_demand(now, |table, demand| {
            let demand = &Demand {
                overcommit,
                ..demand.clone()
            };
            let replica = self.replica.as_ref();
            let (versions, limits) = (demand.versions, demand.limits);
            if let Some(engine) = usable_replica(table, versions, limits, replica, now) {
                let predicted = predicted_at(table, demand, &engine, 0);
                return Some(Candidate {
                    upstream: engine,
                    predicted,
                });
            }
            let choice = choose_upstream(table, demand, &mut self.router.rng.borrow_mut());
            let Choice::Upstream(upstream) = choice else {
                return None;
            };
            let predicted = predicted_at(table, demand, &upstream, demand.load.unread_tokens);
            Some(Candidate {
                upstream,
                predicted,
            })
        })
        .flatten()
    }

    /// Whether the request may be sent again, within the limits of its route and the retry budget.
    pub fn is_allowed(&self, now: Instant) -> bool {
        let service = &self.request.service.name;
        self.may_be_sent_again && self.router.allows_retry(service, now)
    }

    /// Whether the request would have to wait behind others of its service, here or at peers, before its next attempt.
    pub fn would_queue(&self) -> bool {
        let service = &self.request.service.name;
        self.may_queue.get() && self.router.admission.any_waiting(service)
    }

    /// Whether the request would have to wait and this router holds no waiting requests, because it shuts down.
    fn would_be_refused(&self) -> bool {
        self.router.lifecycle.is_shutting_down() && self.would_queue()
    }

    /// Calls `decide` with the demand of the next attempt; `None` if the request may not be sent again.
    fn with_demand<T>(
        &self,
        now: Instant,
        decide: impl FnOnce(&UpstreamTable, &Demand<'_>) -> T,
    ) -> Option<T> {
        let (router, request) = (&self.router, &self.request);
        if !self.is_allowed(now) {
            return None;
        }
        let versions = self.versions.borrow();
        let versions = versions.as_ref()?;
        let search = PermitSearch::new(Duration::ZERO);
        let demand = Demand {
            service: &request.service.name,
            home: &router.settings().data_centre,
            load: request.load(),
            engine_memory: request.engine_memory(),
            affinity: request.prompt.map(|p| p.0),
            prompt_location: None,
            is_continuation: request.last_event.is_some(),
            tried: &self.tried,
            connected: &HashSet::new(),
            suspect_content: self.isolation_key,
            overcommit: false,
            reported: &ReportedLoad::default(),
            versions,
            limits: &router.upstream_limits.limited_upstreams(&search),
            now,
        };
        Some(decide(&router.upstreams.borrow(), &demand))
    }
}

/// The predicted time to the first event at an upstream that has to read so many tokens of the prompt.
fn predicted_at(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    upstream: &Upstream,
    own_tokens: u32,
) -> Option<Duration> {
    if demand.engine_memory.is_none() {
        return Some(Duration::ZERO);
    }
    let engine = table.get(&upstream.name)?;
    FirstEventForecast::of_attempt(table, demand, engine, own_tokens).predicted
}
