//! Calls that may not be repeated, sent again and again under one key.

use crate::fleet::Fleet;
use crate::scenarios::chaos::Over;
use cloverpier_client::Caller;
use cloverpier_daemon_standin::ServiceCounts;
use fastrand::Rng;
use futures_util::future::join_all;
use reqwest::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const WORKERS: u64 = 6;
const TRIES: usize = 6;
const PAUSE: Duration = Duration::from_millis(150);

/// A caller and the routers that it may use.
#[derive(Clone, Debug)]
pub(super) struct Callers {
    caller: Arc<Caller>,
    routers: Vec<SocketAddr>,
}

impl Callers {
    pub(super) fn of(fleet: &Fleet) -> Self {
        Self {
            caller: Arc::new(fleet.caller_at(0)),
            routers: fleet.routers.iter().map(|r| r.callers_at).collect(),
        }
    }
}

/// What a try was answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Done,
    NotRun,
    Unknown,
    None,
}

/// One key and all replies to it.
#[derive(Debug)]
pub(super) struct Called {
    key: String,
    replies: Vec<Reply>,
}

/// What the calls came to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Judged {
    pub(super) calls: u64,
    pub(super) done: u64,
    pub(super) unknown: u64,
    pub(super) executed_twice: u64,
    pub(super) refused_but_run: u64,
}

pub(super) async fn run(callers: Callers, seed: u64, over: Over) -> Vec<Called> {
    let workers = (0..WORKERS).map(|w| tokio::spawn(work(callers.clone(), seed, w, over.clone())));
    let done = join_all(workers).await;
    done.into_iter().filter_map(Result::ok).flatten().collect()
}

async fn work(callers: Callers, seed: u64, worker: u64, over: Over) -> Vec<Called> {
    let mut rng = Rng::with_seed(seed * 1_000 + worker);
    let mut all = Vec::new();
    while !over.is() {
        let key = format!("call-{seed}-{worker}-{}", all.len());
        all.push(one(&callers, &mut rng, key).await);
    }
    all
}

async fn one(callers: &Callers, rng: &mut Rng, key: String) -> Called {
    let mut replies = Vec::new();
    for _ in 0..TRIES {
        // Some send the same key to two routers at once.
        let count = if rng.u8(0..8) == 0 { 2 } else { 1 };
        let routers = rng.choose_multiple(callers.routers.iter().copied(), count);
        let sent = routers.iter().map(|router| send(callers, *router, &key));
        let got = join_all(sent).await;
        replies.extend(&got);
        let done = got.contains(&Reply::Done);
        if done && rng.u8(0..4) > 0 {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    Called { key, replies }
}

async fn send(callers: &Callers, router: SocketAddr, key: &str) -> Reply {
    let path = "status/runs/17/sign";
    let sent = callers
        .caller
        .call(router, Method::POST, path, Some(key), "sign");
    match sent.await {
        Err(_) => Reply::None,
        Ok(reply) if reply.status < 400 => Reply::Done,
        Ok(reply) if reply.run == "not-run" => Reply::NotRun,
        Ok(_) => Reply::Unknown,
    }
}

/// Holds the replies against what the plain service says that it ran.
pub(super) fn judge(calls: &[Called], executed: &[ServiceCounts]) -> Judged {
    let runs = |key: &str| -> u64 {
        let full = format!("lab/{key}");
        executed.iter().filter_map(|c| c.runs.get(&full)).sum()
    };
    let mut judged = Judged::default();
    for call in calls {
        let ran = runs(&call.key);
        let all_refused = call.replies.iter().all(|r| *r == Reply::NotRun);
        judged.calls += 1;
        judged.done += u64::from(call.replies.contains(&Reply::Done));
        judged.unknown += u64::from(call.replies.contains(&Reply::Unknown));
        if ran > 1 {
            judged.executed_twice += 1;
            eprintln!("executed {ran} times: {call:?}");
        }
        if all_refused && ran > 0 {
            judged.refused_but_run += 1;
            eprintln!("refused but run: {call:?}");
        }
    }
    judged
}
