//! Sends the next attempt of a stream and checks the head of the response.
//!
//! The attempt goes to the upstream that [`super::choice`] selects; if that fails, to others. These are methods
//! of [`StreamRelay`], which owns the state. Relies on [`crate::send`] for the exchange with the upstream.

use super::choice::PreparedAttempt;
use super::{StreamRelay, UpstreamStream};
use crate::attempt_message::AttemptHeaders;
use crate::crashes::abandoned::AbandonGuard;
use crate::crashes::admission::Admitted;
use crate::crashes::{admission, resolution};
use crate::first_event_watch::FirstEventWatch;
use crate::http_client::read_body;
use crate::load_guard::LoadGuard;
use crate::outcome::RequestFailure;
use crate::prompt_search::find_prompt;
use crate::prompts::PromptLocationGuard;
use crate::responses::BufferedResponse;
use crate::rollouts;
use crate::send::{OpenResponse, return_to_pool, send};
use crate::wait::AttemptWatches;
use cloverpier_crashes::Admission;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::Replica;
use cloverpier_router_policy::silence::first_check_between_events;
use cloverpier_router_policy::stream_version::UPSTREAM_RETURN_WAIT;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum length in bytes of an upstream's error response to a stream request.
const MAX_ERROR_RESPONSE: usize = 64 * 1024;
/// How often a stream without an upstream of its version looks for one.
const VERSION_POLL_PERIOD: Duration = Duration::from_millis(50);

impl StreamRelay {
    /// Sends attempts until an upstream responds with the head of a stream.
    ///
    /// # Errors
    ///
    /// [`RequestFailure`] if no further attempt is allowed, no upstream can get one, or the request's content is
    /// blocked because it crashes upstreams.
    pub(super) async fn open_next_attempt(&mut self) -> Result<(), RequestFailure> {
        self.find_prompt().await;
        loop {
            // Dropping the old admission ends the turn of the failed attempt, for which other requests with
            // the same content may wait.
            self.admitted = Admitted::UNRESTRICTED;
            self.admitted = admission::admit(&self.router, &self.request).await;
            if self.admitted.admission == Admission::Blocked {
                return Err(RequestFailure::content_blocked());
            }
            let prepared = self.next_upstream().await?;
            let upstream = prepared.upstream.clone();
            if !self.admitted.is_still_valid(&self.router, &self.request) {
                continue;
            }
            self.attempts.on_send();
            self.attempt_started_at = self.router.now();
            self.admitted.on_sent();
            let guard = AbandonGuard::begin(&self.router, &self.request, &upstream);
            let opened = self.open_at(prepared).await;
            let failure = match opened {
                Ok(()) => {
                    self.abandon_guard = Some(guard);
                    return Ok(());
                }
                Err(failure) => failure,
            };
            guard.disarm();
            rollouts::on_failure(&self.router, &self.request, &upstream, &failure);
            self.record_loss(&upstream, &failure);
            let has_failed = failure.counts_against_upstream();
            self.router
                .upstreams
                .borrow_mut()
                .on_result(&upstream.name, has_failed);
            self.tried.on_failure(&upstream.name, &failure);
            self.after_failure(&failure).await?;
        }
    }

    /// The next attempt. If engines have no room, or others go first, the stream waits for its turn. If there is no
    /// upstream, upstreams that were left without proof of a failure are candidates again, and a stream in progress waits
    /// for an upstream of its version.
    async fn next_upstream(&mut self) -> Result<PreparedAttempt, RequestFailure> {
        let request = Rc::clone(&self.request);
        let wait_until = self.router.now() + UPSTREAM_RETURN_WAIT;
        let mut place = None;
        if self.goes_behind_others() {
            self.wait_for_turn(&mut place).await?;
        }
        loop {
            let finding = self.find_upstream();
            let found = request.cancel.run_unless_cancelled(finding).await;
            let reason = match found.ok_or_else(RequestFailure::content_blocked)? {
                Ok(found) => {
                    self.on_admitted(place);
                    return Ok(found);
                }
                Err(reason) => reason,
            };
            if self.begin_overcommit(reason) {
                continue;
            }
            if reason == NoUpstream::AllFull && self.may_wait() {
                self.wait_for_turn(&mut place).await?;
                continue;
            }
            if !self.tried.readmit_left() && !self.wait_for_version(reason, wait_until).await {
                return Err(RequestFailure::without_upstream(&self.attempts, reason));
            }
        }
    }

    /// Makes engines without a free slot candidates for a request that left its engine for one with room and has found
    /// none, as others took it meanwhile. Returns false if they are candidates already, or do not help.
    fn begin_overcommit(&mut self, reason: NoUpstream) -> bool {
        let begins = reason == NoUpstream::AllFull && self.has_left_upstream && !self.overcommits;
        self.overcommits |= begins;
        begins
    }

    /// Waits a moment if an upstream of the stream's version may become usable. Returns false if there is nothing to
    /// wait for, or if the caller has no event of this response, and can retry instead.
    async fn wait_for_version(&self, reason: NoUpstream, until: Instant) -> bool {
        let may_become_usable = matches!(reason, NoUpstream::NoneOfVersion { is_listed: true });
        let until = until.min(self.request.deadline);
        if !may_become_usable || !self.is_resuming() || self.router.now() >= until {
            return false;
        }
        self.router.timers.sleep(VERSION_POLL_PERIOD).await;
        true
    }

    /// Searches for the engine that has read the prompt, before the first attempt of a request that resumes a
    /// stream at an engine.
    async fn find_prompt(&self) {
        let is_new = self.attempts.sent() == 0 && self.request.last_event.is_some();
        let is_engine = self.request.service.engine.is_some();
        if let Some(prompt) = self.request.prompt.filter(|_| is_new && is_engine) {
            find_prompt(&self.router, &self.request, prompt).await;
        }
    }

    async fn open_at(&mut self, prepared: PreparedAttempt) -> Result<(), AttemptFailure> {
        let PreparedAttempt {
            upstream,
            headers: extras,
            first_event,
            silence,
        } = prepared;
        let upstream = &upstream;
        let load = self.reserve_load(upstream, &extras);
        let prompt_guard = self.advertise_prompt(upstream);
        self.router.report_to_peers(&upstream.name);
        rollouts::on_sent(&self.router, &self.request, upstream);
        let measurement = self.start_first_event_measurement(upstream);
        let replica = extras.replica.clone();
        let replica = replica.map(|engine| self.begin_replica(engine));
        let now = self.router.now();
        let mut liveness = Liveness::new(self.first_event_bounds(&first_event), now);
        let opened = send(
            &self.router,
            &self.request,
            upstream,
            &extras,
            &mut liveness,
            AttemptWatches {
                silence: &silence,
                first_event: Some(&first_event),
            },
        )
        .await?;
        let opened = self.check_status(opened, upstream).await?;
        let headers = &opened.head.headers;
        let ends_with_connection =
            !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING);
        if !self.is_resuming() {
            self.head = Some(opened.head);
        }
        self.current = Some(UpstreamStream {
            upstream: upstream.clone(),
            connection: opened.connection,
            body: opened.body,
            ends_with_connection,
            health: opened.health,
            liveness,
            load,
            replica,
            _prompt_guard: prompt_guard,
            last_event_at: now,
            has_events: false,
            measurement,
            first_event: Some(first_event),
            silence,
            stream_guard: None,
        });
        Ok(())
    }

    /// Records that the upstream reads the prompt, and advertises this to peers until the guard is dropped. `None`
    /// for a request without a prompt.
    fn advertise_prompt(&self, upstream: &Upstream) -> Option<PromptLocationGuard> {
        let now = self.router.now();
        let prompt = self.request.prompt?;
        Some(PromptLocationGuard::begin(
            &self.router.prompts,
            &self.router.peers.outbox,
            prompt,
            &upstream.name,
            now,
        ))
    }

    /// Adds the load of an attempt at its upstream.
    fn reserve_load(&self, upstream: &Upstream, extras: &AttemptHeaders) -> LoadGuard {
        let mut load = self.request.load();
        if extras.resume_from.is_some() {
            // The replica contains the KV cache of the prompt, so the engine does not read the prompt again.
            load.unread_tokens = 0;
        }
        LoadGuard::begin(&self.router, &upstream.name, load)
    }

    /// Records the replica that the attempt creates at an engine, and adds the load of the replica there, which
    /// is KV cache memory only.
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

    /// Returns a response with a success status, which begins a stream. Any other response is read completely
    /// and kept, to be passed on if no other upstream responds with a stream.
    async fn check_status(
        &mut self,
        opened: OpenResponse,
        upstream: &Upstream,
    ) -> Result<OpenResponse, AttemptFailure> {
        if opened.head.status.is_success() {
            return Ok(opened);
        }
        let (timers, deadline) = (&self.router.timers, self.request.deadline);
        let reading = read_body(opened.body, MAX_ERROR_RESPONSE);
        let body = match timers.timeout_at(deadline, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => {
                let error = e.to_string();
                return Err(AttemptFailure::ErrorResponseBroken { error });
            }
            // The only other error is that of `timeout_at`.
            Err(_) => return Err(AttemptFailure::DeadlinePassedSent),
        };
        return_to_pool(&self.router, upstream, opened.connection);
        resolution::on_completed(&self.router, &self.request);
        let status = opened.head.status.as_u16();
        self.error_response = Some(BufferedResponse::new(opened.head, body));
        Err(AttemptFailure::UpstreamError { status })
    }

    /// The timeouts before the first event, while the engine reads the prompt.
    fn first_event_bounds(&self, first_event: &FirstEventWatch) -> LivenessBounds {
        let silence = self.router.settings().liveness;
        LivenessBounds {
            probe_after: silence.first_event_probe_after,
            probe_timeout: silence.first_event_probe_timeout,
            stall_after: first_event.first_check(self.router.now()),
        }
    }

    /// The configured timeouts between events. The attempt counts as stalled early enough for an engine with a replica
    /// to keep the response in time.
    pub(super) fn event_gap_bounds(&self) -> LivenessBounds {
        let silence = self.router.settings().liveness;
        let gap_objective = self.request.route.gap_objective;
        LivenessBounds {
            probe_after: silence.probe_after,
            probe_timeout: silence.probe_timeout,
            stall_after: first_check_between_events(silence.stall_after, gap_objective),
        }
    }
}
