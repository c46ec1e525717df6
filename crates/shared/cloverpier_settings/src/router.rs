//! The settings of `cloverpier-front`, the router.
//!
//! Owns the names, ranges and defaults of the keys; docs/OPERATIONS.md lists the keys. On the platform, the
//! file is generated from `platform/settings.toml.template`.

use crate::crashes::CrashSettings;
use crate::reader::{SettingErrors, TableReader, read_log_level};
use cloverpier_core::{DataCentre, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// The default bandwidth of a VM's link, in megabits per second: that of the slowest VMs in use, so that
/// copies are never sent to peers faster than a link can carry them.
const DEFAULT_LINK_MBPS: f64 = 10.0;
/// The default memory of a VM, in mebibytes: that of the smallest VM of the platform.
const DEFAULT_MEMORY_MB: u64 = 110;

/// The addresses on which a router accepts connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterListen {
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The address of the directory, from which callers get the addresses to send requests to.
    pub directory: SocketAddr,
    /// The address for other routers, over TCP and UDP.
    pub peers: SocketAddr,
    /// The address that serves metrics; `None` does not serve them.
    pub metrics: Option<SocketAddr>,
}

/// The retry budget of each service, which all routers together do not exceed: within any `window`, at most
/// `ratio` times the number of requests, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// The permitted number of retries per request.
    pub ratio: f64,
    /// The permitted number of retries in addition to `ratio`.
    pub slack: f64,
    /// The length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// The limit on the number of requests to a software version that is not yet known to be good, as during a
/// roll-out. All routers together do not exceed the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureSettings {
    /// The permitted fraction of the service's requests, from 0 to 1.
    pub share: f64,
    /// The permitted number of requests in addition to `share`.
    pub slack: f64,
}

/// Tasks that one router at a time performs for the whole fleet, while it holds a lease in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SingletonSettings {
    /// The address of the platform's API for usage reports and orders of engines.
    pub api: SocketAddr,
    /// Whether the lease holder reports the number of requests of each client account (`metering`).
    pub meters: bool,
    /// Whether the lease holder orders engines (`autoscale`).
    pub scales: bool,
    /// How long the lease is valid without a renewal.
    pub lease: Duration,
    /// The length of a window for which usage is summed up and reported.
    pub usage_window: Duration,
    /// How long after the end of a window the platform accepts its report.
    pub usage_late: Duration,
}

/// Timeouts for streams from model engines that stop sending events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessSettings {
    /// Silence of an engine between two events after which the router probes the engine.
    pub probe_after: Duration,
    /// Silence of an engine before the first event after which the router probes the engine. Longer than
    /// `probe_after`, as the engine processes the prompt during this time.
    pub first_event_probe_after: Duration,
    /// Silence of an engine after the start of a probe, after which the router declares the engine dead. The
    /// upstreams of plain requests have the same timeout.
    pub probe_timeout: Duration,
    /// Silence of an engine after the start of a probe, before the first event of a stream, after which the
    /// router declares the engine dead. Longer than `probe_timeout`, to allow for the retransmission of a lost
    /// packet.
    pub first_event_probe_timeout: Duration,
    /// Time without an event of one stream after which the router moves the stream to another engine, even if
    /// the engine is alive.
    pub stall_after: Duration,
    /// Time without the first event of a stream after which the router moves the stream to another engine, even
    /// if the engine is alive.
    pub first_event_stall_after: Duration,
}

/// In which order streams are sent to model engines when not all of them fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOrder {
    /// By priority and by the client accounts' fair shares; the others wait in the router.
    Ordered,
    /// As they come, while engines have free slots; the others are refused at once.
    FirstCome,
}

/// The admission of streams to model engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The order of streams.
    pub order: AdmissionOrder,
    /// The longest time for which a stream waits in a router.
    pub max_wait: Duration,
}

/// The settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The name of the VM that the router runs on.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The addresses on which the router accepts connections.
    pub listen: RouterListen,
    /// The address of the platform's store, which contains the configuration and the upstreams.
    pub store: SocketAddr,
    /// Addresses of routers that this router contacts at its start; some may have shut down.
    pub seeds: Vec<SocketAddr>,
    /// The maximum time from a termination signal until the process exits.
    pub grace: Duration,
    /// How long callers may cache a response of the directory.
    pub directory_keep: Duration,
    /// The interval between heartbeats to other routers, in a small fleet.
    pub heartbeat: Duration,
    /// The bandwidth of the VM's link, in megabits per second.
    pub link_mbps: f64,
    /// The memory of the VM, in bytes.
    pub memory_bytes: u64,
    /// The minimum time between the end of an upstream and the assignment of its address to another service; 0
    /// if the platform guarantees no such time.
    pub address_reuse: Duration,
    /// The retry budget of each service.
    pub retry: RetrySettings,
    /// The limit on requests to a new version; `None` if the operator orders no roll-outs.
    pub exposure: Option<ExposureSettings>,
    /// Tasks that one router at a time performs; `None` if the settings list no known task.
    pub singleton: Option<SingletonSettings>,
    /// The entries of `singleton_work` that this release does not implement; the router logs them at its start
    /// and ignores them.
    pub unknown_work: Vec<String>,
    /// Timeouts for streams from model engines that stop sending events.
    pub liveness: LivenessSettings,
    /// Whether engines replicate the KV caches of requests in progress to another engine, as far as the
    /// service supports that.
    pub backups: bool,
    /// When requests are blocked because their content crashes upstreams.
    pub crashes: CrashSettings,
    /// The admission of streams to model engines.
    pub admission: AdmissionSettings,
    /// The minimum level of log lines: `error`, `warn`, `info` or `debug`.
    pub log_level: String,
}

impl RouterSettings {
    /// Parses and validates the text of a settings file in TOML.
    ///
    /// # Errors
    ///
    /// Returns [`SettingErrors`] with every missing, invalid or unknown key.
    pub fn parse(text: &str) -> Result<Self, SettingErrors> {
        let mut r = TableReader::parse(text)?;
        let mut unknown_work = Vec::new();
        let settings = Self {
            vm: VmName::new(r.text("vm", "the VM's name")),
            data_centre: DataCentre::new(r.text("data_centre", "the data centre's name")),
            listen: read_listen(&mut r),
            store: r.address("store"),
            seeds: r.addresses("seeds"),
            grace: seconds(r.decimal_or("grace_s", 0.5, 3_600.0, 8.0)),
            directory_keep: seconds(r.decimal_or("directory_keep_s", 0.1, 3_600.0, 1.0)),
            heartbeat: millis(&mut r, "heartbeat_ms", 200),
            link_mbps: r.decimal_or("link_mbps", 0.001, 1e6, DEFAULT_LINK_MBPS),
            memory_bytes: r.number_or("memory_mb", 16, 1 << 20, DEFAULT_MEMORY_MB) << 20,
            address_reuse: seconds(r.decimal_or("address_reuse_s", 0.0, 3_600.0, 0.0)),
            retry: read_retry(&mut r),
            exposure: read_exposure(&mut r),
            singleton: read_singleton(&mut r, &mut unknown_work),
            unknown_work,
            liveness: read_liveness(&mut r),
            backups: r.flag_or("backups", true),
            crashes: CrashSettings::read(&mut r),
            admission: read_admission(&mut r),
            log_level: read_log_level(&mut r),
        };
        r.finish()?;
        Ok(settings)
    }
}

fn read_listen(r: &mut TableReader) -> RouterListen {
    RouterListen {
        callers: r.address("callers_listen"),
        ready: r.address("ready_listen"),
        directory: r.address("directory_listen"),
        peers: r.address("peers_listen"),
        metrics: r.optional_address("metrics_listen"),
    }
}

fn read_retry(r: &mut TableReader) -> RetrySettings {
    RetrySettings {
        ratio: r.decimal_or("retry_ratio", 0.0, 100.0, 0.2),
        slack: r.decimal_or("retry_slack", 0.0, 1e6, 20.0),
        window: seconds(r.decimal_or("retry_window_s", 0.1, 3_600.0, 10.0)),
    }
}

fn read_exposure(r: &mut TableReader) -> Option<ExposureSettings> {
    let slack = r.decimal_or("exposure_slack", 0.0, 1e6, 0.0);
    let share = r.optional_decimal("exposure_share", 0.0, 1.0)?;
    Some(ExposureSettings { share, slack })
}

/// The values of `singleton_work` that this release implements.
const METERING: &str = "metering";
const AUTOSCALE: &str = "autoscale";

/// Reads the tasks that one router at a time performs; `unknown_work` gets the tasks that this release does
/// not implement.
fn read_singleton(
    r: &mut TableReader,
    unknown_work: &mut Vec<String>,
) -> Option<SingletonSettings> {
    let api = r.optional_address("singleton_api");
    let configured = r.text_list("singleton_work");
    let lease = millis(r, "singleton_lease_ms", 3_000);
    let usage_window = seconds(r.decimal_or("usage_window_s", 0.1, 86_400.0, 60.0));
    let usage_late = seconds(r.decimal_or("usage_late_s", 0.1, 86_400.0, 30.0));
    let is_known = |name: &String| name == METERING || name == AUTOSCALE;
    let (known, unknown): (Vec<_>, Vec<_>) = configured.into_iter().partition(is_known);
    *unknown_work = unknown;
    if !known.is_empty() && api.is_none() {
        r.record_error("singleton_api", "an address, which `singleton_work` needs");
    }
    let used_api = api.filter(|_| !known.is_empty());
    used_api.map(|api| SingletonSettings {
        api,
        meters: known.iter().any(|name| name == METERING),
        scales: known.iter().any(|name| name == AUTOSCALE),
        lease,
        usage_window,
        usage_late,
    })
}

fn read_liveness(r: &mut TableReader) -> LivenessSettings {
    LivenessSettings {
        probe_after: millis(r, "ask_after_ms", 150),
        first_event_probe_after: millis(r, "ask_before_first_ms", 700),
        probe_timeout: millis(r, "answer_within_ms", 200),
        first_event_probe_timeout: millis(r, "answer_before_first_ms", 450),
        stall_after: millis(r, "stuck_after_ms", 1_000),
        first_event_stall_after: millis(r, "stuck_before_first_ms", 5_000),
    }
}

/// The values of `admission`.
const ORDERED: &str = "ordered";
const FIRST_COME: &str = "first-come";

fn read_admission(r: &mut TableReader) -> AdmissionSettings {
    let expected = "\"ordered\" or \"first-come\"";
    let order = match r.text_or("admission", expected, FIRST_COME).as_str() {
        ORDERED => AdmissionOrder::Ordered,
        FIRST_COME => AdmissionOrder::FirstCome,
        _ => {
            r.record_error("admission", expected);
            AdmissionOrder::FirstCome
        }
    };
    AdmissionSettings {
        order,
        max_wait: seconds(r.decimal_or("admission_max_wait_s", 0.0, 3_600.0, 20.0)),
    }
}

fn millis(r: &mut TableReader, key: &str, default: u64) -> Duration {
    Duration::from_millis(r.number_or(key, 1, 3_600_000, default))
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}
