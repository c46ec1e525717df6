//! Whether a version is in force everywhere.
//!
//! Asks every router that may serve: members, those taken off the list without a planned
//! stop, and guests. The answer to the operator is `accepted` only if all of them act on the
//! version or no process listens there any more; else `pending`, with the routers waited for.

use crate::app::App;
use crate::members::{self, MEMBERS_KEY};
use cloverpier_core::{VmName, lock};
use cloverpier_member::{Member, MemberList};
use cloverpier_peer::{Guest, PeerReply, PeerRequest};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two questions whether a version is in force.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a router may take to say which version it acts on.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a confirmation waits for all routers before it answers `pending`; the brief asks for
/// seconds.
const ACCEPT_WITHIN: Duration = Duration::from_secs(5);

/// Whether one router acts on a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterVersion {
    /// The VM.
    pub vm: VmName,
    /// The version that it acts on; `None` when it can't be reached.
    pub version: Option<u64>,
}

/// What came of a confirmed plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfirmOutcome {
    /// It is in force at every router.
    Accepted,
    /// It is stored for good; some routers don't act on it yet or can't be asked.
    Pending,
}

/// The answer to a confirmation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfirmReport {
    /// Whether it is in force everywhere.
    pub outcome: ConfirmOutcome,
    /// The configuration's version.
    pub version: u64,
    /// Routers that don't act on it yet or can't be asked.
    pub waiting: Vec<RouterVersion>,
}

/// Asks until every router acts on a version, for [`ACCEPT_WITHIN`] at most.
pub(super) async fn wait_in_force(app: &Arc<App>, version: u64) -> ConfirmReport {
    let until = app.now() + ACCEPT_WITHIN;
    loop {
        let report = in_force(app, version).await;
        let late = app.now() >= until;
        if late || report.outcome == ConfirmOutcome::Accepted {
            return report;
        }
        app.timers.sleep(PAUSE).await;
    }
}

/// Asks every router which version it acts on.
///
/// The list of members is read from the platform, after the version was
/// stored: a router that joins later reads the version itself. Routers that
/// were considered dead recently count, too: one that was only cut off may
/// still act on an earlier version; and so do guests, which members report.
/// Where no process listens any more, none acts on anything.
pub async fn in_force(app: &App, version: u64) -> ConfirmReport {
    let read = app.platform.read::<MemberList>(MEMBERS_KEY).await;
    let mut waiting = Vec::new();
    match read {
        Ok(Some(found)) => members::adopt(app, &found.value, "confirm"),
        _ => waiting.push(RouterVersion {
            vm: VmName::new("(the platform's list of members)"),
            version: None,
        }),
    }
    let routers = who_may_serve(&app.members());
    let asked = routers.iter().map(|m| ask_version(app, &m.vm, m.peers_at));
    let answers = join_all(asked).await;
    let guests: BTreeMap<SocketAddr, Guest> = answers
        .iter()
        .flat_map(|a| a.guests.iter().map(|g| (g.peers_at, g.clone())))
        .filter(|(at, _)| routers.iter().all(|m| m.peers_at != *at))
        .collect();
    let asked = guests.values().map(|guest| async {
        let vm = VmName::new(guest.member.as_str());
        ask_version(app, &vm, guest.peers_at).await
    });
    let answers = answers.into_iter().chain(join_all(asked).await);
    let behind = |r: &RouterVersion| r.version.is_none_or(|v| v < version);
    waiting.extend(answers.filter_map(|a| a.router).filter(behind));
    let outcome = if waiting.is_empty() {
        ConfirmOutcome::Accepted
    } else {
        ConfirmOutcome::Pending
    };
    ConfirmReport {
        outcome,
        version,
        waiting,
    }
}

/// Members, and those that were taken off the list recently without a planned stop.
fn who_may_serve(list: &MemberList) -> Vec<Member> {
    let mut routers = list.members.clone();
    for member in list.history.iter().flat_map(|c| &c.left) {
        let known = routers.iter().any(|m| m.vm == member.vm);
        if !known && !member.stopping {
            routers.push(member.clone());
        }
    }
    routers
}

/// What a router answered; no router where no process listens any more.
struct Asked {
    router: Option<RouterVersion>,
    guests: Vec<Guest>,
}

async fn ask_version(app: &App, vm: &VmName, peers_at: SocketAddr) -> Asked {
    let router = |version| RouterVersion {
        vm: vm.clone(),
        version,
    };
    if peers_at == app.me.peers_at {
        return Asked {
            router: Some(router(Some(lock(&app.applied).version()))),
            guests: lock(&app.cluster).guests(app.now()),
        };
    }
    let request = PeerRequest::Heartbeat {
        versions: app.versions(),
    };
    match app.peers.call(peers_at, &request, ASK_TIMEOUT).await {
        Ok(PeerReply::Heartbeat { versions, guests }) => Asked {
            router: Some(router(Some(versions.config))),
            guests,
        },
        Err(e) if e.is_connect_error() => Asked {
            router: None,
            guests: Vec::new(),
        },
        _ => Asked {
            router: Some(router(None)),
            guests: Vec::new(),
        },
    }
}
