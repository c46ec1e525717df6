//! Reads the room of a service from the table of upstreams. Owns no state.

use crate::rollouts;
use crate::router::Router;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::admission::room::{service_room, streams_in_flight};
use cloverpier_router_policy::admission::shares::Shares;
use cloverpier_router_policy::admission::{Deal, ServiceDemand};
use cloverpier_router_policy::permit::PermitSearch;
use cloverpier_router_policy::prelude::*;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The room of a service, as this router sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomSeen {
    /// Number of streams that the engines take now.
    pub room: u32,
    /// Number of streams in flight, over all routers.
    pub in_flight: u32,
}

impl RoomSeen {
    /// The state of the service for a turn.
    pub fn deal(&self, now: Instant) -> Deal {
        Deal {
            room: self.room,
            in_flight: self.in_flight,
            now,
        }
    }

    /// The shares of the accounts.
    pub fn shares(&self, fleet: &ServiceDemand) -> Shares {
        Shares::new(fleet, self.in_flight, self.room)
    }
}

/// The room of a service for streams that add `load` at an engine with a KV cache of `engine_memory` tokens.
pub(crate) fn room_for(
    router: &Router,
    service: &ServiceName,
    load: Load,
    engine_memory: u64,
) -> RoomSeen {
    let now = router.now();
    let search = PermitSearch::new(Duration::ZERO);
    let limits = router.upstream_limits.limited_upstreams(&search);
    let versions = rollouts::version_rule(router, service, now);
    let settings = router.settings();
    let demand = Demand {
        service,
        home: &settings.data_centre,
        load,
        engine_memory: Some(engine_memory),
        affinity: None,
        prompt_location: None,
        is_continuation: false,
        tried: &[],
        connected: &HashSet::new(),
        suspect_content: None,
        overcommit: false,
        reported: &ReportedLoad::default(),
        versions: &versions,
        limits: &limits,
        now,
    };
    let table = router.upstreams.borrow();
    RoomSeen {
        room: service_room(&table, &demand),
        in_flight: streams_in_flight(&table, &demand),
    }
}
