//! Records of requests that may not be repeated: claiming keys and learning slots.
//!
//! Carries out what `cloverpier_record` decides. A key is written down at all holders of its slot
//! before the request is dispatched; nothing else makes "at most once" true.

use crate::app::App;
use cloverpier_core::{MemberId, RequestKey, lock};
use cloverpier_peer::{PeerReply, PeerRequest};
use cloverpier_record::{
    Claim, ClaimId, ClaimReply, ClaimStep, Outcome, Refusal, Slot, SyncReply, SyncStep,
};
use futures_util::future::join_all;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// How long a holder may take to write a claim or release down, or to hand out records.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a holder may take to write an outcome down.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often slots are looked through whose records this member lacks.
const LEARN_PERIOD: Duration = Duration::from_millis(100);
/// A claim that took longer than this to write down is not dispatched any more, as its caller may
/// have been answered that nothing was run.
const CLAIM_LIFE: Duration = Duration::from_secs(3);
/// Slots that are asked for at once.
const SYNC_AT_ONCE: usize = 64;

/// A key that is written down at all its holders.
#[derive(Clone, Debug)]
pub struct Written {
    /// The key.
    pub key: RequestKey,
    /// The claim.
    pub claim: ClaimId,
    holders: Vec<MemberId>,
}

#[derive(Serialize)]
struct ClaimLine<'a> {
    request: &'a str,
    epoch: u64,
    holders: &'a [MemberId],
    outcome: &'static str,
}

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(learn(Arc::clone(app)));
}

/// Writes a key down at all holders of its slot.
///
/// # Errors
///
/// [`Refusal`] when it was claimed before or could not be written everywhere;
/// nothing may be dispatched then.
pub async fn claim(app: &App, key: &RequestKey, body: u64) -> Result<Written, Refusal> {
    let started = app.now();
    let (epoch, holders) = {
        let records = lock(&app.records);
        let slot = Slot::of(key.as_str());
        (records.epoch(), records.slot_map().holders(slot).to_vec())
    };
    let written = Written {
        key: key.clone(),
        claim: ClaimId {
            router: app.me.id.clone(),
            number: app.number(),
        },
        holders: holders.clone(),
    };
    let mut claim = Claim::new(&holders);
    let mut step = claim.start();
    loop {
        match step {
            ClaimStep::SendTo(holder) => {
                let reply = ask_holder(app, &holder, epoch, body, &written).await;
                step = claim.on_reply(reply);
            }
            ClaimStep::Dispatch => break,
            ClaimStep::Refuse {
                reason,
                release_from,
            } => {
                log_claim(app, &written, epoch, "refused");
                release_at(app, &written, &release_from).await;
                return Err(reason);
            }
        }
    }
    // The process may have slept since: a caller may have received "not run".
    if app.now().saturating_duration_since(started) >= CLAIM_LIFE {
        log_claim(app, &written, epoch, "too late");
        release(app, &written).await;
        return Err(Refusal::NotWritten { retry_ms: 100 });
    }
    log_claim(app, &written, epoch, "written");
    Ok(written)
}

fn log_claim(app: &App, written: &Written, epoch: u64, outcome: &'static str) {
    app.log.info(
        "claim",
        &ClaimLine {
            request: written.key.as_str(),
            epoch,
            holders: &written.holders,
            outcome,
        },
    );
}

async fn ask_holder(
    app: &App,
    holder: &MemberId,
    epoch: u64,
    body: u64,
    written: &Written,
) -> Option<ClaimReply> {
    if *holder == app.me.id {
        let now = app.now();
        let mut records = lock(&app.records);
        return Some(records.on_claim(epoch, &written.key, body, &written.claim, now));
    }
    let request = PeerRequest::Claim {
        epoch,
        key: written.key.clone(),
        body,
        claim: written.claim.clone(),
    };
    match app.ask(holder, &request, CLAIM_TIMEOUT).await? {
        PeerReply::Claim(reply) => Some(reply),
        _ => None,
    }
}

/// Writes what became of a request down at its holders.
pub async fn settle(app: &App, written: &Written, outcome: &Outcome) {
    let request = PeerRequest::RecordOutcome {
        key: written.key.clone(),
        claim: written.claim.clone(),
        outcome: outcome.clone(),
    };
    let told = written.holders.iter().map(|holder| async {
        if *holder == app.me.id {
            let mut records = lock(&app.records);
            records.on_outcome(&written.key, &written.claim, outcome.clone());
        } else {
            app.ask(holder, &request, SETTLE_TIMEOUT).await;
        }
    });
    join_all(told).await;
}

/// Gives a key free whose request was certainly not run.
pub async fn release(app: &App, written: &Written) {
    release_at(app, written, &written.holders).await;
}

/// The primary last: while it has the key, no other claim can begin.
async fn release_at(app: &App, written: &Written, holders: &[MemberId]) {
    for holder in holders.iter().rev() {
        if *holder == app.me.id {
            lock(&app.records).on_release(&written.key, &written.claim);
            continue;
        }
        let request = PeerRequest::Release {
            key: written.key.clone(),
            claim: written.claim.clone(),
        };
        app.ask(holder, &request, CLAIM_TIMEOUT).await;
    }
}

/// Learns the records of slots that this member came to hold.
async fn learn(app: Arc<App>) {
    loop {
        app.timers.sleep(LEARN_PERIOD).await;
        let (epoch, steps) = {
            let mut records = lock(&app.records);
            let steps = records.sync_steps(app.now());
            (records.epoch(), steps)
        };
        for some in steps.chunks(SYNC_AT_ONCE) {
            join_all(some.iter().map(|step| sync(&app, epoch, step))).await;
        }
    }
}

async fn sync(app: &App, epoch: u64, step: &SyncStep) {
    for source in &step.sources {
        let request = PeerRequest::Sync {
            slot: step.slot,
            level: step.past_epoch,
            epoch,
        };
        let reply = app.ask(source, &request, CLAIM_TIMEOUT).await;
        let Some(PeerReply::Sync(reply)) = reply else {
            continue;
        };
        let learned = matches!(reply, SyncReply::Records(_) | SyncReply::NoClaims);
        let now = app.now();
        lock(&app.records).on_sync_reply(step, epoch, source, reply, now);
        if learned {
            return;
        }
    }
}
