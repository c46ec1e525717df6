//! The settings on requests that end upstreams, which both programs have.
//!
//! What follows from them is decided in `cloverpier_crashes`. Owns their names, bounds and defaults.

use crate::reader::Reader;
use cloverpier_crashes::{ContentKey, CrashLimit};
use std::collections::HashSet;

/// Ends of upstreams that stop a content where the settings do not say: the users' bound.
const DEFAULT_LIMIT: u64 = 3;
/// The highest limit that can be set: as many ends are kept of a content.
const MAX_LIMIT: u64 = 16;

/// Which requests are sent to no further upstream, by the upstreams that they ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSettings {
    /// Ends that stop a content; 0 where none is to be stopped.
    pub limit: CrashLimit,
    /// Contents that are never stopped.
    pub cleared: HashSet<ContentKey>,
}

impl CrashSettings {
    pub(crate) fn read(r: &mut Reader) -> Self {
        let limit = r.number_or("crash_limit", 0, MAX_LIMIT, DEFAULT_LIMIT);
        Self {
            // At most 16.
            limit: CrashLimit(limit as u32),
            cleared: r.contents("cleared_contents"),
        }
    }
}
