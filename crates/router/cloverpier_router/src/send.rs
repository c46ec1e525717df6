//! One send of a request to one upstream, up to the head of its answer.

use crate::connection::{Connection, SendFailure, WholeRequest};
use crate::health::UpstreamHealth;
use crate::intake::{RelayRequest, text_of};
use crate::pool::{DEFAULT_IDLE_LIMIT, idle_limit};
use crate::probe;
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use futures_util::future::poll_immediate;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection has to come up within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Less time than this isn't worth a send.
const MIN_TIME: Duration = Duration::from_millis(5);

/// What a send carries besides the request.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendExtras {
    /// The engine that keeps a copy of the run's memory.
    pub replica: Option<Upstream>,
    /// Where a copy of the run's memory lies.
    pub resume_from: Option<String>,
    /// The last event that needn't be sent.
    pub last_event: Option<u64>,
    /// The rank at the upstream.
    pub priority: u8,
}

/// A upstream's answer of which the head has come.
#[derive(Debug)]
pub(crate) struct Opened {
    /// The head.
    pub head: Parts,
    /// The body to come.
    pub body: Incoming,
    /// The connection that it comes over.
    pub connection: Connection,
    /// The upstream's link.
    pub health: Rc<UpstreamHealth>,
}

/// A send that brought no answer that counts.
#[derive(Debug)]
pub(crate) struct SendError {
    /// What is known of the request's run.
    pub outcome: AttemptOutcome,
    /// What happened.
    pub reason: String,
    /// Whether the time was up.
    pub timed_out: bool,
}

impl SendError {
    pub(crate) fn new(outcome: AttemptOutcome, reason: impl Into<String>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
            timed_out: false,
        }
    }

    fn timed_out(outcome: AttemptOutcome) -> Self {
        Self {
            timed_out: true,
            ..Self::new(outcome, "the time is up")
        }
    }
}

/// Why a wait for a upstream ended without what was awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitError {
    /// The upstream is taken for dead.
    UpstreamDead,
    /// The upstream lives; this answer doesn't come.
    Stalled,
    /// The time is up.
    TimedOut,
}

impl WaitError {
    /// The reason, for logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::UpstreamDead => "the server is silent",
            Self::Stalled => "the answer is stuck at a living server",
            Self::TimedOut => "the time is up",
        }
    }
}

/// A upstream that is waited for.
pub(crate) struct Awaited<'a> {
    pub router: &'a Rc<Router>,
    pub upstream: &'a Upstream,
    pub health: &'a Rc<UpstreamHealth>,
    pub deadline: Instant,
}

/// Waits for something from a upstream for as long as the upstream seems alive.
pub(crate) async fn while_alive<T>(
    awaited: &Awaited<'_>,
    liveness: &mut Liveness,
    answer: impl Future<Output = T>,
) -> Result<T, WaitError> {
    let mut answer = pin!(answer);
    let Awaited {
        router,
        upstream,
        health,
        deadline,
    } = awaited;
    loop {
        let found_dead = health.found_dead.notified();
        let now = Instant::now();
        if let Some(value) = poll_immediate(&mut answer).await {
            health.on_heartbeat_or_activity(now);
            return Ok(value);
        }
        if health.dead.get() {
            return Err(WaitError::UpstreamDead);
        }
        if now >= *deadline {
            return Err(WaitError::TimedOut);
        }
        let wake_at = match liveness.step(health.heard.get(), health.probing_since.get(), now) {
            LivenessStep::WaitUntil(at) => at.min(*deadline),
            LivenessStep::Ask => {
                probe::ask(router, upstream, health, now);
                continue;
            }
            LivenessStep::UpstreamDead => {
                probe::declare_dead(router, upstream, "no answer to a question", now);
                return Err(WaitError::UpstreamDead);
            }
            LivenessStep::Stalled => return Err(WaitError::Stalled),
        };
        tokio::select! {
            biased;
            value = &mut answer => {
                health.on_heartbeat_or_activity(Instant::now());
                return Ok(value);
            }
            () = found_dead => {}
            () = tokio::time::sleep_until(wake_at.into()) => {}
        }
    }
}

/// Sends a request to a upstream and waits for the head of the answer.
///
/// # Errors
///
/// [`SendError`] for all that isn't the upstream's own answer to this request.
pub(crate) async fn send(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
    extras: &SendExtras,
    liveness: &mut Liveness,
) -> Result<Opened, SendError> {
    let health = router.health.of(upstream, Instant::now());
    loop {
        let mut connection = connect(router, request, upstream).await?;
        let is_kept = connection.requests > 0;
        let now = Instant::now();
        if request.time_left(now) < MIN_TIME {
            return Err(SendError::timed_out(AttemptOutcome::NotSent));
        }
        let message = message(router, request, upstream, extras, now)?;
        let awaited = Awaited {
            router,
            upstream,
            health: &health,
            deadline: request.deadline,
        };
        health.on_heartbeat_or_activity(now);
        let sent = while_alive(&awaited, liveness, connection.send(message)).await;
        match sent {
            // A kept connection that had ended meanwhile costs nothing.
            Ok(Err(SendFailure { unsent: true, .. })) if is_kept => {}
            Ok(Err(failure)) => return Err(failed_send(router, upstream, failure)),
            Ok(Ok(response)) => {
                return judge(router, request, upstream, response, connection, health);
            }
            Err(WaitError::TimedOut) => return Err(SendError::timed_out(AttemptOutcome::Unknown)),
            Err(silence) => return Err(SendError::new(AttemptOutcome::Unknown, silence.reason())),
        }
    }
}

fn failed_send(router: &Router, upstream: &Upstream, failure: SendFailure) -> SendError {
    let outcome = if failure.unsent {
        AttemptOutcome::NotSent
    } else {
        AttemptOutcome::Unknown
    };
    if upstream_seems_gone(&failure.reason) {
        probe::declare_dead(router, upstream, &failure.reason, Instant::now());
    }
    SendError::new(outcome, failure.reason)
}

/// Whether a broken connection hints that the upstream itself is gone.
fn upstream_seems_gone(reason: &str) -> bool {
    reason.contains("reset") || reason.contains("refused")
}

async fn connect(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
) -> Result<Connection, SendError> {
    let now = Instant::now();
    let kept = router.pool.borrow_mut().take(&upstream.name, now);
    if let Some(connection) = kept {
        return Ok(connection);
    }
    router.metrics.connections.inc();
    let time_limit = CONNECT_TIMEOUT.min(request.time_left(now));
    let opened = Connection::open(upstream.address, time_limit, DEFAULT_IDLE_LIMIT).await;
    opened.map_err(|e| {
        let reason = format!("can't connect: {e}");
        probe::declare_dead(router, upstream, &reason, Instant::now());
        SendError::new(AttemptOutcome::NotSent, reason)
    })
}

fn message(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    extras: &SendExtras,
    now: Instant,
) -> Result<WholeRequest, SendError> {
    let names = &router.wire_names.headers;
    let mut headers = request.headers.clone();
    let mut set = |name: &hyper::header::HeaderName, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name.clone(), value);
        }
    };
    let left = request.time_left(now).as_millis().to_string();
    set(&names.deadline_ms, &left);
    set(&names.expected_upstream, upstream.name.as_str());
    if request.service.engine.is_some() {
        set(&names.priority, &extras.priority.to_string());
    }
    if let Some(replica) = &extras.replica {
        set(&names.replica_at, &replica.address.to_string());
    }
    if let Some(copy) = &extras.resume_from {
        set(&names.resume_from, copy);
    }
    if let Some(last) = extras.last_event {
        set(&names.last_event, &last.to_string());
    }
    let message = Request::builder()
        .method(request.method.clone())
        .uri(request.target.as_str());
    let message = message.body(Full::new(request.body.clone()));
    let mut message =
        message.map_err(|e| SendError::new(AttemptOutcome::NotSent, e.to_string()))?;
    *message.headers_mut() = headers;
    Ok(message)
}

/// Tells the upstream's own answer to this request from anything else.
fn judge(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    response: Response<Incoming>,
    mut connection: Connection,
    health: Rc<UpstreamHealth>,
) -> Result<Opened, SendError> {
    let names = &router.wire_names.headers;
    let (head, body) = response.into_parts();
    let id = text_of(&head.headers, &names.request_id);
    let is_first = connection.requests == 1;
    if id.is_some_and(|id| id != request.id) || (id.is_none() && !is_first) {
        return Err(SendError::new(
            AttemptOutcome::Unknown,
            "an answer to another request",
        ));
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        on_misdirected(router, upstream, &head);
        return Err(SendError::new(
            AttemptOutcome::Misdirected,
            "another server answers there",
        ));
    }
    if head.headers.contains_key(&names.not_run) {
        return Err(SendError::new(
            AttemptOutcome::Refused,
            format!("refused with {}", head.status.as_u16()),
        ));
    }
    if head.status.is_success() {
        if !head.headers.contains_key(&names.signature) {
            return Err(SendError::new(
                AttemptOutcome::Unknown,
                "an unsigned success",
            ));
        }
        if head.headers.contains_key(CONTENT_ENCODING) {
            return Err(SendError::new(AttemptOutcome::Unknown, "an encoded answer"));
        }
    }
    if let Some(limit) = idle_limit(&head.headers) {
        connection.idle_limit = limit;
    }
    Ok(Opened {
        head,
        body,
        connection,
        health,
    })
}

fn on_misdirected(router: &Router, upstream: &Upstream, head: &Parts) {
    let names = &router.wire_names.headers;
    let answering = text_of(&head.headers, &names.answering_upstream);
    if answering.is_some_and(|name| name != upstream.name.as_str()) {
        router.upstreams.borrow_mut().on_replaced(&upstream.name);
        router.pool.borrow_mut().close_all(&upstream.name);
    }
}

/// Keeps a connection whose answer was read to its end.
pub(crate) fn keep(router: &Rc<Router>, upstream: &UpstreamName, mut connection: Connection) {
    let (router, upstream) = (Rc::clone(router), upstream.clone());
    tokio::task::spawn_local(async move {
        if connection.settle().await {
            router
                .pool
                .borrow_mut()
                .put(&upstream, connection, Instant::now());
        }
    });
}
