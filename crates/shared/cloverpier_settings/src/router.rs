//! The settings of `cloverpier-front`.
//!
//! Each field has the name of its key where the key is a single word; docs/OPERATIONS.md
//! lists all keys. On the platform the file is filled from `platform/settings.toml.template`.

use crate::crashes::CrashSettings;
use crate::reader::{Reader, SettingFaults, level};
use cloverpier_core::{DataCentre, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// A VM's link where the settings do not say: the narrowest of the users' VMs, so that
/// nothing is handed out faster than such a link carries it.
const DEFAULT_LINK_MBPS: f64 = 10.0;
/// The smallest VM that the platform's pages name.
const DEFAULT_MEMORY_MB: u64 = 110;

/// Where a router listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterListen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's question whether the router is ready.
    pub ready: SocketAddr,
    /// For callers' question which addresses to use.
    pub directory: SocketAddr,
    /// For other routers, over TCP and UDP.
    pub peers: SocketAddr,
    /// For readers of metrics.
    pub metrics: Option<SocketAddr>,
}

/// Bounds on repeats, kept by all routers together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides.
    pub slack: f64,
    /// The sliding window.
    pub window: Duration,
}

/// The bound on the requests that a version which is not known to be good gets, kept by all routers
/// together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureSettings {
    /// The part of all requests that reach its service.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

/// Work that one router at a time does for all, under a lease in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SingletonSettings {
    /// Where the platform takes usage reports and orders of engines.
    pub api: SocketAddr,
    /// Whether usage is reported.
    pub meters: bool,
    /// Whether engines are ordered.
    pub scales: bool,
    /// How long the lease lasts.
    pub lease: Duration,
    /// The length of a window of usage.
    pub usage_window: Duration,
    /// How long after its end a window's report is in time.
    pub usage_late: Duration,
}

/// How silence of a model engine is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceSettings {
    /// Silence between events after which the engine is asked.
    pub ask_after: Duration,
    /// Silence before the first event after which the engine is asked.
    pub ask_before_first: Duration,
    /// Silence after the question that means that the engine is dead.
    pub answer_within: Duration,
    /// The same before the first event, where a lost packet may be waited for.
    pub answer_before_first: Duration,
    /// Silence of one stream from a living engine that ends it.
    pub stuck_after: Duration,
    /// The same before the first event.
    pub stuck_before_first: Duration,
}

/// The settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The VM's name.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens.
    pub listen: RouterListen,
    /// The platform's store.
    pub store: SocketAddr,
    /// Some routers to begin with; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// From a termination signal to the end of the process.
    pub grace: Duration,
    /// How long callers keep the directory's answer.
    pub directory_keep: Duration,
    /// How often routers send each other heartbeats.
    pub heartbeat: Duration,
    /// Megabits a second that the VM's link carries.
    pub link_mbps: f64,
    /// The VM's memory, in bytes.
    pub memory_bytes: u64,
    /// How long after the end of an upstream its address belongs to no other service; 0 where
    /// nothing is known of that.
    pub address_reuse: Duration,
    /// Bounds on repeats.
    pub retry: RetrySettings,
    /// The bound on new versions; `None` where the operator orders no roll-outs.
    pub exposure: Option<ExposureSettings>,
    /// Work that one router at a time does; `None` where there is none.
    pub singleton: Option<SingletonSettings>,
    /// Such work that the settings name and this release does not know; nobody does it.
    pub unknown_work: Vec<String>,
    /// How silence is judged.
    pub silence: SilenceSettings,
    /// Whether engines copy runs' memory to another engine as it grows.
    pub backups: bool,
    /// Which requests are sent to no further upstream, by the upstreams that they ended.
    pub crashes: CrashSettings,
    /// `error`, `warn`, `info` or `debug`.
    pub log_level: String,
}

impl RouterSettings {
    /// Reads settings from TOML.
    ///
    /// # Errors
    ///
    /// [`SettingFaults`] lists every key that can't stand, unknown ones too.
    pub fn parse(text: &str) -> Result<Self, SettingFaults> {
        let mut r = Reader::parse(text)?;
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
            silence: read_silence(&mut r),
            backups: r.flag_or("backups", true),
            crashes: CrashSettings::read(&mut r),
            log_level: level(&mut r),
        };
        r.finish()?;
        Ok(settings)
    }
}

fn read_listen(r: &mut Reader) -> RouterListen {
    RouterListen {
        callers: r.address("callers_listen"),
        ready: r.address("ready_listen"),
        directory: r.address("directory_listen"),
        peers: r.address("peers_listen"),
        metrics: r.address_or("metrics_listen"),
    }
}

fn read_retry(r: &mut Reader) -> RetrySettings {
    RetrySettings {
        ratio: r.decimal_or("retry_ratio", 0.0, 100.0, 0.2),
        slack: r.decimal_or("retry_slack", 0.0, 1e6, 20.0),
        window: seconds(r.decimal_or("retry_window_s", 0.1, 3_600.0, 10.0)),
    }
}

fn read_exposure(r: &mut Reader) -> Option<ExposureSettings> {
    let slack = r.decimal_or("exposure_slack", 0.0, 1e6, 0.0);
    let share = r.decimal("exposure_share", 0.0, 1.0)?;
    Some(ExposureSettings { share, slack })
}

/// The names of the work in the settings.
const METERING: &str = "metering";
const AUTOSCALE: &str = "autoscale";

/// Reads the work that one router at a time does; `unknown` gets the names of such work that are not
/// known.
fn read_singleton(r: &mut Reader, unknown: &mut Vec<String>) -> Option<SingletonSettings> {
    let api = r.address_or("singleton_api");
    let named = r.texts("singleton_work");
    let lease = millis(r, "singleton_lease_ms", 3_000);
    let usage_window = seconds(r.decimal_or("usage_window_s", 0.1, 86_400.0, 60.0));
    let usage_late = seconds(r.decimal_or("usage_late_s", 0.1, 86_400.0, 30.0));
    let is_known = |name: &String| name == METERING || name == AUTOSCALE;
    let (known, others): (Vec<_>, Vec<_>) = named.into_iter().partition(is_known);
    *unknown = others;
    if !known.is_empty() && api.is_none() {
        r.fault("singleton_api", "an address, which `singleton_work` needs");
    }
    let named = api.filter(|_| !known.is_empty());
    named.map(|api| SingletonSettings {
        api,
        meters: known.iter().any(|name| name == METERING),
        scales: known.iter().any(|name| name == AUTOSCALE),
        lease,
        usage_window,
        usage_late,
    })
}

fn read_silence(r: &mut Reader) -> SilenceSettings {
    SilenceSettings {
        ask_after: millis(r, "ask_after_ms", 150),
        ask_before_first: millis(r, "ask_before_first_ms", 700),
        answer_within: millis(r, "answer_within_ms", 200),
        answer_before_first: millis(r, "answer_before_first_ms", 450),
        stuck_after: millis(r, "stuck_after_ms", 1_000),
        stuck_before_first: millis(r, "stuck_before_first_ms", 5_000),
    }
}

fn millis(r: &mut Reader, key: &str, default: u64) -> Duration {
    Duration::from_millis(r.number_or(key, 1, 3_600_000, default))
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}
