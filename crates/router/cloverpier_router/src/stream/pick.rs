//! Picks the upstream of a stream's next run, and what the attempt there carries: the engine with the
//! replica of a lost run, or the best one.
//!
//! These are the steps of [`StreamRun`] that choose; who is chosen, and why, is decided in
//! `cloverpier_router_policy::choice`.

use super::StreamRun;
use crate::choice_log::{ChoiceNote, log_choice};
use crate::load_query::query_load;
use crate::rollouts;
use crate::send::AttemptHeaders;
use crate::upstream_limits::Permission;
use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_crashes::Admission;
use cloverpier_router_policy::arrival::RESUMED_PRIORITY;
use cloverpier_router_policy::load_query::{engines_to_query, limited_engine_without_query};
use cloverpier_router_policy::permit::PermitSearch;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::{Replica, usable_replica};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a choice rests on beside the request.
struct Around {
    home: DataCentre,
    connected: HashSet<UpstreamName>,
    /// Drawn once an attempt, so that the engines that are asked are those that may be chosen.
    versions: VersionRule,
    now: Instant,
}

impl StreamRun {
    fn around(&self) -> Around {
        let router = &self.router;
        let now = router.now();
        Around {
            home: router.settings().data_centre.clone(),
            connected: router.pool.borrow().connected_upstreams(now),
            versions: rollouts::version_rule(router, &self.request.service.name, now),
            now,
        }
    }

    /// An upstream for the next run, with what its attempt carries; and if it limits itself, the permit to
    /// send it there.
    pub(super) async fn find_upstream(&mut self) -> Result<(Upstream, AttemptHeaders), NoUpstream> {
        let mut around = self.around();
        let mut reported = ReportedLoad::default();
        let picked = match self.limited_in_place_of_a_query(&around).await {
            Some(picked) => picked,
            None => {
                reported = self.query_load(&around).await;
                around.now = self.router.now();
                self.pick(&around, &reported).await?
            }
        };
        Ok(self.with_extras(&around, &reported, picked))
    }

    /// The engine that would be asked for its load first, where it limits itself and there is a permit.
    async fn limited_in_place_of_a_query(&self, around: &Around) -> Option<Picked> {
        let router = &self.router;
        let search = PermitSearch::new(Duration::ZERO);
        let limits = router.upstream_limits.seen_by(&search);
        if !limits.limits_any() {
            return None;
        }
        let upstream = {
            let table = router.upstreams.borrow();
            if self.finds_its_replica(&table, around, &limits) {
                return None;
            }
            let reported = ReportedLoad::default();
            let demand = self.demand(around, &reported, &limits);
            let (peers, mut rng) = (router.peers.count(), router.rng.borrow_mut());
            limited_engine_without_query(&table, &demand, peers, &mut rng)?
        };
        match router
            .upstream_limits
            .acquire(&upstream, Duration::ZERO)
            .await
        {
            Permission::Given => Some(Picked {
                upstream,
                from_replica: false,
            }),
            Permission::Refused { .. } => None,
        }
    }

    /// Asks engines for their load, where too little is known of it; the engine with the replica
    /// of a lost run needs no asking.
    async fn query_load(&self, around: &Around) -> ReportedLoad {
        let engines = self.engines_to_query(around);
        if engines.is_empty() {
            return ReportedLoad::default();
        }
        query_load(&self.router, &self.request, &engines).await
    }

    fn engines_to_query(&self, around: &Around) -> Vec<Upstream> {
        let router = &self.router;
        let search = PermitSearch::new(Duration::ZERO);
        let limits = router.upstream_limits.seen_by(&search);
        let table = router.upstreams.borrow();
        if self.finds_its_replica(&table, around, &limits) {
            return Vec::new();
        }
        let reported = ReportedLoad::default();
        let demand = self.demand(around, &reported, &limits);
        let peers = router.peers.count();
        engines_to_query(&table, &demand, peers, &mut router.rng.borrow_mut())
    }

    /// Whether the engine with the replica of the lost run can take the next one.
    fn finds_its_replica(
        &self,
        table: &UpstreamTable,
        around: &Around,
        limits: &LimitedUpstreams,
    ) -> bool {
        let replica = self.lost_replica();
        usable_replica(table, &around.versions, limits, replica, around.now).is_some()
    }

    /// The replica of the lost run's KV cache. Its engine runs others, too.
    fn lost_replica(&self) -> Option<&Replica> {
        self.replica.as_ref().filter(|_| !self.is_apart())
    }

    /// What the next run asks of an engine.
    fn demand<'a>(
        &'a self,
        around: &'a Around,
        reported: &'a ReportedLoad,
        limits: &'a LimitedUpstreams,
    ) -> Demand<'a> {
        let now = around.now;
        Demand {
            service: &self.request.service.name,
            home: &around.home,
            load: self.request.load(),
            engine_memory: self.request.engine_memory(),
            affinity: self.request.prompt.map(|p| p.0),
            prompt_location: self.prompt_location(now),
            is_continuation: self.request.last_event.is_some(),
            tried: &self.tried,
            connected: &around.connected,
            suspect_content: self
                .admitted
                .admission
                .isolation_key(self.request.content_key()),
            overcommit: self.is_resuming(),
            reported,
            versions: &around.versions,
            limits,
            now,
        }
    }

    /// The engine with the replica of the lost run, or the best of the others.
    async fn pick(&self, around: &Around, reported: &ReportedLoad) -> Result<Picked, NoUpstream> {
        let router = &self.router;
        let search = PermitSearch::new(self.request.max_permit_wait(around.now));
        let choose = |limits: &LimitedUpstreams| {
            let table = router.upstreams.borrow();
            let demand = self.demand(around, reported, limits);
            let replica = self.lost_replica();
            pick(&table, &demand, replica, &mut router.rng.borrow_mut())
        };
        let limits = &router.upstream_limits;
        limits
            .offer(search, choose, |upstream| router.is_usable(upstream))
            .await
    }

    /// What the attempt at a picked upstream carries.
    fn with_extras(
        &mut self,
        around: &Around,
        reported: &ReportedLoad,
        picked: Picked,
    ) -> (Upstream, AttemptHeaders) {
        let router = Rc::clone(&self.router);
        let Picked {
            upstream,
            from_replica,
        } = picked;
        let replica = self
            .replicates()
            .then(|| self.choose_replica(around, reported, &upstream))
            .flatten();
        // It goes with the lost run, whether it was used or not.
        self.replica = None;
        let extras = self.extras(&upstream, replica, from_replica);
        let note = ChoiceNote {
            replica: extras.replica.as_ref(),
            resumes_after: extras.last_event,
            from_replica,
            apart: self.is_apart(),
            asked: reported.len(),
            reported: reported.of(UpstreamKey::of(&upstream.name)),
            ..ChoiceNote::of(&self.attempts, router.now())
        };
        log_choice(&router, &self.request, &upstream, &note);
        (upstream, extras)
    }

    fn choose_replica(
        &self,
        around: &Around,
        reported: &ReportedLoad,
        primary: &Upstream,
    ) -> Option<Upstream> {
        let router = &self.router;
        let search = PermitSearch::new(Duration::ZERO);
        let limits = router.upstream_limits.seen_by(&search);
        let demand = self.demand(around, reported, &limits);
        let table = router.upstreams.borrow();
        choose_replica(&table, &demand, primary, &mut router.rng.borrow_mut())
    }

    /// Whether the request may be what ends upstreams, so that it is kept apart from others.
    fn is_apart(&self) -> bool {
        self.admitted.admission == Admission::Isolated
    }

    /// Whether the next run keeps a replica of its KV cache.
    fn replicates(&self) -> bool {
        let engine = self.request.service.engine;
        let is_wanted = self.router.settings().backups && !self.is_apart();
        is_wanted && engine.is_some_and(|e| e.replicates_kv)
    }

    /// Whether the caller has events of a run that was lost.
    pub(super) fn is_resuming(&self) -> bool {
        self.progress.events > 0
    }

    /// The engine that the caller's former request ran at, if this one continues it.
    fn prompt_location(&self, now: Instant) -> Option<UpstreamKey> {
        let prompt = self.request.prompt?;
        let is_continuation = self.request.last_event.is_some() && !self.is_resuming();
        is_continuation
            .then(|| self.router.prompts.location_of(prompt, now))
            .flatten()
    }

    fn extras(
        &self,
        upstream: &Upstream,
        replica: Option<Upstream>,
        from_replica: bool,
    ) -> AttemptHeaders {
        let replica_id = self.router.wire_names.replica_id;
        AttemptHeaders {
            replica,
            resume_from: from_replica.then(|| replica_id(upstream.address, &self.request.id)),
            // A replica resumes after an event; before the first one that is event 0.
            last_event: self.last_event.or(from_replica.then_some(0)),
            priority: if self.is_resuming() {
                RESUMED_PRIORITY
            } else {
                self.request.priority
            },
        }
    }
}

/// The upstream of the next run.
struct Picked {
    upstream: Upstream,
    /// Whether it has the replica of the lost run.
    from_replica: bool,
}

impl AsRef<Upstream> for Picked {
    fn as_ref(&self) -> &Upstream {
        &self.upstream
    }
}

fn pick(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    lost_replica: Option<&Replica>,
    rng: &mut fastrand::Rng,
) -> Result<Picked, NoUpstream> {
    let (versions, limits, now) = (demand.versions, demand.limits, demand.now);
    if let Some(engine) = usable_replica(table, versions, limits, lost_replica, now) {
        return Ok(Picked {
            upstream: engine,
            from_replica: true,
        });
    }
    match choose_upstream(table, demand, rng) {
        Choice::Upstream(upstream) => Ok(Picked {
            upstream,
            from_replica: false,
        }),
        Choice::None(reason) => Err(reason),
    }
}
