//! A small fleet: the platform, engines, a plain service and routers, each a process.

use crate::process::{Process, Usage, free_addresses};
use cloverpier_client::{Caller, Confirmed, Operator};
use cloverpier_config::{Account, Intent, Repeatable, Service, Upstream};
use cloverpier_standin::{
    EngineCounts, EngineFaults, EngineModel, LinkFaults, PlatformCounts, PlatformFaults,
    ServiceCounts, ServiceFaults,
};
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The key of the fleet's client account.
pub const KEY: &str = "lab.lab-secret";
const OPERATOR_KEY: &str = "operators-of-the-demo";
const PEER_SECRET: &str = "peers-of-the-demo-only";
const DATA_CENTRES: [&str; 3] = ["hall-a", "hall-b", "kacyiru"];
/// Accounts whose plan still fits into one value of the platform.
const ACCOUNTS_A_PLAN: usize = 1_500;
const READY_WITHIN: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(50);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    routers: usize,
    engines: usize,
    services: usize,
    model: EngineModel,
    service: Service,
    account: Account,
    horizon_s: u64,
    accounts: usize,
    links: bool,
    copy_interval_ms: u64,
}

impl FleetSpec {
    /// Three routers, four engines and one plain service.
    pub fn new() -> Self {
        let services = vec!["drafts".into(), "status".into()];
        let mut account = Account::new(KEY, services);
        account.requests_per_s = 10_000;
        account.tokens_per_s = 10_000_000;
        account.max_priority = 9;
        Self {
            routers: 3,
            engines: 4,
            services: 1,
            model: EngineModel::default(),
            service: Service::model("draft-7b"),
            account,
            horizon_s: 600,
            accounts: 1,
            links: false,
            copy_interval_ms: 2,
        }
    }

    /// Sets the number of routers.
    #[must_use]
    pub fn routers(mut self, routers: usize) -> Self {
        self.routers = routers;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the engines' timing.
    #[must_use]
    pub fn model(mut self, model: EngineModel) -> Self {
        self.model = model;
        self
    }

    /// Changes the model service.
    #[must_use]
    pub fn service(mut self, change: impl FnOnce(&mut Service)) -> Self {
        change(&mut self.service);
        self
    }

    /// Puts links that can be cut before each router's port for peers, and between it and the
    /// platform.
    #[must_use]
    pub fn links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Sets how long tokens are collected before they are copied, in milliseconds.
    #[must_use]
    pub fn copy_interval_ms(mut self, copy_interval_ms: u64) -> Self {
        self.copy_interval_ms = copy_interval_ms;
        self
    }

    /// Sets the number of client accounts; only the first is used.
    #[must_use]
    pub fn accounts(mut self, accounts: usize) -> Self {
        self.accounts = accounts;
        self
    }

    /// Sets how long keys that may not be repeated are remembered, in seconds.
    #[must_use]
    pub fn horizon_s(mut self, horizon_s: u64) -> Self {
        self.horizon_s = horizon_s;
        self
    }
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self::new()
    }
}

/// A router process.
#[derive(Debug)]
pub struct Router {
    /// The process.
    pub process: Process,
    /// Its VM.
    pub vm: String,
    /// Where callers reach it.
    pub callers_at: SocketAddr,
    /// Where peers and operators reach it.
    pub peers_at: SocketAddr,
    settings: PathBuf,
    starts: u32,
}

/// A stand-in process.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name in the configuration.
    pub name: String,
    args: Vec<String>,
}

/// A link process.
#[derive(Debug)]
pub struct Link {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    control: SocketAddr,
}

fn link(dir: &Path, name: &str, to: SocketAddr) -> io::Result<Link> {
    let free = free_addresses(2)?;
    let (address, control) = (free[0], free[1]);
    let args = [
        "link",
        "--listen",
        &address.to_string(),
        "--to",
        &to.to_string(),
    ];
    let mut args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
    args.extend(["--control".to_owned(), control.to_string()]);
    Ok(Link {
        process: Process::start("standin", &args, &dir.join(format!("{name}.log")))?,
        address,
        control,
    })
}

/// A fleet of processes.
#[derive(Debug)]
pub struct Fleet {
    /// Routers.
    pub routers: Vec<Router>,
    /// Engines.
    pub engines: Vec<Standin>,
    /// Links to each router's port for peers, where the fleet has links.
    pub peer_links: Vec<Link>,
    /// Links of each router to the platform, where the fleet has links.
    pub platform_links: Vec<Link>,
    /// Servers of the plain service.
    pub services: Vec<Standin>,
    /// The platform.
    pub platform: Standin,
    spec: FleetSpec,
    http: Client,
    dir: PathBuf,
}

fn standin(
    dir: &Path,
    name: &str,
    kind: &str,
    address: SocketAddr,
    more: &[String],
) -> io::Result<Standin> {
    let mut args = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    args.extend_from_slice(more);
    let process = Process::start("standin", &args, &dir.join(format!("{name}.log")))?;
    Ok(Standin {
        process,
        address,
        name: name.to_owned(),
        args,
    })
}

impl Fleet {
    /// Starts a fleet and puts its configuration in force by plan and confirm.
    ///
    /// # Errors
    ///
    /// The error of a process, or what did not come up in time.
    pub async fn start(spec: FleetSpec) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!(
            "cloverpier-{}-{}",
            std::process::id(),
            cloverpier_core::wall_ms()
        ));
        std::fs::create_dir_all(&dir)?;
        let count = 1 + spec.engines + spec.services + 2 * spec.routers;
        let mut addresses = free_addresses(count)?.into_iter();
        let mut next = || {
            addresses
                .next()
                .ok_or_else(|| io::Error::other("no address"))
        };
        let platform = standin(&dir, "platform", "platform", next()?, &[])?;
        let model = dir.join("engine.toml");
        std::fs::write(&model, toml::to_string(&spec.model).unwrap_or_default())?;
        let model = ["--model".to_owned(), model.display().to_string()];
        let mut engines = Vec::new();
        for i in 1..=spec.engines {
            engines.push(standin(&dir, &format!("e{i}"), "engine", next()?, &model)?);
        }
        let mut services = Vec::new();
        for i in 1..=spec.services {
            services.push(standin(&dir, &format!("s{i}"), "service", next()?, &[])?);
        }
        let mut ports = Vec::new();
        for _ in 0..spec.routers {
            ports.push((next()?, next()?));
        }
        let mut fleet = Self {
            routers: Vec::new(),
            peer_links: Vec::new(),
            platform_links: Vec::new(),
            engines,
            services,
            platform,
            spec,
            http: Client::new(),
            dir,
        };
        fleet.wait_for_platform().await?;
        fleet.start_routers(&ports)?;
        fleet.wait_for_members().await?;
        let confirmed = fleet.configure().await?;
        if confirmed.outcome != "accepted" {
            return Err(io::Error::other(format!("not accepted: {confirmed:?}")));
        }
        fleet.wait_for_slots().await?;
        Ok(fleet)
    }

    fn start_routers(&mut self, ports: &[(SocketAddr, SocketAddr)]) -> io::Result<()> {
        if self.spec.links {
            for (i, (_, peers_listen)) in ports.iter().enumerate() {
                let to_peer = link(&self.dir, &format!("peer-link-{i}"), *peers_listen)?;
                let to_platform = link(
                    &self.dir,
                    &format!("platform-link-{i}"),
                    self.platform.address,
                )?;
                self.peer_links.push(to_peer);
                self.platform_links.push(to_platform);
            }
        }
        let reached_at = |i: usize| self.peer_links.get(i).map_or(ports[i].1, |l| l.address);
        for (i, (callers_at, peers_at)) in ports.iter().enumerate() {
            let vm = format!("vm-{}", i + 1);
            let dc = DATA_CENTRES[i % DATA_CENTRES.len()];
            let others = (0..ports.len()).filter(|j| *j != i);
            let others: Vec<String> = others.map(|j| format!("\"{}\"", reached_at(j))).collect();
            let links = self.platform_links.get(i);
            let platform = links.map_or(self.platform.address, |l| l.address);
            let text = format!(
                "vm = \"{vm}\"\ndata_centre = \"{dc}\"\ncallers_listen = \"{callers_at}\"\n\
                 peers_listen = \"{peers_at}\"\npeers_at = \"{}\"\nplatform = \"{platform}\"\n\
                 seeds = [{}]\npeer_secret = \"{PEER_SECRET}\"\noperator_key = \"{OPERATOR_KEY}\"\n\
                 record_horizon_s = {}\ncopy_interval_ms = {}\n",
                reached_at(i),
                others.join(", "),
                self.spec.horizon_s,
                self.spec.copy_interval_ms,
            );
            let settings = self.dir.join(format!("{vm}.toml"));
            std::fs::write(&settings, text)?;
            let args = [settings.display().to_string()];
            let log = self.dir.join(format!("{vm}.log"));
            self.routers.push(Router {
                process: Process::start("cloverpierd", &args, &log)?,
                vm,
                callers_at: *callers_at,
                peers_at: *peers_at,
                settings,
                starts: 1,
            });
        }
        Ok(())
    }

    /// Starts a router again that was killed.
    ///
    /// # Errors
    ///
    /// The error of the start.
    pub fn restart_router(&mut self, index: usize) -> io::Result<()> {
        let router = &mut self.routers[index];
        router.starts += 1;
        let args = [router.settings.display().to_string()];
        let log = self
            .dir
            .join(format!("{}-{}.log", router.vm, router.starts));
        router.process = Process::start("cloverpierd", &args, &log)?;
        Ok(())
    }

    /// Starts an engine again that was killed.
    ///
    /// # Errors
    ///
    /// The error of the start.
    pub fn restart_engine(&mut self, index: usize) -> io::Result<()> {
        let engine = &mut self.engines[index];
        let log = self.dir.join(format!("{}-again.log", engine.name));
        engine.process = Process::start("standin", &engine.args, &log)?;
        Ok(())
    }

    async fn wait_for_platform(&self) -> io::Result<()> {
        let url = format!("http://{}/counts", self.platform.address);
        self.wait_until("the platform", || async {
            self.get::<Value>(&url).await.is_some()
        })
        .await
    }

    async fn wait_for_members(&self) -> io::Result<()> {
        let all = self.routers.len();
        self.wait_until("the routers", || async {
            for router in &self.routers {
                let Ok(status) = self.operator_at(router).status().await else {
                    return false;
                };
                let members = status["members"].as_array().map_or(0, Vec::len);
                if members != all || status["ready"] != true {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits until every router knows the records of its slots.
    ///
    /// # Errors
    ///
    /// When it does not come about in time.
    pub async fn wait_for_slots(&self) -> io::Result<()> {
        self.wait_until("the slots", || async {
            for router in &self.routers {
                let Ok(status) = self.operator_at(router).status().await else {
                    return false;
                };
                if status["slots_not_ready"] != 0 {
                    return false;
                }
            }
            true
        })
        .await
    }

    async fn wait_until<F>(&self, what: &str, mut check: impl FnMut() -> F) -> io::Result<()>
    where
        F: Future<Output = bool>,
    {
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until {
            if check().await {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        let dir = self.dir.display();
        Err(io::Error::other(format!(
            "{what} did not come up; logs in {dir}"
        )))
    }

    /// The intent that the fleet starts with.
    pub fn intent(&self) -> Intent {
        let mut intent = Intent::default();
        intent
            .services
            .insert("drafts".into(), self.spec.service.clone());
        let status = Service::plain(Repeatable::Reads);
        intent.services.insert("status".into(), status);
        let all = self.engines.iter().map(|e| (e, "drafts"));
        let all = all.chain(self.services.iter().map(|s| (s, "status")));
        for (i, (standin, service)) in all.enumerate() {
            let dc = DATA_CENTRES[i % DATA_CENTRES.len()];
            let mut upstream = Upstream::new(service.into(), standin.address, dc.into());
            upstream.slots = self.spec.model.slots;
            upstream.checks_fence = self.spec.model.checks_fence;
            intent
                .upstreams
                .insert(standin.name.as_str().into(), upstream);
        }
        let accounts = &mut intent.accounts;
        accounts.insert("lab".into(), self.spec.account.clone());
        for i in 1..self.spec.accounts {
            let name = format!("account-{i}");
            let account = Account::new(&format!("{name}.secret"), vec!["drafts".into()]);
            accounts.insert(name.as_str().into(), account);
        }
        intent
    }

    /// Puts the intent in force, accounts in several plans where one would be too large.
    async fn configure(&self) -> io::Result<Confirmed> {
        let mut rest = self.intent();
        let mut accounts = std::mem::take(&mut rest.accounts).into_iter().peekable();
        loop {
            rest.accounts
                .extend(accounts.by_ref().take(ACCOUNTS_A_PLAN));
            let operator = self.operator();
            let planned = operator.plan(&rest).await.map_err(io::Error::other)?;
            let confirmed = operator.confirm(&planned.id).await;
            let confirmed = confirmed.map_err(io::Error::other)?;
            if accounts.peek().is_none() {
                return Ok(confirmed);
            }
            rest = Intent::default();
        }
    }

    /// Lets an upstream that left take work again, as its next incarnation.
    pub async fn bring_back(&self, engine: usize) -> bool {
        let name = self.engines[engine].name.as_str().into();
        for router in &self.routers {
            let operator = self.operator_at(router);
            let Ok(config) = operator.config().await else {
                continue;
            };
            let mut intent = Intent::default();
            if let Some(mut upstream) = self.intent().upstreams.remove(&name) {
                let known = config["upstreams"][name.as_str()]["incarnation"].as_u64();
                upstream.incarnation = known.unwrap_or(1) + 1;
                intent.upstreams.insert(name.clone(), upstream);
            }
            if let Ok(planned) = operator.plan(&intent).await
                && operator.confirm(&planned.id).await.is_ok()
            {
                return true;
            }
        }
        false
    }

    /// An operator at the first router that runs.
    pub fn operator(&self) -> Operator {
        self.operator_at(&self.routers[0])
    }

    /// An operator at a router.
    pub fn operator_at(&self, router: &Router) -> Operator {
        Operator::new(router.peers_at, OPERATOR_KEY)
    }

    /// A caller that asks a router for addresses first.
    pub fn caller_at(&self, index: usize) -> Caller {
        Caller::new(self.routers[index].callers_at, KEY)
    }

    /// Reads JSON; `None` when nobody answers.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let req = self.http.get(url).timeout(Duration::from_secs(2));
        req.send().await.ok()?.json().await.ok()
    }

    async fn post<T: Serialize>(&self, url: &str, body: &T) -> bool {
        let req = self
            .http
            .post(url)
            .timeout(Duration::from_secs(2))
            .json(body);
        req.send().await.is_ok_and(|r| r.status().is_success())
    }

    /// Switches faults of an engine.
    pub async fn engine_faults(&self, index: usize, faults: &EngineFaults) -> bool {
        let url = format!("http://{}/faults", self.engines[index].address);
        self.post(&url, faults).await
    }

    /// Switches faults of a link.
    pub async fn link_faults(&self, link: &Link, faults: LinkFaults) -> bool {
        let url = format!("http://{}/faults", link.control);
        self.post(&url, &faults).await
    }

    /// Switches faults of the platform.
    pub async fn platform_faults(&self, faults: &PlatformFaults) -> bool {
        let url = format!("http://{}/faults", self.platform.address);
        self.post(&url, faults).await
    }

    /// Switches faults of a server of the plain service.
    pub async fn service_faults(&self, index: usize, faults: &ServiceFaults) -> bool {
        let url = format!("http://{}/standin/faults", self.services[index].address);
        self.post(&url, faults).await
    }

    /// What the engines that run have counted.
    pub async fn engine_counts(&self) -> Vec<EngineCounts> {
        let mut counts = Vec::new();
        for engine in &self.engines {
            let url = format!("http://{}/counts", engine.address);
            counts.push(self.get(&url).await.unwrap_or_default());
        }
        counts
    }

    /// What the servers of the plain service have counted.
    pub async fn service_counts(&self) -> Vec<ServiceCounts> {
        let mut counts = Vec::new();
        for service in &self.services {
            let url = format!("http://{}/standin/counts", service.address);
            counts.push(self.get(&url).await.unwrap_or_default());
        }
        counts
    }

    /// Calls that the platform took.
    pub async fn platform_counts(&self) -> PlatformCounts {
        let url = format!("http://{}/counts", self.platform.address);
        self.get(&url).await.unwrap_or_default()
    }

    /// What the machine has counted for the routers that run, added up.
    pub fn router_usage(&self) -> Usage {
        let mut sum = Usage::default();
        for router in &self.routers {
            let usage = router.process.usage();
            sum.cpu_ms += usage.cpu_ms;
            sum.rss_kb = sum.rss_kb.max(usage.rss_kb);
        }
        sum
    }

    /// The memory that the router in the middle held at most and holds now, in megabytes.
    pub fn router_rss_median_mb(&self) -> (f64, f64) {
        let median = |of: fn(&Usage) -> u64| {
            let usage = self.routers.iter().map(|r| of(&r.process.usage()));
            let mut all: Vec<u64> = usage.collect();
            all.sort_unstable();
            all.get(all.len() / 2).copied().unwrap_or(0) as f64 / 1_024.0
        };
        (median(|u| u.rss_kb), median(|u| u.rss_now_kb))
    }

    /// A count of each router's own status, added up.
    pub async fn status_sum(&self, field: &str) -> u64 {
        let mut sum = 0;
        for router in &self.routers {
            if let Ok(status) = self.operator_at(router).status().await {
                sum += status[field].as_u64().unwrap_or(0);
            }
        }
        sum
    }

    /// Bytes that the routers that run have sent to peers, by their own count.
    pub async fn peer_bytes(&self) -> u64 {
        self.status_sum("peer_bytes_sent").await
    }

    /// The folder of logs and settings.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Removes the folder of logs and settings.
    pub fn forget_logs(&self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
