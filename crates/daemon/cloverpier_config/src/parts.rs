//! A configuration in immutable parts below one small root.
//!
//! A value of the platform holds a megabyte at most, which the accounts alone
//! outgrow. A change writes the parts that it touches, each under the digest
//! of its content, and then the root; a reader never sees half a change.

use crate::model::{Account, Config, Service, Upstream};
use crate::plan::PlanId;
use cloverpier_core::{AccountName, ServiceName, UpstreamName, hash_of};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Parts that a configuration is split into. A change moves one part and the root.
pub const PART_COUNT: usize = 256;

/// The digest of a part's content.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartDigest(Arc<str>);

impl PartDigest {
    /// The digest as text, as in the part's object key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One part: the services, upstreams and accounts whose names hash to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountName, Arc<Account>>,
}

impl Part {
    /// The digest of the part's content.
    pub fn digest(&self) -> PartDigest {
        // Maps are ordered and all values serialize, so the text is canonical.
        let text = serde_json::to_string(self).unwrap_or_default();
        let (low, high) = (hash_of(&text), hash_of(&format!("{text}#")));
        PartDigest(Arc::from(format!("{low:016x}{high:016x}")))
    }
}

/// The root: the version, the parts, and the plans confirmed recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// The configuration's version; rises by one with each confirmed plan.
    pub version: u64,
    /// Digests of the parts, in order.
    pub parts: Vec<PartDigest>,
    /// The last confirmed plans, newest last: how a lost answer is settled.
    pub plans: Vec<PlanId>,
}

impl Root {
    /// Confirmed plans that a root remembers; a lost answer is settled by reading the root within
    /// as many changes.
    pub const PLANS_KEPT: usize = 64;

    /// The root that follows this one when a plan is confirmed.
    #[must_use]
    pub fn next(&self, plan: &PlanId, parts: &[Part]) -> Self {
        let mut plans = self.plans.clone();
        plans.push(plan.clone());
        let excess = plans.len().saturating_sub(Self::PLANS_KEPT);
        plans.drain(..excess);
        Self {
            version: self.version + 1,
            parts: parts.iter().map(Part::digest).collect(),
            plans,
        }
    }

    /// Whether a plan was confirmed by this root or a late one before it.
    pub fn has_plan(&self, plan: &PlanId) -> bool {
        self.plans.contains(plan)
    }
}

fn index_of(kind: &str, name: &str) -> usize {
    let parts = PART_COUNT as u64;
    // Below `PART_COUNT`, so it always fits.
    usize::try_from(hash_of(&format!("{kind}/{name}")) % parts).unwrap_or(0)
}

/// Splits a configuration into its parts.
pub fn split(config: &Config) -> Vec<Part> {
    let mut parts = vec![Part::default(); PART_COUNT];
    for (name, service) in &config.services {
        let part = &mut parts[index_of("service", name.as_str())];
        part.services.insert(name.clone(), service.clone());
    }
    for (name, upstream) in &config.upstreams {
        let part = &mut parts[index_of("upstream", name.as_str())];
        part.upstreams.insert(name.clone(), upstream.clone());
    }
    for (name, account) in &config.accounts {
        let part = &mut parts[index_of("account", name.as_str())];
        part.accounts.insert(name.clone(), account.clone());
    }
    parts
}

/// Joins parts into a configuration.
pub fn join<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Config {
    let mut config = Config::default();
    for part in parts {
        config.services.extend(part.services.clone());
        config.upstreams.extend(part.upstreams.clone());
        config.accounts.extend(part.accounts.clone());
    }
    config
}
