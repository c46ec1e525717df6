//! Requests whose answer is an event stream, which may go on at another server.

use crate::body::{AnswerBroken, ReplyBody};
use crate::connection::Connection;
use crate::decision_log::{SendFailed, ServerChosen, ms_since};
use crate::front::{Front, RunningStream, WorkGuard};
use crate::intake::RelayRequest;
use crate::links::Link;
use crate::plain::{
    GivenUp, Progress, give_up_reply, log_end, outcome_name, silence_error, work_of,
};
use crate::probe;
use crate::reply::{Reply, ServerAnswer, streamed_reply};
use crate::send::{Awaited, Opened, SendError, SendExtras, keep, send, while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_core::UpstreamName;
use cloverpier_relay::prelude::*;
use futures_util::StreamExt;
use futures_util::stream::{once, unfold};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The rank of what goes on after a loss, before all that is new.
const RESUMED_PRIORITY: u8 = 0;

/// Relays a request whose answer is an event stream.
pub(crate) async fn relay_stream(front: &Rc<Front>, request: &Rc<RelayRequest>) -> Reply {
    let mut run = StreamRun::new(front, request);
    match run.first_piece().await {
        FirstPiece::Events(head, piece) => {
            let since = Instant::now().saturating_duration_since(request.arrived);
            front.metrics.first_answer.observe(since);
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
    /// A server's whole answer that is no stream.
    Answer(ServerAnswer),
    /// No server brought an answer.
    GivenUp(GivenUp),
}

/// Why a stream gets no further at its present server.
struct Interruption {
    outcome: SendOutcome,
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
        SendError::new(SendOutcome::Unknown, reason).into()
    }
}

/// The run at one server.
struct Source {
    server: Server,
    connection: Connection,
    body: Incoming,
    link: Rc<Link>,
    liveness: Liveness,
    work: WorkGuard,
    backup: Option<(Server, WorkGuard)>,
    _running: Option<RunningStream>,
    last_heard: Instant,
}

/// A stream on its way to its caller.
struct StreamRun {
    front: Rc<Front>,
    request: Rc<RelayRequest>,
    attempts: Attempts,
    tried: Vec<UpstreamName>,
    source: Option<Source>,
    /// The engine that has a copy of the lost run's memory.
    copy: Option<Server>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    progress: Progress,
    head: Option<Parts>,
    server_failure: Option<ServerAnswer>,
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
    fn new(front: &Rc<Front>, request: &Rc<RelayRequest>) -> Self {
        let route = &request.route;
        Self {
            front: Rc::clone(front),
            request: Rc::clone(request),
            attempts: Attempts::new(route.repeat(), route.max_attempts),
            tried: Vec::new(),
            source: None,
            copy: None,
            splitter: EventSplitter::default(),
            last_event: request.last_event,
            progress: Progress::default(),
            head: None,
            server_failure: None,
            lost_since: None,
            ended: false,
        }
    }

    fn log_end(&mut self, status: StatusCode, end: &'static str) {
        self.ended = true;
        log_end(
            &self.front,
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
        match self.server_failure.take() {
            Some(answer) => FirstPiece::Answer(answer),
            None => FirstPiece::GivenUp(given_up),
        }
    }

    fn empty_answer(&mut self) -> FirstPiece {
        match self.head.take() {
            Some(head) => FirstPiece::Answer(ServerAnswer {
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

    /// The next whole events, from this server or another; `None` at the end.
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
            self.front.metrics.resume_pause.observe(pause);
        }
        let bounds = self.running_bounds();
        if let Some(source) = &mut self.source {
            source.work.on_prompt_read();
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
            front: &self.front,
            server: &source.server,
            link: &source.link,
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
                    probe::on_server_dead(&self.front, &source.server, &reason, now);
                }
                Err(Interruption::unknown(reason))
            }
            Ok(None) if self.splitter.has_partial() => {
                Err(Interruption::unknown("the stream ended inside an event"))
            }
            Ok(None) => Ok(Received::End),
            Err(silence) => Err(silence_error(silence).into()),
        }
    }

    fn close_completed(&mut self) {
        if let Some(source) = self.source.take() {
            let mut fleet = self.front.fleet.borrow_mut();
            fleet.on_result(&source.server.name, false);
            drop(fleet);
            keep(&self.front, &source.server.name, source.connection);
        }
    }

    /// Ends the run at the present server: closing its connection stops it.
    fn leave_source(&mut self) {
        self.splitter = EventSplitter::default();
        let Some(source) = self.source.take() else {
            return;
        };
        self.lost_since.get_or_insert(source.last_heard);
        self.tried.push(source.server.name.clone());
        self.copy = source.backup.map(|(server, _)| server);
    }

    /// Decides whether another server may get the request.
    fn after_interruption(&mut self, interruption: &Interruption) -> Result<(), GivenUp> {
        let now = Instant::now();
        let front = Rc::clone(&self.front);
        let service = self.request.service.name.clone();
        let take = || !interruption.timed_out && front.take_repeat(&service, now);
        let next = self.attempts.on_outcome(interruption.outcome, take);
        self.log_failure(interruption, next, now);
        if next == NextStep::SendAgain {
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
        self.front.metrics.sends.count(name);
        if self.progress.events > 0 && next == NextStep::SendAgain {
            self.front.metrics.resumed.count(name);
        }
        self.front.log.info(
            "send.failed",
            &SendFailed {
                request: &self.request.id,
                server: self.tried.last().map_or("", |name| name.as_str()),
                outcome: interruption.outcome,
                reason: &interruption.reason,
                next,
                last_event: self.last_event,
                age_ms: ms_since(self.request.arrived, now),
            },
        );
    }

    /// Opens the stream at a server, at others when that fails.
    async fn open_somewhere(&mut self) -> Result<(), GivenUp> {
        loop {
            let Some((server, extras)) = self.choose() else {
                return Err(GivenUp {
                    next: self.attempts.give_up(),
                    timed_out: false,
                    reason: "no server takes the request".to_owned(),
                });
            };
            self.attempts.on_send();
            let error = match self.open_at(&server, extras).await {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
            self.tried.push(server.name.clone());
            let failed = matches!(error.outcome, SendOutcome::Unknown | SendOutcome::Failed);
            self.front
                .fleet
                .borrow_mut()
                .on_result(&server.name, failed);
            self.after_interruption(&error.into())?;
        }
    }

    /// The engine with the copy of the lost run, or the best of the others.
    fn choose(&mut self) -> Option<(Server, SendExtras)> {
        let front = Rc::clone(&self.front);
        let now = Instant::now();
        let connected = front.pool.borrow().connected(now);
        let fleet = front.fleet.borrow();
        let settings = front.settings();
        let demand = Demand {
            service: &self.request.service.name,
            home: &settings.data_centre,
            work: work_of(&self.request),
            engine_memory: self.request.service.engine.map(|e| e.memory_tokens),
            affinity: self.request.prompt.map(|p| p.0),
            read_at: self.read_at(now),
            is_continuation: self.request.last_event.is_some(),
            tried: &self.tried,
            connected: &connected,
            now,
            overcommit: self.progress.events > 0,
        };
        let mut rng = front.rng.borrow_mut();
        let copy = self
            .copy
            .take()
            .filter(|server| fleet.get(&server.name).is_some_and(ServerState::is_usable));
        let from_copy = copy.is_some();
        let server = match copy {
            Some(server) => server,
            None => match choose_server(&fleet, &demand, &mut rng) {
                Choice::Server(server) => server,
                Choice::Full | Choice::Nobody => return None,
            },
        };
        let backups = settings.backups && self.request.service.engine.is_some_and(|e| e.backups);
        let backup = backups
            .then(|| choose_backup(&fleet, &demand, &server, &mut rng))
            .flatten();
        let extras = self.extras(&server, backup, from_copy);
        self.log_choice(&fleet, &server, &extras, now);
        Some((server, extras))
    }

    /// The engine that the caller's former request ran at, if this one goes on with it.
    fn read_at(&self, now: Instant) -> Option<ServerKey> {
        let prompt = self.request.prompt?;
        let is_continuation = self.request.last_event.is_some() && self.progress.events == 0;
        let places = self.front.places.borrow();
        is_continuation
            .then(|| places.engine_of(prompt, now))
            .flatten()
    }

    fn extras(&self, server: &Server, backup: Option<Server>, from_copy: bool) -> SendExtras {
        let copy_name = self.front.dialect.copy_name;
        let is_repeat = self.progress.events > 0;
        SendExtras {
            backup,
            resume_from: from_copy.then(|| copy_name(server.address, &self.request.id)),
            last_event: self.last_event.or(from_copy.then_some(0)),
            priority: if is_repeat {
                RESUMED_PRIORITY
            } else {
                self.request.priority
            },
        }
    }

    fn log_choice(&self, fleet: &Fleet, server: &Server, extras: &SendExtras, now: Instant) {
        let own = fleet.get(&server.name).map(|s| s.own).unwrap_or_default();
        let peers = fleet.peer_work.at(ServerKey::of(&server.name));
        self.front.log.info(
            "server.chosen",
            &ServerChosen {
                request: &self.request.id,
                route: &self.request.route.name,
                service: self.request.service.name.as_str(),
                server: server.name.as_str(),
                attempt: self.attempts.sent() + 1,
                own_requests: own.requests,
                peer_requests: peers.requests,
                unread_tokens: own.unread_tokens + peers.unread_tokens,
                backup: extras.backup.as_ref().map(|b| b.name.as_str()),
                prompt: self.request.prompt,
                resumes_after: extras.last_event,
                from_copy: extras.resume_from.is_some(),
                catalog_version: self.request.catalog_version,
                fleet_revision: fleet.revision(),
                age_ms: ms_since(self.request.arrived, now),
            },
        );
    }

    async fn open_at(&mut self, server: &Server, extras: SendExtras) -> Result<(), SendError> {
        let mut work = work_of(&self.request);
        if extras.resume_from.is_some() {
            work.unread_tokens = 0;
        }
        let work = WorkGuard::begin(&self.front, &server.name, work);
        let now = Instant::now();
        let prompt = self.request.prompt;
        let running = prompt.map(|p| RunningStream::begin(&self.front, p, &server.name, now));
        self.front.tell_peers(&server.name);
        let backup = extras.backup.clone().map(|backup| {
            let copied = Work {
                memory_tokens: work_of(&self.request).memory_tokens,
                ..Work::default()
            };
            let guard = WorkGuard::begin(&self.front, &backup.name, copied);
            (backup, guard)
        });
        let now = Instant::now();
        let mut liveness = Liveness::new(self.waiting_bounds(), now);
        let opened = send(&self.front, &self.request, server, &extras, &mut liveness).await?;
        let opened = self.judge_status(opened, server).await?;
        if self.progress.events == 0 {
            self.head = Some(opened.head);
        }
        self.source = Some(Source {
            server: server.clone(),
            connection: opened.connection,
            body: opened.body,
            link: opened.link,
            liveness,
            work,
            backup,
            _running: running,
            last_heard: now,
        });
        Ok(())
    }

    /// A stream begins with 200; all else is read whole, to be passed on at need.
    async fn judge_status(&mut self, opened: Opened, server: &Server) -> Result<Opened, SendError> {
        if opened.head.status.is_success() {
            return Ok(opened);
        }
        let collected =
            tokio::time::timeout_at(self.request.deadline.into(), opened.body.collect());
        let body = match collected.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => return Err(SendError::new(SendOutcome::Unknown, e.to_string())),
            Err(_) => return Err(silence_error(crate::send::Silence::TimedOut)),
        };
        keep(&self.front, &server.name, opened.connection);
        let reason = format!("the server answered {}", opened.head.status.as_u16());
        self.server_failure = Some(ServerAnswer {
            status: opened.head.status,
            headers: opened.head.headers,
            body,
        });
        Err(SendError::new(SendOutcome::Failed, reason))
    }

    fn waiting_bounds(&self) -> LivenessBounds {
        let silence = self.front.settings().silence;
        LivenessBounds {
            ask_after: silence.ask_before_first,
            answer_within: silence.answer_before_first,
            stream_silence: silence.stuck_before_first,
        }
    }

    fn running_bounds(&self) -> LivenessBounds {
        let silence = self.front.settings().silence;
        LivenessBounds {
            ask_after: silence.ask_after,
            answer_within: silence.answer_within,
            stream_silence: stuck_after(silence.stuck_after, self.request.route.gap_objective),
        }
    }
}

/// What came of waiting for bytes.
enum Received {
    /// Bytes, now in the splitter.
    Bytes,
    /// The whole answer was received.
    End,
}

/// A stream isn't taken for stuck before its pauses are late.
fn stuck_after(setting: Duration, gap_objective: Option<Duration>) -> Duration {
    setting.max(gap_objective.unwrap_or_default())
}
