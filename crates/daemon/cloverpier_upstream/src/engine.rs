//! HTTP client of model engines.
//!
//! An error of a call distinguishes whether the engine may have run the generation. Owns the
//! connections to engines, which are reused.

use crate::head::{HeadError, check_head};
use crate::statement::UpstreamStatement;
use crate::wire::{EngineEvent, GenerateBody, GenerationBody, LoadBody};
use bytes::{Bytes, BytesMut};
use cloverpier_body::{BodyError, read_body};
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a whole load query or cancellation, from the request to the end of the response.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Upper bound of the buffered bytes of an engine's stream that contain no whole line; a longer line
/// fails the stream.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Maximum length of an engine's load report in bytes.
const MAX_LOAD_BYTES: usize = 64 << 10;

/// The reason why an engine's load is not known.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The engine did not answer in time, or not with a success.
    #[snafu(display("{source}"))]
    NoAnswer {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The answer did not end.
    #[snafu(display("{source}"))]
    Body {
        /// Why not.
        source: BodyError,
    },
    /// The answer is no load report.
    #[snafu(display("unreadable load report: {source}"))]
    Unreadable {
        /// The error of the JSON library.
        source: serde_json::Error,
    },
}

/// The reason why a generation was not started or resumed.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// No connection to the engine was established: the generation did not run.
    #[snafu(display("no connection to the engine: {source}"))]
    NotReached {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The engine refused the request with a status other than 200: the generation did not run.
    #[snafu(display("the engine refused the request with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The announcements in the response's headers.
        statement: UpstreamStatement,
    },
    /// The response has a head that no response may have: the generation may have run.
    #[snafu(display("no valid response from the engine: {source}"))]
    InvalidHead {
        /// What is wrong.
        source: HeadError,
    },
    /// The request failed after the engine may have received it: the generation may have run.
    #[snafu(display("the request to the engine failed: {source}"))]
    OutcomeUnknown {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
}

impl StartError {
    /// Whether it is certain that this call did not start the generation.
    pub fn not_run(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown { .. } | Self::InvalidHead { .. })
    }

    /// Whether no process listens at the engine's address. A host that does not respond proves nothing.
    pub fn is_connection_refused(&self) -> bool {
        let Self::NotReached { source } = self else {
            return false;
        };
        let mut cause = std::error::Error::source(source);
        while let Some(error) = cause {
            if let Some(error) = error.downcast_ref::<io::Error>() {
                return error.kind() == io::ErrorKind::ConnectionRefused;
            }
            cause = error.source();
        }
        false
    }

    /// The announcements in the engine's response; `None` if no response arrived.
    pub fn statement(&self) -> Option<&UpstreamStatement> {
        match self {
            Self::Refused { statement, .. } => Some(statement),
            Self::NotReached { .. } | Self::InvalidHead { .. } | Self::OutcomeUnknown { .. } => {
                None
            }
        }
    }
}

/// The reason why a stream of events failed before the end of its response.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection broke before the response was complete.
    #[snafu(display("the connection to the engine broke: {source}"))]
    ConnectionBroken {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// A line is not the JSON of an [`EngineEvent`].
    #[snafu(display("a line of the engine's stream is not a valid event: {source}"))]
    InvalidLine {
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A line exceeds the bound on buffered bytes, which is far above the length of any token.
    #[snafu(display("a line of the engine's stream is longer than {MAX_LINE_BYTES} bytes"))]
    LineTooLong,
}

/// A pool of connections to engines; clones share the pool.
#[derive(Clone, Debug)]
pub struct EnginePool {
    http: Client,
}

impl EnginePool {
    /// Creates a pool without open connections.
    pub fn new() -> Self {
        // The builder fails only if TLS can't be set up, and this client uses no TLS.
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build();
        Self {
            http: http.expect("a client without TLS can always be built"),
        }
    }

    /// A client of the engine at an address; connects on the first call.
    pub fn engine(&self, address: SocketAddr) -> Engine {
        Engine {
            http: self.http.clone(),
            base: format!("http://{address}"),
        }
    }
}

impl Default for EnginePool {
    fn default() -> Self {
        Self::new()
    }
}

/// A client of one engine, which shares the connections of its [`EnginePool`].
#[derive(Clone, Debug)]
pub struct Engine {
    http: Client,
    base: String,
}

impl Engine {
    /// Starts a generation and returns its events.
    ///
    /// Has no timeout: the caller bounds the wait for the response.
    ///
    /// # Errors
    ///
    /// [`StartError::not_run`] is whether it is certain that the generation did not run.
    pub async fn generate(&self, body: &GenerateBody) -> Result<EventStream, StartError> {
        self.start("generate", body).await
    }

    /// Resumes the stream of a generation that the engine still holds, from the body's offset on.
    ///
    /// # Errors
    ///
    /// [`StartError::Refused`] if the engine doesn't hold the generation, or not the tokens from that
    /// offset on.
    pub async fn resume(&self, body: &GenerationBody) -> Result<EventStream, StartError> {
        self.start("resume", body).await
    }

    async fn start<T: Serialize>(&self, call: &str, body: &T) -> Result<EventStream, StartError> {
        let req = self
            .http
            .post(format!("{}/v1/{call}", self.base))
            .json(body);
        let res = req.send().await.map_err(classify_send_error)?;
        check_head(&res).context(InvalidHeadSnafu)?;
        if res.status() != StatusCode::OK {
            return RefusedSnafu {
                status: res.status().as_u16(),
                statement: UpstreamStatement::from_response(&res),
            }
            .fail();
        }
        Ok(EventStream::new(res))
    }

    /// Cancels a generation whose tokens are no longer needed, and ignores a failure to do so.
    pub async fn cancel(&self, generation: &str) {
        let body = GenerationBody {
            generation: generation.to_owned(),
            offset: 0,
        };
        let req = self.http.post(format!("{}/v1/cancel", self.base));
        // If the request is lost, the engine generates some tokens in vain; no caller is affected.
        let _ = req.timeout(QUERY_TIMEOUT).json(&body).send().await;
    }

    /// Queries the engine's load.
    ///
    /// # Errors
    ///
    /// [`LoadError`], if no valid response arrives within 800 ms. The caller must not take an engine without a
    /// response for idle.
    pub async fn load(&self) -> Result<EngineLoad, LoadError> {
        let req = self.http.get(format!("{}/v1/load", self.base));
        let res = req.timeout(QUERY_TIMEOUT).send().await;
        let res = res.context(NoAnswerSnafu)?;
        let mut statement = UpstreamStatement::from_response(&res);
        let res = res.error_for_status().context(NoAnswerSnafu)?;
        let body = read_body(res, MAX_LOAD_BYTES).await.context(BodySnafu)?;
        let load: LoadBody = serde_json::from_slice(&body).context(UnreadableSnafu)?;
        statement.is_leaving |= load.leaving;
        Ok(EngineLoad { load, statement })
    }
}

fn classify_send_error(source: reqwest::Error) -> StartError {
    if source.is_connect() {
        StartError::NotReached { source }
    } else {
        StartError::OutcomeUnknown { source }
    }
}

/// An engine's response to a load query.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// The reported load.
    pub load: LoadBody,
    /// The announcements in the response's headers; `is_leaving` is also set if the load report has it.
    pub statement: UpstreamStatement,
}

/// The stream of a generation's events.
pub struct EventStream {
    /// The announcements in the response's headers.
    pub statement: UpstreamStatement,
    body: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    buf: BytesMut,
}

impl fmt::Debug for EventStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventStream").finish_non_exhaustive()
    }
}

impl EventStream {
    fn new(res: Response) -> Self {
        Self {
            statement: UpstreamStatement::from_response(&res),
            body: res.bytes_stream().boxed(),
            buf: BytesMut::new(),
        }
    }

    /// Returns the next event; `None` once the engine closed the stream, whether or not a
    /// [`EngineEvent::Finish`] came before.
    ///
    /// Cancellation-safe: no bytes are lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the connection breaks or a line is invalid or too long.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, StreamError> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line = self.buf.split_to(end + 1);
                return serde_json::from_slice(&line)
                    .map(Some)
                    .context(InvalidLineSnafu);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return LineTooLongSnafu.fail();
            }
            match self.body.next().await {
                None => return Ok(None),
                Some(chunk) => self
                    .buf
                    .extend_from_slice(&chunk.context(ConnectionBrokenSnafu)?),
            }
        }
    }

    /// Whether [`EventStream::next`] would return without waiting for more bytes.
    pub fn has_buffered_event(&self) -> bool {
        self.buf.contains(&b'\n')
    }
}
