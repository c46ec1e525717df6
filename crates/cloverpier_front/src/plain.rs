//! Requests whose answer is one body.

use crate::body::{AnswerBroken, ReplyBody};
use crate::decision_log::{RequestEnded, SendFailed, ServerChosen, ms, ms_since};
use crate::front::{Front, WorkGuard};
use crate::intake::RelayRequest;
use crate::reply::{Reply, ServerAnswer, own_reply, refusal, streamed_reply};
use crate::send::{Awaited, Opened, SendError, SendExtras, Silence, keep, send, while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_core::UpstreamName;
use cloverpier_relay::prelude::*;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::StatusCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Answers up to this size are whole before a byte of them goes on.
const MOST_HELD: usize = 256 * 1024;
/// A silent server is asked after so many times the route's objective.
const ASK_AFTER_OBJECTIVES: f64 = 1.0;
/// An answer of a request that may be repeated is waited for so many times the objective.
const STUCK_AFTER_OBJECTIVES: f64 = 2.0;
/// When to come back after a refusal, in parts of the objective.
const COME_BACK_OBJECTIVES: f64 = 0.4;
/// Bounds of the time to come back.
const SOONEST_BACK: Duration = Duration::from_millis(40);
const LATEST_BACK: Duration = Duration::from_millis(1_000);

/// How a request ended without a server's answer to pass on.
pub(crate) struct GivenUp {
    pub next: NextStep,
    pub timed_out: bool,
    pub reason: String,
}

/// Relays a request to one server, and to others as far as that is allowed.
pub(crate) async fn relay_plain(front: &Rc<Front>, request: &Rc<RelayRequest>) -> Reply {
    let mut run = PlainRun::new(front, request);
    let (reply, end) = match run.run().await {
        Ok(reply) => (reply, "answered"),
        Err(given_up) => give_up_reply(request, &given_up),
    };
    log_end(
        front,
        request,
        &run.attempts,
        reply.status(),
        end,
        &Progress::default(),
    );
    reply
}

/// How a stream went, for its last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Events passed on.
    pub events: u64,
    /// When the first one was.
    pub first_event: Option<Instant>,
    /// When the last one was.
    pub last_event: Option<Instant>,
    /// The longest pause between two.
    pub longest_pause: Duration,
}

impl Progress {
    /// Notes that events were passed on.
    pub fn on_events(&mut self, count: u64, now: Instant) {
        self.events += count;
        self.first_event.get_or_insert(now);
        if let Some(last) = self.last_event.replace(now) {
            let pause = now.saturating_duration_since(last);
            self.longest_pause = self.longest_pause.max(pause);
        }
    }
}

/// Writes the line that ends a request.
pub(crate) fn log_end(
    front: &Front,
    request: &RelayRequest,
    attempts: &Attempts,
    status: StatusCode,
    end: &'static str,
    progress: &Progress,
) {
    let now = Instant::now();
    front.metrics.requests.count(end);
    front.log.info(
        "request.ended",
        &RequestEnded {
            request: &request.id,
            route: &request.route.name,
            status: status.as_u16(),
            end,
            sent: attempts.sent(),
            events: progress.events,
            first_event_ms: progress.first_event.map(|at| ms_since(request.arrived, at)),
            longest_pause_ms: ms(progress.longest_pause),
            age_ms: ms_since(request.arrived, now),
        },
    );
}

/// The answer to a request that is given up, true to what is known of its run.
pub(crate) fn give_up_reply(request: &RelayRequest, given_up: &GivenUp) -> (Reply, &'static str) {
    match given_up.next {
        NextStep::Refuse if given_up.timed_out => {
            let reply = own_reply(StatusCode::SERVICE_UNAVAILABLE, &given_up.reason);
            (reply, "refused-late")
        }
        NextStep::Refuse => (refusal(&given_up.reason, come_back_in(request)), "refused"),
        _ if given_up.timed_out => (
            own_reply(StatusCode::GATEWAY_TIMEOUT, &given_up.reason),
            "timed-out",
        ),
        _ => (
            own_reply(StatusCode::BAD_GATEWAY, &given_up.reason),
            "failed",
        ),
    }
}

fn come_back_in(request: &RelayRequest) -> Duration {
    let wait = request.route.objective.mul_f64(COME_BACK_OBJECTIVES);
    wait.clamp(SOONEST_BACK, LATEST_BACK)
}

struct PlainRun<'a> {
    front: &'a Rc<Front>,
    request: &'a Rc<RelayRequest>,
    attempts: Attempts,
    tried: Vec<UpstreamName>,
    /// The last failure that a server itself answered with.
    server_failure: Option<ServerAnswer>,
}

impl<'a> PlainRun<'a> {
    fn new(front: &'a Rc<Front>, request: &'a Rc<RelayRequest>) -> Self {
        let route = &request.route;
        Self {
            front,
            request,
            attempts: Attempts::new(route.repeat(), route.max_attempts),
            tried: Vec::new(),
            server_failure: None,
        }
    }

    async fn run(&mut self) -> Result<Reply, GivenUp> {
        loop {
            let Some(server) = self.choose() else {
                return self.without_server();
            };
            self.attempts.on_send();
            let error = match self.send_once(&server).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            if let Some(end) = self.after_failure(&server, &error) {
                return end;
            }
        }
    }

    fn without_server(&mut self) -> Result<Reply, GivenUp> {
        if let Some(answer) = self.server_failure.take() {
            return Ok(answer.into_reply());
        }
        Err(GivenUp {
            next: self.attempts.give_up(),
            timed_out: false,
            reason: "no server takes the request".to_owned(),
        })
    }

    fn choose(&mut self) -> Option<Server> {
        let now = Instant::now();
        let connected = self.front.pool.borrow().connected(now);
        let fleet = self.front.fleet.borrow();
        let settings = self.front.settings();
        let demand = Demand {
            service: &self.request.service.name,
            home: &settings.data_centre,
            work: work_of(self.request),
            engine_memory: self.request.service.engine.map(|e| e.memory_tokens),
            affinity: None,
            read_at: None,
            is_continuation: self.request.last_event.is_some(),
            tried: &self.tried,
            connected: &connected,
            now,
            overcommit: false,
        };
        let choice = choose_server(&fleet, &demand, &mut self.front.rng.borrow_mut());
        let Choice::Server(server) = choice else {
            return None;
        };
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
                unread_tokens: 0,
                backup: None,
                prompt: None,
                resumes_after: None,
                from_copy: false,
                catalog_version: self.request.catalog_version,
                fleet_revision: fleet.revision(),
                age_ms: ms_since(self.request.arrived, now),
            },
        );
        Some(server)
    }

    async fn send_once(&mut self, server: &Server) -> Result<Reply, SendError> {
        let work = WorkGuard::begin(self.front, &server.name, work_of(self.request));
        let sent_at = Instant::now();
        let mut liveness = Liveness::new(self.bounds(), sent_at);
        let extras = SendExtras {
            priority: self.request.priority,
            ..SendExtras::default()
        };
        let opened = send(self.front, self.request, server, &extras, &mut liveness).await?;
        let reply = self
            .read_answer(server, opened, &mut liveness, work)
            .await?;
        let now = Instant::now();
        let mut fleet = self.front.fleet.borrow_mut();
        fleet.on_pace(&server.name, now.saturating_duration_since(sent_at));
        fleet.on_result(&server.name, false);
        let since = now.saturating_duration_since(self.request.arrived);
        self.front.metrics.first_answer.observe(since);
        Ok(reply)
    }

    fn bounds(&self) -> LivenessBounds {
        let objective = self.request.route.objective;
        let has_other = self.request.route.repeat().is_idempotent()
            && self.attempts.sent() < self.request.route.max_attempts;
        LivenessBounds {
            ask_after: objective.mul_f64(ASK_AFTER_OBJECTIVES),
            answer_within: self.front.settings().silence.answer_within,
            stream_silence: if has_other {
                objective.mul_f64(STUCK_AFTER_OBJECTIVES)
            } else {
                self.request.route.timeout
            },
        }
    }

    /// Reads the answer: whole, if it isn't large.
    async fn read_answer(
        &mut self,
        server: &Server,
        opened: Opened,
        liveness: &mut Liveness,
        work: WorkGuard,
    ) -> Result<Reply, SendError> {
        let Opened {
            head,
            mut body,
            connection,
            link,
        } = opened;
        let awaited = Awaited {
            front: self.front,
            server,
            link: &link,
            deadline: self.request.deadline,
        };
        let mut held = BytesMut::new();
        loop {
            let frame = while_alive(&awaited, liveness, body.frame()).await;
            match frame {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => {
                    liveness.on_event(Instant::now());
                    held.extend_from_slice(frame.data_ref().map_or(&[][..], |d| &d[..]));
                }
                Ok(Some(Err(e))) => {
                    let reason = format!("the answer broke off: {e}");
                    return Err(SendError::new(SendOutcome::Unknown, reason));
                }
                Err(silence) => return Err(silence_error(silence)),
            }
            if held.len() > MOST_HELD {
                let rest = LargeRest {
                    held: Some(held.freeze()),
                    body,
                    _connection: connection,
                    _work: work,
                };
                return Ok(streamed_reply(head, ReplyBody::pieces(rest.into_stream())));
            }
        }
        keep(self.front, &server.name, connection);
        let answer = ServerAnswer {
            status: head.status,
            headers: head.headers,
            body: held.freeze(),
        };
        if answer.status.is_server_error() {
            let reason = format!("the server answered {}", answer.status.as_u16());
            self.server_failure = Some(answer);
            return Err(SendError::new(SendOutcome::Failed, reason));
        }
        Ok(answer.into_reply())
    }

    fn after_failure(
        &mut self,
        server: &Server,
        error: &SendError,
    ) -> Option<Result<Reply, GivenUp>> {
        let now = Instant::now();
        self.tried.push(server.name.clone());
        let failed = matches!(error.outcome, SendOutcome::Unknown | SendOutcome::Failed);
        self.front
            .fleet
            .borrow_mut()
            .on_result(&server.name, failed);
        let take = || !error.timed_out && self.front.take_repeat(&server.service, now);
        let next = self.attempts.on_outcome(error.outcome, take);
        self.front.metrics.sends.count(outcome_name(error.outcome));
        self.front.log.info(
            "send.failed",
            &SendFailed {
                request: &self.request.id,
                server: server.name.as_str(),
                outcome: error.outcome,
                reason: &error.reason,
                next,
                last_event: None,
                age_ms: ms_since(self.request.arrived, now),
            },
        );
        match (next, self.server_failure.take()) {
            (NextStep::SendAgain, failure) => {
                self.server_failure = failure;
                None
            }
            (_, Some(answer)) => Some(Ok(answer.into_reply())),
            (next, None) => Some(Err(GivenUp {
                next,
                timed_out: error.timed_out,
                reason: error.reason.clone(),
            })),
        }
    }
}

/// What a silence means for a request that was sent.
pub(crate) fn silence_error(silence: Silence) -> SendError {
    SendError {
        outcome: SendOutcome::Unknown,
        reason: silence.reason().to_owned(),
        timed_out: silence == Silence::TimedOut,
    }
}

/// The name of an outcome, for metrics.
pub(crate) fn outcome_name(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::NotSent => "not-sent",
        SendOutcome::Misdirected => "misdirected",
        SendOutcome::Refused => "refused",
        SendOutcome::Unknown => "unknown",
        SendOutcome::Failed => "failed",
    }
}

/// What a request adds to a server's work.
pub(crate) fn work_of(request: &RelayRequest) -> Work {
    Work {
        requests: 1,
        unread_tokens: request.size.prompt_tokens,
        memory_tokens: request.size.prompt_tokens + request.size.answer_tokens,
    }
}

/// The rest of a large answer, passed on as it comes.
struct LargeRest {
    held: Option<Bytes>,
    body: hyper::body::Incoming,
    _connection: crate::connection::Connection,
    _work: WorkGuard,
}

impl LargeRest {
    fn into_stream(self) -> impl futures_util::Stream<Item = Result<Bytes, AnswerBroken>> {
        unfold(Some(self), |state| async move {
            let mut rest = state?;
            if let Some(held) = rest.held.take() {
                return Some((Ok(held), Some(rest)));
            }
            match rest.body.frame().await? {
                Ok(frame) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    Some((Ok(bytes), Some(rest)))
                }
                Err(_) => Some((Err(AnswerBroken), None)),
            }
        })
    }
}
