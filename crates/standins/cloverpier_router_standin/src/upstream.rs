//! An upstream: answers plain requests and streams events, with faults.
//!
//! Speaks the names that it is given and writes what it ran into the shared ledger. Answers
//! are written in [`crate::answers`], byte by byte.

use crate::answers::{answer_plainly, stream_events, write_answer};
use crate::http::{Head, read_body, read_head};
use crate::ledger::{Fault, SharedLedger};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName, lock};
use cloverpier_router::HeaderNames;
use cloverpier_router_policy::prelude::{Upstream, UpstreamStart};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Tries to listen at an address that is still taken.
const BIND_TRIES: u32 = 300;

#[derive(Debug)]
struct State {
    upstream: Upstream,
    names: HeaderNames,
    ledger: SharedLedger,
    event_interval: Duration,
    cache: CacheShape,
    load: LoadShape,
    with_start: fn(String, u64) -> String,
    /// Requests that it says to run, whatever runs there.
    told_running: u32,
    /// Prompts that were read, in order.
    prompts: Vec<String>,
    /// Faults of the next requests, the first one first.
    script: Vec<Fault>,
    /// A fault of a share of the requests.
    random: Option<(Fault, f64)>,
    /// How long it works on a request before it answers.
    work: Duration,
    rng: fastrand::Rng,
}

impl State {
    fn new(
        spec: &UpstreamSpec,
        upstream: Upstream,
        names: HeaderNames,
        ledger: SharedLedger,
    ) -> Self {
        Self {
            upstream,
            names,
            ledger,
            event_interval: spec.event_interval,
            cache: spec.cache,
            load: spec.load,
            with_start: spec.with_start,
            told_running: 0,
            prompts: Vec::new(),
            script: Vec::new(),
            random: None,
            work: Duration::ZERO,
            rng: fastrand::Rng::with_seed(spec.seed),
        }
    }
}

/// A running upstream; it ends with its owner.
#[derive(Debug)]
pub struct UpstreamStandIn {
    state: Arc<Mutex<State>>,
    accepting: Option<JoinHandle<()>>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Drop for UpstreamStandIn {
    fn drop(&mut self) {
        self.stop();
    }
}

/// How an upstream tells which prompts it has read.
#[derive(Clone, Copy, Debug)]
pub struct CacheShape {
    /// The path of the question, without its query.
    pub path: &'static str,
    /// Writes the answer, from the names of the prompts in the order in which they were read.
    pub answer: fn(&[String]) -> String,
}

/// How an upstream tells its load.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// The path of the question.
    pub path: &'static str,
    /// Writes the answer, from the number of requests that run.
    pub answer: fn(u32) -> String,
}

/// What an upstream is made of.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Where it stands.
    pub data_centre: String,
    /// Pause between the events of a stream.
    pub event_interval: Duration,
    /// Seeds the choice of requests that meet a fault.
    pub seed: u64,
    /// How it tells which prompts it has read.
    pub cache: CacheShape,
    /// How it tells its load.
    pub load: LoadShape,
    /// Adds to an answer when the upstream started, as a Unix time in milliseconds.
    pub with_start: fn(String, u64) -> String,
    /// What it says of its start; nothing where it says nothing.
    pub start: Option<UpstreamStart>,
    /// Requests that it says to work on at once.
    pub slots: u32,
}

impl UpstreamStandIn {
    /// Starts an upstream at a free port of this machine, or at a given address.
    ///
    /// # Errors
    ///
    /// The address can't be listened at.
    pub async fn start(
        spec: UpstreamSpec,
        at: Option<SocketAddr>,
        names: HeaderNames,
        ledger: SharedLedger,
    ) -> io::Result<Self> {
        let at = at.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = bind_when_free(at).await?;
        let shape = spec.clone();
        let upstream = Upstream {
            name: UpstreamName::new(spec.name),
            service: ServiceName::new(spec.service),
            address: listener.local_addr()?,
            data_centre: DataCentre::new(spec.data_centre),
            slots: spec.slots,
            draining: false,
            start: spec.start,
        };
        let state = Arc::new(Mutex::new(State::new(&shape, upstream, names, ledger)));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let accepting = tokio::spawn(accept(
            listener,
            Arc::clone(&state),
            Arc::clone(&connections),
        ));
        Ok(Self {
            state,
            accepting: Some(accepting),
            connections,
        })
    }

    /// The upstream as the platform would list it.
    pub fn listed(&self) -> Upstream {
        lock(&self.state).upstream.clone()
    }

    /// Sets the address that it is listed at, as when a link leads to it.
    pub fn set_listed_address(&self, address: SocketAddr) {
        lock(&self.state).upstream.address = address;
    }

    /// Lets it start again under its name: it knows nothing of before, and what it had begun to
    /// answer stays where it is, as nobody is told that its host has lost power.
    pub fn start_again(&self, born_ms: u64) {
        let mut state = lock(&self.state);
        state.prompts.clear();
        let address = state.upstream.address;
        if let Some(start) = &mut state.upstream.start {
            start.born_ms = Some(born_ms);
        }
        lock(&state.ledger).copies.retain(|(at, _)| *at != address);
    }

    /// Has it tell that so many requests run.
    pub fn tell_running(&self, requests: u32) {
        lock(&self.state).told_running = requests;
    }

    /// Adds a fault for the next request that has none yet.
    pub fn script(&self, fault: Fault) {
        lock(&self.state).script.push(fault);
    }

    /// Whether requests have met all faults that were added.
    pub fn has_met_its_faults(&self) -> bool {
        lock(&self.state).script.is_empty()
    }

    /// Forgets the faults that no request has met yet.
    pub fn clear_script(&self) {
        lock(&self.state).script.clear();
    }

    /// Sets a fault for a share of the requests.
    pub fn set_random_fault(&self, fault: Option<(Fault, f64)>) {
        lock(&self.state).random = fault;
    }

    /// Sets how long it works on a request before it answers.
    pub fn set_work(&self, work: Duration) {
        lock(&self.state).work = work;
    }

    /// Ends it as a crash does: its connections close, its port refuses.
    pub fn stop(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
        for connection in lock(&self.connections).drain(..) {
            connection.abort();
        }
        let address = lock(&self.state).upstream.address;
        let ledger = Arc::clone(&lock(&self.state).ledger);
        lock(&ledger).copies.retain(|(at, _)| *at != address);
    }
}

/// Listens at an address as soon as the start before has let go of it.
pub(crate) async fn bind_when_free(at: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..BIND_TRIES {
        match TcpListener::bind(at).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            bound => return bound,
        }
    }
    TcpListener::bind(at).await
}

async fn accept(
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        // Its failure only costs time.
        let _ = stream.set_nodelay(true);
        let state = Arc::clone(&state);
        let connection = tokio::spawn(async move {
            // A connection that breaks concerns nobody else.
            let _ = serve(stream, &state).await;
        });
        let mut connections = lock(&connections);
        connections.retain(|c| !c.is_finished());
        connections.push(connection);
    }
}

async fn serve(mut stream: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let Some(_body) = read_body(&mut stream, &mut buffer, head.content_length()).await? else {
            return Ok(());
        };
        if !answer(&mut stream, state, &head).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// What a request asks of the upstream, read from its head.
pub(crate) struct Asked {
    pub id: String,
    pub prompt: Option<String>,
    pub last_event: u64,
    pub upstream: Upstream,
    pub names: HeaderNames,
    pub event_interval: Duration,
    pub fault: Option<Fault>,
}

/// Answers one request; false when the connection is to end.
async fn answer(stream: &mut TcpStream, state: &Mutex<State>, head: &Head) -> io::Result<bool> {
    let (upstream, names) = {
        let state = lock(state);
        (state.upstream.clone(), state.names.clone())
    };
    let Some(id) = head.get(names.request_id.as_str()).map(str::to_owned) else {
        // A question, such as a health check.
        let named = (names.answering_upstream.as_str(), upstream.name.as_str());
        let body = answer_to_question(&lock(state), head);
        write_answer(stream, 200, &[named], body.as_bytes()).await?;
        return Ok(true);
    };
    if let Some((status, header)) = turn_down(head, &upstream, &names, state) {
        let echoed = (names.request_id.as_str(), id.as_str());
        write_answer(
            stream,
            status,
            &[echoed, (header.0.as_str(), header.1.as_str())],
            b"",
        )
        .await?;
        return Ok(true);
    }
    let asked = note_run(state, head, id, upstream, names);
    let work = lock(state).work;
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    match &asked.prompt {
        Some(prompt) => {
            let streamed = stream_events(stream, &asked, prompt).await;
            if streamed.is_err() {
                let ledger = Arc::clone(&lock(state).ledger);
                lock(&ledger).stopped.insert(asked.id.clone());
            }
            streamed
        }
        None => answer_plainly(stream, &asked).await,
    }
}

fn answer_to_question(state: &State, head: &Head) -> String {
    let answer = question_body(state, head);
    match state.upstream.born_ms() {
        Some(born_ms) => (state.with_start)(answer, born_ms),
        None => answer,
    }
}

fn question_body(state: &State, head: &Head) -> String {
    let path = head.word(1).split('?').next();
    if path == Some(state.cache.path) {
        (state.cache.answer)(&state.prompts)
    } else if path == Some(state.load.path) {
        (state.load.answer)(state.told_running)
    } else {
        "{}".to_owned()
    }
}

/// Why a request isn't run: the status, and a header.
fn turn_down(
    head: &Head,
    upstream: &Upstream,
    names: &HeaderNames,
    state: &Mutex<State>,
) -> Option<(u16, (String, String))> {
    let mut state = lock(state);
    let expected = head.get(names.expected_upstream.as_str());
    if expected != Some(upstream.name.as_str()) {
        lock(&state.ledger).unexpected += u32::from(expected.is_none());
        let named = (
            names.answering_upstream.to_string(),
            upstream.name.to_string(),
        );
        return Some((421, named));
    }
    let refused = Some((503, (names.not_run.to_string(), "1".to_owned())));
    if state.script.first() == Some(&Fault::Refuse) {
        state.script.remove(0);
        return refused;
    }
    let copy = head
        .get(names.resume_from.as_str())
        .and_then(|c| c.split_once('/'));
    if let Some((at, id)) = copy {
        let at = at.parse().unwrap_or(upstream.address);
        let has_copy = lock(&state.ledger).copies.contains(&(at, id.to_owned()));
        if !has_copy {
            return refused;
        }
    }
    None
}

fn note_run(
    state: &Mutex<State>,
    head: &Head,
    id: String,
    upstream: Upstream,
    names: HeaderNames,
) -> Asked {
    let mut state = lock(state);
    let fault = next_fault(&mut state);
    record_run(&state, head, &id, &upstream, &names);
    if fault == Some(Fault::Mute) {
        lock(&state.ledger).unanswered.insert(id.clone());
    }
    let prompt = head.get(names.prompt_parts.as_str()).map(str::to_owned);
    state.prompts.extend(prompt.clone());
    let last_event = head.get(names.last_event.as_str());
    Asked {
        id,
        prompt,
        last_event: last_event.and_then(|l| l.parse().ok()).unwrap_or(0),
        upstream,
        names,
        event_interval: state.event_interval,
        fault,
    }
}

/// The fault of the next request: the first of the script, else one by chance.
fn next_fault(state: &mut State) -> Option<Fault> {
    if !state.script.is_empty() {
        return Some(state.script.remove(0));
    }
    let roll = state.rng.f64();
    let (fault, share) = state.random?;
    (roll < share).then_some(fault)
}

/// Writes a run into the ledger.
fn record_run(state: &State, head: &Head, id: &str, upstream: &Upstream, names: &HeaderNames) {
    let id = id.to_owned();
    let mut ledger = lock(&state.ledger);
    *ledger.runs.entry(id.clone()).or_default() += 1;
    let headers = head.headers.clone().into_iter().collect();
    ledger.heads.insert(id.clone(), headers);
    ledger
        .reached
        .entry(id.clone())
        .or_default()
        .push(upstream.name.clone());
    ledger.leaked_keys += u32::from(head.get(names.key.as_str()).is_some());
    if let Some(account) = head.get(names.account.as_str()) {
        ledger.accounts.insert(id.clone(), account.to_owned());
    }
    let replica = head.get(names.replica_at.as_str());
    if let Some(at) = replica.and_then(|at| at.parse().ok()) {
        ledger.copies.insert((at, id.clone()));
    }
}
