//! Changes of the configuration: from an intent to a plan, and from a confirmed plan to the
//! root.
//!
//! Plans and parts are written first, each under its own key, and then the root by a
//! conditional update; whether a lost update took effect is settled by reading the root.
//! What a plan is, and when it still holds, is decided in `cloverpier_config`.

use crate::app::App;
use crate::config::acceptance::{ConfirmReport, wait_in_force};
use crate::config::learn::offer;
use crate::config::{PART_PREFIX, PLAN_PREFIX, ROOT_KEY};
use crate::error::ApiError;
use cloverpier_config::{
    AppliedConfig, ApplyOutcome, Config, FieldError, Intent, Item, Part, Plan, PlanError, PlanId,
    Root, plan, rebase, split,
};
use cloverpier_core::lock;
use cloverpier_object_api::{VersionedObject, WriteError};
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The largest plan, in bytes: the brief's limit on one value of the platform, a megabyte.
const PLAN_MOST: usize = 1_000_000;
/// Tries to store a confirmed plan while others change the root or the platform does not answer.
const TRIES: u32 = 6;
/// Pause between two tries to store a confirmed plan.
const PAUSE: Duration = Duration::from_millis(100);

/// When an operator should retry while the platform is down.
const PLATFORM_DOWN_RETRY: Duration = Duration::from_secs(2);

/// A plan as it is stored and shown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanReport {
    /// Its name.
    pub id: PlanId,
    /// The plan.
    pub plan: Plan,
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
        PlanError::Invalid { errors } => {
            let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
            let mut api = ApiError::field(
                errors.first().map_or("", |f| f.field.as_str()),
                lines.join("; "),
            );
            api.code = "invalid_intent";
            api
        }
        PlanError::Conflict { items, .. } => {
            let names: Vec<String> = items.iter().map(Item::to_string).collect();
            let message = format!("{error}: {}", names.join(", "));
            ApiError::not_run(StatusCode::CONFLICT, "plan_moved", message)
        }
    }
}

/// Reads the configuration as the platform holds it.
async fn read_config(app: &App) -> Result<(u64, Root, Config), ApiError> {
    let read = app.platform.read::<Root>(ROOT_KEY).await;
    // Before the first change nothing is stored.
    let VersionedObject { version, value } =
        read.map_err(platform_down)?.unwrap_or(VersionedObject {
            version: 0,
            value: Root::default(),
        });
    let known = lock(&app.applied).parts(&value.parts);
    let mut applied = AppliedConfig::default();
    let mut fetched = known;
    if let ApplyOutcome::MissingParts { parts } = applied.try_apply(&value, fetched.clone()) {
        for digest in parts {
            let key = format!("{PART_PREFIX}{}", digest.as_str());
            let part = app.platform.read::<Part>(&key).await;
            let part = part.map_err(platform_down)?;
            fetched.extend(part.map(|f| f.value));
        }
        applied.try_apply(&value, fetched);
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
            Try::Again => app.timers.sleep(PAUSE).await,
        }
    }
    Err(ApiError::unknown(
        "the platform did not tell whether the plan took effect; confirm it again to find out",
    ))
}

async fn try_confirm(app: &App, report: &PlanReport) -> Try {
    let (stored, root, config) = match read_config(app).await {
        Ok(read) => read,
        // The platform is down or slow; the caller of this learns so once the tries are used up.
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
            // All parts are stored anew by the next try; those already there do no harm.
            Err(_) => return false,
        }
    }
    true
}
