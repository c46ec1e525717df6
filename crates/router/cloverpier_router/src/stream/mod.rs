//! Requests whose answer is an event stream, which may continue at another upstream.
//!
//! [`StreamRun`] owns one caller's stream: its attempts, the run at the present upstream,
//! and the last event that the caller has. Only whole events are passed on, each once, in
//! order. When a run is lost, [`open`] opens the next one inside the same answer; [`receive`]
//! takes events from the present one. Whether another run is allowed is decided by
//! [`Attempts`].

mod measured;
mod open;
mod pick;
mod receive;

use crate::body::{IncompleteResponse, ResponseBody};
use crate::connection::Connection;
use crate::crashes::abandoned::AbandonGuard;
use crate::crashes::hold::Admitted;
use crate::crashes::record;
use crate::decision_log::RequestEnd;
use crate::health::UpstreamHealth;
use crate::load_guard::LoadGuard;
use crate::outcome::{
    Ending, FailedAttempt, GivenUp, Progress, log_end, log_failure, outcome_name,
};
use crate::prompts::RunningStream;
use crate::relay_request::RelayRequest;
use crate::responses::{BufferedResponse, ServerResponse, streamed_response};
use crate::rollouts;
use crate::router::Router;
use bytes::Bytes;
use cloverpier_core::{UpstreamName, jitter};
use cloverpier_crashes::LossCause;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::Replica;
use futures_util::StreamExt;
use futures_util::stream::{once, unfold};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use measured::Measured;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Streams whose version is about to be stopped move within this time, so that those of one router
/// do not have their prompts read at the same moment.
const MOVES_WITHIN: Duration = Duration::from_millis(700);

/// Relays a request whose answer is an event stream.
pub(crate) async fn relay_stream(
    router: &Rc<Router>,
    request: &Rc<RelayRequest>,
) -> ServerResponse {
    let mut run = StreamRun::new(router, request);
    match run.first_piece().await {
        FirstPiece::Events(head, piece) => {
            let since_arrival = router.now().saturating_duration_since(request.arrived);
            router.metrics.first_response.observe(since_arrival);
            let first = once(async { Ok(piece) });
            let body = ResponseBody::streamed(first.chain(run.into_stream()));
            streamed_response(head, body)
        }
        FirstPiece::Answer(answer) => {
            run.log_end(&Ending::of(answer.status, RequestEnd::Answered));
            answer.into_response()
        }
        FirstPiece::GivenUp(given_up) => {
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

/// What a stream begins with.
enum FirstPiece {
    /// The first events, below this head.
    Events(Parts, Bytes),
    /// An upstream's whole answer that is no stream.
    Answer(BufferedResponse),
    /// No upstream gave an answer.
    GivenUp(GivenUp),
}

/// The run at one upstream.
struct Source {
    upstream: Upstream,
    connection: Connection,
    body: Incoming,
    health: Rc<UpstreamHealth>,
    liveness: Liveness,
    load: LoadGuard,
    /// The engine that keeps a replica of the run's KV cache, and the load there.
    replica: Option<(Replica, LoadGuard)>,
    _running: Option<RunningStream>,
    /// When its last event arrived, or its head.
    last_event_at: Instant,
    /// Whether an event of it has arrived.
    has_events: bool,
    /// What is measured of it, while a roll-out of the service is under way.
    measured: Measured,
    /// When it moves to another version, once its own is about to be stopped.
    moves_at: Option<Instant>,
}

/// A stream on its way to its caller.
struct StreamRun {
    router: Rc<Router>,
    request: Rc<RelayRequest>,
    attempts: Attempts,
    tried: Vec<UpstreamName>,
    /// When the last attempt began.
    attempt_begun: Instant,
    /// How the present attempt may be sent, or the next one.
    admitted: Admitted,
    source: Option<Source>,
    /// The present attempt, until the upstream has sent an event or failed.
    unanswered: Option<AbandonGuard>,
    /// The replica of the lost run's KV cache.
    replica: Option<Replica>,
    splitter: EventSplitter,
    /// The last event that the caller has.
    last_event: Option<u64>,
    progress: Progress,
    /// The head of the first run, until it is sent to the caller.
    head: Option<Parts>,
    upstream_failure: Option<BufferedResponse>,
    /// Since when events are missing because a run was lost.
    lost_since: Option<Instant>,
    is_ended: bool,
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        if !self.is_ended {
            self.log_end(&Ending::of(StatusCode::OK, RequestEnd::CallerLeft));
        }
    }
}

impl StreamRun {
    fn new(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Self {
        let route = &request.route;
        Self {
            router: Rc::clone(router),
            request: Rc::clone(request),
            attempts: Attempts::new(route.retry_rule(), route.max_attempts),
            tried: Vec::new(),
            attempt_begun: request.arrived,
            admitted: Admitted::NEW,
            source: None,
            unanswered: None,
            replica: None,
            splitter: EventSplitter::default(),
            last_event: request.last_event,
            progress: Progress::default(),
            head: None,
            upstream_failure: None,
            lost_since: None,
            is_ended: false,
        }
    }

    fn log_end(&mut self, ending: &Ending<'_>) {
        self.is_ended = true;
        let attempts = &self.attempts;
        log_end(
            &self.router,
            &self.request,
            attempts,
            ending,
            &self.progress,
        );
    }

    /// Records how long the stream took, if it was not resumed midway.
    fn report_duration(&self) {
        if self.request.last_event.is_none() {
            let took = self.router.now() - self.request.arrived;
            self.router.lifecycle.on_stream_completed(took);
        }
    }

    async fn first_piece(&mut self) -> FirstPiece {
        if let Err(given_up) = self.open_somewhere().await {
            return self.without_events(given_up);
        }
        match self.next_piece().await {
            Ok(Some(piece)) => match self.head.take() {
                Some(head) => FirstPiece::Events(head, piece),
                None => self.without_events(GivenUp::invalid("the answer has no head")),
            },
            Ok(None) => self.empty_answer(),
            Err(given_up) => self.without_events(given_up),
        }
    }

    fn without_events(&mut self, given_up: GivenUp) -> FirstPiece {
        match self.upstream_failure.take() {
            Some(answer) => FirstPiece::Answer(answer),
            None => FirstPiece::GivenUp(given_up),
        }
    }

    /// A stream that ended before its first event, as after the last event of a former one.
    fn empty_answer(&mut self) -> FirstPiece {
        match self.head.take() {
            Some(head) => FirstPiece::Answer(BufferedResponse::new(head, Bytes::new())),
            None => self.without_events(GivenUp::invalid("the answer is empty")),
        }
    }

    /// The pieces after the first.
    fn into_stream(self) -> impl futures_util::Stream<Item = Result<Bytes, IncompleteResponse>> {
        unfold(Some(self), |state| async move {
            let mut run = state?;
            match run.next_piece().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(run))),
                Ok(None) => {
                    run.log_end(&Ending::of(StatusCode::OK, RequestEnd::Completed));
                    run.report_duration();
                    None
                }
                Err(given_up) => {
                    run.log_end(&Ending {
                        status: StatusCode::OK,
                        end: given_up.end_of_begun(),
                        reason: Some(given_up.logged_reason()),
                    });
                    Some((Err(IncompleteResponse), None))
                }
            }
        })
    }

    /// The next whole events, from this upstream or another; `None` at the end.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, GivenUp> {
        loop {
            if let Some(piece) = self.whole_events() {
                return Ok(Some(piece));
            }
            if self.leaves_version() {
                self.leave_source();
                self.open_somewhere().await?;
                continue;
            }
            let failure = match self.receive().await {
                Ok(receive::Received::Bytes) => continue,
                Ok(receive::Received::End) => {
                    self.close_completed();
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            if let Some(source) = &self.source {
                rollouts::on_failure(&self.router, &self.request, &source.upstream, &failure);
                self.note_loss(&source.upstream, &failure);
            }
            self.settle();
            self.leave_source();
            self.after_failure(&failure)?;
            self.open_somewhere().await?;
        }
    }

    /// Whether the present run moves now, as the version of its upstream is about to be stopped.
    /// Runs move one after the other, and none that could not go on elsewhere.
    fn leaves_version(&mut self) -> bool {
        let Some(source) = &mut self.source else {
            return false;
        };
        let router = &self.router;
        let service = &self.request.service.name;
        if !rollouts::is_to_move(router, service, &source.upstream) {
            return false;
        }
        let now = router.now();
        let at = source.moves_at.get_or_insert_with(|| {
            let pause = jitter(&mut router.rng.borrow_mut(), MOVES_WITHIN);
            now + pause
        });
        let is_due = now >= *at;
        is_due
            && self
                .attempts
                .try_move(|| router.try_take_retry(service, now))
    }

    /// Ends the watch of the present attempt.
    fn settle(&mut self) {
        if let Some(guard) = self.unanswered.take() {
            guard.settle();
        }
    }

    /// Records an attempt whose upstream may have ended, or may yet by it. One that sent events has
    /// survived what nobody waits for any more.
    fn note_loss(&self, upstream: &Upstream, failure: &AttemptFailure) {
        let has_events = self.source.as_ref().is_some_and(|source| source.has_events);
        let loss = failure.loss();
        let loss = loss.filter(|loss| *loss != LossCause::Abandoned || !has_events);
        if let Some(loss) = loss {
            let (router, request) = (&self.router, &self.request);
            let ran_for = router.now().saturating_duration_since(self.attempt_begun);
            record::on_lost(router, request, upstream, loss, ran_for);
        }
    }

    /// Decides whether another upstream may get the request.
    fn after_failure(&mut self, failure: &AttemptFailure) -> Result<(), GivenUp> {
        let now = self.router.now();
        let router = Rc::clone(&self.router);
        let service = self.request.service.name.clone();
        let try_take = || router.try_take_retry(&service, now);
        let outcome = failure.outcome();
        let next = self
            .attempts
            .on_outcome(outcome, !failure.is_past_deadline(), try_take);
        let attempt = FailedAttempt {
            upstream: self.tried.last(),
            failure,
            next,
            last_event: self.last_event,
            begun: self.attempt_begun,
            now,
        };
        log_failure(&self.router, &self.request, &attempt);
        if *failure == AttemptFailure::Stopped {
            return Err(GivenUp::stopped());
        }
        if next != NextStep::Retry {
            return Err(GivenUp::after(failure, next));
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
