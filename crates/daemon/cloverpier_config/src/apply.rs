//! The configuration that a router acts on; it only moves forward.
//!
//! Question: is this root newer, and are all of its parts here? Answer: an [`ApplyStep`], which
//! names the parts that are lacking. A lower version never replaces a higher one.

use crate::model::Config;
use crate::parts::{Part, PartDigest, Root, join};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What came of a root that a router was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// It is in force now.
    InForce {
        /// The version in force.
        version: u64,
    },
    /// The router acts on this version or a later one already.
    Old {
        /// The version in force.
        version: u64,
    },
    /// These parts must be fetched first.
    Lacks {
        /// Digests of the parts.
        parts: Vec<PartDigest>,
    },
}

/// The configuration in force at a router.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    root: Root,
    parts: BTreeMap<PartDigest, Part>,
    config: Arc<Config>,
}

impl Applied {
    /// Offers a root; `fetched` holds parts that were fetched for it.
    ///
    /// Invariant: the version in force never falls.
    pub fn offer(&mut self, root: &Root, fetched: Vec<Part>) -> ApplyStep {
        if root.version <= self.root.version {
            return ApplyStep::Old {
                version: self.root.version,
            };
        }
        for part in fetched {
            self.parts.insert(part.digest(), part);
        }
        let lacks: Vec<PartDigest> = root
            .parts
            .iter()
            .filter(|d| !self.parts.contains_key(*d))
            .cloned()
            .collect();
        if !lacks.is_empty() {
            return ApplyStep::Lacks { parts: lacks };
        }
        self.parts.retain(|d, _| root.parts.contains(d));
        self.config = Arc::new(join(self.parts.values()));
        self.root = root.clone();
        ApplyStep::InForce {
            version: root.version,
        }
    }

    /// The root in force.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.root.version
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    /// The parts with these digests, as far as they are known.
    pub fn parts(&self, digests: &[PartDigest]) -> Vec<Part> {
        let known = digests.iter().filter_map(|d| self.parts.get(d));
        known.cloned().collect()
    }
}
