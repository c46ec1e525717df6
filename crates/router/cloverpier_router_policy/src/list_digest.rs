//! A digest of a list of upstreams, by which the contents of two lists are compared.
//!
//! - **Question.** Do two routers have the same list, whatever revisions they name?
//! - **Inputs.** The entries of the list.
//! - **Result.** A [`ListDigest`].
//! - **Why.** A revision says which changes a router has been told of, and not that it was told of all of them.
//!
//! The digest covers what decides whether an upstream gets requests, and of which streams: its name, service, address,
//! software version, and whether it leaves. It is the same in any order of the entries, on every VM and in every release.
//! Owns no state.

use crate::upstream::Upstream;
use cloverpier_core::{SoftwareVersion, hash_of};
use serde::{Deserialize, Serialize};

/// The digest of a list of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest(u64);

impl ListDigest {
    /// The digest of these entries.
    pub fn of<'a>(entries: impl Iterator<Item = &'a Upstream>) -> Self {
        Self(entries.map(entry_hash).fold(0, u64::wrapping_add))
    }
}

fn entry_hash(entry: &Upstream) -> u64 {
    let version = entry.version().map_or("", SoftwareVersion::as_str);
    let leaves = if entry.draining { "leaves" } else { "serves" };
    let (name, service) = (entry.name.as_str(), entry.service.as_str());
    // Names contain no line breaks.
    hash_of(&format!(
        "{name}\n{service}\n{}\n{version}\n{leaves}",
        entry.address
    ))
}
