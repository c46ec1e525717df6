//! Look-ups in the table of upstreams for crash attribution: how many other upstreams a service has besides a crashed
//! one, and the names of upstreams for log lines.
//!
//! Owns no state.

use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::prelude::*;

/// Counts the other listed upstreams of a crashed upstream's service.
pub(super) fn neighbour_counts(router: &Router, crashed: &UpstreamEvent) -> NeighbourCounts {
    let table = router.upstreams.borrow();
    let of_service = table.of_service(&crashed.service).filter(|s| s.is_listed());
    let others = of_service.filter(|s| s.key.0 != crashed.upstream);
    let mut counts = NeighbourCounts::default();
    for other in others {
        counts.in_service += 1;
        counts.in_data_centre += u32::from(other.upstream.data_centre == crashed.data_centre);
    }
    counts
}

/// The name of the upstream with this key, or the key in hexadecimal if the upstream is not in the table any more.
pub(super) fn upstream_name(router: &Router, key: u64) -> String {
    let table = router.upstreams.borrow();
    let state = table.by_key(UpstreamKey(key));
    let name = state.map(|s| &s.upstream.name).map(UpstreamName::to_string);
    name.unwrap_or_else(|| format!("{key:016x}"))
}
