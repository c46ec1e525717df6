//! Calls to a model engine.
//!
//! Each failure says whether the generation can have run. Owns the connections to engines.

use crate::statement::UpstreamStatement;
use crate::wire::{EngineEvent, GenerateBody, GenerationBody, LoadBody};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connection to an engine may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an engine may take to answer a question or a cancellation.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes of a line of an engine's stream at most; a longer one ends the stream.
const MAX_LINE: usize = 1 << 20;

/// Why a generation did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The engine was never reached: the generation did not run.
    #[snafu(display("no connection: {source}"))]
    NotReached {
        /// What the call ran into.
        source: reqwest::Error,
    },
    /// The engine refused it: the generation did not run.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What the engine says of itself.
        said: UpstreamStatement,
    },
    /// The connection broke after the order may have arrived.
    #[snafu(display("broken: {source}"))]
    Broken {
        /// What the call ran into.
        source: reqwest::Error,
    },
}

impl StartError {
    /// Whether the generation certainly did not run.
    pub fn not_run(&self) -> bool {
        !matches!(self, Self::Broken { .. })
    }

    /// What the engine says of itself, if it answered.
    pub fn said(&self) -> Option<&UpstreamStatement> {
        match self {
            Self::Refused { said, .. } => Some(said),
            Self::NotReached { .. } | Self::Broken { .. } => None,
        }
    }
}

/// Why a stream ended before its end.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection broke.
    #[snafu(display("broken: {source}"))]
    Lost {
        /// What the stream ran into.
        source: reqwest::Error,
    },
    /// A line is not of the expected shape.
    #[snafu(display("a line can't be read: {source}"))]
    Line {
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A line is longer than any token.
    #[snafu(display("a line is longer than {MAX_LINE} bytes"))]
    LongLine,
}

/// Connections to engines.
#[derive(Clone, Debug)]
pub struct Engines {
    http: Client,
}

impl Engines {
    /// A pool without connections.
    pub fn new() -> Self {
        // The builder fails only where TLS can't be set up, and none is in use.
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build();
        Self {
            http: http.expect("a client without TLS can always be built"),
        }
    }

    /// The engine at an address.
    pub fn engine(&self, address: SocketAddr) -> Engine {
        Engine {
            http: self.http.clone(),
            base: format!("http://{address}"),
        }
    }
}

impl Default for Engines {
    fn default() -> Self {
        Self::new()
    }
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    http: Client,
    base: String,
}

impl Engine {
    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// [`StartError`] says whether it certainly did not run.
    pub async fn generate(&self, body: &GenerateBody) -> Result<EventStream, StartError> {
        self.start("generate", body).await
    }

    /// Goes on with the stream of a generation that the engine still runs.
    ///
    /// # Errors
    ///
    /// [`StartError::Refused`] when the engine doesn't know it or no longer has the tokens.
    pub async fn resume(&self, body: &GenerationBody) -> Result<EventStream, StartError> {
        self.start("resume", body).await
    }

    async fn start<T: Serialize>(&self, call: &str, body: &T) -> Result<EventStream, StartError> {
        let req = self
            .http
            .post(format!("{}/v1/{call}", self.base))
            .json(body);
        let res = req.send().await.map_err(start_error)?;
        if res.status() != StatusCode::OK {
            return RefusedSnafu {
                status: res.status().as_u16(),
                said: UpstreamStatement::of(&res),
            }
            .fail();
        }
        Ok(EventStream::new(res))
    }

    /// Ends a generation whose answer nobody wants any more.
    pub async fn cancel(&self, generation: &str) {
        let body = GenerationBody {
            generation: generation.to_owned(),
            offset: 0,
        };
        let req = self.http.post(format!("{}/v1/cancel", self.base));
        // A lost cancel costs the engine some tokens and the caller nothing.
        let _ = req.timeout(QUERY_TIMEOUT).json(&body).send().await;
    }

    /// Asks for the engine's load.
    ///
    /// # Errors
    ///
    /// The error of the call; an engine that doesn't answer isn't idle.
    pub async fn load(&self) -> Result<EngineLoad, reqwest::Error> {
        let req = self.http.get(format!("{}/v1/load", self.base));
        let res = req.timeout(QUERY_TIMEOUT).send().await?;
        let mut said = UpstreamStatement::of(&res);
        let load: LoadBody = res.error_for_status()?.json().await?;
        said.is_leaving |= load.leaving;
        Ok(EngineLoad { load, said })
    }
}

fn start_error(source: reqwest::Error) -> StartError {
    if source.is_connect() {
        StartError::NotReached { source }
    } else {
        StartError::Broken { source }
    }
}

/// An engine's answer on its load.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// Its load.
    pub load: LoadBody,
    /// What it says of itself.
    pub said: UpstreamStatement,
}

/// The events of a generation.
pub struct EventStream {
    /// What the engine says of itself.
    pub said: UpstreamStatement,
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
            said: UpstreamStatement::of(&res),
            body: res.bytes_stream().boxed(),
            buf: BytesMut::new(),
        }
    }

    /// The next event; `None` when the stream was closed.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the connection breaks or a line makes no sense.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, StreamError> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line = self.buf.split_to(end + 1);
                return serde_json::from_slice(&line).map(Some).context(LineSnafu);
            }
            if self.buf.len() > MAX_LINE {
                return LongLineSnafu.fail();
            }
            match self.body.next().await {
                None => return Ok(None),
                Some(chunk) => self.buf.extend_from_slice(&chunk.context(LostSnafu)?),
            }
        }
    }

    /// Whether a whole event is buffered already.
    pub fn has_buffered(&self) -> bool {
        self.buf.contains(&b'\n')
    }
}
