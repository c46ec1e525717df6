//! Relays event streams to callers. A stream whose upstream fails continues at another upstream.
//!
//! [`StreamRelay`] owns one caller's stream: the attempts at upstreams, the stream from the current upstream,
//! and the id of the last event that the caller has received. Only complete events are passed on, each once
//! and in order. When an attempt fails, [`open`] sends the next attempt, and its events follow in the same
//! response to the caller; [`choice`] selects the upstream, [`receive`] reads events from the current one, [`origin`]
//! records which software version began the stream, [`first_event`] compares the first event with its prediction, and
//! [`measurement`] times events during roll-outs. [`Attempts`] decides whether another attempt is allowed.

mod choice;
mod first_event;
mod measurement;
mod open;
mod origin;
mod receive;
mod turn;

use crate::admission::InFlightStream;
use crate::body::{IncompleteResponse, ResponseBody};
use crate::buffer_reservation::BufferReservation;
use crate::connection::Connection;
use crate::crashes::abandoned::AbandonGuard;
use crate::crashes::admission::Admitted;
use crate::crashes::record;
use crate::decision_log::RequestEnd;
use crate::first_event_watch::FirstEventWatch;
use crate::health::{StreamGuard, UpstreamHealth};
use crate::load_guard::LoadGuard;
use crate::outcome::{
    FailedAttempt, RequestFailure, RequestSummary, StreamProgress, log_end, log_failure,
    outcome_name,
};
use crate::prompts::PromptLocationGuard;
use crate::relay_request::RelayRequest;
use crate::responses::{BufferedResponse, ServerResponse, streamed_response};
use crate::rollouts;
use crate::router::Router;
use crate::silence::SilenceWatch;
use crate::stream_origins::RelayedStreamGuard;
use bytes::Bytes;
use cloverpier_crashes::LossCause;
use cloverpier_router_policy::buffer_memory::BufferKind;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::Replica;
use cloverpier_router_policy::tried_upstreams::TriedUpstreams;
use futures_util::StreamExt;
use futures_util::stream::{once, unfold};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use measurement::StreamMeasurement;
use origin::FirstEvent;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// While a stream waits for the retry budget, it asks at this interval.
const BUDGET_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Relays a request whose response is an event stream. The returned reply has the head and the first events;
/// its body yields the other events as they arrive.
pub(crate) async fn relay_stream(
    router: &Rc<Router>,
    request: &Rc<RelayRequest>,
) -> ServerResponse {
    let mut relay = StreamRelay::new(router, request);
    match relay.start_stream().await {
        StreamStart::Events(head, chunk) => {
            let since_arrival = router.now().saturating_duration_since(request.arrived);
            router.metrics.first_response.observe(since_arrival);
            let first = once(async { Ok(chunk) });
            let body = ResponseBody::streamed(first.chain(relay.into_stream()));
            streamed_response(head, body)
        }
        StreamStart::Response(response) => {
            relay.log_end(&RequestSummary::of(response.status, RequestEnd::Answered));
            response.into_response()
        }
        StreamStart::Failed(request_failure) => {
            let reply = request_failure.reply(router, request);
            relay.log_end(&RequestSummary {
                status: reply.status(),
                end: request_failure.end(),
                reason: Some(request_failure.logged_reason()),
            });
            reply
        }
    }
}

/// The beginning of the response to the caller.
enum StreamStart {
    /// The head of a stream and its first events.
    Events(Parts, Bytes),
    /// An upstream's complete response without events: an error, or a stream that ended before its first event.
    Response(BufferedResponse),
    /// No upstream sent a response that can be passed on.
    Failed(RequestFailure),
}

/// The event stream from the upstream of the current attempt.
struct UpstreamStream {
    upstream: Upstream,
    connection: Connection,
    body: Incoming,
    /// Whether the response has no length and no chunks, so that only the end of its connection ends it, be it whole or not.
    ends_with_connection: bool,
    health: Rc<UpstreamHealth>,
    liveness: Liveness,
    load: LoadGuard,
    /// The replica of this stream's KV cache at another engine, and the load that it adds there; `None` if the
    /// stream is not replicated.
    replica: Option<(Replica, LoadGuard)>,
    /// Reports to peers that this upstream has read the prompt; `None` for a request without a prompt.
    _prompt_guard: Option<PromptLocationGuard>,
    /// When an event from this upstream was last passed on; before the first, when the attempt was sent.
    last_event_at: Instant,
    /// Whether an event from this upstream has been passed on.
    has_events: bool,
    /// The timing of this attempt's events, which is recorded only during a roll-out of the service.
    measurement: StreamMeasurement,
    /// Decides whether the attempt stays here until its first event; `None` afterwards.
    first_event: Option<FirstEventWatch>,
    /// Decides whether the attempt goes on while the upstream is silent.
    silence: SilenceWatch,
    /// Counts the stream at its upstream once that has sent an event; `None` before.
    stream_guard: Option<StreamGuard>,
}

/// The state of one stream that is relayed to a caller.
struct StreamRelay {
    router: Rc<Router>,
    request: Rc<RelayRequest>,
    attempts: Attempts,
    tried: TriedUpstreams,
    /// When the last attempt was sent; before the first one, when the request arrived.
    attempt_started_at: Instant,
    /// How often the request was moved away from a living upstream.
    moves: u32,
    /// Whether an attempt was ended although its engine might still have gone on with it.
    has_left_upstream: bool,
    /// Whether engines without a free slot may get the next attempt.
    overcommits: bool,
    /// How crash protection admitted the current attempt, or the attempt that is about to be sent.
    admitted: Admitted,
    current: Option<UpstreamStream>,
    /// Records the current attempt as abandoned if it is dropped before the upstream has sent an event or failed,
    /// usually because the caller has left; `None` afterwards.
    abandon_guard: Option<AbandonGuard>,
    /// The replica of the KV cache of the last attempt that failed; `None` if there is none.
    replica: Option<Replica>,
    splitter: EventSplitter,
    /// The reserved memory of `splitter`.
    event_reservation: BufferReservation,
    /// The id of the last event that was passed on, or at first the one from which the caller resumes.
    last_event: Option<u64>,
    progress: StreamProgress,
    /// How the stream began; `None` before its first event.
    origin: Option<StreamOrigin>,
    /// Keeps the record of the stream's origin at its holders; `None` before the first event, and for a stream that cannot
    /// be named.
    origin_guard: Option<RelayedStreamGuard>,
    /// The first event, from its arrival until it is passed on.
    first_event: Option<FirstEvent>,
    /// The response head that the caller gets, from the attempt that is expected to send the first event;
    /// `None` before any head has arrived and after the head was sent to the caller.
    head: Option<Parts>,
    /// The last error response of an upstream, passed on to the caller if no attempt yields events.
    error_response: Option<BufferedResponse>,
    /// When the last event before an interruption arrived, or when the failed attempt was sent if it had no
    /// events; `None` while the stream is not interrupted.
    interrupted_since: Option<Instant>,
    /// Bytes that were read after the request's deadline.
    late_bytes: usize,
    /// Counts the stream for its client account while an engine has it or is about to get it; `None` while it waits.
    in_flight: Option<InFlightStream>,
    /// Whether the stream, which has been interrupted, goes to an engine without room, because its turn did not come.
    skips_turn: bool,
    /// Whether the end of the request was logged. A relay that is dropped before was dropped because the
    /// caller closed the connection.
    is_ended: bool,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_ended {
            self.log_end(&RequestSummary::of(StatusCode::OK, RequestEnd::CallerLeft));
        }
    }
}

impl StreamRelay {
    fn new(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Self {
        let route = &request.route;
        Self {
            router: Rc::clone(router),
            request: Rc::clone(request),
            attempts: Attempts::new(route.retry_rule(), route.max_attempts),
            tried: TriedUpstreams::default(),
            attempt_started_at: request.arrived,
            moves: 0,
            has_left_upstream: false,
            overcommits: false,
            admitted: Admitted::UNRESTRICTED,
            current: None,
            abandon_guard: None,
            replica: None,
            splitter: EventSplitter::default(),
            event_reservation: BufferReservation::new(&router.buffer_memory, BufferKind::Event),
            last_event: request.last_event,
            progress: StreamProgress::default(),
            origin: request.stream.origin.clone().and_then(Result::ok),
            origin_guard: None,
            first_event: None,
            head: None,
            error_response: None,
            interrupted_since: None,
            late_bytes: 0,
            in_flight: None,
            skips_turn: false,
            is_ended: false,
        }
    }

    fn log_end(&mut self, summary: &RequestSummary<'_>) {
        self.is_ended = true;
        let attempts = &self.attempts;
        log_end(
            &self.router,
            &self.request,
            attempts,
            summary,
            &self.progress,
        );
    }

    /// Records the duration of the completed stream, from which the router estimates at shutdown whether a new
    /// stream would complete in time. A stream that the caller resumed is shorter than a whole one and does
    /// not count.
    fn report_duration(&self) {
        if self.request.last_event.is_none() {
            let took = self.router.now() - self.request.arrived;
            self.router.lifecycle.on_stream_completed(took);
            self.record_service_time();
        }
    }

    async fn start_stream(&mut self) -> StreamStart {
        if let Err(request_failure) = self.open_next_attempt().await {
            return self.failed_start(request_failure);
        }
        match self.next_chunk().await {
            Ok(Some(chunk)) => match self.head.take() {
                Some(head) => StreamStart::Events(head, chunk),
                None => self.failed_start(RequestFailure::invalid("the answer has no head")),
            },
            Ok(None) => self.empty_response(),
            Err(request_failure) => self.failed_start(request_failure),
        }
    }

    fn failed_start(&mut self, request_failure: RequestFailure) -> StreamStart {
        match self.error_response.take() {
            Some(response) => StreamStart::Response(response),
            None => StreamStart::Failed(request_failure),
        }
    }

    /// The response of a stream that ended before its first event, for example because the caller resumed the
    /// stream after its last event.
    fn empty_response(&mut self) -> StreamStart {
        match self.head.take() {
            Some(head) => StreamStart::Response(BufferedResponse::new(head, Bytes::new())),
            None => self.failed_start(RequestFailure::invalid("the answer is empty")),
        }
    }

    /// The body of the response after the first chunk. A body that ends with an error breaks the caller's
    /// connection, so that the caller does not take the stream for complete.
    fn into_stream(self) -> impl futures_util::Stream<Item = Result<Bytes, IncompleteResponse>> {
        unfold(Some(self), |state| async move {
            let mut relay = state?;
            match relay.next_chunk().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(relay))),
                Ok(None) => {
                    relay.log_end(&RequestSummary::of(StatusCode::OK, RequestEnd::Completed));
                    relay.report_duration();
                    None
                }
                Err(request_failure) => {
                    relay.log_end(&RequestSummary {
                        status: StatusCode::OK,
                        end: request_failure.end_of_started_stream(),
                        reason: Some(request_failure.logged_reason()),
                    });
                    Some((Err(IncompleteResponse), None))
                }
            }
        })
    }

    /// Waits for the next complete events, from the current upstream or, after a failure, from another one;
    /// `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RequestFailure> {
        loop {
            if let Some(chunk) = self.take_complete_events() {
                self.before_first_event().await;
                return Ok(Some(chunk));
            }
            let failure = match self.receive().await {
                Ok(receive::Received::Bytes) => continue,
                Ok(receive::Received::End) => {
                    self.finish_current();
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            if let Some(current) = &self.current {
                rollouts::on_failure(&self.router, &self.request, &current.upstream, &failure);
                self.record_loss(&current.upstream, &failure);
            }
            self.settle_attempt();
            self.abandon_current(&failure);
            self.after_failure(&failure).await?;
            self.open_next_attempt().await?;
        }
    }

    /// Stops watching whether the current attempt is abandoned, because its upstream has sent an event, or its
    /// failure is handled elsewhere.
    fn settle_attempt(&mut self) {
        if let Some(guard) = self.abandon_guard.take() {
            guard.disarm();
        }
    }

    /// Records a failed attempt whose upstream may have crashed, or may still crash, because of the request. An
    /// attempt that was abandoned after its first event is not recorded, because the upstream has survived the
    /// request.
    fn record_loss(&self, upstream: &Upstream, failure: &AttemptFailure) {
        let has_events = self
            .current
            .as_ref()
            .is_some_and(|current| current.has_events);
        let loss = failure.loss();
        let loss = loss.filter(|loss| *loss != LossCause::Abandoned || !has_events);
        if let Some(loss) = loss {
            let (router, request) = (&self.router, &self.request);
            let ran_for = router
                .now()
                .saturating_duration_since(self.attempt_started_at);
            record::on_lost(router, request, upstream, loss, ran_for);
        }
    }

    /// Waits until the retry budget has a retry for a stream that left its engine for silence, so that it does not fail for
    /// lack of budget alone. Returns what follows the failed attempt.
    async fn wait_for_budget(&self, next: NextStep) -> NextStep {
        let may_wait = self.has_left_upstream && self.attempts.allows_retry();
        let service = &self.request.service.name;
        let mut now = self.router.now();
        while may_wait && next != NextStep::Retry && now < self.request.deadline {
            self.router.timers.sleep(BUDGET_POLL_PERIOD).await;
            now = self.router.now();
            if self.router.try_take_retry(service, now) {
                return NextStep::Retry;
            }
        }
        next
    }

    /// When the last attempt made progress; before that, when it was sent.
    fn last_progress(&self) -> Instant {
        let interrupted = self.interrupted_since;
        interrupted.map_or(self.attempt_started_at, |at| {
            at.max(self.attempt_started_at)
        })
    }

    /// Logs a failed attempt; `Ok` if the request may be sent to another upstream.
    async fn after_failure(&mut self, failure: &AttemptFailure) -> Result<(), RequestFailure> {
        let now = self.router.now();
        let router = Rc::clone(&self.router);
        let service = self.request.service.name.clone();
        let try_take = || router.try_take_retry(&service, now);
        let outcome = failure.outcome();
        self.moves += u32::from(*failure == AttemptFailure::Stalled);
        if failure.leaves_upstream() {
            self.has_left_upstream = true;
            self.attempts.on_upstream_left();
        }
        let next = self
            .attempts
            .on_outcome(outcome, !failure.is_past_deadline(), try_take);
        let next = self.wait_for_budget(next).await;
        let attempt = FailedAttempt {
            upstream: self.tried.last(),
            failure,
            next,
            last_event: self.last_event,
            started_at: self.attempt_started_at,
            last_progress: self.last_progress(),
            now,
        };
        log_failure(&self.router, &self.request, &attempt);
        if *failure == AttemptFailure::Stopped {
            return Err(RequestFailure::content_blocked());
        }
        if next != NextStep::Retry {
            return Err(RequestFailure::after_attempt(failure, next));
        }
        if self.progress.events > 0 {
            self.router
                .metrics
                .resumed_streams
                .count(outcome_name(outcome));
        }
        Ok(())
    }
}
