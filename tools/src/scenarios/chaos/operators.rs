//! Racing operators, and whether any router goes back or stays behind.

use crate::fleet::Fleet;
use crate::scenarios::chaos::Over;
use cloverpier_client::Operator;
use cloverpier_config::Intent;
use fastrand::Rng;
use futures_util::future::join_all;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(150);
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
const BETWEEN_CHANGES: Duration = Duration::from_millis(400);

/// Operators at every router, and the intent that they vary.
#[derive(Clone, Debug)]
pub(super) struct Operators {
    routers: Vec<(String, Operator)>,
    intent: Intent,
}

impl Operators {
    pub(super) fn of(fleet: &Fleet) -> Self {
        let routers = fleet.routers.iter();
        Self {
            routers: routers
                .map(|r| (r.vm.clone(), fleet.operator_at(r)))
                .collect(),
            intent: fleet.intent(),
        }
    }
}

/// What the changes came to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Changes {
    pub(super) accepted: u64,
    pub(super) pending: u64,
    pub(super) refused: u64,
    pub(super) stepped_back: u64,
    pub(super) old_after_accepted: u64,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    changes: Changes,
    /// The highest version that was accepted, and when the answer came.
    accepted: Option<(u64, Instant)>,
}

pub(super) async fn run(operators: Operators, seed: u64, over: Over) -> Changes {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let first = tokio::spawn(change(
        operators.clone(),
        seed * 2,
        over.clone(),
        Arc::clone(&seen),
    ));
    let second = tokio::spawn(change(
        operators.clone(),
        seed * 2 + 1,
        over.clone(),
        Arc::clone(&seen),
    ));
    watch(&operators, &over, &seen).await;
    let _ = (first.await, second.await);
    cloverpier_core::lock(&seen).changes
}

async fn change(operators: Operators, seed: u64, over: Over, seen: Arc<Mutex<Seen>>) {
    let mut rng = Rng::with_seed(seed);
    while !over.is() {
        let at = rng.usize(0..operators.routers.len());
        let operator = operators.routers[at].1.clone();
        let mut intent = Intent::default();
        if let Some((name, account)) = operators.intent.accounts.first_key_value() {
            let mut account = account.clone();
            account.weight = rng.u32(1..1_000);
            intent.accounts.insert(name.clone(), account);
        }
        let confirmed = match operator.plan(&intent).await {
            Ok(planned) => operator.confirm(&planned.id).await,
            Err(e) => Err(e),
        };
        let now = Instant::now();
        {
            let mut seen = cloverpier_core::lock(&seen);
            match confirmed {
                Ok(c) if c.outcome == "accepted" => {
                    seen.changes.accepted += 1;
                    if seen.accepted.is_none_or(|(v, _)| v < c.version) {
                        seen.accepted = Some((c.version, now));
                    }
                }
                Ok(_) => seen.changes.pending += 1,
                Err(_) => seen.changes.refused += 1,
            }
        }
        tokio::time::sleep(BETWEEN_CHANGES).await;
    }
}

/// Reads the version of every router again and again.
async fn watch(operators: &Operators, over: &Over, seen: &Mutex<Seen>) {
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    while !over.is() {
        let accepted = cloverpier_core::lock(seen).accepted.map(|(v, _)| v);
        let reads = operators.routers.iter().map(|(vm, o)| read(vm, o));
        for (vm, version) in join_all(reads).await.into_iter().flatten() {
            let before = highest.entry(vm.clone()).or_default();
            let mut seen = cloverpier_core::lock(seen);
            if version < *before {
                seen.changes.stepped_back += 1;
                eprintln!("{vm} stepped back from {before} to {version}");
            }
            *before = (*before).max(version);
            if accepted.is_some_and(|v| version < v) {
                seen.changes.old_after_accepted += 1;
                eprintln!("{vm} acts on {version} after {accepted:?} was accepted");
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// The version that a router acts on; `None` while it takes no requests.
async fn read(vm: &str, operator: &Operator) -> Option<(String, u64)> {
    let status = tokio::time::timeout(ANSWER_WITHIN, operator.status()).await;
    let status = status.ok()?.ok()?;
    // One that is stopping takes no new requests, so it acts on no version.
    let serves = status["ready"] == true && status["stopping"] == false;
    let version = status["version"].as_u64()?;
    serves.then(|| (vm.to_owned(), version))
}
