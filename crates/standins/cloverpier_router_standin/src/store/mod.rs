//! The platform's store: objects by kind and name, watches, conditional writes, outages.
//!
//! [`StoreStandIn`] is what a test holds; `objects` owns the contents, `serve` the connections.

mod objects;
mod serve;

pub use objects::{NOTHING, StoreCall, StoredEvent, StoredObject, WriteCondition};

use cloverpier_core::lock;
use cloverpier_net::{TcpListener, any_loopback_port};
use cloverpier_router_policy::prelude::{Configuration, Upstream};
use objects::Objects;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// How the platform's store writes and reads, as data.
#[derive(Clone, Copy, Debug)]
pub struct StoreShapes {
    /// Reads a call from its method, its path and query, and its body.
    pub call: fn(&str, &str, &str) -> Option<StoreCall>,
    /// Writes an object.
    pub object: fn(&StoredObject) -> String,
    /// Writes a page of a list at a revision, and whether another one follows.
    pub list: fn(&[StoredObject], u64, bool) -> String,
    /// Writes changes up to a revision.
    pub events: fn(&[StoredEvent], u64) -> String,
    /// The content of an upstream's entry.
    pub upstream: fn(&Upstream) -> Value,
    /// The content of the configuration.
    pub configuration: fn(&Configuration) -> Value,
    /// The header in which the store says how often it came back from an older copy.
    pub era: &'static str,
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
    /// Watches hear of no change. They end when their wait is over, without one, at the revision of that moment.
    DeafWatches,
    /// Watches never hear of what changes now, and of later changes they do.
    UntoldChanges,
}

#[derive(Debug, Default)]
struct State {
    objects: Objects,
    /// What it may come back from.
    copy: Option<Objects>,
    /// The most objects of a page; `None` where a list is one page.
    page_limit: Option<usize>,
    /// What stale reads return, under the present revision; `None` while they return what is there.
    stale: Option<Objects>,
    /// How often it came back from an older copy.
    era: u64,
    fault: StoreFault,
    calls: u64,
    /// The targets of all calls, in order.
    targets: Vec<String>,
}

impl State {
    /// Has watches never hear of the last change of a kind, if the store's fault is that.
    fn on_changed(&mut self, kind: &str) {
        if self.fault == StoreFault::UntoldChanges {
            self.objects.forget_last_change(kind);
        }
    }

    /// The most objects of a page.
    fn page_limit(&self) -> usize {
        self.page_limit.unwrap_or(usize::MAX)
    }

    /// What a read of a list returns.
    fn read(&self, is_stale: bool) -> &Objects {
        let stale = self.stale.as_ref().filter(|_| is_stale);
        stale.unwrap_or(&self.objects)
    }
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
        let listener = TcpListener::bind(any_loopback_port()).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(Notify::new());
        let shared = serve::Shared {
            shapes,
            state: Arc::clone(&state),
            changed: Arc::clone(&changed),
        };
        let accepting = tokio::spawn(serve::accept(listener, shared));
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

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        lock(&self.state).objects.revision
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

    /// Has it answer reads of lists in pages of so many objects at most.
    pub fn set_page_limit(&self, objects: usize) {
        lock(&self.state).page_limit = Some(objects);
    }

    /// Lets it misbehave, or not any more.
    pub fn set_fault(&self, fault: StoreFault) {
        lock(&self.state).fault = fault;
        self.changed.notify_waiters();
    }

    /// Forgets all history: watches from before have to read everything again.
    pub fn forget_history(&self) {
        lock(&self.state).objects.forget_changes();
    }

    /// Stores an object of any kind, its content as a JSON text that need not be readable.
    pub fn put_object(&self, kind: &str, name: &str, spec: &str) {
        let mut state = lock(&self.state);
        state.objects.put(kind, name, spec.to_owned());
        state.on_changed(kind);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Takes an object of any kind away.
    pub fn remove_object(&self, kind: &str, name: &str) {
        let mut state = lock(&self.state);
        state.objects.remove(kind, name);
        state.on_changed(kind);
        drop(state);
        self.changed.notify_waiters();
    }

    /// From now on stale reads return what is there now, under the revision that the store has when they are answered.
    pub fn hold_stale_reads(&self) {
        let mut state = lock(&self.state);
        state.stale = Some(state.objects.clone());
    }

    /// Makes a copy of everything, to come back from.
    pub fn make_copy(&self) {
        let mut state = lock(&self.state);
        state.copy = Some(state.objects.clone());
    }

    /// Comes back from the last copy: what was written since is gone.
    pub fn come_back_from_copy(&self) {
        let mut state = lock(&self.state);
        if let Some(copy) = state.copy.clone() {
            state.objects = copy;
            state.era += 1;
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// An object's content, as JSON; `None` where there is no such object.
    pub fn spec_of(&self, kind: &str, name: &str) -> Option<String> {
        let state = lock(&self.state);
        state.objects.get(kind, name).map(|o| o.spec.clone())
    }

    /// What the system says of an object, as JSON; `None` where there is no such object.
    pub fn status_of(&self, kind: &str, name: &str) -> Option<String> {
        let state = lock(&self.state);
        state.objects.get(kind, name).map(|o| o.status.clone())
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) {
        match spec {
            Some(spec) => self.put_object(kind, name, &spec.to_string()),
            None => self.remove_object(kind, name),
        }
    }
}
