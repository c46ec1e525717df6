//! Matching of requests to routes, keys of client accounts, weights of targets, and retry rules.

use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use std::time::Duration;

fn route(name: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| RouteTarget {
        service: ServiceName::new(service),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: "ledger.example".to_owned(),
        prefix: prefix.to_owned(),
        streaming: false,
        resumable: false,
        safe: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        gap_objective: None,
        priority: 1,
        max_attempts: 2,
        public: false,
        targets: targets.collect(),
    }
}

fn configuration() -> ConfigurationIndex {
    ConfigurationIndex::new(Configuration {
        version: 3,
        routes: vec![
            route("short", "/runs/", &[("lookups", 1.0)]),
            route("long", "/runs/signed/", &[("lookups", 1.0)]),
        ],
        services: Vec::new(),
        accounts: Some(vec![ClientAccount {
            name: "lab".to_owned(),
            priority: None,
            keys: vec!["key-1".to_owned(), "key-2".to_owned()],
        }]),
        limits: Limits::default(),
    })
}

#[test]
fn the_route_with_the_longest_prefix_is_used() {
    let configuration = configuration();
    let name = |path| {
        configuration
            .route("ledger.example", path)
            .map(|r| r.name.as_str())
    };
    assert_eq!(name("/runs/17"), Some("short"));
    assert_eq!(name("/runs/signed/17"), Some("long"));
    assert_eq!(name("/runs"), None);
    assert!(configuration.route("other.example", "/runs/17").is_none());
}

#[test]
fn a_key_identifies_its_client_account() {
    let configuration = configuration();
    assert!(configuration.requires_keys());
    assert_eq!(configuration.account_for_key("key-2").unwrap().name, "lab");
    assert!(configuration.account_for_key("key-3").is_none());
}

#[test]
fn targets_receive_requests_by_weight() {
    let split = route(
        "split",
        "/",
        &[("stable", 90.0), ("next", 10.0), ("off", 0.0)],
    );
    let mut rng = fastrand::Rng::with_seed(3);
    let mut picked = [0u32; 3];
    for _ in 0..10_000 {
        match split.pick_target(&mut rng).unwrap().as_str() {
            "stable" => picked[0] += 1,
            "next" => picked[1] += 1,
            _ => picked[2] += 1,
        }
    }
    assert!((800..1_200).contains(&picked[1]), "{picked:?}");
    assert_eq!(picked[2], 0);
}

#[test]
fn a_stream_that_may_not_be_resumed_runs_at_most_once() {
    let mut stream = route("stream", "/", &[]);
    stream.streaming = true;
    assert_eq!(stream.retry_rule(), RetryRule::AtMostOnce);
    stream.resumable = true;
    assert_eq!(stream.retry_rule(), RetryRule::Resumable);
}
