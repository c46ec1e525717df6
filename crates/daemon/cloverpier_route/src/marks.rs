//! Marks to leave: upstreams that take no new work, whatever the configuration says.
//!
//! They are stored at the platform and travel between routers; a set only grows, until its
//! upstreams are gone from the configuration.

use cloverpier_core::UpstreamName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One incarnation of an upstream takes no new work.
///
/// A mark is never taken back; the name is used again by a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaveMark {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The highest incarnation that leaves.
    pub incarnation: u64,
}

/// All marks that are known; merging only adds, so that order doesn't matter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveMarks {
    by_name: BTreeMap<UpstreamName, u64>,
}

impl LeaveMarks {
    /// Adds a mark; says whether it was new.
    pub fn add(&mut self, mark: &LeaveMark) -> bool {
        let known = self.by_name.entry(mark.upstream.clone()).or_default();
        let news = mark.incarnation > *known;
        *known = (*known).max(mark.incarnation);
        news
    }

    /// Adds all marks of another set; says whether any was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut news = false;
        for mark in other.iter() {
            news |= self.add(&mark);
        }
        news
    }

    /// Whether an incarnation takes no new work.
    pub fn covers(&self, upstream: &UpstreamName, incarnation: u64) -> bool {
        // Incarnations start at 1, so zero covers none.
        let marked = self.by_name.get(upstream).copied().unwrap_or(0);
        incarnation <= marked
    }

    /// The marks.
    pub fn iter(&self) -> impl Iterator<Item = LeaveMark> + '_ {
        self.by_name.iter().map(|(name, incarnation)| LeaveMark {
            upstream: name.clone(),
            incarnation: *incarnation,
        })
    }

    /// Drops marks of upstreams that aren't configured any more.
    pub fn keep(&mut self, wanted: impl Fn(&UpstreamName) -> bool) {
        self.by_name.retain(|name, _| wanted(name));
    }

    /// A digest that differs when the marks do.
    pub fn digest(&self) -> u64 {
        let text: Vec<String> = self
            .by_name
            .iter()
            .map(|(name, incarnation)| format!("{name}@{incarnation}"))
            .collect();
        cloverpier_core::hash_of(&text.join(","))
    }
}
