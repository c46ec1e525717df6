//! How a router learns the configuration: from the platform, or from peers.
//!
//! A router serves once it has learned a configuration since it started. Which root is newer is
//! decided by `cloverpier_config::AppliedConfig`.

use crate::app::App;
use crate::config::{MARKS_KEY, PART_PREFIX, ROOT_KEY};
use crate::members;
use cloverpier_config::{ApplyOutcome, Part, PartDigest, Root};
use cloverpier_core::{jitter, lock};
use cloverpier_object_api::{VersionedObject, WriteError};
use cloverpier_peer::{PeerReply, PeerRequest};
use cloverpier_route::LeaveMarks;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long one watch waits at the platform; 20 watchers that renew each 20 s are 2 calls/s
/// (docs/CAPACITY.md, worked out).
const WATCH: Duration = Duration::from_secs(20);
/// How often a router that is no watcher reads the root itself; 370 of them are 35 reads/s with
/// the list of members (docs/CAPACITY.md, worked out).
const LOOK: Duration = Duration::from_secs(30);
/// Pause after a call that the platform didn't answer.
const RETRY: Duration = Duration::from_secs(1);
/// How often a starting router looks whether it is on the list of members.
const JOIN_LOOK: Duration = Duration::from_millis(20);
/// How long a peer may take to hand out the root or parts.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How often marks to leave are written to the platform.
const MARKS_PERIOD: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct InForce {
    version: u64,
    from: &'static str,
}

/// Watches the root, or looks at it now and then where others watch.
pub(super) async fn watch(app: Arc<App>) {
    loop {
        wait_to_learn(&app).await;
        let after = lock(&app.applied).version();
        let watches = lock(&app.cluster).is_watcher() || !app.has_learned();
        let read = if !app.has_learned() {
            app.platform.read::<Root>(ROOT_KEY).await
        } else if watches {
            // The object's version is the root's: each update adds one to both.
            let watch = app.platform.watch::<Root>(ROOT_KEY, after, WATCH);
            tokio::select! {
                read = watch => read,
                // The platform may have given the connection up.
                () = app.timers.resumed() => continue,
            }
        } else {
            let wait = jitter(&mut lock(&app.rng), LOOK);
            app.timers.sleep(wait).await;
            app.platform.read::<Root>(ROOT_KEY).await
        };
        match read {
            Ok(found) => {
                lock(&app.cluster).on_platform(app.now());
                let learned = match found {
                    Some(root) => apply_from_platform(&app, &root.value).await,
                    None => true,
                };
                if learned {
                    note_learned(&app);
                }
            }
            Err(error) => {
                app.log_unread(ROOT_KEY, &error);
                let wait = jitter(&mut lock(&app.rng), RETRY);
                app.timers.sleep(wait).await;
            }
        }
    }
}

/// A router that starts learns only after it is on the list of members: a confirmation reads the
/// list after it has stored its version, so it either finds this router there and asks it, or
/// this router reads the new version.
async fn wait_to_learn(app: &App) {
    while !app.has_learned() && !lock(&app.cluster).is_member() {
        app.timers.sleep(JOIN_LOOK).await;
    }
}

fn note_learned(app: &App) {
    app.learned.store(true, Ordering::Relaxed);
}

/// While the platform is down, a starting router learns from peers: the
/// newest version that any seed acts on.
pub(super) async fn learn_from_seeds(app: Arc<App>) {
    while !app.has_learned() {
        app.timers.sleep(RETRY).await;
        if app.platform.read::<Root>(ROOT_KEY).await.is_ok() {
            continue;
        }
        let mut heard = 0;
        for seed in app.settings.seeds.clone() {
            if pull_from_peer(&app, seed).await {
                heard += 1;
            }
        }
        // One peer may have slept; more than half of the seeds can't all have.
        if heard > 0 && heard * 2 > app.settings.seeds.len() {
            note_learned(&app);
        }
    }
}

/// Takes the configuration that a peer acts on; says whether the peer answered.
pub async fn pull_from_peer(app: &App, peers_at: SocketAddr) -> bool {
    let reply = app
        .peers
        .call(peers_at, &PeerRequest::PullRoot, PULL_TIMEOUT)
        .await;
    let Ok(PeerReply::Root(root)) = reply else {
        return false;
    };
    let digests = match offer(app, &root, Vec::new(), "peer") {
        ApplyOutcome::MissingParts { parts } => parts,
        _ => return true,
    };
    let request = PeerRequest::PullParts { digests };
    let reply = app.peers.call(peers_at, &request, PULL_TIMEOUT).await;
    if let Ok(PeerReply::Parts(parts)) = reply {
        let step = offer(app, &root, parts, "peer");
        return !matches!(step, ApplyOutcome::MissingParts { .. });
    }
    false
}

async fn apply_from_platform(app: &App, root: &Root) -> bool {
    let lacks = match offer(app, root, Vec::new(), "platform") {
        ApplyOutcome::MissingParts { parts } => parts,
        _ => return true,
    };
    let mut parts = Vec::new();
    for digest in lacks {
        match read_part(app, &digest).await {
            Some(part) => parts.push(part),
            None => return false,
        }
    }
    let step = offer(app, root, parts, "platform");
    !matches!(step, ApplyOutcome::MissingParts { .. })
}

async fn read_part(app: &App, digest: &PartDigest) -> Option<Part> {
    let key = format!("{PART_PREFIX}{}", digest.as_str());
    // Without it the root is not put in force; the next read of the root asks for it again.
    let found = app.platform.read::<Part>(&key).await.ok()??;
    Some(found.value)
}

/// Offers a root to this router and puts it in force when nothing is lacking.
pub(super) fn offer(app: &App, root: &Root, parts: Vec<Part>, from: &'static str) -> ApplyOutcome {
    let (step, config) = {
        let mut applied = lock(&app.applied);
        let step = applied.try_apply(root, parts);
        (step, applied.config())
    };
    if let ApplyOutcome::Applied { version } = step {
        let routers = app.members().members.len();
        let mut view = lock(&app.view);
        view.apply(&config);
        view.set_routers(routers);
        drop(view);
        app.log.info("config.in_force", &InForce { version, from });
        app.metrics.gauge("config.version", version);
        app.news.notify_one();
    }
    step
}

/// Keeps the marks to leave on the platform, for routers that start later.
pub(super) async fn keep_marks(app: Arc<App>) {
    let mut stored = LeaveMarks::default();
    loop {
        let ours = lock(&app.view).marks().clone();
        if ours != stored || !app.has_learned() {
            // Marks that could not be stored are stored in a later round.
            stored = store_marks(&app).await.unwrap_or(stored);
        }
        app.timers.sleep(MARKS_PERIOD).await;
    }
}

/// Joins the stored marks with this router's; `None` when the platform didn't answer.
async fn store_marks(app: &App) -> Option<LeaveMarks> {
    let read = app.platform.read::<LeaveMarks>(MARKS_KEY).await;
    let read = read
        .inspect_err(|e| app.log_unread("marks to leave", e))
        .ok()?;
    // Before the first mark nothing is stored.
    let found = read.unwrap_or(VersionedObject {
        version: 0,
        value: LeaveMarks::default(),
    });
    let all = members::push_marks(app, &found.value);
    if all == found.value {
        return Some(all);
    }
    match app.platform.write(MARKS_KEY, found.version, &all).await {
        Ok(_) => Some(all),
        // Another router was faster.
        Err(WriteError::Conflict { .. }) => None,
        Err(e @ (WriteError::NotApplied { .. } | WriteError::OutcomeUnknown { .. })) => {
            app.log_failed("marks to leave", &e);
            None
        }
    }
}
