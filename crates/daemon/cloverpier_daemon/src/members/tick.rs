//! Carries out what the detector wants.
//!
//! One loop that steps the detector and sends what it asks for; owns nothing.

use crate::app::App;
use crate::members::{join, updates};
use cloverpier_core::{MemberId, lock};
use cloverpier_member::{DetectorStep, ProbeResult};
use cloverpier_peer::{PeerReply, PeerRequest};
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How often the detector is stepped.
const TICK: Duration = Duration::from_millis(100);
/// How long a peer may take to answer a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a helper's answer is awaited: longer than its own probe (400 ms).
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

#[derive(Serialize)]
struct Suspected<'a> {
    member: &'a MemberId,
    helpers: &'a [MemberId],
}

#[derive(Serialize)]
struct Removed<'a> {
    members: &'a BTreeSet<MemberId>,
}

#[derive(Serialize)]
struct Paused {
    gap_ms: u128,
}

/// Ticks until the process ends.
pub(super) async fn run(app: Arc<App>) {
    loop {
        let news = app.timers.timeout(TICK, app.news.notified()).await.is_ok();
        if news {
            send_updates(&app);
        }
        let now = app.now();
        let steps = lock(&app.cluster).detector.tick(now);
        for step in steps {
            carry_out(&app, step);
        }
    }
}

fn carry_out(app: &Arc<App>, step: DetectorStep) {
    match step {
        DetectorStep::Heartbeat { to } => {
            tokio::spawn(heartbeat(Arc::clone(app), to));
        }
        DetectorStep::Probe { target, helpers } => {
            app.log.info(
                "members.suspected",
                &Suspected {
                    member: &target,
                    helpers: &helpers,
                },
            );
            for helper in helpers {
                tokio::spawn(probe(Arc::clone(app), target.clone(), helper));
            }
        }
        DetectorStep::Remove { members } => {
            tokio::spawn(remove(Arc::clone(app), members));
        }
        DetectorStep::Paused { gap } => {
            let gap_ms = gap.as_millis();
            app.log.warn("members.paused", &Paused { gap_ms });
        }
    }
}

/// News goes to some members at once, beyond those that get heartbeats anyway.
fn send_updates(app: &Arc<App>) {
    /// Members beyond them.
    const EXTRA: usize = 4;
    let others: Vec<MemberId> = app
        .members()
        .members
        .iter()
        .filter(|m| m.id != app.me.id)
        .map(|m| m.id.clone())
        .collect();
    let told = lock(&app.rng).choose_multiple(others, EXTRA);
    for to in told {
        tokio::spawn(heartbeat(Arc::clone(app), to));
    }
}

async fn heartbeat(app: Arc<App>, to: MemberId) {
    let request = PeerRequest::Heartbeat {
        versions: app.versions(),
    };
    let Some(peers_at) = app.members().get(&to).map(|m| m.peers_at) else {
        return;
    };
    let reply = app.peers.call(peers_at, &request, HEARTBEAT_TIMEOUT).await;
    if let Ok(PeerReply::Heartbeat { versions, .. }) = reply {
        // Another run on the same VM is not the member that was asked for.
        if versions.member == to {
            lock(&app.cluster).on_peer(&to, app.now());
        }
        updates::on_versions(&app, versions, peers_at).await;
    }
}

async fn probe(app: Arc<App>, target: MemberId, helper: MemberId) {
    let Some(peers_at) = app.members().get(&target).map(|m| m.peers_at) else {
        return;
    };
    let request = PeerRequest::Probe { peers_at };
    let reply = app.ask(&helper, &request, PROBE_TIMEOUT).await;
    let Some(PeerReply::Probed { reached }) = reply else {
        return;
    };
    let result = if reached {
        ProbeResult::Reached
    } else {
        ProbeResult::NotReached
    };
    let now = app.now();
    lock(&app.cluster)
        .detector
        .on_probe_result(&target, result, now);
}

async fn remove(app: Arc<App>, members: BTreeSet<MemberId>) {
    app.log
        .warn("members.removed", &Removed { members: &members });
    join::leave(&app, members, "silent").await;
}
