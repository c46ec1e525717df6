//! The platform's API for work that one router at a time does: takes signed calls and records them.
//!
//! The record is the checks' own: whoever held the work, with which token, and what it said.

use crate::http::{read_body, read_head};
use crate::moment::now;
use cloverpier_core::lock;
use cloverpier_net::{TcpListener, TcpStream, any_loopback_port};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinHandle;

/// The headers of a signed call.
#[derive(Clone, Copy, Debug)]
pub struct ApiShapes {
    /// Names the holder.
    pub holder: &'static str,
    /// The holder's fencing token.
    pub token: &'static str,
}

/// A call that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiCall {
    /// When.
    pub at: Instant,
    /// Its path.
    pub path: String,
    /// Who made it.
    pub holder: String,
    /// With which token.
    pub token: u64,
    /// What it said.
    pub body: String,
}

/// How the API misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ApiFault {
    /// It doesn't.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It takes calls and says nothing.
    Silent,
}

/// Answers a call: its status, by path and body.
type Answers = fn(path: &str, body: &str) -> u16;

#[derive(Debug, Default)]
struct State {
    calls: Vec<ApiCall>,
    fault: ApiFault,
}

/// A running API; it ends with its owner.
#[derive(Debug)]
pub struct ApiStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    accepting: JoinHandle<()>,
}

impl Drop for ApiStandIn {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ApiStandIn {
    /// Starts an API at a free port of this machine, which answers 200 to whatever `answers` leaves to
    /// it by 0.
    ///
    /// # Errors
    ///
    /// No port can be listened at.
    pub async fn start(shapes: ApiShapes, answers: Answers) -> io::Result<Self> {
        let listener = TcpListener::bind(any_loopback_port()).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&shared);
                tokio::spawn(async move {
                    // A connection that breaks concerns nobody else.
                    let _ = serve(stream, shapes, answers, &state).await;
                });
            }
        });
        Ok(Self {
            address,
            state,
            accepting,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The calls that it has taken, in order.
    pub fn calls(&self) -> Vec<ApiCall> {
        lock(&self.state).calls.clone()
    }

    /// Lets it misbehave, or not any more.
    pub fn set_fault(&self, fault: ApiFault) {
        lock(&self.state).fault = fault;
    }
}

async fn serve(
    mut stream: TcpStream,
    shapes: ApiShapes,
    answers: Answers,
    state: &Mutex<State>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let body = read_body(&mut stream, &mut buffer, head.content_length()).await?;
        let Some(body) = body else { return Ok(()) };
        let call = ApiCall {
            at: now(),
            path: head.word(1).to_owned(),
            holder: head.get(shapes.holder).unwrap_or_default().to_owned(),
            token: head
                .get(shapes.token)
                .and_then(|t| t.parse().ok())
                .unwrap_or(0),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let fault = lock(state).fault;
        let status = match fault {
            ApiFault::None => match answers(&call.path, &call.body) {
                0 => 200,
                status => status,
            },
            ApiFault::Busy => 503,
            ApiFault::Silent => std::future::pending().await,
        };
        if fault == ApiFault::None {
            lock(state).calls.push(call);
        }
        let answer = format!("HTTP/1.1 {status} Status\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}
