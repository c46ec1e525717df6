//! The router's metrics, in the text exposition format of Prometheus.
//!
//! Owns all metrics of the process. Dashboards rely on their names, kinds and help texts, which a golden file of the
//! adapter's tests pins. `prometheus-client` keeps them, and not `cadence`, because scrapers pull them from this
//! process.

use crate::metric_kinds::{CounterByKind, Latency, LatencyByKind};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of a router, and the registry that encodes them.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests from callers, by how they ended.
    pub requests: CounterByKind,
    /// Failed attempts at upstreams, by outcome.
    pub failed_attempts: CounterByKind,
    /// Streams that were resumed at another upstream, by the outcome of the lost attempt.
    pub resumed_streams: CounterByKind,
    /// Attempts of streams that were overdue before their first event: `kept` at their engine, or moved, by reason.
    pub overdue_first_events: CounterByKind,
    /// Attempts that seemed lost and went on, by what was silent.
    pub kept_attempts: CounterByKind,
    /// Attempts that ended because nothing arrived, by what was silent: the `attempt`, its `server` or the `service`.
    pub silent_attempts: CounterByKind,
    /// Attempts that continue a stream after its first event, by whether the upstream has the software version that
    /// began the stream: `same`, `other`, or `unknown` if either version is not known.
    pub continued_versions: CounterByKind,
    /// Records of the versions that began streams: `recorded` and `unacknowledged` for streams that began here, and the
    /// results of lookups for streams that callers resume here.
    pub stream_origins: CounterByKind,
    /// Streams that waited for an engine, by how the wait ended, and streams that were refused without a wait.
    pub admission: CounterByKind,
    /// Time for which streams waited for an engine, whether or not their turn came.
    pub admission_wait: Latency,
    /// Calls to the platform's store, by outcome.
    pub store_calls: CounterByKind,
    /// Probes, checks, load queries and cache queries to upstreams, by outcome.
    pub probes: CounterByKind,
    /// Fetches of configurations and lists of upstreams from peers, by outcome.
    pub version_fetches: CounterByKind,
    /// Stages that roll-outs reached, and orders that were given or withdrawn.
    pub rollouts: CounterByKind,
    /// Crashes of upstreams that were running a request: crashes that this router recorded or peers reported, lost
    /// attempts without a recorded crash, requests held, and request contents blocked or unblocked.
    pub crashes: CounterByKind,
    /// Upstreams that announced that they are leaving, by whether a response or a peer reported the announcement.
    pub leaving_upstreams: CounterByKind,
    /// Pauses (`Retry-After`) that upstreams requested; a request during a pause does not count again.
    pub pause_requests: Counter,
    /// Statements of upstreams about their load: `stated`, `unreadable`, and paces that peers `told`.
    pub load_statements: CounterByKind,
    /// Refusals of brittle upstreams for lack of room, by whether this router or a peer received the refusal.
    pub brittle_refusals: CounterByKind,
    /// Rate limits that upstreams advertise, by whether a limit began, changed or ended.
    pub upstream_limits: CounterByKind,
    /// Permits to send requests to upstreams that limit their request rate, by the outcome of the permit request.
    pub permits: CounterByKind,
    /// Events of the lease on work that only one router at a time does, and of that work.
    pub singleton: CounterByKind,
    /// Number of services that this router reaches none of the upstreams of at present.
    pub unreachable_services: Gauge,
    /// Number of upstreams that this router reaches only through peers at present.
    pub lost_paths: Gauge,
    /// Tunnels to upstreams through peers, by outcome: opened or not at this router, served or not for a peer.
    pub tunnels: CounterByKind,
    /// Number of request contents that are blocked at present.
    pub blocked_contents: Gauge,
    /// Datagrams sent to peers, by kind of message.
    pub peer_datagrams: CounterByKind,
    /// Bytes in datagrams sent to peers, by kind of message.
    pub peer_bytes: CounterByKind,
    /// Bytes of configurations and lists of upstreams sent to peers.
    pub version_bytes: Counter,
    /// Connections opened to upstreams, including failed ones.
    pub connections: Counter,
    /// Number of suspensions of the machine.
    pub suspensions: Counter,
    /// Number of log lines that were dropped.
    pub dropped_lines: Gauge,
    /// Number of requests in flight, updated when the metrics are requested.
    pub in_flight: Gauge,
    /// Time from the arrival of a request to a valid response, or to the first event of a stream.
    pub first_response: Latency,
    /// The difference between the predicted and the observed time to the first event of an attempt, by whether the event
    /// came `early` or `late`.
    pub first_event_error: LatencyByKind,
    /// Time from the last event of a lost attempt of a stream to the first event of the next attempt.
    pub resume_pause: Latency,
    /// Time from an upstream's last activity to the moment when the upstream is declared dead.
    pub failure_detection: Latency,
    /// Time from the request for a configuration or a list of upstreams to the last byte of the peer's response.
    pub version_fetch: Latency,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("cloverpier"),
            requests: CounterByKind::default(),
            failed_attempts: CounterByKind::default(),
            resumed_streams: CounterByKind::default(),
            overdue_first_events: CounterByKind::default(),
            kept_attempts: CounterByKind::default(),
            silent_attempts: CounterByKind::default(),
            continued_versions: CounterByKind::default(),
            stream_origins: CounterByKind::default(),
            admission: CounterByKind::default(),
            admission_wait: Latency::default(),
            store_calls: CounterByKind::default(),
            probes: CounterByKind::default(),
            version_fetches: CounterByKind::default(),
            rollouts: CounterByKind::default(),
            crashes: CounterByKind::default(),
            leaving_upstreams: CounterByKind::default(),
            pause_requests: Counter::default(),
            load_statements: CounterByKind::default(),
            brittle_refusals: CounterByKind::default(),
            upstream_limits: CounterByKind::default(),
            permits: CounterByKind::default(),
            singleton: CounterByKind::default(),
            unreachable_services: Gauge::default(),
            lost_paths: Gauge::default(),
            tunnels: CounterByKind::default(),
            blocked_contents: Gauge::default(),
            peer_datagrams: CounterByKind::default(),
            peer_bytes: CounterByKind::default(),
            version_bytes: Counter::default(),
            connections: Counter::default(),
            suspensions: Counter::default(),
            dropped_lines: Gauge::default(),
            in_flight: Gauge::default(),
            first_response: Latency::default(),
            first_event_error: LatencyByKind::default(),
            resume_pause: Latency::default(),
            failure_detection: Latency::default(),
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
        self.register_paths();
        self.register_process();
        self.register_crashes();
        self.register_versions();
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by end", self.requests.0.clone());
        registry.register(
            "sends",
            "Sends to servers by outcome",
            self.failed_attempts.0.clone(),
        );
        registry.register(
            "resumed",
            "Streams resumed by cause",
            self.resumed_streams.0.clone(),
        );
        registry.register(
            "overdue_first_events",
            "Streams without an event, kept or moved",
            self.overdue_first_events.0.clone(),
        );
        registry.register(
            "kept_sends",
            "Sends that seemed lost and went on, by what was silent",
            self.kept_attempts.0.clone(),
        );
        registry.register(
            "silent_sends",
            "Sends that ended without an answer, by what was silent",
            self.silent_attempts.0.clone(),
        );
        registry.register(
            "continued_versions",
            "Continued streams by software version",
            self.continued_versions.0.clone(),
        );
        registry.register(
            "stream_origins",
            "Records of the versions that began streams",
            self.stream_origins.0.clone(),
        );
        registry.register(
            "admission",
            "Streams that found no room by outcome",
            self.admission.0.clone(),
        );
        registry.register(
            "admission_wait_seconds",
            "Wait of streams for room",
            self.admission_wait.0.clone(),
        );
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register(
            "first_answer_seconds",
            "To the first byte",
            self.first_response.0.clone(),
        );
        registry.register(
            "first_event_error_seconds",
            "Predicted to observed first event",
            self.first_event_error.0.clone(),
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
            self.failure_detection.0.clone(),
        );
        registry.register(
            "leavings",
            "Servers that said they leave",
            self.leaving_upstreams.0.clone(),
        );
        registry.register(
            "waits",
            "Servers that want nothing",
            self.pause_requests.clone(),
        );
        registry.register(
            "load_statements",
            "What servers state of their load",
            self.load_statements.0.clone(),
        );
        registry.register(
            "brittle_refusals",
            "Refusals of brittle servers",
            self.brittle_refusals.0.clone(),
        );
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

    fn register_paths(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "unreachable_services",
            "Services that this router does not reach",
            self.unreachable_services.clone(),
        );
        registry.register(
            "lost_paths",
            "Servers reached only through other routers",
            self.lost_paths.clone(),
        );
        registry.register(
            "tunnels",
            "Tunnels to servers by outcome",
            self.tunnels.0.clone(),
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
            self.blocked_contents.clone(),
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

    /// Encodes all metrics in the text exposition format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
