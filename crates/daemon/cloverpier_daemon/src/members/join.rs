//! The list of members on the platform: joining it, leaving it, watching it.
//!
//! Owns the conditional updates of the list; its version is the epoch. A lost update is settled
//! by reading. Which list follows from which is decided in `cloverpier_member`.

use crate::app::App;
use crate::members::MEMBERS_KEY;
use cloverpier_core::{MemberId, hash_of, jitter, lock, rendezvous_rank};
use cloverpier_member::{Member, MemberList, RejoinBackoff};
use cloverpier_object_api::{VersionedObject, WriteError};
use cloverpier_peer::{PeerReply, PeerRequest};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Tries to change the list of members while others change it or the platform does not answer.
const TRIES: u32 = 12;
/// Pause between two tries, jittered.
const RETRY: Duration = Duration::from_millis(120);
/// How long one watch waits at the platform, as in `config/learn.rs`.
const WATCH: Duration = Duration::from_secs(20);
/// How often a member that is no watcher reads the list itself, as in `config/learn.rs`.
const LOOK: Duration = Duration::from_secs(30);
/// How long a peer may take to answer a request to join, or for the list.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which those that want to join are collected, so that routers that start at once make one
/// epoch.
const COLLECT: Duration = Duration::from_millis(400);
/// How long a process waits to be put on the list before it does so itself.
const COLLECTED_WITHIN: Duration = Duration::from_millis(2_000);
/// How often a process looks whether it is on the list.
const NOT_JOINED_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a call that the platform didn't answer, jittered.
const PLATFORM_RETRY: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Epoch<'a> {
    epoch: u64,
    members: usize,
    cause: &'a str,
}

/// What came of a try to change the list.
enum Try {
    Done(MemberList),
    Again,
}

/// Takes a list of members if its epoch is later.
pub fn adopt(app: &App, list: &MemberList, cause: &str) {
    let now = app.now();
    if !lock(&app.cluster).adopt(list, now) {
        return;
    }
    lock(&app.records).enter(list);
    lock(&app.view).set_routers(list.members.len());
    app.log.info(
        "members.epoch",
        &Epoch {
            epoch: list.epoch,
            members: list.members.len(),
            cause,
        },
    );
    app.metrics.gauge("members.epoch", list.epoch);
    app.news.notify_one();
}

/// Changes the list by conditional updates until one takes effect.
///
/// `change` gives the next list, or `None` when the list is as wanted, which
/// also settles an update whose answer was lost.
pub async fn update(
    app: &App,
    cause: &str,
    change: impl Fn(&MemberList) -> Option<MemberList>,
) -> bool {
    for _ in 0..TRIES {
        match try_update(app, &change).await {
            Try::Done(list) => {
                adopt(app, &list, cause);
                return true;
            }
            Try::Again => {
                let wait = jitter(&mut lock(&app.rng), RETRY);
                app.timers.sleep(wait).await;
            }
        }
    }
    false
}

async fn try_update(app: &App, change: &impl Fn(&MemberList) -> Option<MemberList>) -> Try {
    let read = app.platform.read::<MemberList>(MEMBERS_KEY).await;
    let found = match read {
        // Before the first member nothing is stored.
        Ok(found) => found.unwrap_or(VersionedObject {
            version: 0,
            value: MemberList::default(),
        }),
        Err(error) => {
            app.log_unread(MEMBERS_KEY, &error);
            return Try::Again;
        }
    };
    lock(&app.cluster).on_platform(app.now());
    let Some(next) = change(&found.value) else {
        return Try::Done(found.value);
    };
    match app.platform.write(MEMBERS_KEY, found.version, &next).await {
        Ok(_) => Try::Done(next),
        Err(e @ (WriteError::NotApplied { .. } | WriteError::OutcomeUnknown { .. })) => {
            app.log_failed("update of the members", &e);
            Try::Again
        }
        Err(WriteError::Conflict { .. }) => Try::Again,
    }
}

/// Puts this process on the list.
///
/// One member collects those that ask at the same time, so that a data centre
/// which returns is a few changes of epoch, not one for each of its VMs.
/// Where nobody collects, the process puts itself on the list.
pub async fn join(app: &App) -> bool {
    if ask_to_join(app).await && wait_to_be_member(app).await {
        return true;
    }
    put_on_list(app, vec![app.me.clone()]).await
}

async fn put_on_list(app: &App, joining: Vec<Member>) -> bool {
    update(app, "join", |list| {
        let mut new = joining.clone();
        new.retain(|m| !list.contains(&m.id));
        (!new.is_empty()).then(|| list.with_all_joined(new))
    })
    .await
}

async fn ask_to_join(app: &App) -> bool {
    let Ok(Some(found)) = app.platform.read::<MemberList>(MEMBERS_KEY).await else {
        return false;
    };
    lock(&app.cluster).on_platform(app.now());
    let members = &found.value.members;
    let ranked = rendezvous_rank(hash_of(MEMBERS_KEY), members, |m| m.id.as_str());
    let mut others = ranked.into_iter().filter(|m| m.vm != app.me.vm);
    let Some(collector) = others.next() else {
        return false;
    };
    let member = app.me.clone();
    let request = PeerRequest::Join { member };
    let reply = app
        .peers
        .call(collector.peers_at, &request, PEER_TIMEOUT)
        .await;
    reply.is_ok()
}

async fn wait_to_be_member(app: &App) -> bool {
    let until = app.now() + COLLECTED_WITHIN;
    while app.now() < until {
        if lock(&app.cluster).is_member() {
            return true;
        }
        app.timers.sleep(COLLECT / 4).await;
    }
    false
}

/// Puts those on the list that asked this member, all in one change.
pub(super) async fn collect(app: Arc<App>) {
    loop {
        app.timers.sleep(COLLECT).await;
        let joining = lock(&app.cluster).take_joining();
        if !joining.is_empty() {
            put_on_list(&app, joining).await;
        }
    }
}

/// Takes members off the list.
pub async fn leave(app: &App, gone: std::collections::BTreeSet<MemberId>, cause: &str) -> bool {
    update(app, cause, |list| {
        let any = gone.iter().any(|id| list.contains(id));
        any.then(|| list.without(&gone))
    })
    .await
}

/// Joins, and joins again when this process was considered dead.
pub(super) async fn keep_joined(app: Arc<App>) {
    let mut rejoin = RejoinBackoff::new();
    loop {
        let on_it = lock(&app.cluster).is_member();
        let now = app.now();
        if on_it {
            rejoin.on_listed(now);
        } else if !app.is_stopping() && rejoin.may_join(now) && !join(&app).await {
            ask_seeds(&app).await;
        }
        app.timers.sleep(NOT_JOINED_PAUSE).await;
    }
}

/// While the platform is down, seeds say who the members are.
async fn ask_seeds(app: &App) {
    for seed in &app.settings.seeds {
        let reply = app
            .peers
            .call(*seed, &PeerRequest::PullMembers, PEER_TIMEOUT)
            .await;
        if let Ok(PeerReply::Members(list)) = reply {
            adopt(app, &list, "seed");
        }
    }
}

/// Watches the list, or looks at it now and then where others watch.
pub(super) async fn watch(app: Arc<App>) {
    loop {
        let after = lock(&app.cluster).list().epoch;
        let watches = lock(&app.cluster).is_watcher();
        let read = if watches {
            // The object's version is its epoch: each update adds one to both.
            app.platform
                .watch::<MemberList>(MEMBERS_KEY, after, WATCH)
                .await
        } else {
            let wait = jitter(&mut lock(&app.rng), LOOK);
            app.timers.sleep(wait).await;
            app.platform.read::<MemberList>(MEMBERS_KEY).await
        };
        match read {
            Ok(found) => {
                lock(&app.cluster).on_platform(app.now());
                if let Some(found) = found {
                    adopt(&app, &found.value, "platform");
                }
            }
            Err(error) => {
                app.log_unread(MEMBERS_KEY, &error);
                let wait = jitter(&mut lock(&app.rng), PLATFORM_RETRY);
                app.timers.sleep(wait).await;
            }
        }
    }
}
