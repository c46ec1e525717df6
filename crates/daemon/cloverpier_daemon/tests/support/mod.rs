//! A whole site in one process: each router and stand-in has a runtime of its own, so that
//! dropping the runtime is its death.

#![allow(
    dead_code,
    reason = "each test file uses another part of the support module"
)]

use cloverpier_client::{Caller, Operator};
use cloverpier_config::{Account, Intent, Repeatable, Service, Upstream};
use cloverpier_core::SuspendableClock;
use cloverpier_daemon::prelude::*;
use cloverpier_daemon_standin::{EngineModel, engine, platform, service};
use cloverpier_settings::DaemonSettings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};

pub const KEY: &str = "lab.lab-secret";
const OPERATOR_KEY: &str = "operators-of-the-test";
/// The longest that a death takes.
const DEATH: Duration = Duration::from_secs(10);
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);

/// Sites of this process; each has loopback addresses of its own, so that no two tests, and no
/// two runs of the tests, can meet.
static SITES: AtomicU8 = AtomicU8::new(1);

fn site_address(site: u8, port: u16) -> SocketAddr {
    let pid = std::process::id();
    let low = u8::try_from(pid % 250).unwrap_or(0) + 2;
    let high = u8::try_from((pid / 250) % 250).unwrap_or(0) + 2;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, high, low, site)), port)
}

/// A task with a runtime of its own.
pub struct Process {
    runtime: Option<Runtime>,
    pub address: SocketAddr,
}

impl Process {
    fn start<F>(address: SocketAddr, task: F) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        runtime.spawn(task);
        Self {
            runtime: Some(runtime),
            address,
        }
    }

    /// Lets it stand still for a while: its host takes connections and bytes, and nothing answers.
    pub fn pause(&self, duration: Duration) {
        if let Some(runtime) = &self.runtime {
            // It has one thread, which this takes.
            runtime.spawn(async move { std::thread::sleep(duration) });
        }
    }

    /// Ends it; its connections are broken and its ports free when this returns.
    ///
    /// A runtime can't be waited for in a task, so a thread does it.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            let end = std::thread::spawn(move || runtime.shutdown_timeout(DEATH));
            end.join().unwrap();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Router {
    pub process: Process,
    pub callers_at: SocketAddr,
    pub peers_at: SocketAddr,
    /// What it takes for the time.
    pub clock: SuspendableClock,
    settings: String,
}

pub struct Site {
    pub routers: Vec<Router>,
    pub engines: Vec<Process>,
    pub platform: Process,
    pub service: Process,
    /// Plain services beside the one that every test has.
    pub more_services: Vec<Process>,
    http: reqwest::Client,
    model: EngineModel,
}

impl Site {
    /// Three routers in three data centres, three engines, a plain service, and the platform.
    pub async fn start() -> Self {
        Self::with_model(EngineModel {
            step_us: 4_000,
            ..EngineModel::default()
        })
        .await
    }

    pub async fn with_model(model: EngineModel) -> Self {
        let site = SITES.fetch_add(1, Ordering::Relaxed);
        let at = |port| site_address(site, port);
        let platform = Process::start(at(7000), platform::run(at(7000)));
        let service = Process::start(at(8000), service::run(at(8000)));
        let engines = (0..3).map(|i| {
            let address = at(9000 + i);
            Process::start(address, engine::run(address, model.clone()))
        });
        let mut this = Self {
            engines: engines.collect(),
            routers: Vec::new(),
            platform,
            service,
            more_services: Vec::new(),
            http: reqwest::Client::new(),
            model,
        };
        let counts = format!("http://{}/counts", this.platform.address);
        this.until("the platform", || async {
            this.get::<Value>(&counts).await.is_some()
        })
        .await;
        for i in 0..3 {
            let router = this.new_router(site, i);
            this.routers.push(router);
        }
        this.until("the routers", || this.all_ready(3)).await;
        this
    }

    fn new_router(&self, site: u8, i: u16) -> Router {
        let at = |port| site_address(site, port);
        let (callers_at, peers_at) = (at(7100 + i), at(7200 + i));
        let seeds = (0..3).filter(|j| *j != i);
        let seeds: Vec<String> = seeds.map(|j| format!("\"{}\"", at(7200 + j))).collect();
        let settings = format!(
            "vm = \"vm-{}\"\ndata_centre = \"dc-{i}\"\ncallers_listen = \"{callers_at}\"\n\
             peers_listen = \"{peers_at}\"\nplatform = \"{}\"\nseeds = [{}]\n\
             peer_secret = \"peers-of-the-test-only\"\noperator_key = \"{OPERATOR_KEY}\"\n\
             load_period_ms = 100\n",
            i + 1,
            self.platform.address,
            seeds.join(", "),
        );
        let clock = SuspendableClock::default();
        Router {
            process: start_router(&settings, peers_at, &clock),
            callers_at,
            peers_at,
            clock,
            settings,
        }
    }

    /// Starts a router again that was killed.
    pub fn restart(&mut self, i: usize) {
        let router = &mut self.routers[i];
        router.process = start_router(&router.settings, router.peers_at, &router.clock);
    }

    /// Starts a plain service beside the one that every test has; `intent` lists it.
    pub fn add_service(&mut self) {
        let mut address = self.service.address;
        let number = u16::try_from(self.more_services.len()).unwrap() + 1;
        address.set_port(address.port() + number);
        let service = Process::start(address, service::run(address));
        self.more_services.push(service);
    }

    /// Starts an engine again that was killed; it knows nothing of before.
    pub fn restart_engine(&mut self, i: usize) {
        let address = self.engines[i].address;
        self.engines[i] = Process::start(address, engine::run(address, self.model.clone()));
    }

    /// Whether a generation has crashed an engine.
    pub async fn has_crashed(&self, i: usize) -> bool {
        let url = format!("http://{}/counts", self.engines[i].address);
        let counts: Value = self.get(&url).await.unwrap_or_default();
        counts["crashed"] == true
    }

    /// Sends a body to a router's port for callers and gives status and JSON.
    pub fn post_to(
        &self,
        router: usize,
        path: &str,
        body: &Value,
    ) -> impl Future<Output = (u16, Value)> + Send + 'static {
        let url = format!("http://{}{path}", self.routers[router].callers_at);
        let req = self.http.post(url).bearer_auth(KEY).json(body);
        async move {
            let res = req.send().await.unwrap();
            let status = res.status().as_u16();
            // An answer that isn't JSON has no fields to look at.
            (status, res.json().await.unwrap_or_default())
        }
    }

    async fn all_ready(&self, members: usize) -> bool {
        for i in 0..self.routers.len() {
            let Ok(status) = self.operator(i).status().await else {
                return false;
            };
            let known = status["members"].as_array().map_or(0, Vec::len);
            if known != members || status["ready"] != true || status["slots_not_ready"] != 0 {
                return false;
            }
        }
        true
    }

    pub fn operator(&self, i: usize) -> Operator {
        Operator::new(self.routers[i].peers_at, OPERATOR_KEY)
    }

    pub fn caller(&self, i: usize) -> Caller {
        Caller::new(self.routers[i].callers_at, KEY)
    }

    /// The intent that most tests start with.
    pub fn intent(&self) -> Intent {
        let mut intent = Intent::default();
        let mut drafts = Service::model("draft-7b");
        // Long enough that a machine that is busy isn't taken for a dead engine.
        drafts.silence_ms = 3_000;
        intent.services.insert("drafts".into(), drafts);
        let status = Service::plain(Repeatable::Reads);
        intent.services.insert("status".into(), status);
        for (i, engine) in self.engines.iter().enumerate() {
            let dc = format!("dc-{i}");
            let upstream = Upstream::new("drafts".into(), engine.address, dc.as_str().into());
            intent
                .upstreams
                .insert(format!("e{i}").as_str().into(), upstream);
        }
        let services = [&self.service].into_iter().chain(&self.more_services);
        for (i, service) in services.enumerate() {
            let upstream = Upstream::new("status".into(), service.address, "dc-0".into());
            intent
                .upstreams
                .insert(format!("s{i}").as_str().into(), upstream);
        }
        let mut account = Account::new(KEY, vec!["drafts".into(), "status".into()]);
        account.requests_per_s = 1_000;
        account.tokens_per_s = 1_000_000;
        account.adapters = vec!["bold".into()];
        account.max_priority = 5;
        intent.accounts.insert("lab".into(), account);
        intent
    }

    /// Plans and confirms an intent; gives the version.
    pub async fn configure(&self, intent: &Intent) -> u64 {
        let planned = self.operator(0).plan(intent).await.unwrap();
        let confirmed = self.operator(0).confirm(&planned.id).await.unwrap();
        assert_eq!(confirmed.outcome, "accepted", "{confirmed:?}");
        confirmed.version
    }

    /// Waits for a condition; a condition that never comes about fails the test.
    pub async fn until<F>(&self, what: &str, mut check: impl FnMut() -> F)
    where
        F: Future<Output = bool>,
    {
        let end = tokio::time::Instant::now() + PATIENCE;
        while !check().await {
            assert!(tokio::time::Instant::now() < end, "{what}: not in time");
            tokio::time::sleep(LOOK).await;
        }
    }

    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let req = self.http.get(url).timeout(Duration::from_secs(2));
        req.send().await.ok()?.json().await.ok()
    }

    pub async fn set_platform_down(&self, down: bool) {
        let faults = cloverpier_daemon_standin::PlatformFaults {
            down,
            ..Default::default()
        };
        self.post(&self.platform_faults(), &faults).await;
    }

    /// Where the platform stand-in takes faults.
    pub fn platform_faults(&self) -> String {
        format!("http://{}/faults", self.platform.address)
    }

    pub async fn post<T: Serialize>(&self, url: &str, body: &T) {
        let res = self.http.post(url).json(body).send().await.unwrap();
        assert!(res.status().is_success(), "{url}: {}", res.status());
    }

    /// Sends a body to a router's port for callers and gives status and JSON.
    pub async fn raw(&self, path: &str, headers: &[(&str, &str)], body: &str) -> (u16, Value) {
        self.post_raw(path, headers, body).await
    }

    /// The same as something that can be waited for elsewhere.
    pub fn post_raw(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> impl Future<Output = (u16, Value)> + Send + 'static {
        self.post_raw_to(0, path, headers, body)
    }

    /// The same at one of the routers. A connection that breaks is status 0.
    pub fn post_raw_to(
        &self,
        router: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> impl Future<Output = (u16, Value)> + Send + 'static {
        let url = format!("http://{}{path}", self.routers[router].callers_at);
        let mut req = self.http.post(url).body(body.to_owned());
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        async move {
            let Ok(res) = req.send().await else {
                return (0, Value::Null);
            };
            let status = res.status().as_u16();
            (status, res.json().await.unwrap_or_default())
        }
    }

    /// Asks a router for a stream that may run once.
    pub async fn stream_once(&self, router: usize, key: &str, tokens: u64) -> reqwest::Response {
        let url = format!("http://{}/v1/completions", self.routers[router].callers_at);
        let body = serde_json::json!({
            "model": "drafts", "prompt": "once", "max_tokens": tokens, "stream": true,
        });
        let req = self.http.post(url).bearer_auth(KEY).body(body.to_string());
        let req = req.header("Idempotency-Key", key);
        let req = req.header("Cloverpier-Repeatable", "false");
        req.send().await.unwrap()
    }

    /// Runs of a request key at the plain service.
    pub async fn runs(&self, key: &str) -> u64 {
        let url = format!("http://{}/standin/counts", self.service.address);
        let counts: Value = self.get(&url).await.unwrap_or_default();
        counts["runs"][format!("lab/{key}")].as_u64().unwrap_or(0)
    }

    /// Generations that an engine has started.
    pub async fn started(&self, i: usize) -> u64 {
        self.engine_count(i, "started").await
    }

    /// Generations that all engines have started.
    pub async fn started_at_all(&self) -> u64 {
        let mut started = 0;
        for i in 0..self.engines.len() {
            started += self.started(i).await;
        }
        started
    }

    /// One of the numbers that an engine counts.
    pub async fn engine_count(&self, i: usize, name: &str) -> u64 {
        let url = format!("http://{}/counts", self.engines[i].address);
        let counts: Value = self.get(&url).await.unwrap_or_default();
        counts[name].as_u64().unwrap_or(0)
    }

    /// Sets whether some engines stand still: they take orders, answer questions, and run nothing.
    pub async fn freeze_engines(&self, which: &[usize], freeze: bool) {
        for i in which {
            let faults = cloverpier_daemon_standin::EngineFaults {
                freeze,
                ..Default::default()
            };
            let url = format!("http://{}/faults", self.engines[*i].address);
            self.post(&url, &faults).await;
        }
    }
}

fn start_router(settings: &str, peers_at: SocketAddr, clock: &SuspendableClock) -> Process {
    let settings = DaemonSettings::parse(settings).unwrap();
    let timers = Timers::new(Arc::new(clock.clone()));
    Process::start(peers_at, async move {
        run(App::new(settings, timers)).await;
    })
}
