//! The upstreams around one that ended, and their names, for judgements and log lines.
//!
//! Owns nothing: reads the table of upstreams.

use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::prelude::*;

/// The upstreams that are listed beside one that ended.
pub(super) fn neighbours(router: &Router, end: &UpstreamEvent) -> NeighbourCounts {
    let table = router.upstreams.borrow();
    let of_service = table.of_service(&end.service).filter(|s| s.is_listed());
    let others = of_service.filter(|s| s.key.0 != end.upstream);
    let mut neighbours = NeighbourCounts::default();
    for other in others {
        neighbours.in_service += 1;
        neighbours.in_data_centre += u32::from(other.upstream.data_centre == end.data_centre);
    }
    neighbours
}

/// An upstream's name, or its hash where it is forgotten.
pub(super) fn upstream_name(router: &Router, key: u64) -> String {
    let table = router.upstreams.borrow();
    let state = table.by_key(UpstreamKey(key));
    let name = state.map(|s| &s.upstream.name).map(UpstreamName::to_string);
    name.unwrap_or_else(|| format!("{key:016x}"))
}
