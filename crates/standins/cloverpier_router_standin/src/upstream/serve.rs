//! How an upstream answers its connections: questions, refusals, runs.

use super::Endless;
use super::Engine;
use super::engine::{Place, StreamDemand};
use super::state::{State, note_run};
use crate::answers::{
    ENDLESS_LINE, ENDLESS_TEXT, answer_plainly, asked_length, repeat, stream_events, write_answer,
};
use crate::http::{Head, read_body, read_head};
use crate::ledger::{CrashingArrival, Fault, Said, SharedLedger};
use crate::moment::now;
use cloverpier_core::lock;
use cloverpier_net::TcpStream;
use cloverpier_router::HeaderNames;
use cloverpier_router_policy::prelude::Upstream;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;

/// Says for how many seconds an upstream wants nothing.
const RETRY_AFTER: &str = "retry-after";

pub(super) async fn serve(mut stream: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let Some(body) = read_body(&mut stream, &mut buffer, head.content_length()).await? else {
            return Ok(());
        };
        if !answer(&mut stream, state, &head, &body).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// What a request asks of the upstream, read from its head.
pub(crate) struct Asked {
    pub id: String,
    /// Headers by which the upstream says something of itself.
    pub said: Vec<(String, String)>,
    pub prompt: Option<String>,
    pub last_event: u64,
    pub upstream: Upstream,
    pub names: HeaderNames,
    pub event_interval: Duration,
    /// Whether the upstream does no work now.
    pub pause: watch::Receiver<bool>,
    /// The engine that works on the stream.
    pub engine: Option<Arc<Engine>>,
    pub fault: Option<Fault>,
    /// The length of a plain answer, where the request asks for one.
    pub length: Option<usize>,
}

/// Answers one request; false when the connection is to end.
async fn answer(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    head: &Head,
    body: &[u8],
) -> io::Result<bool> {
    let (upstream, names, has_crashed) = {
        let state = lock(state);
        (
            state.upstream.clone(),
            state.names.clone(),
            state.has_crashed,
        )
    };
    if has_crashed {
        // Its owner has yet to end it; a process that has crashed answers nothing.
        std::future::pending::<()>().await;
    }
    let id = head.get(names.request_id.as_str()).map(str::to_owned);
    lock(state).note_arrival(id.as_deref());
    let Some(id) = id else {
        return answer_question(stream, state, head, &upstream, &names).await;
    };
    let pause = lock(state).is_paused.subscribe();
    until_unpaused(&pause).await;
    let crashes = lock(state).is_crashed_by(body);
    if crashes {
        note_crashing_arrival(state, &id, &upstream);
    }
    if let Some((status, header)) = turn_down(head, &upstream, &names, state) {
        let mut headers = vec![(names.request_id.to_string(), id.clone())];
        headers.extend(lock(state).say(Some(&id)));
        headers.extend(header);
        write_answer(stream, status, &headers, b"").await?;
        return Ok(true);
    }
    let demand = lock(state).stream_demand(head);
    let asked = Asked {
        length: asked_length(body),
        ..note_run(state, head, id, upstream, names)
    };
    let _running = Running::begin(state);
    if asked.prompt.is_none() {
        return run(stream, state, &asked, crashes).await;
    }
    let cut = CutOnDrop::new(state, &asked.id);
    let streamed = run_stream(stream, state, &asked, demand, crashes).await;
    match &streamed {
        Ok(true) => cut.disarm(),
        Ok(false) => drop(cut),
        Err(_) => {
            cut.disarm();
            let ledger = Arc::clone(&lock(state).ledger);
            lock(&ledger).stopped.insert(asked.id.clone());
        }
    }
    streamed
}

/// Runs a stream once its engine has read the prompt; an error where the caller closes the connection.
async fn run_stream(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    asked: &Asked,
    demand: Option<StreamDemand>,
    crashes: bool,
) -> io::Result<bool> {
    let _place = match asked.engine.as_ref().zip(demand) {
        Some((engine, demand)) => Some(enter(stream, engine, demand).await?),
        None => None,
    };
    run(stream, state, asked, crashes).await
}

/// Counts a request as running until it is dropped.
struct Running<'a>(&'a Mutex<State>);

impl<'a> Running<'a> {
    fn begin(state: &'a Mutex<State>) -> Self {
        lock(state).running += 1;
        Self(state)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

/// Notes that an upstream breaks a stream off, unless it is disarmed before it is dropped; the end of the upstream drops
/// it.
struct CutOnDrop {
    ledger: SharedLedger,
    id: String,
    is_armed: bool,
}

impl CutOnDrop {
    fn new(state: &Mutex<State>, id: &str) -> Self {
        Self {
            ledger: Arc::clone(&lock(state).ledger),
            id: id.to_owned(),
            is_armed: true,
        }
    }

    /// The stream ended in another way.
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CutOnDrop {
    fn drop(&mut self) {
        if self.is_armed {
            let id = std::mem::take(&mut self.id);
            lock(&self.ledger).cut_streams.insert(id);
        }
    }
}

/// Runs a request and answers it; false when the connection is to end.
async fn run(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    asked: &Asked,
    crashes: bool,
) -> io::Result<bool> {
    let work = lock(state).work;
    if !work.is_zero() {
        work_on(stream, work).await?;
    }
    if crashes {
        let after = lock(state).crash_after;
        tokio::time::sleep(after).await;
        lock(state).crash();
        std::future::pending::<()>().await;
    }
    match &asked.prompt {
        // A failure of its own is no stream, and what never ends is none that was asked for.
        Some(prompt) if !is_unlike_a_stream(asked.fault) => {
            stream_events(stream, asked, prompt).await
        }
        _ => answer_plainly(stream, asked).await,
    }
}

fn is_unlike_a_stream(fault: Option<Fault>) -> bool {
    matches!(
        fault,
        Some(
            Fault::Fail
                | Fault::EndlessHead
                | Fault::EndlessBody
                | Fault::EndlessFailure
                | Fault::EndlessEvents
                | Fault::StopAfter(_)
                | Fault::EndAfterHead
        )
    )
}

/// Answers a question, such as a health check.
async fn answer_question(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    head: &Head,
    upstream: &Upstream,
    names: &HeaderNames,
) -> io::Result<bool> {
    let named = (
        names.responding_upstream.to_string(),
        upstream.name.to_string(),
    );
    let endless = lock(state).endless_questions;
    match endless {
        Some(Endless::Head) => {
            stream.write_all(b"HTTP/1.1 200 OK\r\n").await?;
            return repeat(stream, ENDLESS_LINE).await;
        }
        Some(Endless::Body) => {
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
            return repeat(stream, ENDLESS_TEXT).await;
        }
        None => {}
    }
    let (headers, body) = {
        let state = lock(state);
        let headers = [vec![named], state.say(None)].concat();
        (headers, answer_to_question(&state, head))
    };
    let status = if lock(state).fails_questions {
        503
    } else {
        200
    };
    write_answer(stream, status, &headers, body.as_bytes()).await?;
    Ok(true)
}

/// Waits until an engine has read a stream's prompt.
async fn enter<'a>(
    stream: &TcpStream,
    engine: &'a Engine,
    demand: StreamDemand,
) -> io::Result<Place<'a>> {
    tokio::select! {
        place = engine.enter(demand) => Ok(place),
        closed = closed(stream) => Err(closed),
    }
}

/// Waits until the upstream works again; at once where it does.
pub(crate) async fn until_unpaused(pause: &watch::Receiver<bool>) {
    // The sender ends with the upstream, which ends its connections, too.
    let _ = pause.clone().wait_for(|is_paused| !is_paused).await;
}

/// Works on a request.
async fn work_on(stream: &TcpStream, work: Duration) -> io::Result<()> {
    tokio::select! {
        () = tokio::time::sleep(work) => Ok(()),
        closed = closed(stream) => Err(closed),
    }
}

/// Waits until the caller closes the connection, which ends what is done for it.
async fn closed(stream: &TcpStream) -> io::Error {
    let mut byte = [0];
    // Nothing more comes over the connection before the answer but its end.
    let peeked = stream.peek(&mut byte).await;
    peeked
        .err()
        .unwrap_or_else(|| io::ErrorKind::ConnectionAborted.into())
}

fn note_crashing_arrival(state: &Mutex<State>, id: &str, upstream: &Upstream) {
    let arrival = CrashingArrival {
        at: now(),
        id: id.to_owned(),
        upstream: upstream.name.clone(),
    };
    let ledger = Arc::clone(&lock(state).ledger);
    lock(&ledger).crashing_arrivals.push(arrival);
}

fn answer_to_question(state: &State, head: &Head) -> String {
    let answer = question_body(state, head);
    match state.upstream.start_time_ms() {
        Some(born_ms) => (state.with_start)(answer, born_ms),
        None => answer,
    }
}

fn question_body(state: &State, head: &Head) -> String {
    let path = head.word(1).split('?').next();
    if path == Some(state.cache.path) {
        (state.cache.answer)(&state.prompts)
    } else if path == Some(state.load.path) {
        (state.load.answer)(state.told_running, state.leaves)
    } else {
        "{}".to_owned()
    }
}

/// Why a request isn't run: the status, and headers.
fn turn_down(
    head: &Head,
    upstream: &Upstream,
    names: &HeaderNames,
    state: &Mutex<State>,
) -> Option<(u16, Vec<(String, String)>)> {
    let mut state = lock(state);
    let expected = head.get(names.expected_upstream.as_str());
    if expected != Some(upstream.name.as_str()) {
        lock(&state.ledger).unexpected += u32::from(expected.is_none());
        let named = (
            names.responding_upstream.to_string(),
            upstream.name.to_string(),
        );
        return Some((421, vec![named]));
    }
    let not_run = (names.not_run.to_string(), "1".to_owned());
    if let Some(wait) = state.asks_to_wait {
        state.note_statement(head.get(names.request_id.as_str()), Said::Wait(wait));
        let wait = (RETRY_AFTER.to_string(), wait.as_secs_f64().to_string());
        return Some((503, vec![not_run, wait]));
    }
    let refuses = state.refuses_for_lack_of_room()
        || state.is_engine_full(head)
        || state.is_beyond_limit()
        || state.takes_fault(Fault::Refuse)
        || lacks_replica(&state, head, upstream, names);
    refuses.then(|| (503, vec![not_run]))
}

/// Whether a request is to go on from a replica that is not here.
fn lacks_replica(state: &State, head: &Head, upstream: &Upstream, names: &HeaderNames) -> bool {
    let replica = head.get(names.resume_from.as_str());
    let Some((at, id)) = replica.and_then(|named| named.split_once('/')) else {
        return false;
    };
    // An address that cannot be read is taken for this one's.
    let at = at.parse().unwrap_or(upstream.address);
    !lock(&state.ledger).copies.contains(&(at, id.to_owned()))
}
