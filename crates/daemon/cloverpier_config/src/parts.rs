//! Storage of a configuration as immutable parts that one small root lists.
//!
//! A stored value of the platform is limited to a megabyte, and the accounts alone take more. A
//! change writes the parts that it affects, each under the digest of its content, and then the
//! root, so that a reader never sees half of a change. Owns no state and does no I/O.

use crate::model::{Account, Config, Service, Upstream};
use crate::plan::PlanId;
use cloverpier_core::{AccountName, ServiceName, UpstreamName, hash_of};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Number of parts of a configuration. Changing one service, upstream or account rewrites one part
/// and the root.
pub const PART_COUNT: usize = 256;

/// The digest of a part's content: two 64-bit hashes, as 32 hexadecimal digits.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartDigest(Arc<str>);

impl PartDigest {
    /// The hexadecimal text, which ends the part's object key on the platform.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One of the [`PART_COUNT`] parts of a configuration. A hash of kind and name assigns each service,
/// upstream and account to a part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The services of this part, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The upstreams of this part, by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// The client accounts of this part, by name.
    pub accounts: BTreeMap<AccountName, Arc<Account>>,
}

impl Part {
    /// Computes the digest of the part's content; equal parts have equal digests.
    pub fn digest(&self) -> PartDigest {
        // The maps are ordered and all values can be serialized, so the text is canonical.
        let text = serde_json::to_string(self).unwrap_or_default();
        let (low, high) = (hash_of(&text), hash_of(&format!("{text}#")));
        PartDigest(Arc::from(format!("{low:016x}{high:016x}")))
    }
}

/// The root of a stored configuration: its version, its parts and the plans confirmed last.
///
/// The default root, of version 0 and without parts, stands for the configuration before the first
/// confirmed plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// The configuration's version; rises by one with each confirmed plan.
    pub version: u64,
    /// Digests of the [`PART_COUNT`] parts, in the order of their indexes.
    pub parts: Vec<PartDigest>,
    /// The plans confirmed last, newest at the end, at most [`Root::MAX_CONFIRMED_PLANS`]. After the
    /// response to a write of the root was lost, they show whether the plan took effect.
    pub plans: Vec<PlanId>,
}

impl Root {
    /// Upper bound of the confirmed plans that a root lists. After the response to a write was lost,
    /// a router finds out whether its plan took effect by reading the root before as many other
    /// plans are confirmed.
    pub const MAX_CONFIRMED_PLANS: usize = 64;

    /// Returns the root that replaces this one when a plan is confirmed; `parts` are all parts of
    /// the new configuration.
    #[must_use]
    pub fn next(&self, plan: &PlanId, parts: &[Part]) -> Self {
        let mut plans = self.plans.clone();
        plans.push(plan.clone());
        let excess = plans.len().saturating_sub(Self::MAX_CONFIRMED_PLANS);
        plans.drain(..excess);
        Self {
            version: self.version + 1,
            parts: parts.iter().map(Part::digest).collect(),
            plans,
        }
    }

    /// Whether a plan is among the confirmed plans that this root lists.
    pub fn has_plan(&self, plan: &PlanId) -> bool {
        self.plans.contains(plan)
    }
}

fn part_index(kind: &str, name: &str) -> usize {
    let parts = PART_COUNT as u64;
    // The remainder is below `PART_COUNT`, so the conversion never fails.
    usize::try_from(hash_of(&format!("{kind}/{name}")) % parts).unwrap_or(0)
}

/// Splits a configuration into [`PART_COUNT`] parts, some of which may be empty.
pub fn split(config: &Config) -> Vec<Part> {
    let mut parts = vec![Part::default(); PART_COUNT];
    for (name, service) in &config.services {
        let part = &mut parts[part_index("service", name.as_str())];
        part.services.insert(name.clone(), service.clone());
    }
    for (name, upstream) in &config.upstreams {
        let part = &mut parts[part_index("upstream", name.as_str())];
        part.upstreams.insert(name.clone(), upstream.clone());
    }
    for (name, account) in &config.accounts {
        let part = &mut parts[part_index("account", name.as_str())];
        part.accounts.insert(name.clone(), account.clone());
    }
    parts
}

/// Joins parts into a configuration; undoes [`split`].
pub fn join<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Config {
    let mut config = Config::default();
    for part in parts {
        config.services.extend(part.services.clone());
        config.upstreams.extend(part.upstreams.clone());
        config.accounts.extend(part.accounts.clone());
    }
    config
}
