//! Requests whose answer is one body.

use crate::body::{AnswerBroken, ReplyBody};
use crate::decision_log::{SendFailed, ms_since};
use crate::guards::LoadGuard;
use crate::intake::RelayRequest;
use crate::outcome::{
    ChoiceNote, GivenUp, Progress, give_up_reply, load_of, log_choice, log_end, outcome_name,
    wait_error,
};
use crate::reply::{Reply, UpstreamAnswer, streamed_reply};
use crate::router::Router;
use crate::send::{Awaited, Opened, SendError, SendExtras, keep, send, while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use std::rc::Rc;
use std::time::Instant;

/// Answers up to this size are whole before a byte of them goes on.
const MAX_HELD: usize = 256 * 1024;
/// A silent upstream is asked after so many times the route's objective.
const ASK_AFTER_OBJECTIVES: f64 = 1.0;
/// An answer of a request that may be repeated is waited for so many times the objective.
const STUCK_AFTER_OBJECTIVES: f64 = 2.0;

/// Relays a request to one upstream, and to others as far as that is allowed.
pub(crate) async fn relay_plain(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Reply {
    let mut run = PlainRun::new(router, request);
    let (reply, end) = match run.run().await {
        Ok(reply) => (reply, "answered"),
        Err(given_up) => give_up_reply(request, &given_up),
    };
    log_end(
        router,
        request,
        &run.attempts,
        reply.status(),
        end,
        &Progress::default(),
    );
    reply
}

struct PlainRun<'a> {
    router: &'a Rc<Router>,
    request: &'a Rc<RelayRequest>,
    attempts: Attempts,
    tried: Vec<UpstreamName>,
    /// The last failure that a upstream itself answered with.
    upstream_failure: Option<UpstreamAnswer>,
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
        }
    }

    async fn run(&mut self) -> Result<Reply, GivenUp> {
        loop {
            let Some(upstream) = self.choose() else {
                return self.without_upstream();
            };
            self.attempts.on_send();
            let error = match self.send_once(&upstream).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            if let Some(end) = self.after_failure(&upstream, &error) {
                return end;
            }
        }
    }

    fn without_upstream(&mut self) -> Result<Reply, GivenUp> {
        if let Some(answer) = self.upstream_failure.take() {
            return Ok(answer.into_reply());
        }
        Err(GivenUp {
            next: self.attempts.give_up(),
            timed_out: false,
            reason: "no server takes the request".to_owned(),
        })
    }

    fn choose(&mut self) -> Option<Upstream> {
        let now = Instant::now();
        let connected = self.router.pool.borrow().connected(now);
        let table = self.router.upstreams.borrow();
        let settings = self.router.settings();
        let demand = Demand {
            service: &self.request.service.name,
            home: &settings.data_centre,
            load: load_of(self.request),
            engine_memory: self.request.service.engine.map(|e| e.memory_tokens),
            affinity: None,
            prompt_location: None,
            is_continuation: self.request.last_event.is_some(),
            tried: &self.tried,
            connected: &connected,
            now,
            overcommit: false,
        };
        let choice = choose_upstream(&table, &demand, &mut self.router.rng.borrow_mut());
        let Choice::Upstream(upstream) = choice else {
            return None;
        };
        let note = ChoiceNote::of(&self.attempts, now);
        log_choice(self.router, self.request, &table, &upstream, &note);
        Some(upstream)
    }

    async fn send_once(&mut self, upstream: &Upstream) -> Result<Reply, SendError> {
        let load = LoadGuard::begin(self.router, &upstream.name, load_of(self.request));
        let sent_at = Instant::now();
        let mut liveness = Liveness::new(self.bounds(), sent_at);
        let extras = SendExtras {
            priority: self.request.priority,
            ..SendExtras::default()
        };
        let opened = send(self.router, self.request, upstream, &extras, &mut liveness).await?;
        let reply = self
            .read_answer(upstream, opened, &mut liveness, load)
            .await?;
        let now = Instant::now();
        let mut table = self.router.upstreams.borrow_mut();
        table.on_pace(&upstream.name, now.saturating_duration_since(sent_at));
        table.on_result(&upstream.name, false);
        let since = now.saturating_duration_since(self.request.arrived);
        self.router.metrics.first_answer.observe(since);
        Ok(reply)
    }

    fn bounds(&self) -> LivenessBounds {
        let objective = self.request.route.objective;
        let has_other = self.request.route.retry_rule().is_idempotent()
            && self.attempts.sent() < self.request.route.max_attempts;
        LivenessBounds {
            probe_after: objective.mul_f64(ASK_AFTER_OBJECTIVES),
            probe_timeout: self.router.settings().silence.answer_within,
            stall_after: if has_other {
                objective.mul_f64(STUCK_AFTER_OBJECTIVES)
            } else {
                self.request.route.timeout
            },
        }
    }

    /// Reads the answer: whole, if it isn't large.
    async fn read_answer(
        &mut self,
        upstream: &Upstream,
        opened: Opened,
        liveness: &mut Liveness,
        load: LoadGuard,
    ) -> Result<Reply, SendError> {
        let Opened {
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
                    return Err(SendError::new(AttemptOutcome::Unknown, reason));
                }
                Err(silence) => return Err(wait_error(silence)),
            }
            if held.len() > MAX_HELD {
                let rest = LargeRest {
                    held: Some(held.freeze()),
                    body,
                    _connection: connection,
                    _work: load,
                };
                return Ok(streamed_reply(head, ReplyBody::pieces(rest.into_stream())));
            }
        }
        keep(self.router, &upstream.name, connection);
        let answer = UpstreamAnswer {
            status: head.status,
            headers: head.headers,
            body: held.freeze(),
        };
        if answer.status.is_server_error() {
            let reason = format!("the server answered {}", answer.status.as_u16());
            self.upstream_failure = Some(answer);
            return Err(SendError::new(AttemptOutcome::Failed, reason));
        }
        Ok(answer.into_reply())
    }

    fn after_failure(
        &mut self,
        upstream: &Upstream,
        error: &SendError,
    ) -> Option<Result<Reply, GivenUp>> {
        let now = Instant::now();
        self.tried.push(upstream.name.clone());
        let mut table = self.router.upstreams.borrow_mut();
        table.on_result(&upstream.name, error.outcome.may_have_run());
        drop(table);
        let take = || self.router.try_take_retry(&upstream.service, now);
        let next = self
            .attempts
            .on_outcome(error.outcome, !error.timed_out, take);
        self.router.metrics.sends.count(outcome_name(error.outcome));
        self.router.log.info(
            "send.failed",
            &SendFailed {
                request: &self.request.id,
                upstream: upstream.name.as_str(),
                outcome: error.outcome,
                reason: &error.reason,
                next,
                last_event: None,
                age_ms: ms_since(self.request.arrived, now),
            },
        );
        match (next, self.upstream_failure.take()) {
            (NextStep::Retry, failure) => {
                self.upstream_failure = failure;
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

/// The rest of a large answer, passed on as it comes.
struct LargeRest {
    held: Option<Bytes>,
    body: hyper::body::Incoming,
    _connection: crate::connection::Connection,
    _work: LoadGuard,
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
