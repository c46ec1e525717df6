//! Whole sessions against a site, held against golden files.
//!
//! What is written down is what callers, operators and upstreams saw, without
//! times, ports and numbers that vary.

mod support;

use cloverpier_client::{CallError, GenerateRequest};
use cloverpier_daemon_standin::{EngineFaults, PlatformFaults, ServiceFaults, check_speech};
use reqwest::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{Process, Site};
use tokio::sync::mpsc;

/// What a caller sees of an answer, without what varies.
fn seen(answer: &Result<cloverpier_client::GeneratedResponse, CallError>) -> Value {
    match answer {
        Ok(a) => json!({
            "tokens": a.tokens.len(),
            "repeated": a.repeated,
            "count and digest as told": a.is_verified,
            "each token after those before it":
                check_speech(a.tokens.iter().map(|t| &*t.text)).is_ok(),
        }),
        Err(CallError::Refused { status, run, .. }) => json!({"status": status, "run": run}),
        Err(CallError::NoRouter) => json!("no router"),
    }
}

/// Streams an answer in a task of its own; each token is told as it arrives.
fn stream(
    site: &Site,
    ask: GenerateRequest,
) -> (
    tokio::task::JoinHandle<Result<cloverpier_client::GeneratedResponse, CallError>>,
    mpsc::UnboundedReceiver<cloverpier_client::ReceivedToken>,
) {
    let caller = Arc::new(site.caller(0));
    let (tx, rx) = mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        caller.addresses().await?;
        caller
            .generate(&ask, |token| {
                let _ = tx.send(token.clone());
            })
            .await
    });
    (task, rx)
}

/// The engine that made a token.
fn maker_of(site: &Site, token: &str) -> usize {
    let made_it = |engine: &Process| {
        let hash = cloverpier_core::hash_of(&engine.address.to_string());
        token.starts_with(&format!(" {:04x}", hash & 0xffff))
    };
    let maker = site.engines.iter().position(made_it);
    maker.expect("an engine made the token")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_outlives_its_engine_and_its_router() {
    let mut site = Site::start().await;
    let version = site.configure(&site.intent()).await;
    let (task, mut tokens) = stream(&site, GenerateRequest::new("drafts", "a long log", 300));
    let mut steps = vec![json!({"version in force": version})];
    let mut count = 0;
    while let Some(token) = tokens.recv().await {
        count += 1;
        if count == 50 {
            let maker = maker_of(&site, &token.text);
            site.engines[maker].kill();
            steps.push(json!("its engine dies"));
        }
        if count == 150 {
            let from = site.routers.iter().position(|r| r.callers_at == token.from);
            site.routers[from.expect("a router sent it")].process.kill();
            steps.push(json!("its router dies"));
        }
    }
    let answer = task.await.unwrap();
    let connections = answer.as_ref().map_or(0, |a| a.connections);
    steps.push(json!({"answer": seen(&answer), "more than one connection": connections > 1}));
    insta::assert_json_snapshot!(steps);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_that_wakes_changes_nothing() {
    let site = Site::start().await;
    let mut intent = site.intent();
    for service in intent.services.values_mut() {
        service.silence_ms = 400;
    }
    site.configure(&intent).await;
    let (task, mut tokens) = stream(&site, GenerateRequest::new("drafts", "a long log", 200));
    let mut count = 0;
    while let Some(token) = tokens.recv().await {
        count += 1;
        for i in 0..site.engines.len() {
            let freeze = EngineFaults {
                freeze: count == 40 && maker_of(&site, &token.text) == i,
                ..EngineFaults::default()
            };
            if freeze.freeze || count == 120 {
                let url = format!("http://{}/faults", site.engines[i].address);
                site.post(&url, &freeze).await;
            }
        }
    }
    insta::assert_json_snapshot!(seen(&task.await.unwrap()));
}

/// A wait for an engine that says nothing is over when the machines have been suspended for longer:
/// the runtime's timers would wait for all of it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_goes_on_elsewhere_once_its_engine_was_silent_through_a_suspension() {
    const SILENCE: Duration = Duration::from_secs(60);
    /// No token for this long: none is on its way any more.
    const DRAINED: Duration = Duration::from_millis(500);
    let site = Site::start().await;
    let mut intent = site.intent();
    for service in intent.services.values_mut() {
        service.silence_ms = SILENCE.as_millis() as u64;
    }
    site.configure(&intent).await;
    let (task, mut tokens) = stream(&site, GenerateRequest::new("drafts", "a long log", 100));
    let mut count = 0;
    let mut suspended = None;
    loop {
        let is_frozen = count >= 40 && suspended.is_none();
        let token = if is_frozen {
            // What the engine had sent before it stood still arrives first.
            match tokio::time::timeout(DRAINED, tokens.recv()).await {
                Ok(token) => token,
                Err(_) => {
                    for router in &site.routers {
                        router.clock.suspend(SILENCE);
                    }
                    suspended = Some(Instant::now());
                    continue;
                }
            }
        } else {
            tokens.recv().await
        };
        let Some(token) = token else { break };
        count += 1;
        if count == 40 {
            let maker = maker_of(&site, &token.text);
            let freeze = EngineFaults {
                freeze: true,
                ..EngineFaults::default()
            };
            let url = format!("http://{}/faults", site.engines[maker].address);
            site.post(&url, &freeze).await;
        }
    }
    let answer = seen(&task.await.unwrap());
    let took = suspended.unwrap().elapsed();
    assert!(took < SILENCE / 4, "{took:?}: {answer:?}");
    insta::assert_json_snapshot!(answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_be_repeated_runs_at_most_once() {
    let mut site = Site::start().await;
    site.configure(&site.intent()).await;
    let mut steps = Vec::new();
    let path = "status/runs/17/sign";
    let mut send = async |site: &Site, router: usize, key: &str, what: &str| {
        let caller = site.caller(router);
        let at = site.routers[router].callers_at;
        let reply = caller.call(at, Method::POST, path, Some(key), "sign").await;
        let reply = reply.unwrap();
        let runs = site.runs(key).await;
        steps.push(json!({"step": what, "status": reply.status, "run": reply.run, "runs": runs}));
    };
    send(&site, 0, "k1", "a call").await;
    send(&site, 1, "k1", "the same key at another router").await;
    let lose = ServiceFaults {
        lose_answers: 1,
        ..ServiceFaults::default()
    };
    let url = format!("http://{}/standin/faults", site.service.address);
    site.post(&url, &lose).await;
    send(&site, 2, "k2", "the answer is lost").await;
    send(&site, 0, "k2", "the same key again").await;
    let at = site.routers[0].callers_at;
    let none = site.caller(0).call(at, Method::POST, path, None, "").await;
    steps.push(json!({"step": "no key", "status": none.unwrap().status}));
    site.service.kill();
    let mut refused = async |site: &Site, router: usize, what: &str| {
        let caller = site.caller(router);
        let at = site.routers[router].callers_at;
        let reply = caller.call(at, Method::POST, path, Some("k3"), "").await;
        let reply = reply.unwrap();
        steps.push(json!({"step": what, "status": reply.status, "run": reply.run}));
    };
    refused(&site, 1, "the service is dead").await;
    refused(&site, 2, "it is dead still; the key was given free").await;
    insta::assert_json_snapshot!(steps);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_confirmation_is_settled_by_reading() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let mut steps = Vec::new();
    let planned = site.operator(1).plan(&leaving("e0")).await.unwrap();
    let lose = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    site.post(&site.platform_faults(), &lose).await;
    for step in [
        "confirmed; the platform's answer is lost",
        "confirmed again",
    ] {
        let confirmed = site.operator(1).confirm(&planned.id).await.unwrap();
        steps.push(
            json!({"step": step, "outcome": confirmed.outcome, "version": confirmed.version}),
        );
    }
    let mine = site.operator(0).plan(&leaving("e1")).await.unwrap();
    let theirs = site.operator(2).plan(&leaving("e1")).await.unwrap();
    let first = site.operator(0).confirm(&mine.id).await.unwrap();
    steps.push(json!({"step": "first of two racing operators", "version": first.version}));
    let second = site.operator(2).confirm(&theirs.id).await;
    let refused = second.unwrap_err().to_string();
    steps.push(json!({
        "step": "the second",
        "refused as moved": refused.contains("plan_moved") && refused.contains("upstreams.e1"),
    }));
    site.set_platform_down(true).await;
    let down = site.operator(0).plan(&leaving("e2")).await.unwrap_err();
    let told = down.to_string();
    steps.push(json!({
        "step": "the platform is down",
        "nothing was changed": told.contains("platform_unavailable") && told.contains("not-run"),
    }));
    insta::assert_json_snapshot!(steps);
}

fn leaving(name: &str) -> cloverpier_config::Intent {
    cloverpier_config::Intent {
        leave: vec![name.into()],
        ..cloverpier_config::Intent::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_while_the_platform_is_down_learns_the_newest_version() {
    let mut site = Site::start().await;
    site.configure(&site.intent()).await;
    let version = site.configure(&leaving("e0")).await;
    site.set_platform_down(true).await;
    site.routers[2].process.kill();
    site.restart(2);
    let again = site.operator(2);
    site.until("the restarted router", || async {
        let status = again.status().await.unwrap_or_default();
        status["ready"] == true
    })
    .await;
    let status = again.status().await.unwrap();
    assert_eq!(status["version"], version);
    let answer = site
        .caller(2)
        .generate(
            &GenerateRequest::new("drafts", "after the restart", 20),
            |_| {},
        )
        .await;
    insta::assert_json_snapshot!(seen(&answer));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_leaves_while_the_platform_is_down_and_its_work_ends_there() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    site.set_platform_down(true).await;
    let (task, mut tokens) = stream(&site, GenerateRequest::new("drafts", "a long log", 250));
    tokens.recv().await.expect("a first token");
    for name in ["e0", "e1", "e2"] {
        let left = site.operator(0).leave(name).await.unwrap();
        assert_eq!(left["not_told"], json!([]));
    }
    let mut before = 0;
    for i in 0..3 {
        before += site.started(i).await;
    }
    let mut steps = Vec::new();
    for router in 0..3 {
        let mut ask = GenerateRequest::new("drafts", "too late", 5);
        ask.timeout = std::time::Duration::ZERO;
        let answer = site.caller(router).generate(&ask, |_| {}).await;
        steps.push(json!({"asked of a router": seen(&answer)}));
    }
    let mut after = 0;
    for i in 0..3 {
        after += site.started(i).await;
    }
    steps.push(json!({"work that started after leaving": after - before}));
    let answer = task.await.unwrap();
    let connections = answer.as_ref().map_or(0, |a| a.connections);
    steps.push(json!({"the answer that ran": seen(&answer), "connections": connections}));
    insta::assert_json_snapshot!(steps);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_router_cuts_no_answer() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let (task, mut tokens) = stream(&site, GenerateRequest::new("drafts", "a long log", 250));
    let first = tokens.recv().await.expect("a first token");
    let at = site.routers.iter().position(|r| r.callers_at == first.from);
    let at = at.expect("a router sent it");
    site.operator(at).stop().await.unwrap();
    let other = site.caller((at + 1) % 3);
    site.until("its address to be withheld", || async {
        let found = other.addresses().await;
        found.is_ok_and(|a| a.addresses.iter().all(|a| a.address != first.from))
    })
    .await;
    let mut ask = GenerateRequest::new("drafts", "a new one", 5);
    ask.timeout = std::time::Duration::ZERO;
    let refused = site.caller(at).generate(&ask, |_| {}).await;
    let answer = task.await.unwrap();
    let connections = answer.as_ref().map_or(0, |a| a.connections);
    insta::assert_json_snapshot!(json!({
        "a new request at the stopping router": seen(&refused),
        "the answer that ran": seen(&answer),
        "connections": connections,
    }));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_not_be_repeated_is_not_tried_again() {
    let mut site = Site::start().await;
    site.configure(&site.intent()).await;
    let good = format!("Bearer {}", support::KEY);
    let headers = [
        ("Authorization", good.as_str()),
        ("Idempotency-Key", "once"),
        ("Cloverpier-Repeatable", "false"),
    ];
    let body = json!({"model": "drafts", "prompt": "once only", "max_tokens": 1_500}).to_string();
    let first = site.post_raw("/v1/completions", &headers, &body);
    let first = tokio::spawn(first);
    let mut runs_at = None;
    site.until("the generation to start", || async {
        (site.started(0).await + site.started(1).await + site.started(2).await) > 0
    })
    .await;
    for i in 0..3 {
        if site.started(i).await > 0 {
            runs_at = Some(i);
        }
    }
    let runs_at = runs_at.expect("it runs somewhere");
    site.engines[runs_at].kill();
    let (status, answer) = first.await.unwrap();
    let (again, told) = site.raw("/v1/completions", &headers, &body).await;
    let mut elsewhere = 0;
    for i in (0..3).filter(|i| *i != runs_at) {
        elsewhere += site.started(i).await;
    }
    insta::assert_json_snapshot!(json!({
        "its engine dies": [status, answer["error"]["code"], answer["error"]["run"]],
        "the same key again": [again, told["error"]["code"], told["error"]["run"]],
        "started elsewhere": elsewhere,
    }));
}
