//! Reused addresses: a new upstream at an address replaces the upstreams there, and no others.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use quickcheck::quickcheck;
use std::collections::HashMap;
use std::time::{Duration, Instant};

fn upstream(name: u8, port: u8) -> Upstream {
    Upstream {
        name: UpstreamName::new(format!("u{name}")),
        service: ServiceName::new("drafts"),
        address: ([127, 0, 0, 1], 9_000 + u16::from(port)).into(),
        data_centre: DataCentre::new("hall-a"),
        slots: 8,
        draining: false,
        start: None,
    }
}

/// The number of an upstream, and the number of the port at which it is listed; `None` for a removal.
type Change = (u8, Option<u8>);

fn change((name, port): Change) -> UpstreamChange {
    match port {
        Some(port) => UpstreamChange::Listed(upstream(name, port)),
        None => UpstreamChange::Gone(upstream(name, 0).name),
    }
}

quickcheck! {
    /// The index gives the same result as comparing each new upstream with all known ones.
    fn a_new_upstream_replaces_those_at_its_address(changes: Vec<Change>) -> bool {
        let now = Instant::now();
        let mut table = UpstreamTable::default();
        // The port of each upstream, and whether the upstream was replaced there.
        let mut known: HashMap<u8, (u8, bool)> = HashMap::new();
        let colliding = changes.into_iter().map(|(name, port)| (name % 12, port.map(|p| p % 6)));
        for (revision, (name, port)) in (1..).zip(colliding) {
            table.apply_changes(vec![change((name, port))], revision, now);
            match (port, known.contains_key(&name)) {
                (Some(port), true) => {
                    known.entry(name).and_modify(|entry| entry.0 = port);
                }
                (Some(port), false) => {
                    for entry in known.values_mut().filter(|entry| entry.0 == port) {
                        entry.1 = true;
                    }
                    known.insert(name, (port, false));
                }
                (None, _) => {}
            }
        }
        known.iter().all(|(name, (_, is_replaced))| {
            let state = table.get(&upstream(*name, 0).name).unwrap();
            state.is_replaced() == *is_replaced
        })
    }
}

#[test]
fn a_forgotten_upstream_that_is_listed_again_counts_as_new() {
    let start = Instant::now();
    let mut table = UpstreamTable::default();
    table.apply_changes(vec![change((1, Some(1)))], 1, start);
    table.apply_changes(vec![change((1, None))], 2, start);
    let later = start + Duration::from_secs(60);
    table.apply_changes(vec![change((2, Some(2)))], 3, later);
    assert!(
        table.get(&upstream(1, 0).name).is_none(),
        "the table has dropped its state"
    );
    table.apply_changes(vec![change((3, Some(1)))], 4, later);
    table.apply_changes(vec![change((1, Some(1)))], 5, later);
    assert!(table.get(&upstream(1, 0).name).unwrap().may_still_serve());
    assert!(!table.get(&upstream(3, 0).name).unwrap().may_still_serve());
}
