//! Routers as real processes, before stand-ins for everything outside them.

mod configuration;
mod crashes;
mod settings;
mod upstreams;

pub use configuration::{
    ACCOUNT, ENGINES, FIXED_STREAM_PATH, FLOOD_ACCOUNT, FLOOD_KEY, HOST, KEY, LATER_PATH,
    MAX_ATTEMPTS, PLAIN, SAFE_PATH, STREAM_PATH, UNSAFE_PATH, add_routes, remove_added_routes,
};

use crashes::Crash;
pub use crashes::{CrashedPort, Return};
pub use upstreams::SiteUpstream;

use crate::ports::free_addresses;
use crate::process::Process;
use cloverpier_adapter::platform_wire_names;
use cloverpier_adapter_standin::{API_SHAPES, store_shapes, token_counts};
use cloverpier_router::HeaderNames;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_standin::answers::EVENTS;
use cloverpier_router_standin::api::ApiStandIn;
use cloverpier_router_standin::caller::{CallerRequest, Outcome, call};
use cloverpier_router_standin::ledger::{Ledger, SharedLedger};
use cloverpier_router_standin::link::Link;
use cloverpier_router_standin::store::StoreStandIn;
use cloverpier_router_standin::upstream::EngineSpec;
use cloverpier_timers::Timers;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// From the termination signal to the end of a router: short, so that runs are.
pub const GRACE: Duration = Duration::from_secs(5);

/// Retries that all routers may send in the budget's window, besides those that requests allow.
pub const RETRY_SLACK: usize = 150;

/// Megabytes that the VM of a router has.
pub const ROUTER_MEMORY_MB: u64 = 110;

/// What streams declare where engines have bounded memory and speed: tokens of their prompts.
const PROMPT_TOKENS: u32 = 1_000;
/// And the most tokens of their responses.
const RESPONSE_TOKENS: u32 = 400;

/// The lease on work that one router at a time does: short, so that runs are.
pub const LEASE: Duration = Duration::from_millis(1_000);
/// The windows of usage.
pub const USAGE_WINDOW: Duration = Duration::from_secs(1);
/// How long after its end a window's report is in time.
pub const USAGE_LATE: Duration = Duration::from_secs(3);

/// Hands out so many addresses that nobody listens to.
pub type FreeAddresses = fn(usize) -> io::Result<Vec<SocketAddr>>;

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct SiteSpec {
    /// The router's program; `None` where the owner of the site runs the routers by their settings.
    pub program: Option<PathBuf>,
    /// Hands out addresses that nobody listens to.
    pub free_addresses: FreeAddresses,
    /// Where settings and logs lie.
    pub dir: PathBuf,
    /// How many routers.
    pub routers: usize,
    /// How many model engines.
    pub engines: usize,
    /// How many plain upstreams.
    pub plain: usize,
    /// Pause between the events of a stream.
    pub event_interval: Duration,
    /// Seeds the upstreams' choices.
    pub seed: u64,
    /// Requests that a plain upstream says to work on at once.
    pub plain_slots: u32,
    /// Connections that an upstream takes from all routers, by the configuration.
    pub max_connections: u32,
    /// What upstreams say of their first start; nothing where they say nothing.
    pub upstream_start: Option<UpstreamStart>,
    /// The body of requests that crash the upstreams which begin to run them.
    pub crashed_by: Option<&'static str>,
    /// How long an upstream has such a request before it crashes, whether or not its caller waits.
    pub crash_after: Duration,
    /// What becomes of new connections to one that has crashed, before its port refuses.
    pub crashed_port: CrashedPort,
    /// Whether routers meter usage and order engines, under a lease of [`LEASE`].
    pub singleton: bool,
    /// Whether routers order the streams that do not all fit at engines.
    pub orders_streams: bool,
    /// For how many seconds no other service gets the address of an upstream that has ended; 0
    /// where one may get it at once.
    pub address_reuse_s: u32,
    /// How engines work on streams; `None` where they begin each one at once.
    pub engine: Option<EngineSpec>,
}

impl SiteSpec {
    /// A small site with a program and a folder.
    pub fn new(program: PathBuf, dir: &Path) -> Self {
        Self {
            program: Some(program),
            free_addresses,
            dir: dir.to_path_buf(),
            routers: 1,
            engines: 3,
            plain: 2,
            event_interval: Duration::from_millis(10),
            seed: 1,
            plain_slots: 64,
            max_connections: 100,
            upstream_start: None,
            crashed_by: None,
            crash_after: Duration::ZERO,
            crashed_port: CrashedPort::Refuses,
            singleton: false,
            orders_streams: false,
            address_reuse_s: 0,
            engine: None,
        }
    }
}

/// One router and how it is reached.
#[derive(Debug)]
pub struct SiteRouter {
    /// The process, while it runs.
    pub process: Option<Process>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Where it tells its metrics.
    pub metrics: SocketAddr,
    /// Where it says which routers to use.
    pub directory: SocketAddr,
    /// Where other routers reach it.
    pub peers: SocketAddr,
    /// Its way to the store.
    pub store_link: Link,
    /// Its way to the platform's API.
    pub api_link: Link,
    /// Its log.
    pub log: PathBuf,
    /// Its settings file.
    pub settings: PathBuf,
}

/// A running site; its processes end with it.
#[derive(Debug)]
pub struct Site {
    /// The platform's store.
    pub store: StoreStandIn,
    /// The platform's API for work that one router at a time does.
    pub api: ApiStandIn,
    /// What upstreams did.
    pub ledger: SharedLedger,
    /// The upstreams: engines first.
    pub upstreams: Vec<SiteUpstream>,
    /// The routers.
    pub routers: Vec<SiteRouter>,
    /// The configuration in force.
    pub configuration: Configuration,
    /// The words spoken.
    pub names: HeaderNames,
    spec: SiteSpec,
    /// The shortest time-out that any configuration had, by the prefix of a route.
    shortest_timeouts: BTreeMap<String, Duration>,
    starts: u64,
    /// Upstreams that a request has crashed.
    crashed: Vec<Crash>,
}

impl Site {
    /// Starts store and upstreams, and puts the first configuration in force.
    ///
    /// # Errors
    ///
    /// What the system reports.
    pub async fn start(spec: SiteSpec) -> io::Result<Self> {
        let store = StoreStandIn::start(store_shapes()).await?;
        let mut site = Self {
            configuration: configuration::first_configuration(),
            names: platform_wire_names().headers,
            ledger: Arc::new(Mutex::new(Ledger::default())),
            upstreams: Vec::new(),
            routers: Vec::new(),
            shortest_timeouts: BTreeMap::new(),
            starts: 0,
            crashed: Vec::new(),
            api: ApiStandIn::start(API_SHAPES, |_, _| 0).await?,
            store,
            spec,
        };
        for service in &mut site.configuration.services {
            service.max_connections = site.spec.max_connections;
        }
        if let Some(engine) = site.spec.engine {
            configuration::add_load(&mut site.configuration, engine.memory_tokens);
        }
        site.put_configuration();
        for index in 0..site.spec.engines + site.spec.plain {
            site.add_upstream(index).await?;
        }
        site.write_router_settings().await?;
        for index in 0..site.spec.routers {
            site.start_router(index)?;
        }
        Ok(site)
    }

    /// Starts a router, or starts it again; does nothing where the owner of the site runs the routers.
    ///
    /// # Errors
    ///
    /// What the system reports.
    pub fn start_router(&mut self, index: usize) -> io::Result<()> {
        let Some(program) = &self.spec.program else {
            return Ok(());
        };
        let router = &mut self.routers[index];
        let args = [router.settings.display().to_string()];
        router.process = None;
        router.process = Some(Process::start_logged(program, &args, &router.log)?);
        Ok(())
    }

    /// Waits until all routers that run are ready; false when that takes too long.
    pub async fn wait_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        for router in self.routers.iter().filter(|f| f.process.is_some()) {
            while status_of(router.ready, platform_wire_names().paths.ready).await != Some(200) {
                if Instant::now() > until {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        true
    }

    /// Puts a changed configuration in force, under the next version.
    pub fn change_configuration(&mut self, change: impl FnOnce(&mut Configuration)) {
        change(&mut self.configuration);
        self.configuration.version += 3;
        self.put_configuration();
    }

    fn put_configuration(&mut self) {
        for route in &self.configuration.routes {
            let shortest = self.shortest_timeouts.entry(route.prefix.clone());
            let shortest = shortest.or_insert(route.timeout);
            *shortest = route.timeout.min(*shortest);
        }
        self.store.put_configuration(&self.configuration);
    }

    /// The shortest time-out that any configuration had for a path; none where no route begins it.
    pub fn shortest_timeout(&self, path: &str) -> Duration {
        let mut routes = self.shortest_timeouts.iter();
        let of_path = routes.find(|(prefix, _)| path.starts_with(prefix.as_str()));
        of_path.map_or(Duration::ZERO, |(_, timeout)| *timeout)
    }

    /// A request that the first configuration allows.
    pub fn request(&self, id: &str, path: &str) -> CallerRequest {
        let is_stream = [STREAM_PATH, FIXED_STREAM_PATH, LATER_PATH].contains(&path);
        let has_counts = is_stream && self.is_under_load();
        CallerRequest {
            id: id.to_owned(),
            host: HOST.to_owned(),
            path: format!("{path}17"),
            key: Some(KEY.to_owned()),
            prompt: is_stream.then(|| format!("prompt-of-{id}")),
            token_counts: has_counts.then(|| token_counts(PROMPT_TOKENS, RESPONSE_TOKENS)),
            last_event: None,
            resumes: None,
            deadline: Duration::from_secs(if is_stream { 20 } else { 3 }),
            body: "body".to_owned(),
        }
    }

    /// How long a whole stream takes, by the pauses between its events.
    pub fn stream_duration(&self) -> Duration {
        let events = u32::try_from(EVENTS).unwrap_or(u32::MAX);
        self.spec.event_interval * events
    }

    /// Whether engines have bounded memory and speed.
    pub fn is_under_load(&self) -> bool {
        self.spec.engine.is_some()
    }

    /// Sends a request to a router.
    pub async fn call(&self, router: usize, request: &CallerRequest) -> Outcome {
        call(self.routers[router].callers, &self.names, request).await
    }
}

/// The status of a simple GET; `None` without an answer.
pub async fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let answer =
        cloverpier_router::HttpClient::new(address, Duration::from_millis(500), Timers::default());
    let local = tokio::task::LocalSet::new();
    let status = local.run_until(async { answer.get(path, Duration::from_secs(1)).await });
    status.await.ok().map(|a| a.status.as_u16())
}

/// How many routers a directory lists.
pub async fn listed_routers(directory: SocketAddr) -> usize {
    let path = platform_wire_names().paths.directory;
    let caller = cloverpier_router::HttpClient::new(
        directory,
        Duration::from_millis(500),
        Timers::default(),
    );
    let local = tokio::task::LocalSet::new();
    let answer = local.run_until(async { caller.get(path, Duration::from_secs(1)).await });
    let body = answer.await.ok().map(|a| a.body).unwrap_or_default();
    // Whatever the words around them, each router stands there with its address.
    let text = String::from_utf8_lossy(&body);
    text.matches("127.0.0.1:").count()
}
