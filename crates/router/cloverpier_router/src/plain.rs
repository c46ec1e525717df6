//! Requests whose answer is one body.
//!
//! A small answer is read whole before a byte of it goes to the caller, so that an answer
//! that breaks off can be had from another upstream; the rest of a large one is passed on as
//! it arrives. [`PlainRun`] owns the attempts of one request.

use crate::body::{IncompleteResponse, ResponseBody};
use crate::buffer_reservation::BufferReservation;
use crate::choice_log::{ChoiceNote, log_choice};
use crate::connection::Connection;
use crate::crashes::abandoned::AbandonGuard;
use crate::crashes::{hold, judgement, record};
use crate::decision_log::RequestEnd;
use crate::load_guard::LoadGuard;
use crate::outcome::{Ending, FailedAttempt, GivenUp, Progress, log_end, log_failure};
use crate::relay_request::RelayRequest;
use crate::responses::{BufferedResponse, ServerResponse, streamed_response};
use crate::rollouts;
use crate::router::Router;
use crate::send::{AttemptHeaders, OpenResponse, return_to_pool, send};
use crate::singleton;
use crate::wait::{Awaited, while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_core::UpstreamName;
use cloverpier_crashes::Admission;
use cloverpier_router_policy::buffer_memory::BufferKind;
use cloverpier_router_policy::permit::PermitSearch;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::Measure;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Instant;

/// Bytes of an answer that are held until it is whole; a longer one is passed on as it arrives.
const MAX_HELD: usize = 256 * 1024;

/// Relays a request to one upstream, and to others as far as that is allowed.
pub(crate) async fn relay_plain(router: &Rc<Router>, request: &Rc<RelayRequest>) -> ServerResponse {
    let mut run = PlainRun::new(router, request);
    match run.run().await {
        Ok(reply) => {
            run.log_end(&Ending::of(reply.status(), RequestEnd::Answered));
            reply
        }
        Err(given_up) => {
            let reply = given_up.reply(router, request);
            run.log_end(&Ending {
                status: reply.status(),
                end: given_up.end(),
                reason: Some(given_up.logged_reason()),
            });
            reply
        }
    }
}

/// The attempts of one request.
struct PlainRun<'a> {
    router: &'a Rc<Router>,
    request: &'a Rc<RelayRequest>,
    attempts: Attempts,
    tried: Vec<UpstreamName>,
    /// The last failure that an upstream itself answered with.
    upstream_failure: Option<BufferedResponse>,
    /// Whether it was counted as a request that began to run.
    is_counted: bool,
}

/// What follows a failed attempt.
enum AfterFailure {
    /// Another attempt.
    Retry,
    /// The upstream's own failure goes to the caller.
    PassOn(BufferedResponse),
    /// The request is given up.
    GiveUp(GivenUp),
}

impl<'a> PlainRun<'a> {
    fn new(router: &'a Rc<Router>, request: &'a Rc<RelayRequest>) -> Self {
        let route = &request.route;
        Self {
            router,
            request,
            attempts: Attempts::new(route.retry_rule(), route.max_attempts),
            tried: Vec::new(),
            upstream_failure: None,
            is_counted: false,
        }
    }

    fn log_end(&self, ending: &Ending<'_>) {
        let progress = Progress::default();
        log_end(self.router, self.request, &self.attempts, ending, &progress);
    }

    async fn run(&mut self) -> Result<ServerResponse, GivenUp> {
        loop {
            let mut admitted = hold::admit(self.router, self.request).await;
            if admitted.admission == Admission::Blocked {
                return Err(GivenUp::stopped());
            }
            let found = self
                .request
                .cancel
                .run_unless_cancelled(self.find_upstream())
                .await;
            let upstream = match found.ok_or_else(GivenUp::stopped)? {
                Ok(upstream) => upstream,
                Err(reason) => return self.without_upstream(reason),
            };
            if !admitted.still_holds(self.router, self.request) {
                continue;
            }
            self.attempts.on_send();
            let begun = self.router.now();
            admitted.on_sent();
            let guard = AbandonGuard::begin(self.router, self.request, &upstream);
            let outcome = self.attempt(&upstream).await;
            guard.settle();
            let failure = match outcome {
                Ok(reply) => {
                    self.count_begun(begun);
                    return Ok(reply);
                }
                Err(failure) => failure,
            };
            if failure.outcome().may_have_run() {
                self.count_begun(begun);
            }
            match self.after_failure(&upstream, &failure, begun) {
                AfterFailure::Retry => {}
                AfterFailure::PassOn(answer) => return Ok(answer.into_response()),
                AfterFailure::GiveUp(given_up) => return Err(given_up),
            }
        }
    }

    fn without_upstream(&mut self, reason: NoUpstream) -> Result<ServerResponse, GivenUp> {
        match self.upstream_failure.take() {
            Some(answer) => Ok(answer.into_response()),
            None => Err(GivenUp::without_upstream(&self.attempts, reason)),
        }
    }

    /// Counts the request, whose run began at a moment; further runs of it count no more.
    fn count_begun(&mut self, at: Instant) {
        if !std::mem::replace(&mut self.is_counted, true) {
            singleton::on_begun(self.router, self.request, at);
        }
    }

    /// An upstream for the next attempt, and if it limits itself the permit to send it there.
    async fn find_upstream(&self) -> Result<Upstream, NoUpstream> {
        let (router, request) = (self.router, self.request);
        let search = PermitSearch::new(request.max_permit_wait(router.now()));
        let limits = &router.upstream_limits;
        let chosen = limits.offer(
            search,
            |limits| self.choose(limits).map(Box::new),
            |upstream| router.is_usable(upstream),
        );
        let upstream = *chosen.await?;
        let note = ChoiceNote::of(&self.attempts, router.now());
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
            tried: &self.tried,
            connected: &connected,
            now,
            suspect_content: None,
            overcommit: false,
            reported: &ReportedLoad::default(),
            versions: &versions,
            limits,
        };
        match choose_upstream(&table, &demand, &mut self.router.rng.borrow_mut()) {
            Choice::Upstream(upstream) => Ok(upstream),
            Choice::None(reason) => Err(reason),
        }
    }

    async fn attempt(&mut self, upstream: &Upstream) -> Result<ServerResponse, AttemptFailure> {
        rollouts::on_sent(self.router, self.request, upstream);
        let measuring = rollouts::measure(self.router, self.request, upstream, Measure::Response);
        let load = LoadGuard::begin(self.router, &upstream.name, self.request.load());
        let sent_at = self.router.now();
        let mut liveness = Liveness::new(self.bounds(), sent_at);
        let extras = AttemptHeaders {
            priority: self.request.priority,
            ..AttemptHeaders::default()
        };
        let opened = send(self.router, self.request, upstream, &extras, &mut liveness).await?;
        let reply = self
            .read_answer(upstream, opened, &mut liveness, load)
            .await?;
        let now = self.router.now();
        let mut table = self.router.upstreams.borrow_mut();
        table.on_latency(&upstream.name, now.saturating_duration_since(sent_at));
        table.on_result(&upstream.name, false);
        drop(table);
        if let Some(measuring) = measuring {
            measuring.answered();
        }
        let since_arrival = now.saturating_duration_since(self.request.arrived);
        self.router.metrics.first_answer.observe(since_arrival);
        Ok(reply)
    }

    fn bounds(&self) -> LivenessBounds {
        let route = &self.request.route;
        let has_alternative =
            route.retry_rule().is_idempotent() && self.attempts.sent() < route.max_attempts;
        let probe_timeout = self.router.settings().silence.answer_within;
        LivenessBounds::of_plain(
            route.objective,
            route.timeout,
            probe_timeout,
            has_alternative,
        )
    }

    /// Reads the answer: whole, unless it is large.
    async fn read_answer(
        &mut self,
        upstream: &Upstream,
        opened: OpenResponse,
        liveness: &mut Liveness,
        load: LoadGuard,
    ) -> Result<ServerResponse, AttemptFailure> {
        let OpenResponse {
            head,
            mut body,
            connection,
            health,
        } = opened;
        let awaited = Awaited {
            router: self.router,
            upstream,
            health: &health,
            deadline: self.request.deadline,
            // A head proves that the upstream has begun to answer.
            stop: None,
        };
        let mut held = BytesMut::new();
        let mut counted = BufferReservation::new(&self.router.buffer_memory, BufferKind::Response);
        while let Some(data) = next_data(&awaited, liveness, &mut body).await? {
            liveness.on_event(self.router.now());
            let is_room = counted.try_grow(data.len());
            held.extend_from_slice(&data);
            if held.len() > MAX_HELD || !is_room {
                let rest = LargeRest {
                    held: Some((held.freeze(), counted)),
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
        judgement::on_completed(self.router, self.request);
        self.check_status(BufferedResponse::new(head, held.freeze()))
            .map(BufferedResponse::into_response)
    }

    /// An upstream's own failure is kept, to be passed on if no other upstream helps.
    fn check_status(
        &mut self,
        answer: BufferedResponse,
    ) -> Result<BufferedResponse, AttemptFailure> {
        if !answer.status.is_server_error() {
            return Ok(answer);
        }
        let status = answer.status.as_u16();
        self.upstream_failure = Some(answer);
        Err(AttemptFailure::UpstreamError { status })
    }

    fn after_failure(
        &mut self,
        upstream: &Upstream,
        failure: &AttemptFailure,
        begun: Instant,
    ) -> AfterFailure {
        let now = self.router.now();
        let outcome = failure.outcome();
        self.tried.push(upstream.name.clone());
        let mut table = self.router.upstreams.borrow_mut();
        table.on_result(&upstream.name, outcome.may_have_run());
        drop(table);
        rollouts::on_failure(self.router, self.request, upstream, failure);
        if let Some(loss) = failure.loss() {
            let ran_for = now.saturating_duration_since(begun);
            record::on_lost(self.router, self.request, upstream, loss, ran_for);
        }
        let try_take = || self.router.try_take_retry(&upstream.service, now);
        let next = self
            .attempts
            .on_outcome(outcome, !failure.is_past_deadline(), try_take);
        let attempt = FailedAttempt {
            upstream: Some(&upstream.name),
            failure,
            next,
            last_event: None,
            begun,
            now,
        };
        log_failure(self.router, self.request, &attempt);
        if *failure == AttemptFailure::Stopped {
            return AfterFailure::GiveUp(GivenUp::stopped());
        }
        if next == NextStep::Retry {
            return AfterFailure::Retry;
        }
        match self.upstream_failure.take() {
            Some(answer) => AfterFailure::PassOn(answer),
            None => AfterFailure::GiveUp(GivenUp::after(failure, next)),
        }
    }
}

/// The next bytes of an answer's body; `None` at its end.
async fn next_data(
    awaited: &Awaited<'_>,
    liveness: &mut Liveness,
    body: &mut Incoming,
) -> Result<Option<Bytes>, AttemptFailure> {
    match while_alive(awaited, liveness, body.frame()).await? {
        None => Ok(None),
        // A frame without data holds trailers, which are not passed on.
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(e)) => Err(AttemptFailure::ResponseBroken {
            error: e.to_string(),
        }),
    }
}

/// The rest of a large answer, passed on as it arrives.
struct LargeRest {
    held: Option<(Bytes, BufferReservation)>,
    body: Incoming,
    _connection: Connection,
    _load: LoadGuard,
}

impl LargeRest {
    fn into_stream(self) -> impl futures_util::Stream<Item = Result<Bytes, IncompleteResponse>> {
        unfold(Some(self), |state| async move {
            let mut rest = state?;
            // The connection that the bytes go to takes them over.
            if let Some((held, _counted)) = rest.held.take() {
                return Some((Ok(held), Some(rest)));
            }
            match rest.body.frame().await? {
                Ok(frame) => {
                    // A frame without data holds trailers, which are not passed on.
                    let bytes = frame.into_data().unwrap_or_default();
                    Some((Ok(bytes), Some(rest)))
                }
                // Once the answer has begun, the caller sees a broken connection whatever the cause.
                Err(_) => Some((Err(IncompleteResponse), None)),
            }
        })
    }
}
