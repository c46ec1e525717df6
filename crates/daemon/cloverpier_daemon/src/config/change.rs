//! Changes of the configuration: plan, confirm, and who acts on the result.

use crate::app::App;
use crate::config::learn::offer;
use crate::config::{PART_PREFIX, PLAN_PREFIX, ROOT_KEY};
use crate::error::ApiError;
use crate::members::{self, MEMBERS_KEY};
use cloverpier_config::{
    Applied, ApplyStep, Config, Fault, Intent, Item, Part, Plan, PlanError, PlanId, Root, plan,
    rebase, split,
};
use cloverpier_core::{UpstreamName, VmName, lock};
use cloverpier_member::{Member, MemberList};
use cloverpier_object_api::{Found, WriteError};
use cloverpier_peer::{Guest, PeerReply, PeerRequest};
use futures_util::future::join_all;
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The largest plan, in bytes; the platform's values hold a megabyte (the brief).
const PLAN_MOST: usize = 1_000_000;
/// Tries to store a confirmed plan while others change the root or the platform does not answer.
/// Chosen, not measured.
const TRIES: u32 = 6;
/// Pause between two tries, and between two questions whether a version is in force. Chosen, not
/// measured.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a router may take to say which version it acts on. Chosen, not measured.
const ASK_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a confirmation waits for all routers before it answers `pending`; the brief asks for
/// seconds. Chosen, not measured.
const ACCEPT_WITHIN: Duration = Duration::from_secs(5);

/// When an operator comes back to a platform that is down.  Chosen, not measured.
const PLATFORM_DOWN_RETRY: Duration = Duration::from_secs(2);

/// A plan as it is stored and shown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanReport {
    /// Its name.
    pub id: PlanId,
    /// The plan.
    pub plan: Plan,
}

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

fn platform_down(why: impl ToString) -> ApiError {
    ApiError::busy(
        "platform_unavailable",
        format!("nothing was changed: {}", why.to_string()),
        PLATFORM_DOWN_RETRY,
    )
}

fn plan_error(error: &PlanError) -> ApiError {
    match error {
        PlanError::Faulty { faults } => {
            let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
            let mut api = ApiError::field(
                faults.first().map_or("", |f| f.field.as_str()),
                lines.join("; "),
            );
            api.code = "invalid_intent";
            api
        }
        PlanError::Moved { items, .. } => {
            let names: Vec<String> = items.iter().map(Item::to_string).collect();
            let message = format!("{error}: {}", names.join(", "));
            ApiError::not_run(StatusCode::CONFLICT, "plan_moved", message)
        }
    }
}

/// Reads the configuration as the platform holds it.
async fn read_config(app: &App) -> Result<(u64, Root, Config), ApiError> {
    let read = app.platform.read::<Root>(ROOT_KEY).await;
    let Found { version, value } = read.map_err(platform_down)?.unwrap_or(Found {
        version: 0,
        value: Root::default(),
    });
    let known = lock(&app.applied).parts(&value.parts);
    let mut applied = Applied::default();
    let mut fetched = known;
    if let ApplyStep::Lacks { parts } = applied.offer(&value, fetched.clone()) {
        for digest in parts {
            let key = format!("{PART_PREFIX}{}", digest.as_str());
            let part = app.platform.read::<Part>(&key).await;
            let part = part.map_err(platform_down)?;
            fetched.extend(part.map(|f| f.value));
        }
        applied.offer(&value, fetched);
    }
    Ok((version, value, (*applied.config()).clone()))
}

/// Answers an intent with a plan and stores it.
///
/// # Errors
///
/// [`ApiError`] when the intent can't stand or the platform is unavailable.
pub async fn make_plan(app: &App, intent: &Intent) -> Result<PlanReport, ApiError> {
    let (_, root, config) = read_config(app).await?;
    let plan = plan(&config, root.version, intent).map_err(|e| plan_error(&e))?;
    let id = PlanId::new(format!("{}-{}", app.me.id, app.number()).replace('~', "-"));
    let report = PlanReport { id, plan };
    check_size(&report)?;
    let key = format!("{PLAN_PREFIX}{}", report.id);
    match app.platform.write(&key, 0, &report).await {
        Ok(_) => Ok(report),
        Err(WriteError::Conflict { .. }) => Ok(report),
        Err(e) => Err(platform_down(e)),
    }
}

/// A plan is one value of the platform.
fn check_size(report: &PlanReport) -> Result<(), ApiError> {
    let size = serde_json::to_vec(report).map_or(usize::MAX, |text| text.len());
    if size <= PLAN_MOST {
        return Ok(());
    }
    let message = format!(
        "the plan takes {size} bytes of at most {PLAN_MOST}; split the intent into several"
    );
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    Err(ApiError::not_run(status, "intent_too_large", message).at("body"))
}

/// Reads a stored plan.
///
/// # Errors
///
/// [`ApiError`] when there is none or the platform is unavailable.
pub async fn read_plan(app: &App, id: &PlanId) -> Result<PlanReport, ApiError> {
    let key = format!("{PLAN_PREFIX}{id}");
    let read = app.platform.read::<PlanReport>(&key).await;
    let found = read.map_err(platform_down)?;
    found.map(|f| f.value).ok_or_else(|| {
        let message = format!("no plan {id}");
        ApiError::not_run(StatusCode::NOT_FOUND, "no_such_plan", message)
    })
}

/// What a try to confirm came to.
enum Try {
    Done(u64),
    Again,
    Failed(ApiError),
}

/// Confirms a plan and waits until every router acts on it, for seconds at most.
///
/// The plan's name is stored with its result, so that a lost answer is settled
/// by reading; a second confirmation of the same plan changes nothing.
///
/// # Errors
///
/// [`ApiError`] when the plan moved or nothing is known to have been stored.
pub async fn confirm(app: &Arc<App>, id: &PlanId) -> Result<ConfirmReport, ApiError> {
    let report = read_plan(app, id).await?;
    for _ in 0..TRIES {
        match try_confirm(app, &report).await {
            Try::Done(version) => return Ok(wait_in_force(app, version).await),
            Try::Failed(error) => return Err(error),
            Try::Again => tokio::time::sleep(PAUSE).await,
        }
    }
    Err(ApiError::unknown(
        "the platform did not tell whether the plan took effect; confirm it again to find out",
    ))
}

async fn try_confirm(app: &App, report: &PlanReport) -> Try {
    let (stored, root, config) = match read_config(app).await {
        Ok(read) => read,
        Err(_) => return Try::Again,
    };
    if root.has_plan(&report.id) {
        return Try::Done(root.version);
    }
    let next = match rebase(&report.plan, &config, root.version) {
        Ok(next) => next,
        Err(e) => return Try::Failed(plan_error(&e)),
    };
    let parts = split(&next);
    let root = root.next(&report.id, &parts);
    if !store_parts(app, &parts, &config).await {
        return Try::Again;
    }
    match app.platform.write(ROOT_KEY, stored, &root).await {
        Ok(_) => {
            offer(app, &root, parts, "confirm");
            Try::Done(root.version)
        }
        // Whether it took effect is settled by reading the root again.
        Err(_) => Try::Again,
    }
}

/// Stores the parts that changed; each has its content's digest as its name.
async fn store_parts(app: &App, parts: &[Part], before: &Config) -> bool {
    let stored = *before != Config::default();
    let known: BTreeSet<_> = split(before).iter().map(Part::digest).collect();
    let new: BTreeMap<_, _> = parts.iter().map(|p| (p.digest(), p)).collect();
    for (digest, part) in new {
        if stored && known.contains(&digest) {
            continue;
        }
        let key = format!("{PART_PREFIX}{}", digest.as_str());
        match app.platform.write(&key, 0, part).await {
            Ok(_) | Err(WriteError::Conflict { .. }) => {}
            Err(_) => return false,
        }
    }
    true
}

async fn wait_in_force(app: &Arc<App>, version: u64) -> ConfirmReport {
    let until = app.now() + ACCEPT_WITHIN;
    loop {
        let report = in_force(app, version).await;
        let late = app.now() >= until;
        if late || report.outcome == ConfirmOutcome::Accepted {
            return report;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks every router which version it acts on.
///
/// The list of members is read from the platform, after the version was
/// stored: a router that joins later reads the version itself. Routers that
/// were taken for dead of late count, too: one that was only cut off may
/// still act on an earlier version; and so do guests, which members tell of.
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

/// Members, and those that were taken off the list of late without a planned stop.
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
        Ok(PeerReply::Here { versions, guests }) => Asked {
            router: Some(router(Some(versions.config))),
            guests,
        },
        Err(e) if e.nobody_listens() => Asked {
            router: None,
            guests: Vec::new(),
        },
        _ => Asked {
            router: Some(router(None)),
            guests: Vec::new(),
        },
    }
}

/// Marks an upstream to take no new work, at this router and at all that it reaches.
///
/// It needs no platform: routers pass the mark on.
///
/// # Errors
///
/// [`ApiError`] when there is no such upstream.
pub async fn leave_upstream(
    app: &Arc<App>,
    name: &UpstreamName,
) -> Result<Vec<RouterVersion>, ApiError> {
    let mark = lock(&app.view).mark_leaving(name);
    if mark.is_none() {
        let message = format!("no upstream {name}");
        let error = ApiError::not_run(StatusCode::NOT_FOUND, "no_such_upstream", message);
        return Err(error.at("upstream"));
    }
    let marks = lock(&app.view).marks().clone();
    let request = PeerRequest::Marks { marks };
    let list = app.members();
    let others = list.members.iter().filter(|m| m.id != app.me.id);
    let told = others.map(|m| async {
        let reply = app.peers.call(m.peers_at, &request, ASK_TIMEOUT).await;
        reply.is_err().then(|| RouterVersion {
            vm: m.vm.clone(),
            version: None,
        })
    });
    app.news.notify_one();
    Ok(join_all(told).await.into_iter().flatten().collect())
}
