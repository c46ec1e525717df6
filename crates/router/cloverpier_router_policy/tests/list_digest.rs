//! The digest by which routers compare their lists of upstreams.

use cloverpier_core::{DataCentre, ServiceName, SoftwareVersion, UpstreamName};
use cloverpier_router_policy::list_digest::ListDigest;
use cloverpier_router_policy::prelude::{Upstream, UpstreamChange, UpstreamStart, UpstreamTable};
use std::time::Instant;

fn upstream(name: &str) -> Upstream {
    Upstream {
        name: UpstreamName::from(name),
        service: ServiceName::from("drafts"),
        address: "10.1.0.1:80".parse().unwrap(),
        data_centre: DataCentre::from("hall-a"),
        slots: 4,
        draining: false,
        start: Some(UpstreamStart {
            version: SoftwareVersion::from("v1"),
            start_time_ms: None,
        }),
    }
}

#[test]
fn the_order_of_the_entries_does_not_matter() {
    let (one, other) = (upstream("one"), upstream("other"));
    let forwards = ListDigest::of([&one, &other].into_iter());
    let backwards = ListDigest::of([&other, &one].into_iter());
    assert_eq!(forwards, backwards);
}

#[test]
fn whatever_decides_who_gets_requests_changes_the_digest() {
    let entry = upstream("one");
    let of = |entry: &Upstream| ListDigest::of([entry].into_iter());
    let changed = [
        Upstream {
            draining: true,
            ..entry.clone()
        },
        Upstream {
            service: ServiceName::from("status"),
            ..entry.clone()
        },
        Upstream {
            address: "10.1.0.1:81".parse().unwrap(),
            ..entry.clone()
        },
        Upstream {
            start: None,
            ..entry.clone()
        },
        upstream("two"),
    ];
    for other in &changed {
        assert_ne!(of(&entry), of(other), "{other:?}");
    }
    assert_ne!(ListDigest::default(), of(&entry));
}

#[test]
fn tables_with_the_same_list_have_the_same_digest_by_whichever_way_they_got_it() {
    let now = Instant::now();
    let leaves = Upstream {
        draining: true,
        ..upstream("one")
    };
    let mut by_changes = UpstreamTable::default();
    by_changes.apply_list(vec![upstream("one"), upstream("gone")], 3, now);
    let before = by_changes.digest();
    let changes = vec![
        UpstreamChange::Listed(leaves.clone()),
        UpstreamChange::Gone(UpstreamName::from("gone")),
    ];
    by_changes.apply_changes(changes, 5, now);
    let mut by_list = UpstreamTable::default();
    by_list.apply_list(vec![leaves], 9, now);
    assert_eq!(by_changes.digest(), by_list.digest());
    assert_ne!(before, by_list.digest());
}
