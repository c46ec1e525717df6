//! From a caller's bytes to a request that can be relayed, or to its rejection.

use crate::decision_log::RequestRejected;
use crate::reply::{Reply, own_reply, refusal, strip_hop_by_hop};
use crate::router::Router;
use crate::wire_names::PromptSize;
use bytes::Bytes;
use cloverpier_core::hash_of;
use cloverpier_router_policy::prelude::*;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When to come back to a router that has no configuration yet.
const STARTING_PAUSE: Duration = Duration::from_millis(300);
/// Lowest rank that upstreams know.
const LOWEST_PRIORITY: u8 = 9;

/// A caller's request, whole.
#[derive(Debug)]
pub(crate) struct RelayRequest {
    /// Its id.
    pub id: String,
    /// Its method.
    pub method: Method,
    /// Path and query, as received.
    pub target: String,
    /// The headers that travel along, the router's own ones included.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The route that took it.
    pub route: Arc<Route>,
    /// The service picked for it.
    pub service: Arc<ServiceConfig>,
    /// The configuration that it was routed by.
    pub configuration_version: u64,
    /// When its head was read.
    pub arrived: Instant,
    /// When it has to be answered at the latest.
    pub deadline: Instant,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Its tokens.
    pub size: PromptSize,
    /// A hash of the part of its prompt that is its own.
    pub prompt: Option<PromptKey>,
    /// Its rank, 0 the highest.
    pub priority: u8,
}

impl RelayRequest {
    /// What is left of its time.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Why a request is turned down.
struct Rejection {
    status: StatusCode,
    reason: &'static str,
}

impl Rejection {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason }
    }

    fn starting() -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is known yet",
        )
    }

    fn into_reply(self) -> Reply {
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            refusal(self.reason, STARTING_PAUSE)
        } else {
            own_reply(self.status, self.reason)
        }
    }
}

/// Reads a request, or answers it at once.
pub(crate) async fn take_request(
    router: &Rc<Router>,
    request: Request<Incoming>,
    now: Instant,
) -> Result<RelayRequest, Reply> {
    let (head, body) = request.into_parts();
    let id = text_of(&head.headers, &router.wire_names.headers.request_id);
    let id = id.unwrap_or_default().to_owned();
    let path = head.uri.path().to_owned();
    match read_request(router, head, body, &id, now).await {
        Ok(request) => Ok(request),
        Err(rejection) => {
            log_rejection(router, &id, &path, &rejection);
            Err(rejection.into_reply())
        }
    }
}

fn log_rejection(router: &Router, id: &str, path: &str, rejection: &Rejection) {
    router.metrics.requests.count("rejected");
    router.log.info(
        "request.rejected",
        &RequestRejected {
            request: id,
            path,
            status: rejection.status.as_u16(),
            reason: rejection.reason,
            configuration_version: router.configuration().map(|c| c.version()),
        },
    );
}

async fn read_request(
    router: &Router,
    head: Parts,
    body: Incoming,
    id: &str,
    now: Instant,
) -> Result<RelayRequest, Rejection> {
    let configuration = router.configuration().filter(|_| router.is_serving());
    let configuration = configuration.ok_or_else(Rejection::starting)?;
    let route = find_route(&configuration, &head)?;
    let account = find_account(router, &configuration, &route, &head)?;
    let body = read_body(body, configuration.limits().body_bytes).await?;
    // The configuration may have changed while the body came.
    let configuration = router.configuration().ok_or_else(Rejection::starting)?;
    let route = find_route(&configuration, &head).unwrap_or(route);
    let service = pick_service(router, &configuration, &route)?;
    let names = &router.wire_names.headers;
    let account_priority = account.as_ref().and_then(|t| t.priority);
    let priority = account_priority.unwrap_or(route.priority);
    Ok(RelayRequest {
        id: id.to_owned(),
        method: head.method.clone(),
        target: target_of(&head),
        body,
        deadline: now + allowed_time(router, &head.headers, &route),
        last_event: text_of(&head.headers, &names.last_event).and_then(|t| t.trim().parse().ok()),
        size: prompt_size(router, &head.headers),
        prompt: text_of(&head.headers, &names.prompt_parts)
            .and_then(router.wire_names.own_part)
            .map(hash_of)
            .map(PromptKey),
        headers: forwarded_headers(router, head.headers, account.as_deref()),
        priority: priority.min(LOWEST_PRIORITY),
        service,
        route,
        configuration_version: configuration.version(),
        arrived: now,
    })
}

fn find_route(configuration: &ConfigurationIndex, head: &Parts) -> Result<Arc<Route>, Rejection> {
    let host = head.uri.host().or_else(|| {
        let host = head.headers.get(HOST)?.to_str().ok()?;
        Some(host.split(':').next().unwrap_or(host))
    });
    let host = host.unwrap_or_default().to_ascii_lowercase();
    let route = configuration.route(&host, head.uri.path());
    let missing = Rejection::new(StatusCode::NOT_FOUND, "no route matches host and path");
    route.cloned().ok_or(missing)
}

fn find_account(
    router: &Router,
    configuration: &ConfigurationIndex,
    route: &Route,
    head: &Parts,
) -> Result<Option<Arc<ClientAccount>>, Rejection> {
    if !configuration.needs_keys() {
        return Ok(None);
    }
    let key = text_of(&head.headers, &router.wire_names.headers.key);
    let account = key
        .and_then(|key| configuration.account_of_key(key))
        .cloned();
    if account.is_none() && !route.public {
        return Err(Rejection::new(
            StatusCode::UNAUTHORIZED,
            "the key is unknown",
        ));
    }
    Ok(account)
}

fn pick_service(
    router: &Router,
    configuration: &ConfigurationIndex,
    route: &Route,
) -> Result<Arc<ServiceConfig>, Rejection> {
    let name = route.pick_target(&mut router.rng.borrow_mut()).cloned();
    let service = name.and_then(|name| configuration.service(&name).cloned());
    let missing = Rejection::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "the route's service is unknown",
    );
    service.ok_or(missing)
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Rejection> {
    let too_long = || Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    if body.size_hint().lower() > most as u64 {
        return Err(too_long());
    }
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_long()),
        Err(_) => Err(Rejection::new(
            StatusCode::BAD_REQUEST,
            "the body broke off",
        )),
    }
}

fn target_of(head: &Parts) -> String {
    let target = head.uri.path_and_query();
    target.map_or_else(|| head.uri.path().to_owned(), ToString::to_string)
}

fn allowed_time(router: &Router, headers: &HeaderMap, route: &Route) -> Duration {
    let deadline = text_of(headers, &router.wire_names.headers.deadline_ms);
    let ms = deadline.and_then(|t| t.trim().parse::<f64>().ok());
    let own = ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    let own = own.map(|ms| Duration::from_secs_f64(ms / 1e3));
    own.map_or(route.timeout, |own| own.min(route.timeout))
}

fn prompt_size(router: &Router, headers: &HeaderMap) -> PromptSize {
    let text = text_of(headers, &router.wire_names.headers.prompt_size);
    let size = text.and_then(router.wire_names.prompt_size);
    size.unwrap_or_default()
}

/// The headers that travel to upstreams: all but those of one connection, the
/// key, and those that only the router may set.
fn forwarded_headers(
    router: &Router,
    mut headers: HeaderMap,
    account: Option<&ClientAccount>,
) -> HeaderMap {
    let names = &router.wire_names.headers;
    strip_hop_by_hop(&mut headers);
    let own = [
        &names.key,
        &names.account,
        &names.expected_upstream,
        &names.deadline_ms,
        &names.priority,
        &names.replica_at,
        &names.resume_from,
    ];
    for name in own {
        headers.remove(name);
    }
    headers.remove(EXPECT);
    headers.remove(hyper::header::CONTENT_LENGTH);
    if let Some(value) = account.and_then(|t| HeaderValue::from_str(&t.name).ok()) {
        headers.insert(names.account.clone(), value);
    }
    headers
}

/// The text of a header.
pub(crate) fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
