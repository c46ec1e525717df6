//! Turns an operator's intent into a plan, and rebases a plan onto a later version.
//!
//! A plan lists the changes that an intent makes to one version of the configuration. The plan may
//! be confirmed at a later version if no other operator has changed an item that the plan changes.
//! Owns no state; the stored plans and the configuration are passed in.

use crate::check::{FieldError, check};
use crate::model::{Account, Config, Service, Upstream, UpstreamState};
use cloverpier_core::{AccountName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The id of a plan, unique among the stored plans. The router that makes the plan assigns it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlanId(Arc<str>);

impl PlanId {
    /// Makes an id of any text, without checks.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// The id as text, as in the plan's object key on the platform.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The kind and name of a configured item. Displayed as a path, such as `upstreams.e1`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// A service by its name.
    Service(ServiceName),
    /// An upstream by its name.
    Upstream(UpstreamName),
    /// A client account by its name.
    Account(AccountName),
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "services.{name}"),
            Self::Upstream(name) => write!(f, "upstreams.{name}"),
            Self::Account(name) => write!(f, "accounts.{name}"),
        }
    }
}

/// A change that an operator requests: items to set, items to remove, upstreams to drain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Services to create or replace.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Upstreams to create or replace.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Client accounts to create or replace.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, Account>,
    /// Upstreams to set to [`UpstreamState::Leaving`], so that they receive no new requests. Applied
    /// after the upstreams that the intent sets.
    #[serde(default)]
    pub leave: Vec<UpstreamName>,
    /// Items to remove. Applied last.
    #[serde(default)]
    pub remove: Vec<Item>,
}

/// How a change affects its item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The item doesn't exist before the change.
    Create,
    /// The item exists before and after the change, with different content.
    Replace,
    /// The item doesn't exist after the change.
    Remove,
}

/// One change of a plan: an item, and its content before and after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The item that changes.
    pub item: Item,
    /// Whether the item is created, replaced or removed.
    pub kind: ChangeKind,
    /// The item's JSON before the change; `None` if the change creates the item.
    pub before: Option<String>,
    /// The item's JSON after the change; `None` if the change removes the item.
    pub after: Option<String>,
}

/// The changes that an intent would make to one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The version of the configuration that `changes` were computed for.
    pub base: u64,
    /// The changes, ordered by item; empty if the configuration meets the intent already.
    pub changes: Vec<Change>,
    /// The intent, which is applied to the current configuration when the plan is confirmed.
    pub intent: Intent,
}

/// The reason why an intent is rejected or a plan can't be confirmed.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum PlanError {
    /// The intent, or the configuration that would result, is invalid.
    #[snafu(display("the intent can't stand"))]
    Invalid {
        /// All invalid fields.
        errors: Vec<FieldError>,
    },
    /// Another operator changed an item that the plan changes.
    #[snafu(display("version {current} changed what the plan of version {base} touches"))]
    Conflict {
        /// The version of the configuration that the plan was made for.
        base: u64,
        /// The current version of the configuration.
        current: u64,
        /// The items of the plan whose content is no longer that of version `base`.
        items: Vec<Item>,
    },
}

fn item_json(config: &Config, item: &Item) -> Option<String> {
    let json = match item {
        Item::Service(name) => config.services.get(name).map(serde_json::to_string),
        Item::Upstream(name) => config.upstreams.get(name).map(serde_json::to_string),
        Item::Account(name) => config.accounts.get(name).map(serde_json::to_string),
    };
    json.and_then(Result::ok)
}

fn all_items(config: &Config) -> Vec<Item> {
    let services = config.services.keys().cloned().map(Item::Service);
    let upstreams = config.upstreams.keys().cloned().map(Item::Upstream);
    let accounts = config.accounts.keys().cloned().map(Item::Account);
    services.chain(upstreams).chain(accounts).collect()
}

impl Intent {
    /// Returns the configuration with the intent applied, without validation.
    pub fn apply(&self, config: &Config) -> Config {
        let mut next = config.clone();
        next.services.extend(self.services.clone());
        next.upstreams.extend(self.upstreams.clone());
        let accounts = self.accounts.iter();
        next.accounts
            .extend(accounts.map(|(name, a)| (name.clone(), Arc::new(a.clone()))));
        for name in &self.leave {
            if let Some(upstream) = next.upstreams.get_mut(name) {
                upstream.state = UpstreamState::Leaving;
            }
        }
        for item in &self.remove {
            match item {
                Item::Service(name) => drop(next.services.remove(name)),
                Item::Upstream(name) => drop(next.upstreams.remove(name)),
                Item::Account(name) => drop(next.accounts.remove(name)),
            }
        }
        next
    }

    /// Errors for the items to drain or to remove that don't exist.
    fn missing_item_errors(&self, config: &Config) -> Vec<FieldError> {
        let leave = self.leave.iter().cloned().map(Item::Upstream);
        let listed = leave.chain(self.remove.iter().cloned());
        listed
            .filter(|item| item_json(config, item).is_none())
            .map(|item| FieldError {
                field: item.to_string(),
                expected: "something that exists".to_owned(),
            })
            .collect()
    }

    /// Errors for upstreams whose incarnation falls, or doesn't rise though the upstream returns
    /// from [`UpstreamState::Leaving`]: routers would apply the earlier leave mark to it.
    fn incarnation_errors(&self, config: &Config) -> Vec<FieldError> {
        let is_stale = |name: &UpstreamName, new: &Upstream| {
            config.upstreams.get(name).is_some_and(|old| {
                let was_leaving = old.state == UpstreamState::Leaving;
                let is_reactivated = was_leaving && new.state == UpstreamState::Active;
                new.incarnation < old.incarnation
                    || (is_reactivated && new.incarnation == old.incarnation)
            })
        };
        self.upstreams
            .iter()
            .filter(|(name, new)| is_stale(name, new))
            .map(|(name, _)| FieldError {
                field: format!("upstreams.{name}.incarnation"),
                expected: "a higher number than before, as it left".to_owned(),
            })
            .collect()
    }
}

/// Computes the changes that an intent would make to a configuration of the given version.
///
/// # Errors
///
/// [`PlanError::Invalid`] with every invalid field of the intent and of the resulting
/// configuration.
pub fn plan(config: &Config, version: u64, intent: &Intent) -> Result<Plan, PlanError> {
    let next = intent.apply(config);
    let mut errors = intent.missing_item_errors(config);
    errors.extend(intent.incarnation_errors(config));
    errors.extend(check(&next));
    if !errors.is_empty() {
        return Err(PlanError::Invalid { errors });
    }
    Ok(Plan {
        base: version,
        changes: diff(config, &next),
        intent: intent.clone(),
    })
}

fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let mut items = all_items(before);
    items.extend(all_items(after));
    items.sort();
    items.dedup();
    items
        .into_iter()
        .filter_map(|item| item_change(before, after, item))
        .collect()
}

fn item_change(before: &Config, after: &Config, item: Item) -> Option<Change> {
    let (before, after) = (item_json(before, &item), item_json(after, &item));
    let kind = match (&before, &after) {
        (old, new) if old == new => return None,
        (None, _) => ChangeKind::Create,
        (_, None) => ChangeKind::Remove,
        _ => ChangeKind::Replace,
    };
    Some(Change {
        item,
        kind,
        before,
        after,
    })
}

/// Applies a plan to a configuration of the same or a later version, and returns the result.
///
/// # Errors
///
/// [`PlanError::Conflict`] if an item that the plan changes is not as it was at the plan's version;
/// [`PlanError::Invalid`] if the result is invalid, for example because another operator removed a
/// service that the plan's upstreams serve.
pub fn rebase(plan: &Plan, config: &Config, version: u64) -> Result<Config, PlanError> {
    let conflicts: Vec<Item> = plan
        .changes
        .iter()
        .filter(|c| item_json(config, &c.item) != c.before)
        .map(|c| c.item.clone())
        .collect();
    if !conflicts.is_empty() {
        return Err(PlanError::Conflict {
            base: plan.base,
            current: version,
            items: conflicts,
        });
    }
    let next = plan.intent.apply(config);
    let errors = check(&next);
    if errors.is_empty() {
        Ok(next)
    } else {
        Err(PlanError::Invalid { errors })
    }
}
