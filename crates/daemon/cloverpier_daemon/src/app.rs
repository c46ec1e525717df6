//! The state of one router process.
//!
//! Every part gets the whole of it; which part changes which field is said there. Invariant: each
//! lock guards one plain state machine and is never held across a wait.

use crate::admission::state::Admission;
use crate::answers::table::Answers;
use crate::crashes::state::Crashes;
use crate::members::cluster::Cluster;
use cloverpier_config::{AppliedConfig, Config};
use cloverpier_core::{hash_of, lock, wall_ms};
use cloverpier_member::{Member, MemberList};
use cloverpier_object_api::{PlatformClient, ReadError, WriteError};
use cloverpier_observe::{Log, Metrics};
use cloverpier_peer::{PeerClient, PeerReply, PeerRequest, Versions};
use cloverpier_record::{RecordRetention, Records};
use cloverpier_route::UpstreamView;
use cloverpier_settings::DaemonSettings;
use cloverpier_timers::Timers;
use cloverpier_upstream::EnginePool;
use reqwest::Client;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The state of one router process, shared by its tasks.
///
/// Each lock guards one plain state machine and is never held across a wait.
#[derive(Debug)]
pub struct App {
    /// The settings.
    pub settings: DaemonSettings,
    /// This process as a member.
    pub me: Member,
    /// Where log lines go.
    pub log: Log,
    /// Where metrics go.
    pub metrics: Metrics,
    /// Monotonic time, and waits by it.
    pub timers: Timers,
    /// The platform.
    pub platform: PlatformClient,
    /// Connections to peers.
    pub peers: PeerClient,
    /// Connections to engines.
    pub engines: EnginePool,
    /// Connections to plain services; none is kept, so that a call is never
    /// sent into a connection that is closing.
    pub plain: Client,
    /// Members, and the detector of silent ones.
    pub cluster: Mutex<Cluster>,
    /// The configuration in force.
    pub applied: Mutex<AppliedConfig>,
    /// Upstreams as this router sees them.
    pub view: Mutex<UpstreamView>,
    /// Seeded choices.
    pub rng: Mutex<fastrand::Rng>,
    /// Answers: those that this router owns, and copies that it holds.
    pub answers: Answers,
    /// Records of requests that may not be repeated.
    pub records: Mutex<Records>,
    /// Contents of requests that ended upstreams.
    pub crashes: Crashes,
    /// Limits and queues.
    pub admission: Admission,
    /// Wakes the heartbeats when there are changes to pass on.
    pub news: Notify,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Whether the configuration was learned since the process started.
    pub learned: AtomicBool,
    numbers: AtomicU64,
}

impl App {
    /// The state of a process that has just started, and lives by this time.
    pub fn new(settings: DaemonSettings, timers: Timers) -> Arc<Self> {
        let incarnation = wall_ms();
        let me = Member::new(
            settings.vm.as_str(),
            incarnation,
            settings.data_centre.as_str(),
            settings.peers_at,
            settings.callers_at,
        );
        let now = timers.now();
        let log = Log::new(settings.vm.as_str());
        let metrics = metrics(settings.statsd, &log);
        Arc::new(Self {
            log,
            metrics,
            platform: PlatformClient::new(settings.platform),
            peers: PeerClient::new(settings.peer_secret.clone()),
            engines: EnginePool::new(),
            plain: plain_client(),
            cluster: Mutex::new(Cluster::new(&me, now)),
            applied: Mutex::default(),
            view: Mutex::new(UpstreamView::new(
                settings.data_centre.clone(),
                &settings.vm,
            )),
            rng: Mutex::new(fastrand::Rng::with_seed(incarnation)),
            answers: Answers::default(),
            records: Mutex::new(Records::new(
                me.id.clone(),
                RecordRetention(settings.record_horizon),
            )),
            crashes: Crashes::new(&settings.crashes),
            admission: Admission::default(),
            news: Notify::new(),
            stopping: AtomicBool::new(false),
            learned: AtomicBool::new(false),
            numbers: AtomicU64::new(1),
            timers,
            me,
            settings,
        })
    }

    /// The present moment.
    pub fn now(&self) -> Instant {
        self.timers.now()
    }

    /// A number that this process uses once.
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// A number that no owner of any answer uses twice, at this router or another.
    pub fn opener(&self) -> u64 {
        hash_of(&format!("{}/{}", self.me.id, self.number()))
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        lock(&self.applied).config()
    }

    /// The list of members that this router acts on.
    pub fn members(&self) -> Arc<MemberList> {
        lock(&self.cluster).list()
    }

    /// What this router acts on.
    pub fn versions(&self) -> Versions {
        Versions {
            member: self.me.id.clone(),
            peers_at: self.me.peers_at,
            epoch: self.members().epoch,
            config: lock(&self.applied).version(),
            marks: lock(&self.view).marks().digest(),
            crashes: self.crashes.digest(self.now()),
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the configuration was learned since the process started.
    pub fn has_learned(&self) -> bool {
        self.learned.load(Ordering::Relaxed)
    }

    /// Calls a member by its name; `None` when it isn't one or doesn't answer.
    pub async fn ask(
        &self,
        member: &cloverpier_core::MemberId,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Option<PeerReply> {
        let peers_at = self.members().get(member)?.peers_at;
        // Silent peers are found by heartbeats; for a call, silent and refused are the same.
        self.peers.call(peers_at, request, timeout).await.ok()
    }

    /// Logs that an object could not be read from the platform; the reader retries.
    pub(crate) fn log_unread(&self, object: &str, error: &ReadError) {
        let error = error.to_string();
        self.log.warn("platform.unread", &Unread { object, error });
    }

    /// Logs that a write to the platform failed; the writer retries.
    pub(crate) fn log_failed(&self, what: &str, error: &WriteError) {
        let why = error.to_string();
        self.log.warn("platform.failed", &Failed { what, why });
    }
}

/// How long a connection to a plain service may take to come up.
const PLAIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

fn plain_client() -> Client {
    let client = Client::builder()
        .connect_timeout(PLAIN_CONNECT_TIMEOUT)
        .pool_max_idle_per_host(0)
        .redirect(reqwest::redirect::Policy::none())
        .tcp_nodelay(true)
        .build();
    client.expect("a client without TLS and proxies can always be built")
}

/// Metrics to the statsd server of the settings. A process serves without them, too.
fn metrics(statsd: Option<SocketAddr>, log: &Log) -> Metrics {
    Metrics::new(statsd).unwrap_or_else(|error| {
        let error = error.to_string();
        log.warn("metrics.unsent", &NoMetrics { error });
        Metrics::default()
    })
}

/// Metrics go nowhere, as no socket could be opened for them.
#[derive(Serialize)]
struct NoMetrics {
    error: String,
}

#[derive(Serialize)]
struct Failed<'a> {
    what: &'a str,
    why: String,
}

/// An object could not be read from the platform.
#[derive(Serialize)]
struct Unread<'a> {
    object: &'a str,
    error: String,
}
