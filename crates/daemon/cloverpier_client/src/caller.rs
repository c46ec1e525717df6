//! The caller's side.
//!
//! Owns the addresses that callers may use and the retries over them: an answer that breaks off
//! is continued at the next address with its last event id, and each token is handed out once. The
//! clock is the machine's unless [`Caller::with_clock`] passes another one in.

use crate::events::Events;
use crate::progress::{Progress, Step};
use cloverpier_core::{Clock, SystemClock};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a connection to a router may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a router may take to begin its answer: longer than a service's wait for a place
/// (`queue_ms`, 2 s by default).
const HEADERS_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause before another address is tried; doubled until something arrives again.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Upper bound of that pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// A stream that says nothing for this long is given up and opened elsewhere; routers move a silent
/// engine's answers well before.
const SILENCE: Duration = Duration::from_secs(8);

/// How long a caller goes on trying if it does not say: a minute.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// One address that callers may use.
#[derive(Clone, Debug, Deserialize)]
pub struct Address {
    /// The VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where to connect.
    pub address: SocketAddr,
}

/// Which addresses to use, and for how long.
#[derive(Clone, Debug, Deserialize)]
pub struct Addresses {
    /// Seconds to keep the answer.
    pub ttl_s: u64,
    /// How many of the first addresses to spread requests over.
    pub spread: usize,
    /// The addresses.
    pub addresses: Vec<Address>,
}

/// What to generate.
#[derive(Clone, Debug)]
pub struct Generate {
    /// The service.
    pub service: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens.
    pub max_tokens: u32,
    /// The priority.
    pub priority: u8,
    /// The idempotency key; one is made up by the router when empty.
    pub key: String,
    /// How long to go on trying.
    pub patience: Duration,
}

impl Generate {
    /// An ask with priority 0 and a minute of patience.
    pub fn new(service: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            service: service.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            priority: 0,
            key: String::new(),
            patience: DEFAULT_PATIENCE,
        }
    }
}

/// A token as it arrived.
#[derive(Clone, Debug)]
pub struct Got {
    /// Its text.
    pub text: Arc<str>,
    /// When it arrived.
    pub at: Instant,
    /// The router that sent it.
    pub from: SocketAddr,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Tokens in order.
    pub tokens: Vec<Got>,
    /// Whether count and digest are those that the router reported.
    pub proved: bool,
    /// Tokens that arrived again after they had arrived already.
    pub repeated: u64,
    /// Connections that it took.
    pub connections: u32,
}

impl Answer {
    /// The text.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|t| &*t.text).collect()
    }
}

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// A router refused the request.
    #[snafu(display("refused with status {status}: {body}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// Whether it was run, as the router says.
        run: String,
        /// The body.
        body: String,
    },
    /// No router could be reached in time.
    #[snafu(display("no router could be reached in time"))]
    NoRouter,
}

/// A reply of a plain service.
#[derive(Clone, Debug)]
pub struct PlainReply {
    /// The HTTP status.
    pub status: u16,
    /// Whether it was run, as the router says; empty when it answered.
    pub run: String,
    /// The body.
    pub body: String,
}

/// A caller of the routers.
#[derive(Debug)]
pub struct Caller {
    http: Client,
    key: String,
    clock: Arc<dyn Clock>,
    known: Mutex<Known>,
}

#[derive(Debug)]
struct Known {
    addresses: Vec<SocketAddr>,
    spread: usize,
    next: usize,
}

/// What one connection came to.
enum Connection {
    Done,
    Broken,
    Refused(CallError),
}

impl Caller {
    /// A caller that knows one address to ask.
    pub fn new(ask: SocketAddr, key: &str) -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build();
        Self {
            http: http.expect("a client without TLS can always be built"),
            key: key.to_owned(),
            clock: Arc::new(SystemClock),
            known: Mutex::new(Known {
                addresses: vec![ask],
                spread: 1,
                next: 0,
            }),
        }
    }

    /// The same caller by another clock.
    #[must_use]
    pub fn with_clock(self, clock: Arc<dyn Clock>) -> Self {
        Self { clock, ..self }
    }

    /// Asks which addresses to use and keeps them.
    ///
    /// # Errors
    ///
    /// [`CallError::NoRouter`] when no known address answers.
    pub async fn addresses(&self) -> Result<Addresses, CallError> {
        for address in self.all_known() {
            let url = format!("http://{address}/v1/addresses");
            let req = self.http.get(url).bearer_auth(&self.key);
            let res = req.timeout(CONNECT_TIMEOUT * 2).send().await;
            let Ok(res) = res else {
                continue;
            };
            if let Ok(found) = res.json::<Addresses>().await
                && !found.addresses.is_empty()
            {
                let mut known = cloverpier_core::lock(&self.known);
                known.addresses = found.addresses.iter().map(|a| a.address).collect();
                known.spread = found.spread.clamp(1, known.addresses.len());
                drop(known);
                return Ok(found);
            }
        }
        NoRouterSnafu.fail()
    }

    fn all_known(&self) -> Vec<SocketAddr> {
        cloverpier_core::lock(&self.known).addresses.clone()
    }

    /// Where a request goes first: its turn among the first addresses.
    fn first_turn(&self) -> usize {
        let mut known = cloverpier_core::lock(&self.known);
        known.next += 1;
        known.next % known.spread
    }

    /// Where it goes after this many connections that did not end it.
    fn pick(&self, first: usize, connections: u32) -> SocketAddr {
        let known = cloverpier_core::lock(&self.known);
        // Only a place in the rotation.
        let turn = first + usize::try_from(connections).unwrap_or(0);
        known.addresses[turn % known.addresses.len()]
    }

    /// Streams an answer to its end, over as many connections as it takes.
    ///
    /// # Errors
    ///
    /// [`CallError`] when it is refused for good or the patience is over.
    pub async fn generate(
        &self,
        ask: &Generate,
        mut on_token: impl FnMut(&Got),
    ) -> Result<Answer, CallError> {
        let until = self.clock.now() + ask.patience;
        let mut progress = Progress::new(ask);
        let mut pause = FIRST_PAUSE;
        let first = self.first_turn();
        loop {
            let router = self.pick(first, progress.connections);
            progress.connections += 1;
            let before = progress.tokens.len();
            let outcome = self.connect(ask, router, &mut progress, &mut on_token);
            let outcome = outcome.await;
            if progress.tokens.len() > before {
                pause = FIRST_PAUSE;
            }
            match outcome {
                Connection::Done => return Ok(progress.answer()),
                Connection::Refused(error) => {
                    if self.clock.now() >= until || !may_come_back(&error) {
                        return Err(error);
                    }
                }
                Connection::Broken => {}
            }
            if self.clock.now() >= until {
                return NoRouterSnafu.fail();
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// One connection to one router: sends the request, then reads events until it ends.
    async fn connect(
        &self,
        ask: &Generate,
        router: SocketAddr,
        progress: &mut Progress,
        on_token: &mut impl FnMut(&Got),
    ) -> Connection {
        let req = self.completion_request(ask, router, progress);
        let sent = tokio::time::timeout(HEADERS_TIMEOUT, req.send()).await;
        let Ok(Ok(res)) = sent else {
            return Connection::Broken;
        };
        if res.status() != StatusCode::OK {
            return Connection::Refused(refusal(res).await);
        }
        if let Some(key) = res.headers().get("Idempotency-Key") {
            // Routers write keys as text only.
            progress.key = key.to_str().unwrap_or_default().to_owned();
        }
        read_events(Events::new(res), router, progress, &*self.clock, on_token).await
    }

    /// The request for an answer, or for the rest of it after the last event that arrived.
    fn completion_request(
        &self,
        ask: &Generate,
        router: SocketAddr,
        progress: &Progress,
    ) -> RequestBuilder {
        let body = json!({
            "model": ask.service, "prompt": ask.prompt, "max_tokens": ask.max_tokens,
            "priority": ask.priority, "stream": true,
        });
        let url = format!("http://{router}/v1/completions");
        let mut req = self.http.post(url).bearer_auth(&self.key).json(&body);
        if !progress.key.is_empty() {
            req = req.header("Idempotency-Key", &progress.key);
        }
        if let Some(last) = &progress.last {
            req = req.header("Last-Event-ID", last);
        }
        req
    }

    /// Calls a plain service once, at one router.
    ///
    /// # Errors
    ///
    /// [`CallError::NoRouter`] when the router gave no reply.
    pub async fn call(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<PlainReply, CallError> {
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
        let run = run_of(&res);
        match res.text().await {
            Ok(body) => Ok(PlainReply { status, run, body }),
            // A reply that broke off is no reply.
            Err(_) => NoRouterSnafu.fail(),
        }
    }
}

/// Reads events until the answer ends, the stream breaks or it is silent for [`SILENCE`].
async fn read_events(
    mut events: Events,
    router: SocketAddr,
    progress: &mut Progress,
    clock: &dyn Clock,
    on_token: &mut impl FnMut(&Got),
) -> Connection {
    loop {
        let event = tokio::time::timeout(SILENCE, events.next()).await;
        let Ok(Some(event)) = event else {
            return Connection::Broken;
        };
        match progress.take(&event, router, clock.now()) {
            Step::Token => {
                if let Some(token) = progress.tokens.last() {
                    on_token(token);
                }
            }
            Step::Nothing => {}
            Step::Done => return Connection::Done,
            Step::Failed(error) => {
                return error.map_or(Connection::Broken, Connection::Refused);
            }
        }
    }
}

fn run_of(res: &Response) -> String {
    let run = res.headers().get("cloverpier-run");
    // Not every reply says whether the request ran; none is an empty text.
    run.and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

async fn refusal(res: Response) -> CallError {
    let status = res.status().as_u16();
    let run = run_of(&res);
    // The status alone says that it was refused; a body that broke off is left out.
    let body = res.text().await.unwrap_or_default();
    CallError::Refused { status, run, body }
}

fn may_come_back(error: &CallError) -> bool {
    match error {
        CallError::Refused { status, .. } => *status == 503 || *status == 429,
        CallError::NoRouter => true,
    }
}
