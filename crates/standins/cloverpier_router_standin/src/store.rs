//! The platform's store: objects by kind and name, watches, outages.

use crate::http::{Head, read_head};
use cloverpier_core::lock;
use cloverpier_router_policy::prelude::{Configuration, Upstream};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// An object as it lies in the store.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Its name.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content.
    pub spec: Value,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct StoredEvent {
    /// The object as it is, or was.
    pub object: StoredObject,
    /// Whether it is gone.
    pub gone: bool,
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub struct StoreCall {
    /// The kind of objects.
    pub kind: String,
    /// The revision after which changes are awaited.
    pub watch: Option<u64>,
    /// How long they are awaited.
    pub wait: Duration,
}

/// How the platform's store writes and reads, as data.
#[derive(Clone, Copy, Debug)]
pub struct StoreShapes {
    /// Reads a call from its path and query.
    pub call: fn(&str) -> Option<StoreCall>,
    /// Writes a list at a revision.
    pub list: fn(&[StoredObject], u64) -> Value,
    /// Writes changes up to a revision.
    pub events: fn(&[StoredEvent], u64) -> Value,
    /// The content of an upstream's entry.
    pub upstream: fn(&Upstream) -> Value,
    /// The content of the configuration.
    pub configuration: fn(&Configuration) -> Value,
    /// The kind of upstreams, and the kind and name of the configuration.
    pub kinds: StoreKinds,
}

/// Kinds and names of the objects that routers read.
#[derive(Clone, Copy, Debug)]
pub struct StoreKinds {
    /// The kind of upstreams.
    pub upstreams: &'static str,
    /// The kind of the configuration.
    pub configuration: &'static str,
    /// The configuration's name.
    pub configuration_name: &'static str,
}

/// How often a store that waits looks whether it still does.  Chosen, not measured.
const WAITING_PAUSE: Duration = Duration::from_millis(2);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It doesn't.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It takes calls and says nothing.
    Silent,
    /// It resets connections.
    Reset,
    /// It takes calls and answers them once it has no fault any more.
    Waits,
    /// It answers reads and leaves watches without an answer, whatever has changed.
    SilentToWatches,
}

#[derive(Debug)]
struct Kind {
    objects: BTreeMap<String, StoredObject>,
    log: Vec<(u64, StoredEvent)>,
    /// The revision from which on the log is complete.
    log_since: u64,
}

#[derive(Debug)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, Kind>,
    fault: StoreFault,
    calls: u64,
    /// The targets of all calls, in order.
    targets: Vec<String>,
}

/// A running store; it ends with its owner.
#[derive(Debug)]
pub struct StoreStandIn {
    address: SocketAddr,
    shapes: StoreShapes,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    accepting: JoinHandle<()>,
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl StoreStandIn {
    /// Starts a store at a free port of this machine.
    ///
    /// # Errors
    ///
    /// No port can be listened at.
    pub async fn start(shapes: StoreShapes) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            revision: 1,
            kinds: BTreeMap::new(),
            fault: StoreFault::None,
            calls: 0,
            targets: Vec::new(),
        }));
        let changed = Arc::new(Notify::new());
        let accepting = tokio::spawn(accept(
            listener,
            shapes,
            Arc::clone(&state),
            Arc::clone(&changed),
        ));
        Ok(Self {
            address,
            shapes,
            state,
            changed,
            accepting,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls that it has answered or dropped.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// The targets of all calls, in order.
    pub fn targets(&self) -> Vec<String> {
        lock(&self.state).targets.clone()
    }

    /// Lists an upstream, or lists it otherwise.
    pub fn put_upstream(&self, upstream: &Upstream) {
        let spec = (self.shapes.upstream)(upstream);
        self.change(
            self.shapes.kinds.upstreams,
            upstream.name.as_str(),
            Some(spec),
        );
    }

    /// Puts any content in the place of an upstream's entry.
    pub fn put_upstream_spec(&self, name: &str, spec: Value) {
        self.change(self.shapes.kinds.upstreams, name, Some(spec));
    }

    /// Takes an upstream off the list.
    pub fn remove_upstream(&self, name: &str) {
        self.change(self.shapes.kinds.upstreams, name, None);
    }

    /// Puts a configuration in force.
    pub fn put_configuration(&self, configuration: &Configuration) {
        self.put_configuration_spec(self.configuration_spec(configuration));
    }

    /// A configuration as the store holds it.
    pub fn configuration_spec(&self, configuration: &Configuration) -> Value {
        (self.shapes.configuration)(configuration)
    }

    /// Puts any content in the place of the configuration.
    pub fn put_configuration_spec(&self, spec: Value) {
        let kinds = self.shapes.kinds;
        self.change(kinds.configuration, kinds.configuration_name, Some(spec));
    }

    /// Lets it misbehave, or not any more.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
        self.changed.notify_waiters();
    }

    /// Forgets all history: watches from before have to read everything again.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state);
        let revision = state.revision;
        for kind in state.kinds.values_mut() {
            kind.log.clear();
            kind.log_since = revision;
        }
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let kind = state.kinds.entry(kind.to_owned()).or_insert_with(|| Kind {
            objects: BTreeMap::new(),
            log: Vec::new(),
            log_since: 0,
        });
        let gone = spec.is_none();
        let object = StoredObject {
            name: name.to_owned(),
            revision,
            spec: spec.unwrap_or(Value::Null),
        };
        if gone {
            kind.objects.remove(name);
        } else {
            kind.objects.insert(name.to_owned(), object.clone());
        }
        kind.log.push((revision, StoredEvent { object, gone }));
        drop(state);
        self.changed.notify_waiters();
    }
}

async fn accept(
    listener: TcpListener,
    shapes: StoreShapes,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (state, changed) = (Arc::clone(&state), Arc::clone(&changed));
        tokio::spawn(async move {
            // A connection that breaks concerns nobody else.
            let _ = serve(stream, shapes, &state, &changed).await;
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    shapes: StoreShapes,
    state: &Mutex<State>,
    changed: &Notify,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        {
            let mut state = lock(state);
            state.calls += 1;
            state.targets.push(head.word(1).to_owned());
        }
        let answer = answer(&head, shapes, state, changed).await;
        while lock(state).fault == StoreFault::Waits {
            tokio::time::sleep(WAITING_PAUSE).await;
        }
        // What the store does at the moment of the answer counts, as for a watch.
        let fault = lock(state).fault;
        match fault {
            StoreFault::None | StoreFault::Waits => write(&mut stream, answer).await?,
            StoreFault::Busy => write(&mut stream, (503, Value::Null)).await?,
            StoreFault::SilentToWatches if !is_watch(&head, shapes) => {
                write(&mut stream, answer).await?;
            }
            StoreFault::Silent | StoreFault::SilentToWatches => {
                std::future::pending::<()>().await;
            }
            StoreFault::Reset => {
                stream.set_zero_linger()?;
                return Ok(());
            }
        }
    }
    Ok(())
}

fn is_watch(head: &Head, shapes: StoreShapes) -> bool {
    let call = (shapes.call)(head.word(1));
    call.is_some_and(|call| call.watch.is_some())
}

async fn answer(
    head: &Head,
    shapes: StoreShapes,
    state: &Mutex<State>,
    changed: &Notify,
) -> (u16, Value) {
    let Some(call) = (shapes.call)(head.word(1)) else {
        return (404, Value::Null);
    };
    let Some(since) = call.watch else {
        let state = lock(state);
        let objects = state.kinds.get(&call.kind);
        let objects: Vec<StoredObject> = objects
            .map(|k| k.objects.values().cloned().collect())
            .unwrap_or_default();
        return (200, (shapes.list)(&objects, state.revision));
    };
    let until = tokio::time::Instant::now() + call.wait;
    loop {
        let waiting = changed.notified();
        if let Some(found) = changes(state, &call.kind, since, shapes) {
            return found;
        }
        if lock(state).fault != StoreFault::None
            || tokio::time::timeout_at(until, waiting).await.is_err()
        {
            let revision = lock(state).revision;
            return (200, (shapes.events)(&[], revision));
        }
    }
}

fn changes(
    state: &Mutex<State>,
    kind: &str,
    since: u64,
    shapes: StoreShapes,
) -> Option<(u16, Value)> {
    let state = lock(state);
    let kind = state.kinds.get(kind)?;
    if since < kind.log_since {
        return Some((410, Value::Null));
    }
    let newer: Vec<StoredEvent> = kind
        .log
        .iter()
        .filter(|(revision, _)| *revision > since)
        .map(|(_, event)| event.clone())
        .collect();
    (!newer.is_empty()).then(|| (200, (shapes.events)(&newer, state.revision)))
}

async fn write(stream: &mut TcpStream, (status, body): (u16, Value)) -> io::Result<()> {
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).await
}
