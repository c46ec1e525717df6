//! The settings of both programs for requests whose contents crash upstreams.
//!
//! `cloverpier_crashes` decides which contents are blocked. This module owns the names, ranges and defaults
//! of the keys.

use crate::reader::TableReader;
use cloverpier_crashes::{ContentKey, CrashLimit};
use std::collections::HashSet;

/// The default number of crashes of upstreams after which a request content is blocked: the bound that the
/// operators require.
const DEFAULT_LIMIT: u64 = 3;
/// The maximum of `crash_limit`: the number of crashes that are recorded for each request content.
const MAX_LIMIT: u64 = 16;

/// When requests are blocked because their content crashes upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSettings {
    /// The number of crashes after which a request content is blocked; 0 never blocks contents.
    pub limit: CrashLimit,
    /// The request contents that operators have exempted from blocking.
    pub cleared: HashSet<ContentKey>,
}

impl CrashSettings {
    pub(crate) fn read(r: &mut TableReader) -> Self {
        let limit = r.number_or("crash_limit", 0, MAX_LIMIT, DEFAULT_LIMIT);
        Self {
            // At most 16.
            limit: CrashLimit(limit as u32),
            cleared: r.content_keys("cleared_contents"),
        }
    }
}
