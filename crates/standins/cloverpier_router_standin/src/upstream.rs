//! An upstream: answers plain requests and streams events, with faults.
//!
//! Speaks the names that it is given and writes what it ran into the shared ledger. Answers
//! are written in [`crate::answers`], byte by byte.

mod engine;
mod serve;
mod state;

pub(crate) use engine::Engine;
pub use engine::{EngineShape, EngineSpec, LoadFigures};
pub(crate) use serve::{Asked, until_unpaused};

use crate::ledger::{Fault, SharedLedger};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName, lock};
use cloverpier_net::{TcpListener, any_loopback_port};
use cloverpier_router::HeaderNames;
use cloverpier_router_policy::prelude::{Upstream, UpstreamStart};
use serve::serve;
use state::State;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Tries to listen at an address that is still taken.
const BIND_TRIES: u32 = 300;

/// How an upstream is brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Brittle {
    /// The refusals within a second that it states to survive.
    pub max_refusals: u32,
    /// Requests that may wait there beside those that run.
    pub may_wait: u32,
}

/// The part of an answer that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// The head.
    Head,
    /// The body.
    Body,
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
    /// Writes the answer, from the number of requests that run and whether it leaves.
    pub answer: fn(u32, bool) -> String,
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
    /// Crashes it when it begins to run a request with this body.
    pub crashed_by: Option<&'static str>,
    /// How long it has such a request before it crashes, whether or not its caller waits.
    pub crash_after: Duration,
    /// How it works on streams; `None` for an upstream that begins each one at once.
    pub engine: Option<EngineSpec>,
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
        let at = at.unwrap_or_else(any_loopback_port);
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
        state.leaves = false;
        state.limit = None;
        let address = state.upstream.address;
        if let Some(start) = &mut state.upstream.start {
            start.start_time_ms = Some(born_ms);
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

    /// Whether a request has crashed it. Its owner has yet to end it, so that its way and its port
    /// end with it; until then it answers nothing.
    pub fn has_crashed(&self) -> bool {
        lock(&self.state).has_crashed
    }

    /// Has it say in all its answers that it leaves; the entry in the store says nothing of it.
    pub fn leave(&self) {
        lock(&self.state).leaves = true;
    }

    /// Has it turn requests away and say that it wants nothing for so long; `None` ends that.
    pub fn ask_to_wait(&self, wait: Option<Duration>) {
        lock(&self.state).asks_to_wait = wait;
    }

    /// Has it name a limit in all its answers, in requests a second, and turn requests away that lie far
    /// beyond it; `None` ends that.
    pub fn limit(&self, per_second: Option<f64>) {
        let mut state = lock(&self.state);
        state.recent.clear();
        state.limit = per_second;
    }

    /// Has it state in all its answers that it is brittle, and refuse requests beyond its slots and those that may
    /// wait; `None` ends that.
    pub fn set_brittle(&self, brittle: Option<Brittle>) {
        lock(&self.state).brittle = brittle;
    }

    /// Has an engine take so many percent of the usual time for its work.
    pub fn set_pace(&self, percent: u32) {
        if let Some(engine) = &lock(&self.state).engine {
            engine.set_pace(percent);
        }
    }

    /// Has it state this of its load in all its answers; `None` ends that.
    pub fn state_load(&self, stated: Option<String>) {
        lock(&self.state).stated_load = stated;
    }

    /// Has it answer questions, such as health checks, with 503, as one that leaves does.
    pub fn fail_questions(&self) {
        lock(&self.state).fails_questions = true;
    }

    /// Has its answers to questions, such as health checks, never end; `None` ends that.
    pub fn set_endless_questions(&self, endless: Option<Endless>) {
        lock(&self.state).endless_questions = endless;
    }

    /// Has it do no work on requests, or go on. Meanwhile it answers questions, and nothing that it would write for a
    /// request is written; it does not notice that callers leave.
    pub fn set_paused(&self, is_paused: bool) {
        lock(&self.state).is_paused.send_replace(is_paused);
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
