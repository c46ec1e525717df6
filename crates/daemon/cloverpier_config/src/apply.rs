//! The configuration that a router acts on; its version never falls.
//!
//! [`AppliedConfig`] owns the root in force and its parts. It applies a root only if the root's
//! version is higher than the one in force and all parts of the root are present; otherwise the
//! [`ApplyOutcome`] gives the reason and the digests of the missing parts. Fetching the parts is
//! left to the caller.

use crate::model::Config;
use crate::parts::{Part, PartDigest, Root, join};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The result of [`AppliedConfig::try_apply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The root was applied.
    Applied {
        /// The version of the applied root, which is in force from now on.
        version: u64,
    },
    /// The root was ignored: its version, or a higher one, is in force already.
    NotNewer {
        /// The version in force.
        version: u64,
    },
    /// The root was not applied: the caller has to fetch these parts first.
    MissingParts {
        /// Digests of the parts that this router doesn't have.
        parts: Vec<PartDigest>,
    },
}

/// The configuration in force at a router; empty, at version 0, until the first root is applied.
#[derive(Clone, Debug, Default)]
pub struct AppliedConfig {
    root: Root,
    parts: BTreeMap<PartDigest, Part>,
    config: Arc<Config>,
}

impl AppliedConfig {
    /// Applies a root if it is newer than the root in force and all of its parts are present.
    ///
    /// `fetched` holds parts that were fetched for this root. They are kept if others are still
    /// missing, so that the next attempt needs to pass only the rest. Invariant: the version in
    /// force never falls.
    pub fn try_apply(&mut self, root: &Root, fetched: Vec<Part>) -> ApplyOutcome {
        if root.version <= self.root.version {
            return ApplyOutcome::NotNewer {
                version: self.root.version,
            };
        }
        for part in fetched {
            self.parts.insert(part.digest(), part);
        }
        let missing: Vec<PartDigest> = root
            .parts
            .iter()
            .filter(|d| !self.parts.contains_key(*d))
            .cloned()
            .collect();
        if !missing.is_empty() {
            return ApplyOutcome::MissingParts { parts: missing };
        }
        self.parts.retain(|d, _| root.parts.contains(d));
        self.config = Arc::new(join(self.parts.values()));
        self.root = root.clone();
        ApplyOutcome::Applied {
            version: root.version,
        }
    }

    /// The root in force; the default root, of version 0, before the first.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// The version in force; 0 before the first root is applied.
    pub fn version(&self) -> u64 {
        self.root.version
    }

    /// The configuration in force, shared rather than copied; empty before the first root is applied.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    /// The parts with these digests; a digest without a part here is skipped.
    pub fn parts(&self, digests: &[PartDigest]) -> Vec<Part> {
        let present = digests.iter().filter_map(|d| self.parts.get(d));
        present.cloned().collect()
    }
}
