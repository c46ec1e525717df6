//! Opens a run of a stream at the upstream that [`super::pick`] finds, at others where that fails.
//!
//! These are the steps of [`StreamRun`] that send and check the head.

use super::{Source, StreamRun};
use crate::crashes::abandoned::AbandonGuard;
use crate::crashes::hold::Admitted;
use crate::crashes::{hold, judgement};
use crate::load_guard::LoadGuard;
use crate::outcome::GivenUp;
use crate::prompt_search::find_prompt;
use crate::prompts::RunningStream;
use crate::responses::BufferedResponse;
use crate::rollouts;
use crate::send::{AttemptHeaders, OpenResponse, return_to_pool, send};
use cloverpier_crashes::Admission;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::Replica;
use http_body_util::BodyExt;
use std::rc::Rc;

impl StreamRun {
    /// Opens a run at an upstream, at others where that fails.
    pub(super) async fn open_somewhere(&mut self) -> Result<(), GivenUp> {
        self.find_prompt().await;
        loop {
            // The turn of the run that was lost is over.
            self.admitted = Admitted::NEW;
            self.admitted = hold::admit(&self.router, &self.request).await;
            if self.admitted.admission == Admission::Blocked {
                return Err(GivenUp::stopped());
            }
            let request = Rc::clone(&self.request);
            let found = request
                .cancel
                .run_unless_cancelled(self.find_upstream())
                .await;
            let (upstream, extras) = found
                .ok_or_else(GivenUp::stopped)?
                .map_err(|reason| GivenUp::without_upstream(&self.attempts, reason))?;
            if !self.admitted.still_holds(&self.router, &self.request) {
                continue;
            }
            self.attempts.on_send();
            self.attempt_begun = self.router.now();
            self.admitted.on_sent();
            let guard = AbandonGuard::begin(&self.router, &self.request, &upstream);
            let opened = self.open_at(&upstream, extras).await;
            let failure = match opened {
                Ok(()) => {
                    self.unanswered = Some(guard);
                    return Ok(());
                }
                Err(failure) => failure,
            };
            guard.settle();
            rollouts::on_failure(&self.router, &self.request, &upstream, &failure);
            self.note_loss(&upstream, &failure);
            let may_have_run = failure.outcome().may_have_run();
            let mut table = self.router.upstreams.borrow_mut();
            table.on_result(&upstream.name, may_have_run);
            drop(table);
            self.tried.push(upstream.name);
            self.after_failure(&failure)?;
        }
    }

    /// Finds out which engine has read the prompt of a former request that this one continues.
    async fn find_prompt(&self) {
        let is_new = self.attempts.sent() == 0 && self.request.last_event.is_some();
        let is_engine = self.request.service.engine.is_some();
        if let Some(prompt) = self.request.prompt.filter(|_| is_new && is_engine) {
            find_prompt(&self.router, &self.request, prompt).await;
        }
    }

    async fn open_at(
        &mut self,
        upstream: &Upstream,
        extras: AttemptHeaders,
    ) -> Result<(), AttemptFailure> {
        let load = self.begin_load(upstream, &extras);
        let running = self.begin_running(upstream);
        self.router.report_to_peers(&upstream.name);
        rollouts::on_sent(&self.router, &self.request, upstream);
        let measured = self.measure_first(upstream);
        let replica = extras.replica.clone();
        let replica = replica.map(|engine| self.begin_replica(engine));
        let now = self.router.now();
        let mut liveness = Liveness::new(self.waiting_bounds(), now);
        let opened = send(
            &self.router,
            &self.request,
            upstream,
            &extras,
            &mut liveness,
        )
        .await?;
        let opened = self.check_status(opened, upstream).await?;
        if !self.is_resuming() {
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
            last_event_at: now,
            has_events: false,
            measured,
            moves_at: None,
        });
        Ok(())
    }

    fn begin_running(&self, upstream: &Upstream) -> Option<RunningStream> {
        let now = self.router.now();
        let prompt = self.request.prompt?;
        Some(RunningStream::begin(
            &self.router.prompts,
            &self.router.peers.outbox,
            prompt,
            &upstream.name,
            now,
        ))
    }

    fn begin_load(&self, upstream: &Upstream, extras: &AttemptHeaders) -> LoadGuard {
        let mut load = self.request.load();
        if extras.resume_from.is_some() {
            // The replica holds the prompt read.
            load.unread_tokens = 0;
        }
        LoadGuard::begin(&self.router, &upstream.name, load)
    }

    /// Adds the load of a replica, which is memory alone.
    fn begin_replica(&self, engine: Upstream) -> (Replica, LoadGuard) {
        let load = Load {
            memory_tokens: self.request.load().memory_tokens,
            ..Load::default()
        };
        let guard = LoadGuard::begin(&self.router, &engine.name, load);
        self.router.report_to_peers(&engine.name);
        let replica = Replica::begin(&self.router.upstreams.borrow(), engine);
        (replica, guard)
    }

    /// A stream begins with a success; any other answer is read whole, to be passed on if no
    /// other upstream helps.
    async fn check_status(
        &mut self,
        opened: OpenResponse,
        upstream: &Upstream,
    ) -> Result<OpenResponse, AttemptFailure> {
        if opened.head.status.is_success() {
            return Ok(opened);
        }
        let (timers, deadline) = (&self.router.timers, self.request.deadline);
        let collected = timers.timeout_at(deadline, opened.body.collect()).await;
        let body = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                let error = e.to_string();
                return Err(AttemptFailure::ErrorResponseBroken { error });
            }
            // Only the timeout can fail here.
            Err(_) => return Err(AttemptFailure::DeadlinePassedSent),
        };
        return_to_pool(&self.router, upstream, opened.connection);
        judgement::on_completed(&self.router, &self.request);
        let status = opened.head.status.as_u16();
        self.upstream_failure = Some(BufferedResponse::new(opened.head, body));
        Err(AttemptFailure::UpstreamError { status })
    }

    /// Bounds on silence before the first event, while the engine reads the prompt.
    fn waiting_bounds(&self) -> LivenessBounds {
        let silence = self.router.settings().silence;
        LivenessBounds {
            probe_after: silence.ask_before_first,
            probe_timeout: silence.answer_before_first,
            stall_after: silence.stuck_before_first,
        }
    }

    /// Bounds on silence between events.
    pub(super) fn running_bounds(&self) -> LivenessBounds {
        let silence = self.router.settings().silence;
        let bounds = LivenessBounds {
            probe_after: silence.ask_after,
            probe_timeout: silence.answer_within,
            stall_after: silence.stuck_after,
        };
        bounds.with_gap_objective(self.request.route.gap_objective)
    }
}
