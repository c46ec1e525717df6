//! Opens a stream at a upstream: the engine with the copy of a lost run, or the best one.

use super::{RESUMED_PRIORITY, Source, StreamRun};
use crate::guards::{LoadGuard, RunningStream};
use crate::outcome::{ChoiceNote, GivenUp, load_of, log_choice, wait_error};
use crate::prompt_search::find_prompt;
use crate::reply::UpstreamAnswer;
use crate::send::{Opened, SendError, SendExtras, keep, send};
use cloverpier_router_policy::prelude::*;
use http_body_util::BodyExt;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl StreamRun {
    /// Opens the stream at a upstream, at others when that fails.
    pub(super) async fn open_somewhere(&mut self) -> Result<(), GivenUp> {
        self.find_prompt().await;
        loop {
            let Some((upstream, extras)) = self.choose() else {
                return Err(GivenUp {
                    next: self.attempts.give_up(),
                    timed_out: false,
                    reason: "no server takes the request".to_owned(),
                });
            };
            self.attempts.on_send();
            let error = match self.open_at(&upstream, extras).await {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
            self.tried.push(upstream.name.clone());
            let mut table = self.router.upstreams.borrow_mut();
            table.on_result(&upstream.name, error.outcome.may_have_run());
            drop(table);
            self.after_interruption(&error.into())?;
        }
    }

    /// The engine with the copy of the lost run, or the best of the others.
    fn choose(&mut self) -> Option<(Upstream, SendExtras)> {
        let router = Rc::clone(&self.router);
        let now = Instant::now();
        let connected = router.pool.borrow().connected(now);
        let table = router.upstreams.borrow();
        let settings = router.settings();
        let demand = Demand {
            service: &self.request.service.name,
            home: &settings.data_centre,
            load: load_of(&self.request),
            engine_memory: self.request.service.engine.map(|e| e.memory_tokens),
            affinity: self.request.prompt.map(|p| p.0),
            prompt_location: self.prompt_location(now),
            is_continuation: self.request.last_event.is_some(),
            tried: &self.tried,
            connected: &connected,
            now,
            overcommit: self.progress.events > 0,
        };
        let mut rng = router.rng.borrow_mut();
        let copy = self.copy.take().filter(|upstream| {
            table
                .get(&upstream.name)
                .is_some_and(UpstreamState::is_usable)
        });
        let from_replica = copy.is_some();
        let upstream = match copy {
            Some(upstream) => upstream,
            None => match choose_upstream(&table, &demand, &mut rng) {
                Choice::Upstream(upstream) => upstream,
                Choice::Full | Choice::Nobody => return None,
            },
        };
        let replicates_kv =
            settings.backups && self.request.service.engine.is_some_and(|e| e.replicates_kv);
        let replica = replicates_kv
            .then(|| choose_replica(&table, &demand, &upstream, &mut rng))
            .flatten();
        let extras = self.extras(&upstream, replica, from_replica);
        let note = ChoiceNote {
            replica: extras.replica.as_ref(),
            resumes_after: extras.last_event,
            from_replica,
            ..ChoiceNote::of(&self.attempts, now)
        };
        log_choice(&router, &self.request, &table, &upstream, &note);
        Some((upstream, extras))
    }

    /// Finds out which engine has read the prompt of a former request, if this one goes on with it.
    async fn find_prompt(&self) {
        let is_new = self.attempts.sent() == 0 && self.request.last_event.is_some();
        let is_engine = self.request.service.engine.is_some();
        if let Some(prompt) = self.request.prompt.filter(|_| is_new && is_engine) {
            find_prompt(&self.router, &self.request, prompt).await;
        }
    }

    /// The engine that the caller's former request ran at, if this one goes on with it.
    fn prompt_location(&self, now: Instant) -> Option<UpstreamKey> {
        let prompt = self.request.prompt?;
        let is_continuation = self.request.last_event.is_some() && self.progress.events == 0;
        let prompt_locations = self.router.prompt_locations.borrow();
        is_continuation
            .then(|| prompt_locations.location_of(prompt, now))
            .flatten()
    }

    fn extras(
        &self,
        upstream: &Upstream,
        replica: Option<Upstream>,
        from_replica: bool,
    ) -> SendExtras {
        let replica_id = self.router.wire_names.replica_id;
        let is_repeat = self.progress.events > 0;
        SendExtras {
            replica,
            resume_from: from_replica.then(|| replica_id(upstream.address, &self.request.id)),
            last_event: self.last_event.or(from_replica.then_some(0)),
            priority: if is_repeat {
                RESUMED_PRIORITY
            } else {
                self.request.priority
            },
        }
    }

    async fn open_at(&mut self, upstream: &Upstream, extras: SendExtras) -> Result<(), SendError> {
        let mut load = load_of(&self.request);
        if extras.resume_from.is_some() {
            load.unread_tokens = 0;
        }
        let load = LoadGuard::begin(&self.router, &upstream.name, load);
        let now = Instant::now();
        let prompt = self.request.prompt;
        let running = prompt.map(|p| RunningStream::begin(&self.router, p, &upstream.name, now));
        self.router.report_to_peers(&upstream.name);
        let replica = extras.replica.clone().map(|replica| {
            let copied = Load {
                memory_tokens: load_of(&self.request).memory_tokens,
                ..Load::default()
            };
            let guard = LoadGuard::begin(&self.router, &replica.name, copied);
            self.router.report_to_peers(&replica.name);
            (replica, guard)
        });
        let now = Instant::now();
        let mut liveness = Liveness::new(self.waiting_bounds(), now);
        let opened = send(
            &self.router,
            &self.request,
            upstream,
            &extras,
            &mut liveness,
        )
        .await?;
        let opened = self.judge_status(opened, upstream).await?;
        if self.progress.events == 0 {
            self.head = Some(opened.head);
        }
        self.source = Some(Source {
            upstream: upstream.clone(),
            connection: opened.connection,
            body: opened.body,
            health: opened.health,
            liveness,
            load,
            replica,
            _running: running,
            last_heard: now,
        });
        Ok(())
    }

    /// A stream begins with 200; all else is read whole, to be passed on at need.
    async fn judge_status(
        &mut self,
        opened: Opened,
        upstream: &Upstream,
    ) -> Result<Opened, SendError> {
        if opened.head.status.is_success() {
            return Ok(opened);
        }
        let collected =
            tokio::time::timeout_at(self.request.deadline.into(), opened.body.collect());
        let body = match collected.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => return Err(SendError::new(AttemptOutcome::Unknown, e.to_string())),
            Err(_) => return Err(wait_error(crate::send::WaitError::TimedOut)),
        };
        keep(&self.router, &upstream.name, opened.connection);
        let reason = format!("the server answered {}", opened.head.status.as_u16());
        self.upstream_failure = Some(UpstreamAnswer {
            status: opened.head.status,
            headers: opened.head.headers,
            body,
        });
        Err(SendError::new(AttemptOutcome::Failed, reason))
    }

    fn waiting_bounds(&self) -> LivenessBounds {
        let silence = self.router.settings().silence;
        LivenessBounds {
            probe_after: silence.ask_before_first,
            probe_timeout: silence.answer_before_first,
            stall_after: silence.stuck_before_first,
        }
    }

    pub(super) fn running_bounds(&self) -> LivenessBounds {
        let silence = self.router.settings().silence;
        LivenessBounds {
            probe_after: silence.ask_after,
            probe_timeout: silence.answer_within,
            stall_after: stuck_after(silence.stuck_after, self.request.route.gap_objective),
        }
    }
}

/// A stream isn't taken for stuck before its pauses are late.
fn stuck_after(setting: Duration, gap_objective: Option<Duration>) -> Duration {
    setting.max(gap_objective.unwrap_or_default())
}
