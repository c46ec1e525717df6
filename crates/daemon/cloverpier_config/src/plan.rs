//! From an operator's intent to a plan, and what a racing operator changed meanwhile.
//!
//! Question: what would this intent change, and does a plan still hold against a later version?
//! It does as long as nothing that it touches moved. Owns no state.

use crate::check::{Fault, check};
use crate::model::{Account, Config, Service, Upstream, UpstreamState};
use cloverpier_core::{AccountName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Names a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlanId(Arc<str>);

impl PlanId {
    /// Makes the name from text.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One thing of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// A service.
    Service(ServiceName),
    /// An upstream.
    Upstream(UpstreamName),
    /// A client account.
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

/// What an operator wants: things to set, things to remove, upstreams to leave.
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
    /// Upstreams that shall take no new work.
    #[serde(default)]
    pub leave: Vec<UpstreamName>,
    /// Things to remove.
    #[serde(default)]
    pub remove: Vec<Item>,
}

/// What a change does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Makes something new.
    Create,
    /// Replaces what stands.
    Replace,
    /// Takes something away.
    Remove,
}

/// One line of a plan: the thing, and its text before and after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The thing.
    pub item: Item,
    /// What is done to it.
    pub kind: ChangeKind,
    /// Its JSON before, when it stood.
    pub before: Option<String>,
    /// Its JSON after, when it will stand.
    pub after: Option<String>,
}

/// A plan: what an intent would change, against one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The version that the plan was made against.
    pub base: u64,
    /// The changes; none means that the intent is met already.
    pub changes: Vec<Change>,
    /// The intent.
    pub intent: Intent,
}

/// Why an intent has no plan, or a plan can't be confirmed.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum PlanError {
    /// The configuration that would result can't stand.
    #[snafu(display("the intent can't stand"))]
    Faulty {
        /// All that is wrong with it.
        faults: Vec<Fault>,
    },
    /// Another operator changed what the plan touches.
    #[snafu(display("version {now} changed what the plan of version {base} touches"))]
    Moved {
        /// The plan's version.
        base: u64,
        /// The version that stands now.
        now: u64,
        /// The things that moved.
        items: Vec<Item>,
    },
}

fn text_of(config: &Config, item: &Item) -> Option<String> {
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
    /// The configuration that results when the intent is met.
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

    /// Things that the intent names but that don't exist.
    fn missing(&self, config: &Config) -> Vec<Fault> {
        let leave = self.leave.iter().cloned().map(Item::Upstream);
        let named = leave.chain(self.remove.iter().cloned());
        named
            .filter(|item| text_of(config, item).is_none())
            .map(|item| Fault {
                field: item.to_string(),
                expected: "something that exists".to_owned(),
            })
            .collect()
    }

    /// Upstreams whose new state would use a name again without a new incarnation.
    fn returning(&self, config: &Config) -> Vec<Fault> {
        let back = |name: &UpstreamName, new: &Upstream| {
            config.upstreams.get(name).is_some_and(|old| {
                let left = old.state == UpstreamState::Leaving;
                let taken_back = left && new.state == UpstreamState::Active;
                new.incarnation < old.incarnation
                    || (taken_back && new.incarnation == old.incarnation)
            })
        };
        self.upstreams
            .iter()
            .filter(|(name, new)| back(name, new))
            .map(|(name, _)| Fault {
                field: format!("upstreams.{name}.incarnation"),
                expected: "a higher number than before, as it left".to_owned(),
            })
            .collect()
    }
}

/// Answers an intent with what it would change.
///
/// # Errors
///
/// [`PlanError::Faulty`] lists every field that can't stand.
pub fn plan(config: &Config, version: u64, intent: &Intent) -> Result<Plan, PlanError> {
    let next = intent.apply(config);
    let mut faults = intent.missing(config);
    faults.extend(intent.returning(config));
    faults.extend(check(&next));
    if !faults.is_empty() {
        return Err(PlanError::Faulty { faults });
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
        .filter_map(|item| change_of(before, after, item))
        .collect()
}

fn change_of(before: &Config, after: &Config, item: Item) -> Option<Change> {
    let (before, after) = (text_of(before, &item), text_of(after, &item));
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

/// Checks that a plan still says what it would change, and gives the configuration that results.
///
/// A later version is fine as long as nothing that the plan touches moved.
///
/// # Errors
///
/// [`PlanError::Moved`] when it did; [`PlanError::Faulty`] when the result can't stand.
pub fn rebase(plan: &Plan, config: &Config, version: u64) -> Result<Config, PlanError> {
    let moved: Vec<Item> = plan
        .changes
        .iter()
        .filter(|c| text_of(config, &c.item) != c.before)
        .map(|c| c.item.clone())
        .collect();
    if !moved.is_empty() {
        return Err(PlanError::Moved {
            base: plan.base,
            now: version,
            items: moved,
        });
    }
    let next = plan.intent.apply(config);
    let faults = check(&next);
    if faults.is_empty() {
        Ok(next)
    } else {
        Err(PlanError::Faulty { faults })
    }
}
