//! Admission: limits of client accounts, and places at upstreams.

use crate::app::App;
use crate::error::ApiError;
use cloverpier_admit::{Bucket, Demand, Demands, Queue, QueueStep, Ticket, Waiting};
use cloverpier_config::{Account, Config};
use cloverpier_core::{AccountName, MemberId, ServiceName, jitter, lock};
use cloverpier_route::{Ask, Choice, Chosen};
use salvo::http::StatusCode;
use serde::Serialize;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

const PUMP: Duration = Duration::from_millis(20);
const LEAST_RETRY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Buckets {
    requests: Bucket,
    tokens: Bucket,
}

#[derive(Debug)]
struct Waiter {
    ask: Ask,
    tx: oneshot::Sender<Chosen>,
}

#[derive(Debug, Default)]
struct Line {
    queue: Queue,
    waiters: HashMap<Ticket, Waiter>,
}

/// Limits and queues of one router.
#[derive(Debug, Default)]
pub struct Admission {
    buckets: Mutex<HashMap<AccountName, Buckets>>,
    demands: Mutex<Demands>,
    lines: Mutex<HashMap<ServiceName, Line>>,
}

#[derive(Serialize)]
struct Routed<'a> {
    request: &'a str,
    service: &'a ServiceName,
    #[serde(flatten)]
    chosen: ChosenFields<'a>,
}

#[derive(Serialize)]
struct ChosenFields<'a> {
    upstream: &'a cloverpier_core::UpstreamName,
    why: cloverpier_route::Why,
    weighed: &'a [cloverpier_route::Weighed],
}

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(run(Arc::clone(app)));
}

async fn run(app: Arc<App>) {
    loop {
        tokio::time::sleep(PUMP).await;
        app.admission.pump(&app);
    }
}

/// Writes the log line of a routing decision.
pub fn log_choice(app: &App, request: &str, service: &ServiceName, chosen: &Chosen) {
    app.metrics.count("route.chosen", 1);
    app.log.info(
        "route.chosen",
        &Routed {
            request,
            service,
            chosen: ChosenFields {
                upstream: &chosen.upstream,
                why: chosen.why,
                weighed: &chosen.weighed,
            },
        },
    );
}

impl Admission {
    /// Takes a configuration: limits change, what is in the buckets stays.
    pub fn apply(&self, config: &Config, now: Instant) {
        let mut buckets = lock(&self.buckets);
        buckets.retain(|name, _| config.accounts.contains_key(name));
        for (name, bucket) in buckets.iter_mut() {
            if let Some(account) = config.accounts.get(name) {
                bucket
                    .requests
                    .set_rate(f64::from(account.requests_per_s), now);
                bucket.tokens.set_rate(f64::from(account.tokens_per_s), now);
            }
        }
    }

    /// Takes a request and its tokens from an account's limits.
    ///
    /// # Errors
    ///
    /// [`ApiError`] when this router's share of a limit is used up.
    pub fn charge(
        &self,
        app: &App,
        name: &AccountName,
        account: &Account,
        tokens: u32,
    ) -> Result<(), ApiError> {
        let now = app.now();
        let routers = app.members().members.len();
        let share = {
            let mut demands = lock(&self.demands);
            demands.on_asked(name, f64::from(tokens), now);
            demands.share(name, routers, now)
        };
        let requests = f64::from(account.requests_per_s) * share;
        let per_s = f64::from(account.tokens_per_s) * share;
        let mut all = lock(&self.buckets);
        let bucket = all.entry(name.clone()).or_insert_with(|| Buckets {
            requests: Bucket::full(requests, now),
            tokens: Bucket::full(per_s, now),
        });
        bucket.requests.set_rate(requests, now);
        bucket.tokens.set_rate(per_s, now);
        let taken = bucket
            .requests
            .take(1.0, now)
            .and_then(|()| bucket.tokens.take(f64::from(tokens), now));
        taken.map_err(|short| {
            app.metrics.count("admit.limited", 1);
            let wait = jitter(&mut lock(&app.rng), short.wait.max(LEAST_RETRY) * 2);
            let message = format!("account {name} has used up its limit");
            ApiError::not_run(StatusCode::TOO_MANY_REQUESTS, "account_limited", message).after(wait)
        })
    }

    /// Gives back tokens that were charged and not generated.
    pub fn give_back(&self, name: &AccountName, tokens: u64) {
        if let Some(bucket) = lock(&self.buckets).get_mut(name) {
            bucket.tokens.give_back(tokens as f64);
        }
    }

    /// What this router tells others of its demand.
    pub fn to_tell(&self, me: &MemberId, now: Instant) -> Vec<Demand> {
        lock(&self.demands).to_tell(me, now)
    }

    /// Takes what another router told of its demand.
    pub fn on_told(&self, me: &MemberId, demands: Vec<Demand>, now: Instant) {
        lock(&self.demands).on_told(me, demands, now);
    }

    /// Finds a place at an upstream, waiting in line where all are full.
    ///
    /// The place is taken when this returns; the caller gives it back by
    /// [`release`].
    ///
    /// # Errors
    ///
    /// [`ApiError`], at once when the wait would be too long.
    pub async fn place(&self, app: &App, ask: Ask, waiting: &Waiting) -> Result<Chosen, ApiError> {
        let ticket = Ticket(app.number());
        let rx = {
            let mut lines = lock(&self.lines);
            let line = lines.entry(ask.service.clone()).or_default();
            if line.queue.is_empty() {
                match choose(app, &ask) {
                    Choice::Chosen(chosen) => return Ok(chosen),
                    Choice::Nobody => return Err(nobody(app, &ask.service)),
                    Choice::Full => {}
                }
            }
            if let QueueStep::TooLong { wait } = line.queue.push(ticket, waiting, app.now()) {
                return Err(full(app, wait));
            }
            let (tx, rx) = oneshot::channel();
            line.waiters.insert(ticket, Waiter { ask, tx });
            rx
        };
        rx.await.map_err(|_| full(app, waiting.patience))
    }

    /// Gives free places to those in line, and ends the wait of those whose time is over.
    pub fn pump(&self, app: &App) {
        let now = app.now();
        for line in lock(&self.lines).values_mut() {
            for late in line.queue.expire(now) {
                // Dropping the sender tells the waiter.
                line.waiters.remove(&late);
            }
            give_places(app, line, now);
        }
    }
}

fn give_places(app: &App, line: &mut Line, now: Instant) {
    let Some(any) = line.waiters.values().next().map(|w| w.ask.clone()) else {
        return;
    };
    let probe = Ask {
        prefix: None,
        ..any
    };
    while !line.queue.is_empty() {
        let chosen = lock(&app.view).choose(&probe, now, &mut lock(&app.rng));
        if !matches!(chosen, Choice::Chosen(_)) {
            return;
        }
        let Some(ticket) = line.queue.pop(now) else {
            return;
        };
        let Some(waiter) = line.waiters.remove(&ticket) else {
            continue;
        };
        if waiter.tx.is_closed() {
            continue;
        }
        if let Choice::Chosen(chosen) = choose(app, &waiter.ask)
            && let Err(unwanted) = waiter.tx.send(chosen)
        {
            lock(&app.view).on_ended(&unwanted.upstream);
        }
    }
}

/// Chooses an upstream and takes a place there.
pub fn choose(app: &App, ask: &Ask) -> Choice {
    let now = app.now();
    let mut view = lock(&app.view);
    let choice = view.choose(ask, now, &mut lock(&app.rng));
    if let Choice::Chosen(chosen) = &choice {
        view.on_started(&chosen.upstream, ask.prefix, now);
    }
    choice
}

/// Gives a place back.
pub fn release(app: &App, chosen: &Chosen) {
    lock(&app.view).on_ended(&chosen.upstream);
    app.admission.pump(app);
}

/// No upstream of the service takes work.
pub fn nobody(app: &App, service: &ServiceName) -> ApiError {
    let wait = jitter(&mut lock(&app.rng), LEAST_RETRY * 4);
    let message = format!("no upstream of {service} takes work");
    ApiError::busy("no_upstream", message, wait)
}

fn full(app: &App, wait: Duration) -> ApiError {
    app.metrics.count("admit.refused", 1);
    let wait = jitter(&mut lock(&app.rng), wait.max(LEAST_RETRY) * 2);
    ApiError::busy("overloaded", "no place comes free in time", wait)
}
