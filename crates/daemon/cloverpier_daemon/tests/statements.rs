//! What upstreams say of themselves in answers: that they leave, that they want nothing for a while.
//!
//! What would be seen: an engine that leaves of its own accord, and says so in its answers, gets new
//! generations until an operator has marked it; a service that turns calls away for two seconds gets
//! each of them. The cause is that of the router on the platform: only the load report's own field
//! counted, which plain services do not have, and what any other answer says of its sender was read by
//! nobody.

mod support;

use cloverpier_daemon_standin::{EngineFaults, ServiceFaults};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{KEY, Process, Site};

/// Routers tell each other of a leaving within this time: the least of two heartbeats (400 ms each).
const TOLD: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(20);

async fn set_engine(site: &Site, engine: usize, faults: &EngineFaults) {
    let url = format!("http://{}/faults", site.engines[engine].address);
    site.post(&url, faults).await;
}

async fn set_service(site: &Site, service: &Process, faults: &ServiceFaults) {
    let url = format!("http://{}/standin/faults", service.address);
    site.post(&url, faults).await;
}

/// Calls that a plain service has got, those that it turned away among them.
async fn calls_at(site: &Site, service: &Process) -> u64 {
    let url = format!("http://{}/standin/counts", service.address);
    let counts: Value = site.get(&url).await.unwrap_or_default();
    let runs = counts["runs"].as_object();
    runs.map_or(0, |runs| runs.values().filter_map(Value::as_u64).sum())
}

/// Generations that an engine has got, those that it refused among them.
async fn generations_at(site: &Site, engine: usize) -> u64 {
    let url = format!("http://{}/counts", site.engines[engine].address);
    let counts: Value = site.get(&url).await.unwrap_or_default();
    let count = |name: &str| counts[name].as_u64().unwrap_or(0);
    count("started") + count("refused")
}

/// Sends a completion to each router in turn for a time; all must be served.
async fn generate_for(site: &Site, length: Duration) {
    let until = Instant::now() + length;
    let mut turn = 0;
    while Instant::now() < until {
        let body = json!({"model": "drafts", "prompt": format!("p{turn}"), "max_tokens": 2});
        let (status, answer) = site.post_to(turn % 3, "/v1/completions", &body).await;
        assert_eq!(status, 200, "{answer}");
        turn += 1;
    }
}

/// Calls the plain service at one router, some at a time; gives the statuses and the times to come back.
async fn call_at_once(site: &Site, name: &str, count: usize) -> Vec<(u16, Value)> {
    let good = format!("Bearer {KEY}");
    let calls = (0..count).map(|n| {
        let good = good.as_str();
        async move {
            let key = format!("{name}-{n}");
            let headers = [("Authorization", good), ("Idempotency-Key", &key)];
            site.raw("/services/status/sign", &headers, "x").await
        }
    });
    futures_util::future::join_all(calls).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_has_said_that_it_leaves_gets_no_generation_at_any_router() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    site.set_platform_down(true).await;
    generate_for(&site, Duration::from_millis(300)).await;
    let leaving = EngineFaults {
        says_leaving: true,
        ..EngineFaults::default()
    };
    set_engine(&site, 1, &leaving).await;
    generate_for(&site, TOLD).await;
    let before = generations_at(&site, 1).await;
    generate_for(&site, TOLD).await;
    assert_eq!(generations_at(&site, 1).await - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_that_has_said_that_it_leaves_gets_no_call() {
    let mut site = Site::start().await;
    site.add_service();
    site.configure(&site.intent()).await;
    site.set_platform_down(true).await;
    let leaving = ServiceFaults {
        says_leaving: true,
        slow_ms: 10,
        ..ServiceFaults::default()
    };
    let slow = ServiceFaults {
        slow_ms: 10,
        ..ServiceFaults::default()
    };
    set_service(&site, &site.service, &slow).await;
    let leaver = &site.more_services[0];
    set_service(&site, leaver, &leaving).await;
    site.until("it has answered a call", async || {
        let number = calls_at(&site, leaver).await;
        call_at_once(&site, &format!("first-{number}"), 4).await;
        calls_at(&site, leaver).await > 0
    })
    .await;
    let before = calls_at(&site, leaver).await;
    for round in 0..10 {
        for (status, answer) in call_at_once(&site, &format!("later-{round}"), 4).await {
            assert_eq!(status, 200, "{answer}");
        }
    }
    assert_eq!(calls_at(&site, leaver).await - before, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_wants_nothing_is_left_alone_for_so_long() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let asking = EngineFaults {
        wait_s: 30.0,
        ..EngineFaults::default()
    };
    set_engine(&site, 1, &asking).await;
    site.until("each router may have been told", async || {
        generate_for(&site, Duration::from_millis(500)).await;
        generations_at(&site, 1).await > 0
    })
    .await;
    // Twice as long as a failed upstream is avoided at first.
    generate_for(&site, Duration::from_millis(2_500)).await;
    // Of each of the three routers no more than one that it turned away.
    let arrived = generations_at(&site, 1).await;
    assert!(arrived <= 3, "{arrived}");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_service_that_wants_nothing_learn_when_it_does_again() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let asking = ServiceFaults {
        wait_s: 30.0,
        ..ServiceFaults::default()
    };
    set_service(&site, &site.service, &asking).await;
    // The service's own answer is passed on, as it may have run the call.
    let first = call_at_once(&site, "first", 1).await;
    assert_eq!(first[0].0, 503);
    tokio::time::sleep(PAUSE).await;
    let before = calls_at(&site, &site.service).await;
    for (status, answer) in call_at_once(&site, "later", 4).await {
        assert_eq!(status, 503, "{answer}");
        let error = &answer["error"];
        assert_eq!(error["run"], "not-run", "{answer}");
        let back = error["retry_after_ms"].as_u64().unwrap();
        assert!((20_000..=30_000).contains(&back), "{answer}");
    }
    assert_eq!(calls_at(&site, &site.service).await - before, 0);
}
