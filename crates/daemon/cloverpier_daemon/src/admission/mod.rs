//! Admission: limits of client accounts, and places at upstreams.
//!
//! Carries out what `cloverpier_admit` and `cloverpier_route` decide: loans of limits between
//! routers, and who waits for a place. [`state`] owns the loans, and the lines of waiting requests.

pub(crate) mod state;

use crate::app::App;
use crate::error::ApiError;
use cloverpier_admit::{PushResult, QueuedRequest, Quota, QuotaGrant, SpendResult, Ticket};
use cloverpier_config::Account;
use cloverpier_core::{
    AccountName, ServiceName, UpstreamName, hash_of, jitter, lock, rendezvous_rank,
};
use cloverpier_member::Member;
use cloverpier_peer::{PeerReply, PeerRequest};
use cloverpier_route::{Choice, Chosen, RouteRequest, SilenceStep, SilentAnswer};
use salvo::http::StatusCode;
use serde::Serialize;
use state::{Admission, Line, Waiter};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// How often free places are given to those in line, besides each time that one comes free.
const PUMP: Duration = Duration::from_millis(20);
/// How long an account's lender may take; then the router serves its even share.
const BORROW_TIMEOUT: Duration = Duration::from_millis(250);
/// When to ask a lender again that doesn't know the account yet, in milliseconds: it has the
/// configuration within that.
const UNKNOWN_ACCOUNT_MS: u64 = 300;
/// The least time after which a refused caller is asked to retry.
const LEAST_RETRY: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Routed<'a> {
    request: &'a str,
    service: &'a ServiceName,
    #[serde(flatten)]
    chosen: ChosenFields<'a>,
}

#[derive(Serialize)]
struct ChosenFields<'a> {
    upstream: &'a UpstreamName,
    why: cloverpier_route::ChoiceReason,
    weighed: &'a [cloverpier_route::WeighedUpstream],
}

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(run(Arc::clone(app)));
}

async fn run(app: Arc<App>) {
    loop {
        app.timers.sleep(PUMP).await;
        app.admission.pump(&app);
        lock(&app.admission.borrowed).sweep(app.now());
    }
}

/// Members in the order in which they lend out an account's limit: the first one does.
pub fn lenders<'a>(name: &AccountName, members: &'a [Member]) -> Vec<&'a Member> {
    rendezvous_rank(hash_of(name.as_str()), members, |m| m.id.as_str())
}

fn limit_of(account: &Account, part: f64) -> Quota {
    Quota {
        requests: f64::from(account.requests_per_s) * part,
        tokens: f64::from(account.tokens_per_s) * part,
    }
}

fn limited(app: &App, name: &AccountName, wait_ms: u64) -> ApiError {
    app.metrics.count("admit.limited", 1);
    let wait = Duration::from_millis(wait_ms).max(LEAST_RETRY);
    let wait = jitter(&mut lock(&app.rng), wait * 2);
    let message = format!("account {name} has used up its limit");
    ApiError::not_run(StatusCode::TOO_MANY_REQUESTS, "account_limited", message).after(wait)
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
                why: chosen.reason,
                weighed: &chosen.weighed,
            },
        },
    );
}

impl Admission {
    /// Takes a request and its tokens from an account's limits.
    ///
    /// Most requests are covered by what was borrowed; now and then one waits
    /// for a loan. While the lender can't be reached this router serves its
    /// even share of the limit.
    ///
    /// # Errors
    ///
    /// [`ApiError`] when the limit is used up.
    pub async fn charge(
        &self,
        app: &App,
        name: &AccountName,
        account: &Account,
        tokens: u32,
    ) -> Result<(), ApiError> {
        let need = Quota::of_request(tokens);
        let step = lock(&self.borrowed).spend(name, need, app.now());
        let SpendResult::Request { need, want } = step else {
            return Ok(());
        };
        let loan = match self.borrow(app, name, need, want).await {
            Some(loan) => loan,
            None => self.even_share(app, name, account, need),
        };
        match loan {
            QuotaGrant::Granted(lent) => {
                lock(&self.borrowed).on_granted(name, lent, need, app.now());
                Ok(())
            }
            QuotaGrant::Exhausted { wait_ms } => Err(limited(app, name, wait_ms)),
        }
    }

    /// Asks the account's lender; `None` when it doesn't answer.
    async fn borrow(
        &self,
        app: &App,
        name: &AccountName,
        need: Quota,
        want: Quota,
    ) -> Option<QuotaGrant> {
        let list = app.members();
        let lender = *lenders(name, &list.members).first()?;
        if lender.id == app.me.id {
            return Some(self.lend(app, name, need, want));
        }
        let request = PeerRequest::RequestQuota {
            account: name.clone(),
            need,
            want,
        };
        match app.ask(&lender.id, &request, BORROW_TIMEOUT).await? {
            PeerReply::QuotaGrant(loan) => Some(loan),
            _ => None,
        }
    }

    /// Lends some of an account's limit to a router.
    pub fn lend(&self, app: &App, name: &AccountName, need: Quota, want: Quota) -> QuotaGrant {
        let config = app.config();
        let Some(account) = config.accounts.get(name) else {
            // The account is newer than this router's configuration, or gone from the other's.
            return QuotaGrant::Exhausted {
                wait_ms: UNKNOWN_ACCOUNT_MS,
            };
        };
        lock(&self.lender).grant(name, limit_of(account, 1.0), need, want, app.now())
    }

    fn even_share(
        &self,
        app: &App,
        name: &AccountName,
        account: &Account,
        need: Quota,
    ) -> QuotaGrant {
        let routers = app.members().members.len().max(1) as f64;
        let limit = limit_of(account, 1.0 / routers);
        lock(&self.alone).grant(name, limit, need, need, app.now())
    }

    /// Gives back tokens that were charged and not generated.
    pub fn give_back(&self, name: &AccountName, tokens: u64) {
        lock(&self.borrowed).refund(name, tokens as f64);
    }

    /// Finds a place at an upstream, waiting in line where all are full.
    ///
    /// The place is taken when this returns; the caller gives it back by
    /// [`release`].
    ///
    /// # Errors
    ///
    /// [`ApiError`], at once when the wait would be too long.
    pub async fn place(
        &self,
        app: &App,
        ask: RouteRequest,
        waiting: &QueuedRequest,
    ) -> Result<Chosen, ApiError> {
        let ticket = Ticket(app.number());
        let rx = {
            let mut lines = lock(&self.lines);
            let line = lines.entry(ask.service.clone()).or_default();
            if line.queue.is_empty() {
                match choose(app, &ask) {
                    Choice::Chosen(chosen) => return Ok(chosen),
                    Choice::NoneAvailable => return Err(nobody(app, &ask.service)),
                    Choice::Full => {}
                }
            }
            if let PushResult::WaitTooLong { wait } = line.queue.push(ticket, waiting, app.now()) {
                return Err(full(app, wait));
            }
            let (tx, rx) = oneshot::channel();
            line.waiters.insert(ticket, Waiter { ask, tx });
            rx
        };
        rx.await.map_err(|_| full(app, waiting.max_wait))
    }

    /// Gives free places to those in line, and ends the wait of those whose time is over.
    pub fn pump(&self, app: &App) {
        let now = app.now();
        for line in lock(&self.lines).values_mut() {
            for late in line.queue.expire(now) {
                // Dropping the sender wakes the waiting task.
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
    let probe = RouteRequest {
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
pub fn choose(app: &App, ask: &RouteRequest) -> Choice {
    let now = app.now();
    let mut view = lock(&app.view);
    let choice = view.choose(ask, now, &mut lock(&app.rng));
    if let Choice::Chosen(chosen) = &choice {
        view.on_started(&chosen.upstream, ask.prefix, now);
    }
    choice
}

/// Decides what follows for a silent generation, and takes a place where another engine is to run it, too.
pub fn choose_beside(app: &App, silent: &SilentAnswer<'_>, ask: &RouteRequest) -> SilenceStep {
    let now = app.now();
    let mut view = lock(&app.view);
    let step = view.on_silent_answer(silent, ask, now, &mut lock(&app.rng));
    if let SilenceStep::TryAlso(chosen) = &step {
        view.on_started(&chosen.upstream, ask.prefix, now);
    }
    step
}

/// Gives a place back.
pub fn release(app: &App, chosen: &Chosen) {
    release_at(app, &chosen.upstream);
}

/// Gives a place at an upstream back.
pub fn release_at(app: &App, upstream: &UpstreamName) {
    lock(&app.view).on_ended(upstream);
    app.admission.pump(app);
}

/// No upstream of the service takes work.
pub fn nobody(app: &App, service: &ServiceName) -> ApiError {
    let wait = lock(&app.view).wait_of_service(service, app.now());
    let wait = match wait {
        // Earlier nobody serves it.
        Some(wait) => wait.max(LEAST_RETRY),
        None => jitter(&mut lock(&app.rng), LEAST_RETRY * 4),
    };
    let message = format!("no upstream of {service} takes work");
    ApiError::busy("no_upstream", message, wait)
}

fn full(app: &App, wait: Duration) -> ApiError {
    app.metrics.count("admit.refused", 1);
    let wait = jitter(&mut lock(&app.rng), wait.max(LEAST_RETRY) * 2);
    ApiError::busy("overloaded", "no place comes free in time", wait)
}
