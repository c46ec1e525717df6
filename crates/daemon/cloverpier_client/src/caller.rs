//! A caller's client of the routers.
//!
//! [`Caller`] owns the addresses of the routers and retries requests over them: when the stream of a
//! generated response breaks off, the caller sends the id of the last event to the next address, and
//! the router there continues after that event, so that each token arrives once. It uses the system
//! clock unless [`Caller::with_clock`] replaces it.

use crate::events::Events;
use crate::progress::{EventOutcome, Progress};
use cloverpier_core::{Clock, SystemClock};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the headers of a router's response to a generation, and of a whole call of a plain
/// service. Longer than a request may wait in the router's queue (`queue_ms` of the service, 2 s by
/// default).
const HEADERS_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay before the first retry. It is doubled for each further retry, until a connection delivers a
/// token.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Upper bound of the delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// A stream without an event for this time is abandoned, and the rest of the response requested at
/// another router. Routers move a generation from a silent engine to another one much earlier.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// The default of [`GenerateRequest::timeout`].
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// The address of one router for callers.
#[derive(Clone, Debug, Deserialize)]
pub struct RouterAddress {
    /// Name of the router's VM.
    pub vm: String,
    /// Name of the VM's data centre.
    pub data_centre: String,
    /// Address at which the router accepts callers.
    pub address: SocketAddr,
}

/// A router's response with the addresses that callers should use.
#[derive(Clone, Debug, Deserialize)]
pub struct RouterAddresses {
    /// Time for which the addresses may be cached, in seconds.
    pub ttl_s: u64,
    /// How many of the first addresses to distribute requests over.
    pub spread: usize,
    /// The addresses, in the order in which to use them.
    pub addresses: Vec<RouterAddress>,
}

/// A request to generate a response to a prompt.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// Name of the model service.
    pub service: String,
    /// The text to generate a response to.
    pub prompt: String,
    /// Upper bound of the response's tokens.
    pub max_tokens: u32,
    /// 0 to 9; a router's queue serves higher priorities first.
    pub priority: u8,
    /// The idempotency key; if empty, the router assigns one.
    pub key: String,
    /// Time after which no further connection is opened; zero allows only the first one. A connection
    /// that is open by then is still read to its end.
    pub timeout: Duration,
}

impl GenerateRequest {
    /// A request of priority 0, with a key that the router assigns and a timeout of 60 s.
    pub fn new(service: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            service: service.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            priority: 0,
            key: String::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

/// A token of a generated response, with the time and source of its arrival.
#[derive(Clone, Debug)]
pub struct ReceivedToken {
    /// Text of the token.
    pub text: Arc<str>,
    /// Time of arrival.
    pub at: Instant,
    /// Address of the router that sent the token.
    pub from: SocketAddr,
}

/// A complete generated response, which may have arrived over several connections.
#[derive(Clone, Debug)]
pub struct GeneratedResponse {
    /// All tokens in the order of their arrival.
    pub tokens: Vec<ReceivedToken>,
    /// Whether the number and the digest of the tokens are those that the router reported at the end.
    pub is_verified: bool,
    /// Number of tokens that arrived more than once; `tokens` contains each of their arrivals.
    pub repeated: u64,
    /// Number of connections that were attempted.
    pub connections: u32,
}

impl GeneratedResponse {
    /// The texts of all tokens, joined.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|t| &*t.text).collect()
    }
}

/// The reason why a call has no complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// A router refused the request, or ended the stream with an error that excludes a retry.
    #[snafu(display("refused with status {status}: {body}"))]
    Refused {
        /// The HTTP status; 200 if the error arrived within the stream.
        status: u16,
        /// Whether the request was executed, as the router reports it: `not-run`, `unknown` or `done`;
        /// empty if the response doesn't contain it.
        run: String,
        /// The response body, or the data of the error event.
        body: String,
    },
    /// No complete response arrived from any router before the timeout. A router may have executed
    /// the request.
    #[snafu(display("no router could be reached in time"))]
    NoRouter,
}

/// The response to a call of a plain service, sent by the service or by the router itself.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// The HTTP status.
    pub status: u16,
    /// Whether the call was executed, as the router reports it: `not-run`, `unknown` or `done`; empty
    /// if the response is the service's.
    pub run: String,
    /// The whole body, as text.
    pub body: String,
}

/// A client that calls the routers on behalf of one client account.
#[derive(Debug)]
pub struct Caller {
    http: Client,
    key: String,
    clock: Arc<dyn Clock>,
    state: Mutex<AddressState>,
}

#[derive(Debug)]
struct AddressState {
    addresses: Vec<SocketAddr>,
    spread: usize,
    next: usize,
}

/// The outcome of one connection for a generated response.
enum ConnectionOutcome {
    /// The generated response is complete.
    Done,
    /// The rest of the generated response has to be requested over another connection.
    Broken,
    Refused(CallError),
}

impl Caller {
    /// Creates a caller with the address of one router; `key` is the key of its client account.
    pub fn new(first_address: SocketAddr, key: &str) -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build();
        Self {
            http: http.expect("a client without TLS can always be built"),
            key: key.to_owned(),
            clock: Arc::new(SystemClock),
            state: Mutex::new(AddressState {
                addresses: vec![first_address],
                spread: 1,
                next: 0,
            }),
        }
    }

    /// Replaces the clock, which bounds [`GenerateRequest::timeout`] and stamps received tokens.
    #[must_use]
    pub fn with_clock(self, clock: Arc<dyn Clock>) -> Self {
        Self { clock, ..self }
    }

    /// Fetches the addresses of the routers from one of the current addresses, and uses them for later
    /// requests.
    ///
    /// # Errors
    ///
    /// [`CallError::NoRouter`] if none of the current addresses gives a valid response; the current
    /// addresses are kept.
    pub async fn addresses(&self) -> Result<RouterAddresses, CallError> {
        for address in self.current_addresses() {
            let url = format!("http://{address}/v1/addresses");
            let req = self.http.get(url).bearer_auth(&self.key);
            let res = req.timeout(CONNECT_TIMEOUT * 2).send().await;
            let Ok(res) = res else {
                continue;
            };
            if let Ok(found) = res.json::<RouterAddresses>().await
                && !found.addresses.is_empty()
            {
                let mut state = cloverpier_core::lock(&self.state);
                state.addresses = found.addresses.iter().map(|a| a.address).collect();
                state.spread = found.spread.clamp(1, state.addresses.len());
                drop(state);
                return Ok(found);
            }
        }
        NoRouterSnafu.fail()
    }

    fn current_addresses(&self) -> Vec<SocketAddr> {
        cloverpier_core::lock(&self.state).addresses.clone()
    }

    /// The index of the address for a new request: round-robin over the first `spread` addresses.
    fn next_start_index(&self) -> usize {
        let mut state = cloverpier_core::lock(&self.state);
        state.next += 1;
        state.next % state.spread
    }

    /// The address for a request after this many failed connections; each one moves to the next
    /// address.
    fn address_for_attempt(&self, first: usize, connections: u32) -> SocketAddr {
        let state = cloverpier_core::lock(&self.state);
        // A count that doesn't fit only starts the rotation again.
        let turn = first + usize::try_from(connections).unwrap_or(0);
        state.addresses[turn % state.addresses.len()]
    }

    /// Streams a generated response to its end, over as many connections as necessary, and calls
    /// `on_token` for each token as it arrives.
    ///
    /// # Errors
    ///
    /// [`CallError::Refused`] if a router refuses the request with a status other than 429 and 503, or
    /// still refuses it after the request's timeout; [`CallError::NoRouter`] if the timeout passes
    /// otherwise.
    pub async fn generate(
        &self,
        request: &GenerateRequest,
        mut on_token: impl FnMut(&ReceivedToken),
    ) -> Result<GeneratedResponse, CallError> {
        let until = self.clock.now() + request.timeout;
        let mut progress = Progress::new(request);
        let mut pause = INITIAL_RETRY_DELAY;
        let first = self.next_start_index();
        loop {
            let router = self.address_for_attempt(first, progress.connections);
            progress.connections += 1;
            let before = progress.tokens.len();
            let outcome = self.connect(request, router, &mut progress, &mut on_token);
            let outcome = outcome.await;
            if progress.tokens.len() > before {
                pause = INITIAL_RETRY_DELAY;
            }
            match outcome {
                ConnectionOutcome::Done => return Ok(progress.into_response()),
                ConnectionOutcome::Refused(error) => {
                    if self.clock.now() >= until || !is_retryable(&error) {
                        return Err(error);
                    }
                }
                ConnectionOutcome::Broken => {}
            }
            if self.clock.now() >= until {
                return NoRouterSnafu.fail();
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Sends the request to one router and reads the events of the response until the stream ends.
    async fn connect(
        &self,
        request: &GenerateRequest,
        router: SocketAddr,
        progress: &mut Progress,
        on_token: &mut impl FnMut(&ReceivedToken),
    ) -> ConnectionOutcome {
        let req = self.completion_request(request, router, progress);
        let sent = tokio::time::timeout(HEADERS_TIMEOUT, req.send()).await;
        let Ok(Ok(res)) = sent else {
            return ConnectionOutcome::Broken;
        };
        if res.status() != StatusCode::OK {
            return ConnectionOutcome::Refused(read_refusal(res).await);
        }
        if let Some(key) = res.headers().get("Idempotency-Key") {
            // Routers send only keys of ASCII text.
            progress.key = key.to_str().unwrap_or_default().to_owned();
        }
        read_events(Events::new(res), router, progress, &*self.clock, on_token).await
    }

    /// Builds the HTTP request for a generated response, or for the rest of it after the last event
    /// that arrived.
    fn completion_request(
        &self,
        request: &GenerateRequest,
        router: SocketAddr,
        progress: &Progress,
    ) -> RequestBuilder {
        let body = json!({
            "model": request.service, "prompt": request.prompt, "max_tokens": request.max_tokens,
            "priority": request.priority, "stream": true,
        });
        let url = format!("http://{router}/v1/completions");
        let mut req = self.http.post(url).bearer_auth(&self.key).json(&body);
        if !progress.key.is_empty() {
            req = req.header("Idempotency-Key", &progress.key);
        }
        if let Some(last_event_id) = &progress.last_event_id {
            req = req.header("Last-Event-ID", last_event_id);
        }
        req
    }

    /// Calls a plain service through one router, without retries.
    ///
    /// `path` is the name of the service and the path within it, such as `status/runs/17`; `key` is
    /// the idempotency key.
    ///
    /// # Errors
    ///
    /// [`CallError::NoRouter`] if no complete response arrives within 15 s; the service may have
    /// executed the call.
    pub async fn call(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<PlainResponse, CallError> {
        let url = format!("http://{router}/services/{path}");
        let mut req = self.http.request(method, url).bearer_auth(&self.key);
        if let Some(key) = key {
            req = req.header("Idempotency-Key", key);
        }
        let sent = req.body(body.to_owned()).timeout(HEADERS_TIMEOUT).send();
        let Ok(res) = sent.await else {
            return NoRouterSnafu.fail();
        };
        let status = res.status().as_u16();
        let run = read_run_header(&res);
        match res.text().await {
            Ok(body) => Ok(PlainResponse { status, run, body }),
            // An incomplete response counts as none.
            Err(_) => NoRouterSnafu.fail(),
        }
    }
}

/// Reads events until the generated response ends, the stream breaks, or no event arrives for
/// [`STREAM_IDLE_TIMEOUT`].
async fn read_events(
    mut events: Events,
    router: SocketAddr,
    progress: &mut Progress,
    clock: &dyn Clock,
    on_token: &mut impl FnMut(&ReceivedToken),
) -> ConnectionOutcome {
    loop {
        let event = tokio::time::timeout(STREAM_IDLE_TIMEOUT, events.next()).await;
        let Ok(Some(event)) = event else {
            return ConnectionOutcome::Broken;
        };
        match progress.on_event(&event, router, clock.now()) {
            EventOutcome::Token => {
                if let Some(token) = progress.tokens.last() {
                    on_token(token);
                }
            }
            EventOutcome::Ignored => {}
            EventOutcome::Done => return ConnectionOutcome::Done,
            EventOutcome::Failed(error) => {
                return error.map_or(ConnectionOutcome::Broken, ConnectionOutcome::Refused);
            }
        }
    }
}

fn read_run_header(res: &Response) -> String {
    let run = res.headers().get("cloverpier-run");
    // Not every response has the header; its absence is reported as an empty text.
    run.and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

async fn read_refusal(res: Response) -> CallError {
    let status = res.status().as_u16();
    let run = read_run_header(&res);
    // The status alone shows the refusal; an incomplete body is left out.
    let body = res.text().await.unwrap_or_default();
    CallError::Refused { status, run, body }
}

fn is_retryable(error: &CallError) -> bool {
    match error {
        CallError::Refused { status, .. } => *status == 503 || *status == 429,
        CallError::NoRouter => true,
    }
}
