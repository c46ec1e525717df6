//! Relays plain requests: requests of routes without event streams.
//!
//! A small response is buffered completely before the caller receives any byte of it, so that the request can be
//! retried at another upstream if the response breaks off. Once a response exceeds the buffer, the rest is
//! forwarded as it arrives. [`PlainRelay`] owns the attempts of one request.

use crate::attempt_message::AttemptHeaders;
use crate::body::ResponseBody;
use crate::buffer_reservation::BufferReservation;
use crate::choice_log::{ChoiceInputs, log_choice};
use crate::crashes::abandoned::AbandonGuard;
use crate::crashes::{admission, record, resolution};
use crate::decision_log::RequestEnd;
use crate::load_guard::LoadGuard;
use crate::next_attempt::NextAttempt;
use crate::outcome::{
    FailedAttempt, RequestFailure, RequestSummary, StreamProgress, log_end, log_failure,
};
use crate::relay_request::RelayRequest;
use crate::responses::{BufferedResponse, ServerResponse, streamed_response};
use crate::rollouts;
use crate::router::Router;
use crate::send::{OpenResponse, return_to_pool, send};
use crate::silence::SilenceWatch;
use crate::singleton;
use crate::streamed_rest::StreamedRest;
use crate::wait::{AttemptWatches, AwaitedUpstream, wait_while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_crashes::Admission;
use cloverpier_router_policy::buffer_memory::BufferKind;
use cloverpier_router_policy::permit::PermitSearch;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::Measure;
use cloverpier_router_policy::tried_upstreams::TriedUpstreams;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Maximum length in bytes of a response body that is buffered completely; a longer one is forwarded as it arrives.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Relays a plain request to an upstream, and retries it at others as far as the route's retry rule, the maximum
/// number of attempts and the retry budget allow.
pub(crate) async fn relay_plain(router: &Rc<Router>, request: &Rc<RelayRequest>) -> ServerResponse {
    let mut relay = PlainRelay::new(router, request);
    match relay.relay().await {
        Ok(response) => {
            relay.log_end(&RequestSummary::of(response.status(), RequestEnd::Answered));
            response
        }
        Err(given_up) => {
            let response = given_up.reply(router, request);
            relay.log_end(&RequestSummary {
                status: response.status(),
                end: given_up.end(),
                reason: Some(given_up.logged_reason()),
            });
            response
        }
    }
}

/// The state of relaying one plain request: its attempts so far and their results.
struct PlainRelay<'a> {
    router: &'a Rc<Router>,
    request: &'a Rc<RelayRequest>,
    attempts: Attempts,
    tried: TriedUpstreams,
    /// The last response with a server error status (5xx), which the caller receives if all attempts fail.
    last_error_response: Option<BufferedResponse>,
    /// Whether the request was counted for usage metering, which counts each request once.
    is_metered: bool,
    /// Whether an attempt was ended although its upstream might still have gone on with it.
    has_left_upstream: bool,
    /// Whether upstreams without a free slot may get the next attempt.
    overcommits: bool,
}

/// The action after a failed attempt.
enum FailureAction {
    /// Send another attempt.
    Retry,
    /// Forward the upstream's error response to the caller.
    ForwardError(BufferedResponse),
    /// End the request with an error response of this router.
    GiveUp(RequestFailure),
}

impl<'a> PlainRelay<'a> {
    fn new(router: &'a Rc<Router>, request: &'a Rc<RelayRequest>) -> Self {
        let route = &request.route;
        Self {
            router,
            request,
            attempts: Attempts::new(route.retry_rule(), route.max_attempts),
            tried: TriedUpstreams::default(),
            last_error_response: None,
            is_metered: false,
            has_left_upstream: false,
            overcommits: false,
        }
    }

    fn log_end(&self, ending: &RequestSummary<'_>) {
        let progress = StreamProgress::default();
        log_end(self.router, self.request, &self.attempts, ending, &progress);
    }

    async fn relay(&mut self) -> Result<ServerResponse, RequestFailure> {
        loop {
            let mut admitted = admission::admit(self.router, self.request).await;
            if admitted.admission == Admission::Blocked {
                return Err(RequestFailure::content_blocked());
            }
            let upstream = match self.next_upstream().await? {
                Ok(upstream) => upstream,
                Err(reason) => return self.without_upstream(reason),
            };
            if !admitted.is_still_valid(self.router, self.request) {
                continue;
            }
            self.attempts.on_send();
            let attempt_started = self.router.now();
            admitted.on_sent();
            let guard = AbandonGuard::begin(self.router, self.request, &upstream);
            let outcome = self.attempt(&upstream).await;
            guard.disarm();
            let failure = match outcome {
                Ok(response) => {
                    self.meter_request(attempt_started);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            if failure.outcome().may_have_run() {
                self.meter_request(attempt_started);
            }
            match self.on_failure(&upstream, &failure, attempt_started) {
                FailureAction::Retry => {}
                FailureAction::ForwardError(response) => return Ok(response.into_response()),
                FailureAction::GiveUp(given_up) => return Err(given_up),
            }
        }
    }

    /// The upstream of the next attempt. If there is none, upstreams that were left without proof of a failure are
    /// candidates again, and after that those without a free slot.
    async fn next_upstream(&mut self) -> Result<Result<Upstream, NoUpstream>, RequestFailure> {
        loop {
            let cancel = &self.request.cancel;
            let found = cancel.run_unless_cancelled(self.find_upstream()).await;
            let found = found.ok_or_else(RequestFailure::content_blocked)?;
            let begins_overcommit = found == Err(NoUpstream::AllFull)
                && self.has_left_upstream
                && !std::mem::replace(&mut self.overcommits, true);
            if found.is_ok() || !(self.tried.readmit_left() || begins_overcommit) {
                return Ok(found);
            }
        }
    }

    /// The result of a request for which no upstream is available: the last error response of an upstream, if any,
    /// else a refusal or an error of this router.
    fn without_upstream(&mut self, reason: NoUpstream) -> Result<ServerResponse, RequestFailure> {
        match self.last_error_response.take() {
            Some(response) => Ok(response.into_response()),
            None => Err(RequestFailure::without_upstream(&self.attempts, reason)),
        }
    }

    /// Counts the request for usage metering, in the window of `at`, unless an earlier attempt was counted.
    fn meter_request(&mut self, at: Instant) {
        if !std::mem::replace(&mut self.is_metered, true) {
            singleton::on_request_started(self.router, self.request, at);
        }
    }

    /// Chooses the upstream for the next attempt. If that upstream limits its request rate, also acquires a permit.
    async fn find_upstream(&self) -> Result<Upstream, NoUpstream> {
        let (router, request) = (self.router, self.request);
        let search = PermitSearch::new(request.max_permit_wait(router.now()));
        let limits = &router.upstream_limits;
        let result = limits.choose_with_permit(
            search,
            |limits| self.choose(limits).map(Box::new),
            |upstream| router.is_usable(upstream),
        );
        let upstream = *result.await?;
        let note = ChoiceInputs::for_next_attempt(&self.attempts, router.now());
        log_choice(router, request, &upstream, &note);
        Ok(upstream)
    }

    fn choose(&self, limits: &LimitedUpstreams) -> Result<Upstream, NoUpstream> {
        let now = self.router.now();
        let connected = self.router.pool.borrow().connected_upstreams(now);
        let table = self.router.upstreams.borrow();
        let settings = self.router.settings();
        let versions = rollouts::version_rule(self.router, &self.request.service.name, now);
        let demand = Demand {
            service: &self.request.service.name,
            home: &settings.data_centre,
            load: self.request.load(),
            engine_memory: self.request.engine_memory(),
            affinity: None,
            prompt_location: None,
            is_continuation: self.request.last_event.is_some(),
            tried: self.tried.excluded(),
            connected: &connected,
            now,
            suspect_content: None,
            overcommit: self.overcommits,
            reported: &ReportedLoad::default(),
            versions: &versions,
            limits,
        };
        match choose_upstream(&table, &demand, &mut self.router.rng.borrow_mut()) {
            Choice::Upstream(upstream) => Ok(upstream),
            Choice::None(reason) => Err(reason),
        }
    }

    /// Sends one attempt and reads the response.
    async fn attempt(&mut self, upstream: &Upstream) -> Result<ServerResponse, AttemptFailure> {
        rollouts::on_sent(self.router, self.request, upstream);
        let measurement =
            rollouts::start_measurement(self.router, self.request, upstream, Measure::Response);
        let load = LoadGuard::begin(self.router, &upstream.name, self.request.load());
        let sent_at = self.router.now();
        let mut liveness = Liveness::new(self.liveness_bounds(), sent_at);
        let attempt_headers = AttemptHeaders {
            priority: self.request.priority,
            ..AttemptHeaders::default()
        };
        let silence = self.watch_silence(upstream, sent_at);
        let watches = AttemptWatches {
            silence: &silence,
            first_event: None,
        };
        let opened = send(
            self.router,
            self.request,
            upstream,
            &attempt_headers,
            &mut liveness,
            watches,
        )
        .await?;
        let reply = self
            .read_response(upstream, opened, &mut liveness, load, watches)
            .await?;
        let now = self.router.now();
        let mut table = self.router.upstreams.borrow_mut();
        table.on_latency(&upstream.name, now.saturating_duration_since(sent_at));
        table.on_result(&upstream.name, false);
        drop(table);
        if let Some(measurement) = measurement {
            measurement.complete();
        }
        let since_arrival = now.saturating_duration_since(self.request.arrived);
        self.router.metrics.first_response.observe(since_arrival);
        Ok(reply)
    }

    /// The timeouts after which this attempt probes a silent upstream, declares it dead, or ends for lack of progress.
    fn liveness_bounds(&self) -> LivenessBounds {
        let probe_timeout = self.router.settings().liveness.probe_timeout;
        LivenessBounds::of_plain(self.request.route.objective, probe_timeout)
    }

    /// Watches the silence of an attempt that is about to be sent.
    fn watch_silence(&self, upstream: &Upstream, now: Instant) -> SilenceWatch {
        let (router, request) = (self.router, self.request);
        let outcome = AttemptFailure::Stalled.outcome();
        let may_move = self.attempts.allows_retry_after(outcome);
        let next = NextAttempt {
            router: Rc::clone(router),
            request: Rc::clone(request),
            upstream: upstream.name.clone(),
            tried: self.tried.with(&upstream.name),
            may_be_sent_again: may_move,
            versions: RefCell::new(Some(rollouts::version_rule(
                router,
                &request.service.name,
                now,
            ))),
            isolation_key: None,
            replica: None,
            may_queue: Cell::new(false),
            is_stream: false,
        };
        SilenceWatch {
            next: Rc::new(next),
            stall_after: self.liveness_bounds().stall_after,
            late_after: None,
            moves: 0,
            was_kept: Cell::new(false),
            probed: RefCell::default(),
        }
    }

    /// Reads the whole response body into memory. If the body is longer than [`MAX_BUFFERED_BYTES`] or the buffer
    /// memory is full, returns a response that streams the rest of the body.
    async fn read_response(
        &mut self,
        upstream: &Upstream,
        opened: OpenResponse,
        liveness: &mut Liveness,
        load: LoadGuard,
        watches: AttemptWatches<'_>,
    ) -> Result<ServerResponse, AttemptFailure> {
        let OpenResponse {
            head,
            mut body,
            connection,
            health,
        } = opened;
        let awaited = AwaitedUpstream {
            router: self.router,
            upstream,
            health: &health,
            deadline: self.request.deadline,
            // The head proves that the upstream survives the request, so the attempt is not cancelled any more.
            stop: None,
            watches,
        };
        let mut buffer = BytesMut::new();
        let mut reservation =
            BufferReservation::new(&self.router.buffer_memory, BufferKind::Response);
        while let Some(data) = next_chunk(&awaited, liveness, &mut body).await? {
            liveness.on_event(self.router.now());
            let is_reserved = reservation.try_grow(data.len());
            buffer.extend_from_slice(&data);
            let is_too_long = buffer.len() > MAX_BUFFERED_BYTES;
            if is_too_long && head.status.is_server_error() {
                // Another upstream may serve the request, as long as the caller has no byte of this response.
                return Err(AttemptFailure::ErrorResponseBroken {
                    error: "the error response does not end".to_owned(),
                });
            }
            if is_too_long || !is_reserved {
                let rest = StreamedRest {
                    timers: self.router.timers.clone(),
                    deadline: self.request.deadline,
                    buffered: Some((buffer.freeze(), reservation)),
                    body,
                    _connection: connection,
                    _load: load,
                };
                return Ok(streamed_response(
                    head,
                    ResponseBody::streamed(rest.into_stream()),
                ));
            }
        }
        return_to_pool(self.router, upstream, connection);
        resolution::on_completed(self.router, self.request);
        self.check_status(BufferedResponse::new(head, buffer.freeze()))
            .map(BufferedResponse::into_response)
    }

    /// Converts a response with a server error status (5xx) into a failure, and keeps the response for the caller in
    /// case no other attempt succeeds.
    fn check_status(
        &mut self,
        response: BufferedResponse,
    ) -> Result<BufferedResponse, AttemptFailure> {
        if !response.status.is_server_error() {
            return Ok(response);
        }
        let status = response.status.as_u16();
        self.last_error_response = Some(response);
        Err(AttemptFailure::UpstreamError { status })
    }

    /// Records a failed attempt and decides how the request continues.
    fn on_failure(
        &mut self,
        upstream: &Upstream,
        failure: &AttemptFailure,
        attempt_started: Instant,
    ) -> FailureAction {
        let now = self.router.now();
        let outcome = failure.outcome();
        self.tried.on_failure(&upstream.name, failure);
        let mut table = self.router.upstreams.borrow_mut();
        table.on_result(&upstream.name, failure.counts_against_upstream());
        drop(table);
        rollouts::on_failure(self.router, self.request, upstream, failure);
        if let Some(loss) = failure.loss() {
            let ran_for = now.saturating_duration_since(attempt_started);
            record::on_lost(self.router, self.request, upstream, loss, ran_for);
        }
        if failure.leaves_upstream() {
            self.has_left_upstream = true;
            self.attempts.on_upstream_left();
        }
        let try_take_retry = || self.router.try_take_retry(&upstream.service, now);
        let next = self
            .attempts
            .on_outcome(outcome, !failure.is_past_deadline(), try_take_retry);
        let attempt = FailedAttempt {
            upstream: Some(&upstream.name),
            failure,
            next,
            last_event: None,
            started_at: attempt_started,
            last_progress: attempt_started,
            now,
        };
        log_failure(self.router, self.request, &attempt);
        if *failure == AttemptFailure::Stopped {
            return FailureAction::GiveUp(RequestFailure::content_blocked());
        }
        if next == NextStep::Retry {
            return FailureAction::Retry;
        }
        match self.last_error_response.take() {
            Some(response) => FailureAction::ForwardError(response),
            None => FailureAction::GiveUp(RequestFailure::after_attempt(failure, next)),
        }
    }
}

/// The next bytes of a response body; `None` at its end.
async fn next_chunk(
    awaited: &AwaitedUpstream<'_>,
    liveness: &mut Liveness,
    body: &mut Incoming,
) -> Result<Option<Bytes>, AttemptFailure> {
    match wait_while_alive(awaited, liveness, body.frame()).await? {
        None => Ok(None),
        // A frame without data contains trailers, which are not forwarded.
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(e)) => Err(AttemptFailure::ResponseBroken {
            error: e.to_string(),
        }),
    }
}
