//! Requests whose answer is an event stream, which may go on at another upstream.

mod open;

use crate::body::{AnswerBroken, ReplyBody};
use crate::connection::Connection;
use crate::decision_log::{SendFailed, ms_since};
use crate::guards::{LoadGuard, RunningStream};
use crate::health::UpstreamHealth;
use crate::intake::RelayRequest;
use crate::outcome::{GivenUp, Progress, give_up_reply, log_end, outcome_name, wait_error};
use crate::probe;
use crate::reply::{Reply, UpstreamAnswer, streamed_reply};
use crate::router::Router;
use crate::send::{Awaited, SendError, keep, while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use futures_util::StreamExt;
use futures_util::stream::{once, unfold};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::rc::Rc;
use std::time::Instant;

/// The rank of what goes on after a loss, before all that is new.
const RESUMED_PRIORITY: u8 = 0;

/// Relays a request whose answer is an event stream.
pub(crate) async fn relay_stream(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Reply {
    let mut run = StreamRun::new(router, request);
    match run.first_piece().await {
        FirstPiece::Events(head, piece) => {
            let since = Instant::now().saturating_duration_since(request.arrived);
            router.metrics.first_answer.observe(since);
            let first = once(async { Ok(piece) });
            let body = ReplyBody::pieces(first.chain(run.into_stream()));
            streamed_reply(head, body)
        }
        FirstPiece::Answer(answer) => {
            run.log_end(answer.status, "answered");
            answer.into_reply()
        }
        FirstPiece::GivenUp(given_up) => {
            let (reply, end) = give_up_reply(request, &given_up);
            run.log_end(reply.status(), end);
            reply
        }
    }
}

/// What a stream begins with.
enum FirstPiece {
    /// The first events, below this head.
    Events(Parts, Bytes),
    /// A upstream's whole answer that is no stream.
    Answer(UpstreamAnswer),
    /// No upstream brought an answer.
    GivenUp(GivenUp),
}

/// Why a stream gets no further at its present upstream.
struct Interruption {
    outcome: AttemptOutcome,
    reason: String,
    timed_out: bool,
}

impl From<SendError> for Interruption {
    fn from(error: SendError) -> Self {
        Self {
            outcome: error.outcome,
            reason: error.reason,
            timed_out: error.timed_out,
        }
    }
}

impl Interruption {
    fn unknown(reason: impl Into<String>) -> Self {
        SendError::new(AttemptOutcome::Unknown, reason).into()
    }
}

/// The run at one upstream.
struct Source {
    upstream: Upstream,
    connection: Connection,
    body: Incoming,
    health: Rc<UpstreamHealth>,
    liveness: Liveness,
    load: LoadGuard,
    replica: Option<(Upstream, LoadGuard)>,
    _running: Option<RunningStream>,
    last_heard: Instant,
}

/// A stream on its way to its caller.
struct StreamRun {
    router: Rc<Router>,
    request: Rc<RelayRequest>,
    attempts: Attempts,
    tried: Vec<UpstreamName>,
    source: Option<Source>,
    /// The engine that has a copy of the lost run's memory.
    copy: Option<Upstream>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    progress: Progress,
    head: Option<Parts>,
    upstream_failure: Option<UpstreamAnswer>,
    /// Since when events are missing because a run was lost.
    lost_since: Option<Instant>,
    ended: bool,
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end(StatusCode::OK, "caller-left");
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
            source: None,
            copy: None,
            splitter: EventSplitter::default(),
            last_event: request.last_event,
            progress: Progress::default(),
            head: None,
            upstream_failure: None,
            lost_since: None,
            ended: false,
        }
    }

    fn log_end(&mut self, status: StatusCode, end: &'static str) {
        self.ended = true;
        log_end(
            &self.router,
            &self.request,
            &self.attempts,
            status,
            end,
            &self.progress,
        );
    }

    async fn first_piece(&mut self) -> FirstPiece {
        if let Err(given_up) = self.open_somewhere().await {
            return self.without_events(given_up);
        }
        match self.next_piece().await {
            Ok(Some(piece)) => match self.head.take() {
                Some(head) => FirstPiece::Events(head, piece),
                None => self.without_events(GivenUp {
                    next: NextStep::Fail,
                    timed_out: false,
                    reason: "the answer has no head".to_owned(),
                }),
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

    fn empty_answer(&mut self) -> FirstPiece {
        match self.head.take() {
            Some(head) => FirstPiece::Answer(UpstreamAnswer {
                status: head.status,
                headers: head.headers,
                body: Bytes::new(),
            }),
            None => self.without_events(GivenUp {
                next: NextStep::Fail,
                timed_out: false,
                reason: "the answer is empty".to_owned(),
            }),
        }
    }

    /// The pieces after the first.
    fn into_stream(self) -> impl futures_util::Stream<Item = Result<Bytes, AnswerBroken>> {
        unfold(Some(self), |state| async move {
            let mut run = state?;
            match run.next_piece().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(run))),
                Ok(None) => {
                    run.log_end(StatusCode::OK, "completed");
                    None
                }
                Err(given_up) => {
                    let end = if given_up.timed_out {
                        "timed-out"
                    } else {
                        "broken-off"
                    };
                    run.log_end(StatusCode::OK, end);
                    Some((Err(AnswerBroken), None))
                }
            }
        })
    }

    /// The next whole events, from this upstream or another; `None` at the end.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, GivenUp> {
        loop {
            if let Some(piece) = self.take_events() {
                return Ok(Some(piece));
            }
            let interruption = match self.receive().await {
                Ok(Received::Bytes) => continue,
                Ok(Received::End) => {
                    self.close_completed();
                    return Ok(None);
                }
                Err(interruption) => interruption,
            };
            self.leave_source();
            self.after_interruption(&interruption)?;
            self.open_somewhere().await?;
        }
    }

    /// Takes all whole events that were received, in order, each once.
    fn take_events(&mut self) -> Option<Bytes> {
        let mut piece = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                if self.last_event.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_event = Some(id);
            }
            count += 1;
            piece.extend_from_slice(&event.bytes);
        }
        if piece.is_empty() {
            return None;
        }
        let now = Instant::now();
        self.progress.on_events(count, now);
        self.on_progress(now);
        Some(piece.freeze())
    }

    fn on_progress(&mut self, now: Instant) {
        if let Some(lost) = self.lost_since.take() {
            let pause = now.saturating_duration_since(lost);
            self.router.metrics.resume_pause.observe(pause);
        }
        let bounds = self.running_bounds();
        if let Some(source) = &mut self.source {
            source.load.on_prompt_read();
            source.liveness.set_bounds(bounds);
            source.liveness.on_event(now);
            source.last_heard = now;
        }
    }

    /// Waits for bytes of the present run.
    async fn receive(&mut self) -> Result<Received, Interruption> {
        let Some(source) = &mut self.source else {
            return Err(Interruption::unknown("no server has the request"));
        };
        let awaited = Awaited {
            router: &self.router,
            upstream: &source.upstream,
            health: &source.health,
            deadline: self.request.deadline,
        };
        let frame = while_alive(&awaited, &mut source.liveness, source.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                let pushed = self.splitter.push(&data);
                pushed.map_err(|e| Interruption::unknown(e.to_string()))?;
                Ok(Received::Bytes)
            }
            Ok(Some(Err(e))) => {
                let reason = format!("the stream broke: {}", crate::connection::describe(&e));
                if reason.contains("reset") {
                    let now = Instant::now();
                    probe::declare_dead(&self.router, &source.upstream, &reason, now);
                }
                Err(Interruption::unknown(reason))
            }
            Ok(None) if self.splitter.has_partial() => {
                Err(Interruption::unknown("the stream ended inside an event"))
            }
            Ok(None) => Ok(Received::End),
            Err(silence) => Err(wait_error(silence).into()),
        }
    }

    fn close_completed(&mut self) {
        if let Some(source) = self.source.take() {
            let mut table = self.router.upstreams.borrow_mut();
            table.on_result(&source.upstream.name, false);
            drop(table);
            keep(&self.router, &source.upstream.name, source.connection);
        }
    }

    /// Ends the run at the present upstream: closing its connection stops it.
    fn leave_source(&mut self) {
        self.splitter = EventSplitter::default();
        let Some(source) = self.source.take() else {
            return;
        };
        self.lost_since.get_or_insert(source.last_heard);
        self.tried.push(source.upstream.name.clone());
        self.copy = source.replica.map(|(upstream, _)| upstream);
    }

    /// Decides whether another upstream may get the request.
    fn after_interruption(&mut self, interruption: &Interruption) -> Result<(), GivenUp> {
        let now = Instant::now();
        let router = Rc::clone(&self.router);
        let service = self.request.service.name.clone();
        let take = || router.try_take_retry(&service, now);
        let has_time = !interruption.timed_out;
        let next = self
            .attempts
            .on_outcome(interruption.outcome, has_time, take);
        self.log_failure(interruption, next, now);
        if next == NextStep::Retry {
            return Ok(());
        }
        Err(GivenUp {
            next,
            timed_out: interruption.timed_out,
            reason: interruption.reason.clone(),
        })
    }

    fn log_failure(&self, interruption: &Interruption, next: NextStep, now: Instant) {
        let name = outcome_name(interruption.outcome);
        self.router.metrics.sends.count(name);
        if self.progress.events > 0 && next == NextStep::Retry {
            self.router.metrics.resumed.count(name);
        }
        self.router.log.info(
            "send.failed",
            &SendFailed {
                request: &self.request.id,
                upstream: self.tried.last().map_or("", |name| name.as_str()),
                outcome: interruption.outcome,
                reason: &interruption.reason,
                next,
                last_event: self.last_event,
                age_ms: ms_since(self.request.arrived, now),
            },
        );
    }
}

/// What came of waiting for bytes.
enum Received {
    /// Bytes, now in the splitter.
    Bytes,
    /// The whole answer was received.
    End,
}
