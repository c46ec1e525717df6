//! A small fleet: the platform, engines, a plain service and routers, each a process.

mod control;
mod spec;
mod standins;

pub use spec::FleetSpec;
pub use standins::{Link, Standin};

use crate::ports::free_addresses;
use crate::process::Process;
use cloverpier_client::{Caller, ConfirmReport, Operator};
use cloverpier_config::{Account, Intent, Repeatable, Service, Upstream};
use reqwest::Client;
use serde_json::Value;
use standins::{link, standin};
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

fn start_engines(
    dir: &Path,
    spec: &FleetSpec,
    mut address: impl FnMut() -> io::Result<SocketAddr>,
) -> io::Result<Vec<Standin>> {
    let model = dir.join("engine.toml");
    let text = toml::to_string(&spec.model).map_err(io::Error::other)?;
    std::fs::write(&model, text)?;
    let model = ["--model".to_owned(), model.display().to_string()];
    let engines = 1..=spec.engines;
    let engines = engines.map(|i| standin(dir, &format!("e{i}"), "engine", address()?, &model));
    engines.collect()
}

fn start_services(
    dir: &Path,
    spec: &FleetSpec,
    mut address: impl FnMut() -> io::Result<SocketAddr>,
) -> io::Result<Vec<Standin>> {
    let services = 1..=spec.services;
    let services = services.map(|i| standin(dir, &format!("s{i}"), "service", address()?, &[]));
    services.collect()
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
        let engines = start_engines(&dir, &spec, &mut next)?;
        let services = start_services(&dir, &spec, &mut next)?;
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
        fleet.come_up(&ports).await?;
        Ok(fleet)
    }

    /// Starts the routers before the stand-ins that run, and puts the configuration in force.
    async fn come_up(&mut self, ports: &[(SocketAddr, SocketAddr)]) -> io::Result<()> {
        self.wait_for_platform().await?;
        self.start_routers(ports)?;
        self.wait_for_members().await?;
        let confirmed = self.configure().await?;
        if confirmed.outcome != "accepted" {
            return Err(io::Error::other(format!("not accepted: {confirmed:?}")));
        }
        self.wait_for_slots().await
    }

    /// A link before each router's port for peers, and one between it and the platform.
    fn start_links(&mut self, ports: &[(SocketAddr, SocketAddr)]) -> io::Result<()> {
        let platform = self.platform.address;
        for (i, (_, peers_listen)) in ports.iter().enumerate() {
            let to_peer = link(&self.dir, &format!("peer-link-{i}"), *peers_listen)?;
            let to_platform = link(&self.dir, &format!("platform-link-{i}"), platform)?;
            self.peer_links.push(to_peer);
            self.platform_links.push(to_platform);
        }
        Ok(())
    }

    fn start_routers(&mut self, ports: &[(SocketAddr, SocketAddr)]) -> io::Result<()> {
        if self.spec.links {
            self.start_links(ports)?;
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
    async fn configure(&self) -> io::Result<ConfirmReport> {
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

    /// The folder of logs and settings.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Removes the folder of logs and settings.
    pub fn forget_logs(&self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
