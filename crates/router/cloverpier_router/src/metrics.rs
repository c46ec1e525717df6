//! Counters and latency histograms of the router, in the usual text exposition format.
//!
//! Owns all metrics of the process. Names, kinds and help texts are what dashboards rely on;
//! a golden file of the adapter's tests holds them. They are not `cadence`'s, as readers
//! fetch them here.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::time::Duration;

/// The label of a counter that is kept by kind.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct Kind {
    kind: &'static str,
}

/// A counter for each kind of a thing.
#[derive(Clone, Debug, Default)]
pub(crate) struct CounterByKind(Family<Kind, Counter>);

impl CounterByKind {
    /// Counts one of a kind.
    pub fn count(&self, kind: &'static str) {
        self.add(kind, 1);
    }

    /// Counts some of a kind.
    pub fn add(&self, kind: &'static str, count: u64) {
        self.0.get_or_create(&Kind { kind }).inc_by(count);
    }
}

/// Latencies in seconds, from 1 ms to about 33 s.
#[derive(Clone, Debug)]
pub(crate) struct Latency(Histogram);

impl Default for Latency {
    fn default() -> Self {
        Self(Histogram::new(exponential_buckets(0.001, 2.0, 16)))
    }
}

impl Latency {
    /// Notes how long something took.
    pub fn observe(&self, took: Duration) {
        self.0.observe(took.as_secs_f64());
    }
}

/// All metrics of a router.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: CounterByKind,
    /// Sends to upstreams by outcome.
    pub sends: CounterByKind,
    /// Streams that went on elsewhere, by cause.
    pub resumed: CounterByKind,
    /// Calls to the platform's store by outcome.
    pub store_calls: CounterByKind,
    /// Probes, checks and searches by outcome.
    pub probes: CounterByKind,
    /// Fetches of versions from peers by outcome.
    pub version_fetches: CounterByKind,
    /// Steps of roll-outs by stage.
    pub rollouts: CounterByKind,
    /// Upstreams that ended under requests: ends seen and reported by peers, contents stopped and cleared.
    pub crashes: CounterByKind,
    /// Upstreams that leave, as an answer or a peer said.
    pub leavings: CounterByKind,
    /// Times that upstreams began to want nothing.
    pub waits: Counter,
    /// Limits that upstreams named: begun, changed, ended.
    pub upstream_limits: CounterByKind,
    /// Permits for upstreams that limit themselves, got and handed out.
    pub permits: CounterByKind,
    /// The lease on work that one router at a time does, and that work.
    pub singleton: CounterByKind,
    /// Contents that are stopped.
    pub stopped_contents: Gauge,
    /// Datagrams sent to peers, and their bytes, by what they say.
    pub peer_datagrams: CounterByKind,
    pub peer_bytes: CounterByKind,
    /// Bytes of versions handed to peers.
    pub version_bytes: Counter,
    /// New connections to upstreams.
    pub connections: Counter,
    /// Times that the machine was suspended.
    pub suspensions: Counter,
    /// Log lines dropped.
    pub dropped_lines: Gauge,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// From arrival to the answer, or to the first event of a stream.
    pub first_answer: Latency,
    /// From the last event of a lost run to the first one of the next.
    pub resume_pause: Latency,
    /// From the last sign of life to the verdict that an upstream is dead.
    pub detection: Latency,
    /// From the request for a version to its last byte from a peer.
    pub version_fetch: Latency,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("cloverpier"),
            requests: CounterByKind::default(),
            sends: CounterByKind::default(),
            resumed: CounterByKind::default(),
            store_calls: CounterByKind::default(),
            probes: CounterByKind::default(),
            version_fetches: CounterByKind::default(),
            rollouts: CounterByKind::default(),
            crashes: CounterByKind::default(),
            leavings: CounterByKind::default(),
            waits: Counter::default(),
            upstream_limits: CounterByKind::default(),
            permits: CounterByKind::default(),
            singleton: CounterByKind::default(),
            stopped_contents: Gauge::default(),
            peer_datagrams: CounterByKind::default(),
            peer_bytes: CounterByKind::default(),
            version_bytes: Counter::default(),
            connections: Counter::default(),
            suspensions: Counter::default(),
            dropped_lines: Gauge::default(),
            in_flight: Gauge::default(),
            first_answer: Latency::default(),
            resume_pause: Latency::default(),
            detection: Latency::default(),
            version_fetch: Latency::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        self.register_requests();
        self.register_upstreams();
        self.register_process();
        self.register_crashes();
        self.register_versions();
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by end", self.requests.0.clone());
        registry.register("sends", "Sends to servers by outcome", self.sends.0.clone());
        registry.register(
            "resumed",
            "Streams resumed by cause",
            self.resumed.0.clone(),
        );
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register(
            "first_answer_seconds",
            "To the first byte",
            self.first_answer.0.clone(),
        );
        registry.register(
            "resume_pause_seconds",
            "Pause of a move",
            self.resume_pause.0.clone(),
        );
    }

    fn register_upstreams(&mut self) {
        let registry = &mut self.registry;
        registry.register("probes", "Questions to servers", self.probes.0.clone());
        registry.register("connections", "New connections", self.connections.clone());
        registry.register(
            "detection_seconds",
            "Silence to verdict",
            self.detection.0.clone(),
        );
        registry.register(
            "leavings",
            "Servers that said they leave",
            self.leavings.0.clone(),
        );
        registry.register("waits", "Servers that want nothing", self.waits.clone());
        registry.register(
            "server_limits",
            "Limits that servers named",
            self.upstream_limits.0.clone(),
        );
        registry.register(
            "permits",
            "Permits for servers that limit themselves",
            self.permits.0.clone(),
        );
    }

    fn register_process(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.0.clone(),
        );
        registry.register(
            "suspensions",
            "Suspensions of the machine",
            self.suspensions.clone(),
        );
        registry.register(
            "singleton",
            "Work that one router at a time does",
            self.singleton.0.clone(),
        );
        registry.register(
            "dropped_lines",
            "Log lines dropped",
            self.dropped_lines.clone(),
        );
    }

    fn register_crashes(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "crashes",
            "Ends of servers under requests",
            self.crashes.0.clone(),
        );
        registry.register(
            "stopped_contents",
            "Requests that are stopped, by content",
            self.stopped_contents.clone(),
        );
    }

    fn register_versions(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "version_fetches",
            "Fetches of versions from peers",
            self.version_fetches.0.clone(),
        );
        registry.register("rollouts", "Steps of roll-outs", self.rollouts.0.clone());
        registry.register(
            "peer_datagrams",
            "Datagrams to peers by what they say",
            self.peer_datagrams.0.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes of datagrams to peers by what they say",
            self.peer_bytes.0.clone(),
        );
        registry.register(
            "version_bytes",
            "Bytes of versions handed to peers",
            self.version_bytes.clone(),
        );
        registry.register(
            "version_fetch_seconds",
            "Request for a version to its last byte",
            self.version_fetch.0.clone(),
        );
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
