//! Addresses that are used again: the upstream that had one before is replaced, and no other.

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

/// A name is listed at an address, or it is gone.
type Change = (u8, Option<u8>);

fn change((name, port): Change) -> UpstreamChange {
    match port {
        Some(port) => UpstreamChange::Listed(upstream(name, port)),
        None => UpstreamChange::Gone(upstream(name, 0).name),
    }
}

quickcheck! {
    /// The same as comparing each new name with all that are known.
    fn a_new_name_at_an_address_replaces_those_that_had_it(changes: Vec<Change>) -> bool {
        let now = Instant::now();
        let mut table = UpstreamTable::default();
        // What each name's address is, and whether it was replaced there.
        let mut known: HashMap<u8, (u8, bool)> = HashMap::new();
        let few = changes.into_iter().map(|(name, port)| (name % 12, port.map(|p| p % 6)));
        for (revision, (name, port)) in (1..).zip(few) {
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
            state.may_still_serve() != *is_replaced
        })
    }
}

#[test]
fn what_was_forgotten_at_an_address_comes_back_as_new() {
    let start = Instant::now();
    let mut table = UpstreamTable::default();
    table.apply_changes(vec![change((1, Some(1)))], 1, start);
    table.apply_changes(vec![change((1, None))], 2, start);
    let later = start + Duration::from_secs(60);
    table.apply_changes(vec![change((2, Some(2)))], 3, later);
    assert!(table.get(&upstream(1, 0).name).is_none(), "it is forgotten");
    table.apply_changes(vec![change((3, Some(1)))], 4, later);
    table.apply_changes(vec![change((1, Some(1)))], 5, later);
    assert!(table.get(&upstream(1, 0).name).unwrap().may_still_serve());
    assert!(!table.get(&upstream(3, 0).name).unwrap().may_still_serve());
}
