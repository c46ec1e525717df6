//! Chooses the upstream of a stream's next attempt: the engine with a usable replica of the last attempt's KV
//! cache, else the best other upstream.
//!
//! These are methods of [`StreamRelay`], which owns the state. They collect the inputs, query engines for their
//! load, obtain permits and set the headers that belong to the attempt. `cloverpier_router_policy::{choice,
//! replica, load_query}` decide which upstream is chosen.

use super::StreamRelay;
use crate::attempt_message::AttemptHeaders;
use crate::choice_log::{ChoiceInputs, log_choice};
use crate::first_event_watch::FirstEventWatch;
use crate::load_query::{query_load, query_paces};
use crate::rollouts;
use crate::silence::SilenceWatch;
use crate::stream_origins::write::held_versions;
use crate::upstream_limits::Permission;
use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_crashes::Admission;
use cloverpier_router_policy::arrival::RESUMED_PRIORITY;
use cloverpier_router_policy::load_query::{engines_to_query, limited_engine_without_query};
use cloverpier_router_policy::pace::engines_to_ask;
use cloverpier_router_policy::permit::PermitSearch;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::{Replica, usable_replica};
use cloverpier_router_policy::stream_version::lookup::UnknownOrigin;
use futures_util::future::join;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The inputs of a choice that come from the router's state and not from the request, read once for each attempt.
pub(super) struct ChoiceContext {
    home: DataCentre,
    connected: HashSet<UpstreamName>,
    /// The versions that the attempt may go to. During a roll-out they are drawn at random, once for each
    /// attempt, so that only engines that may be chosen are queried for their load.
    pub(super) versions: VersionRule,
    pub(super) now: Instant,
}

impl StreamRelay {
    /// Fails if the stream has begun and its version has not been determined.
    pub(super) fn context(&self) -> Result<ChoiceContext, NoUpstream> {
        let router = &self.router;
        let now = router.now();
        let service = &self.request.service.name;
        let mut versions = rollouts::version_rule(router, service, now);
        if self.request.route.retry_rule() == RetryRule::Resumable {
            versions = versions.avoiding(held_versions(router, service, now));
        }
        Ok(ChoiceContext {
            home: router.settings().data_centre.clone(),
            connected: router.pool.borrow().connected_upstreams(now),
            versions: self.limit_to_origin(versions)?,
            now,
        })
    }

    /// Limits the versions that the next attempt may go to, if the stream has begun.
    fn limit_to_origin(&self, versions: VersionRule) -> Result<VersionRule, NoUpstream> {
        if let (None, Some(Err(reason))) = (&self.origin, &self.request.stream.origin) {
            return Err(NoUpstream::UnknownVersion(*reason));
        }
        let Some(origin) = &self.origin else {
            return Ok(versions);
        };
        let version = origin.version_now(&self.router.upstreams.borrow());
        let unknown = NoUpstream::UnknownVersion(UnknownOrigin::Ambiguous);
        Ok(versions.for_stream(version.ok_or(unknown)?))
    }

    /// Chooses the upstream of the next attempt, obtains a permit if that upstream limits its request rate, and
    /// prepares the attempt there.
    pub(super) async fn find_upstream(&mut self) -> Result<PreparedAttempt, NoUpstream> {
        let mut context = self.context()?;
        let mut reported = ReportedLoad::default();
        let chosen = match self.choose_limited_without_query(&context).await {
            Some(chosen) => chosen,
            None => {
                reported = self.query_load(&context).await;
                context.now = self.router.now();
                self.choose_with_permit(&context, &reported).await?
            }
        };
        Ok(self.prepare_attempt(&context, &reported, chosen))
    }

    /// The engine of the lowest estimated cost, if it limits its request rate and a permit for it is available at
    /// once. Such an engine is not queried for its load, because a query counts against its limit.
    async fn choose_limited_without_query(
        &self,
        context: &ChoiceContext,
    ) -> Option<ChosenUpstream> {
        let router = &self.router;
        let search = PermitSearch::new(Duration::ZERO);
        let limits = router.upstream_limits.limited_upstreams(&search);
        if !limits.any_limited() {
            return None;
        }
        let upstream = {
            let table = router.upstreams.borrow();
            if self.has_usable_replica(&table, context, &limits) {
                return None;
            }
            let reported = ReportedLoad::default();
            let demand = self.demand(context, &reported, &limits);
            let (peers, mut rng) = (router.peers.count(), router.rng.borrow_mut());
            limited_engine_without_query(&table, &demand, peers, &mut rng)?
        };
        match router
            .upstream_limits
            .acquire(&upstream, Duration::ZERO)
            .await
        {
            Permission::Granted => Some(ChosenUpstream {
                upstream,
                from_replica: false,
            }),
            Permission::Refused { .. } => None,
        }
    }

    /// Queries engines for their load where peers' reports are incomplete, and for their pace where it is not known. Sends no query if the engine with the
    /// replica can take the stream, as the stream goes there whatever the load is.
    async fn query_load(&self, context: &ChoiceContext) -> ReportedLoad {
        let loads = self.engines_to_query(context);
        let paces = self.engines_to_ask_for_pace(context);
        if loads.is_empty() && paces.is_empty() {
            return ReportedLoad::default();
        }
        let load = query_load(&self.router, &self.request, &loads);
        let (reported, ()) = join(load, query_paces(&self.router, &paces)).await;
        reported
    }

    /// The engines whose pace is not known and may decide the choice.
    fn engines_to_ask_for_pace(&self, context: &ChoiceContext) -> Vec<Upstream> {
        let router = &self.router;
        let search = PermitSearch::new(Duration::ZERO);
        let limits = router.upstream_limits.limited_upstreams(&search);
        let table = router.upstreams.borrow();
        if self.has_usable_replica(&table, context, &limits) {
            return Vec::new();
        }
        let reported = ReportedLoad::default();
        let demand = self.demand(context, &reported, &limits);
        engines_to_ask(&table, &demand, &mut router.rng.borrow_mut())
    }

    fn engines_to_query(&self, context: &ChoiceContext) -> Vec<Upstream> {
        let router = &self.router;
        let search = PermitSearch::new(Duration::ZERO);
        let limits = router.upstream_limits.limited_upstreams(&search);
        let table = router.upstreams.borrow();
        if self.has_usable_replica(&table, context, &limits) {
            return Vec::new();
        }
        let reported = ReportedLoad::default();
        let demand = self.demand(context, &reported, &limits);
        let peers = router.peers.count();
        engines_to_query(&table, &demand, peers, &mut router.rng.borrow_mut())
    }

    /// Whether the engine with the replica of the last attempt's KV cache can take the next attempt.
    fn has_usable_replica(
        &self,
        table: &UpstreamTable,
        context: &ChoiceContext,
        limits: &LimitedUpstreams,
    ) -> bool {
        let replica = self.replica_to_resume();
        usable_replica(table, &context.versions, limits, replica, context.now).is_some()
    }

    /// The replica from which the stream may resume. `None` for a request that is isolated as a possible cause of
    /// crashes, because the replica's engine runs other requests, too.
    fn replica_to_resume(&self) -> Option<&Replica> {
        self.replica.as_ref().filter(|_| !self.is_isolated())
    }

    /// The demand of the next attempt.
    pub(super) fn demand<'a>(
        &'a self,
        context: &'a ChoiceContext,
        reported: &'a ReportedLoad,
        limits: &'a LimitedUpstreams,
    ) -> Demand<'a> {
        let now = context.now;
        Demand {
            service: &self.request.service.name,
            home: &context.home,
            load: self.request.load(),
            engine_memory: self.request.engine_memory(),
            affinity: self.request.prompt.map(|p| p.0),
            prompt_location: self.prompt_location(now),
            is_continuation: self.request.last_event.is_some(),
            tried: self.tried.excluded(),
            connected: &context.connected,
            suspect_content: self.isolation_key(),
            overcommit: self.may_overcommit() || self.overcommits,
            reported,
            versions: &context.versions,
            limits,
            now,
        }
    }

    /// The engine with the replica, or the best other upstream. If the upstream limits its request rate, waits for
    /// a permit; after a refusal, chooses another upstream.
    async fn choose_with_permit(
        &self,
        context: &ChoiceContext,
        reported: &ReportedLoad,
    ) -> Result<ChosenUpstream, NoUpstream> {
        let router = &self.router;
        let search = PermitSearch::new(self.request.max_permit_wait(context.now));
        let choose = |limits: &LimitedUpstreams| {
            let table = router.upstreams.borrow();
            let demand = self.demand(context, reported, limits);
            let replica = self.replica_to_resume();
            choose_for_stream(&table, &demand, replica, &mut router.rng.borrow_mut())
        };
        let limits = &router.upstream_limits;
        limits
            .choose_with_permit(search, choose, |upstream| router.is_usable(upstream))
            .await
    }

    /// Chooses an engine for the replica of the attempt, collects the headers of the attempt, predicts its first event,
    /// and logs the choice.
    fn prepare_attempt(
        &mut self,
        context: &ChoiceContext,
        reported: &ReportedLoad,
        chosen: ChosenUpstream,
    ) -> PreparedAttempt {
        let router = Rc::clone(&self.router);
        let ChosenUpstream {
            upstream,
            from_replica,
        } = chosen;
        let replica = self
            .keeps_replica()
            .then(|| self.choose_replica(context, reported, &upstream))
            .flatten();
        // The replica belongs to the last attempt, so it is dropped whether the stream resumes from it or not.
        self.replica = None;
        let extras = self.attempt_extras(&upstream, replica, from_replica);
        let limits = LimitedUpstreams::NONE;
        let demand = self.demand(context, reported, &limits);
        let next = self.next_attempt(&demand, &upstream, extras.replica.as_ref());
        let silence = self.watch_silence(&next);
        let first_event = self.watch_first_event(&demand, next, &upstream, from_replica);
        let inputs = ChoiceInputs {
            replica: extras.replica.as_ref(),
            resumes_after: extras.last_event,
            began_version: context.versions.required(),
            from_replica,
            is_isolated: self.is_isolated(),
            loads_reported: reported.len(),
            reported_load: reported.of(UpstreamKey::of(&upstream.name)),
            predicted: first_event.predicted(),
            ..ChoiceInputs::for_next_attempt(&self.attempts, router.now())
        };
        log_choice(&router, &self.request, &upstream, &inputs);
        if self.last_event.is_some() {
            let kind = continued_version(context.versions.required(), &upstream);
            router.metrics.continued_versions.count(kind);
        }
        PreparedAttempt {
            upstream,
            headers: extras,
            first_event,
            silence,
        }
    }

    fn choose_replica(
        &self,
        context: &ChoiceContext,
        reported: &ReportedLoad,
        primary: &Upstream,
    ) -> Option<Upstream> {
        let router = &self.router;
        let search = PermitSearch::new(Duration::ZERO);
        let limits = router.upstream_limits.limited_upstreams(&search);
        let demand = self.demand(context, reported, &limits);
        let table = router.upstreams.borrow();
        choose_replica(&table, &demand, primary, &mut router.rng.borrow_mut())
    }

    /// The hash of the request's content if the content may crash upstreams.
    fn isolation_key(&self) -> Option<u64> {
        let key = self.request.content_key();
        self.admitted.admission.isolation_key(key)
    }

    /// Whether the request is kept away from other requests, because its content may crash upstreams.
    fn is_isolated(&self) -> bool {
        self.admitted.admission == Admission::Isolated
    }

    /// Whether the next attempt keeps a replica of its KV cache: if the router's settings enable replicas, the
    /// engines support them, the request is not isolated, and no stream waits that could use the memory.
    fn keeps_replica(&self) -> bool {
        let engine = self.request.service.engine;
        let service = &self.request.service.name;
        let has_waiting = self.router.admission.any_waiting(service);
        let is_enabled = self.router.settings().backups && !self.is_isolated() && !has_waiting;
        is_enabled && engine.is_some_and(|e| e.replicates_kv)
    }

    /// Whether the caller has received events from earlier attempts of this request.
    pub(super) fn is_resuming(&self) -> bool {
        self.progress.events > 0
    }

    /// The engine that has read the prompt, for a request that resumes a stream. `None` if that engine is not
    /// known, and once an attempt of this request has yielded events.
    fn prompt_location(&self, now: Instant) -> Option<UpstreamKey> {
        let prompt = self.request.prompt?;
        let is_continuation = self.request.last_event.is_some() && !self.is_resuming();
        is_continuation
            .then(|| self.router.prompts.location_of(prompt, now))
            .flatten()
    }

    fn attempt_extras(
        &self,
        upstream: &Upstream,
        replica: Option<Upstream>,
        from_replica: bool,
    ) -> AttemptHeaders {
        let replica_id = self.router.wire_names.replica_id;
        AttemptHeaders {
            replica,
            resume_from: from_replica.then(|| replica_id(upstream.address, &self.request.id)),
            // An engine that resumes from a replica needs the last event's id; 0 means before the first event.
            last_event: self.last_event.or(from_replica.then_some(0)),
            priority: if self.is_resuming() {
                RESUMED_PRIORITY
            } else {
                self.request.priority
            },
        }
    }
}

/// An attempt that is about to be sent.
pub(super) struct PreparedAttempt {
    pub upstream: Upstream,
    pub headers: AttemptHeaders,
    pub first_event: FirstEventWatch,
    pub silence: SilenceWatch,
}

/// The upstream of the next attempt.
struct ChosenUpstream {
    upstream: Upstream,
    /// Whether the stream resumes there from the replica of the last attempt's KV cache.
    from_replica: bool,
}

impl AsRef<Upstream> for ChosenUpstream {
    fn as_ref(&self) -> &Upstream {
        &self.upstream
    }
}

fn choose_for_stream(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    replica_to_resume: Option<&Replica>,
    rng: &mut fastrand::Rng,
) -> Result<ChosenUpstream, NoUpstream> {
    let (versions, limits, now) = (demand.versions, demand.limits, demand.now);
    if let Some(engine) = usable_replica(table, versions, limits, replica_to_resume, now) {
        return Ok(ChosenUpstream {
            upstream: engine,
            from_replica: true,
        });
    }
    match choose_upstream(table, demand, rng) {
        Choice::Upstream(upstream) => Ok(ChosenUpstream {
            upstream,
            from_replica: false,
        }),
        Choice::None(reason) => Err(reason),
    }
}

/// The kind of the metric `continued_versions` for a stream that continues at `upstream`.
fn continued_version(began: Option<&StreamVersion>, upstream: &Upstream) -> &'static str {
    match began {
        Some(began) if *began == StreamVersion::in_entry(upstream) => "same",
        Some(_) => "other",
        None => "unknown",
    }
}
