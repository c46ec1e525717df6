//! Callers that send requests all the while, as they would: to listed routers,
//! coming back after a refusal, going on with a stream that broke off.

use super::floods;
use super::persistent::PersistentStreams;
use super::plan::Injection;
use crate::router_site::{FIXED_STREAM_PATH, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH};
use cloverpier_core::lock;
use cloverpier_router::HeaderNames;
use cloverpier_router_standin::caller::{
    CallerRequest, KeptConnection, Outcome, StreamOutcome, call_stream,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Pause between two requests of the load.
const PAUSE: Duration = Duration::from_millis(25);
/// Callers that keep their connection.
const KEEPERS: usize = 4;
/// Requests in flight at most.
const MOST_IN_FLIGHT: usize = 400;

/// A request that was sent, and the outcome.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The request.
    pub request: CallerRequest,
    /// The router that got it, by its position.
    pub router: usize,
    /// When it was sent.
    pub at: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What came of it.
    pub outcome: Outcome,
}

/// All requests of a run.
type SentLog = Arc<Mutex<Vec<Sent>>>;

/// A running load.
#[derive(Debug)]
pub struct Load {
    sent: SentLog,
    /// Streams that callers ask for until they are served, where the site is under load.
    pub persistent: PersistentStreams,
    stop: tokio::sync::watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// What callers need to know.
#[derive(Clone, Debug)]
pub struct Callers {
    routers: Vec<SocketAddr>,
    names: HeaderNames,
    template: Vec<CallerRequest>,
    sent: SentLog,
    /// Whether all requests have one body.
    has_equal_bodies: bool,
}

/// The path of the n-th request.
pub fn path_at(n: usize) -> &'static str {
    [STREAM_PATH, SAFE_PATH, UNSAFE_PATH, FIXED_STREAM_PATH][n % 4]
}

impl Load {
    /// Starts callers of all kinds. The plan tells of floods and bursts; callers return until they are served where it
    /// has any.
    pub fn start(
        site: &Site,
        injections: &[Injection],
        has_equal_bodies: bool,
        mut rng: fastrand::Rng,
    ) -> Self {
        let callers = Callers {
            routers: site.routers.iter().map(|f| f.callers).collect(),
            names: site.names.clone(),
            template: (0..4).map(|n| site.request("", path_at(n))).collect(),
            sent: Arc::default(),
            has_equal_bodies,
        };
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let mut tasks = JoinSet::new();
        for keeper in 0..KEEPERS {
            let rng = rng.fork();
            tasks.spawn(keep_calling(callers.clone(), keeper, rng, stopped.clone()));
        }
        let sent = Arc::clone(&callers.sent);
        let persistent = PersistentStreams::default();
        if injections.iter().any(|i| i.action.is_load()) {
            let mut rng = fastrand::Rng::with_seed(rng.clone().u64(..));
            floods::start(site, &callers, injections, &mut rng, &mut tasks);
            persistent.start(site, &callers, &mut rng, &stopped, &mut tasks);
        }
        tasks.spawn(call_openly(callers, rng, stopped));
        Self {
            sent,
            persistent,
            stop,
            tasks,
        }
    }

    /// Ends the load; waits for what is in flight.
    pub async fn stop(&mut self) -> Vec<Sent> {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        let mut sent = lock(&self.sent);
        std::mem::take(&mut *sent)
    }
}

/// Sends requests at a steady rate, each over a new connection.
async fn call_openly(
    callers: Callers,
    mut rng: fastrand::Rng,
    stopped: tokio::sync::watch::Receiver<bool>,
) {
    let mut calls = JoinSet::new();
    let mut count = 0;
    while !*stopped.borrow() {
        tokio::time::sleep(PAUSE).await;
        while calls.try_join_next().is_some() {}
        if calls.len() >= MOST_IN_FLIGHT {
            continue;
        }
        count += 1;
        let mut rng = rng.fork();
        let callers = callers.clone();
        let request = callers.template[rng.usize(..4)].clone();
        let id = format!("call-{count}");
        calls.spawn(async move { call_like_a_client(&callers, request, &id, rng).await });
    }
    while calls.join_next().await.is_some() {}
}

/// Sends a request; comes back once if that is allowed.
pub async fn call_like_a_client(
    callers: &Callers,
    mut request: CallerRequest,
    id: &str,
    mut rng: fastrand::Rng,
) {
    request.id = id.to_owned();
    request.prompt = request.prompt.map(|_| format!("prompt-{id}"));
    request.body = callers.body_of(id);
    let ended = callers.send(&request, &mut rng).await;
    let outcome = &ended.outcome;
    let is_safe = request.path.starts_with(SAFE_PATH);
    let is_resumable = request.path.starts_with(STREAM_PATH);
    let again = match outcome {
        Outcome::Status(503, back) => {
            let wait = back.as_ref().and_then(|b| b.parse::<f64>().ok());
            tokio::time::sleep(Duration::from_secs_f64(wait.unwrap_or(0.1).min(1.0))).await;
            true
        }
        Outcome::Broken(_) if is_resumable => {
            request = request.resumed(&request.id, &ended);
            true
        }
        Outcome::Broken(_) | Outcome::Status(502 | 504, _) => is_safe,
        Outcome::Unreachable => true,
        _ => false,
    };
    if again {
        request.id = format!("again-{id}");
        callers.send(&request, &mut rng).await;
    }
}

impl Callers {
    /// The body of a request.
    pub fn body_of(&self, id: &str) -> String {
        if self.has_equal_bodies {
            "body".to_owned()
        } else {
            format!("body of {id}")
        }
    }

    /// Sends a request to any router.
    pub async fn send(&self, request: &CallerRequest, rng: &mut fastrand::Rng) -> StreamOutcome {
        let router = rng.usize(..self.routers.len());
        let at = Instant::now();
        let ended = call_stream(self.routers[router], &self.names, request).await;
        note(self, request, router, at, ended.outcome.clone());
        ended
    }
}

fn note(callers: &Callers, request: &CallerRequest, router: usize, at: Instant, outcome: Outcome) {
    lock(&callers.sent).push(Sent {
        request: request.clone(),
        router,
        at,
        ended: Instant::now(),
        outcome,
    });
}

/// Sends plain requests over one connection until its process is gone, then over another.
async fn keep_calling(
    callers: Callers,
    keeper: usize,
    mut rng: fastrand::Rng,
    stopped: tokio::sync::watch::Receiver<bool>,
) {
    let mut count = 0;
    while !*stopped.borrow() {
        let router = rng.usize(..callers.routers.len());
        let Some(mut connection) = KeptConnection::open(callers.routers[router]).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        while !*stopped.borrow() {
            count += 1;
            let mut request = callers.template[1 + rng.usize(..2)].clone();
            request.id = format!("kept-{keeper}-{count}");
            let at = Instant::now();
            let outcome = connection.call(&callers.names, &request).await;
            let goes_on = matches!(outcome, Outcome::Whole | Outcome::Status(..));
            note(&callers, &request, router, at, outcome);
            if !goes_on {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
