//! Leave marks: upstreams that get no new requests, even if the configuration contains them as
//! active.
//!
//! The marks are stored at the platform and exchanged between routers. Marks are only added, so the
//! sets of all routers converge.

use cloverpier_core::UpstreamName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An incarnation of an upstream that gets no new requests.
///
/// A mark is never withdrawn. The name can be used again by a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaveMark {
    /// The name of the upstream.
    pub upstream: UpstreamName,
    /// The highest incarnation that leaves; all lower ones leave, too.
    pub incarnation: u64,
}

/// A set of leave marks. Merging only adds marks, so the order of merges does not matter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveMarks {
    by_name: BTreeMap<UpstreamName, u64>,
}

impl LeaveMarks {
    /// Adds a mark; returns whether it was new.
    pub fn add(&mut self, mark: &LeaveMark) -> bool {
        let marked = self.by_name.entry(mark.upstream.clone()).or_default();
        let is_new = mark.incarnation > *marked;
        *marked = (*marked).max(mark.incarnation);
        is_new
    }

    /// Adds all marks of another set; returns whether any of them was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut is_new = false;
        for mark in other.iter() {
            is_new |= self.add(&mark);
        }
        is_new
    }

    /// Whether an incarnation of an upstream gets no new requests.
    pub fn covers(&self, upstream: &UpstreamName, incarnation: u64) -> bool {
        // Incarnations start at 1, so 0 covers none.
        let marked = self.by_name.get(upstream).copied().unwrap_or(0);
        incarnation <= marked
    }

    /// All marks, ordered by upstream.
    pub fn iter(&self) -> impl Iterator<Item = LeaveMark> + '_ {
        self.by_name.iter().map(|(name, incarnation)| LeaveMark {
            upstream: name.clone(),
            incarnation: *incarnation,
        })
    }

    /// Removes the marks of upstreams for which `wanted` is false, such as those that the
    /// configuration no longer contains.
    pub fn retain(&mut self, wanted: impl Fn(&UpstreamName) -> bool) {
        self.by_name.retain(|name, _| wanted(name));
    }

    /// A digest by which routers compare their sets. It depends only on the marks.
    pub fn digest(&self) -> u64 {
        let text: Vec<String> = self
            .by_name
            .iter()
            .map(|(name, incarnation)| format!("{name}@{incarnation}"))
            .collect();
        cloverpier_core::hash_of(&text.join(","))
    }
}
