//! Answers whose engines, or services, fall silent for a while and go on.
//!
//! A pause of a process lets its host take connections and bytes; a frozen engine answers questions and
//! makes no token.

mod support;

use cloverpier_config::{Repeatable, Service};
use cloverpier_daemon_standin::check_speech;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{KEY, Site};
use tokio::task::JoinHandle;

const SILENCE_MS: u64 = 100;
/// Longer than eight attempts of that silence last in a row.
const LONG: Duration = Duration::from_millis(4_000);
/// Many times that silence.
const SHORT: Duration = Duration::from_millis(1_200);
const ALL: [usize; 3] = [0, 1, 2];
/// More than engines make before a test lets them stand still.
const TOKENS: u64 = 400;

async fn site() -> Site {
    let site = Site::start().await;
    configure(&site, SILENCE_MS).await;
    site
}

async fn configure(site: &Site, silence_ms: u64) {
    let mut intent = site.intent();
    for service in intent.services.values_mut() {
        service.silence_ms = silence_ms;
    }
    site.configure(&intent).await;
}

/// Asks a router for an answer under a key.
fn generate(site: &Site, router: usize, key: &str, repeatable: bool) -> JoinHandle<(u16, Value)> {
    let body = json!({"model": "drafts", "prompt": format!("log of {key}"), "max_tokens": TOKENS});
    let auth = format!("Bearer {KEY}");
    let repeatable = repeatable.to_string();
    let headers = [
        ("Authorization", auth.as_str()),
        ("Idempotency-Key", key),
        ("Cloverpier-Repeatable", repeatable.as_str()),
    ];
    tokio::spawn(site.post_raw_to(router, "/v1/completions", &headers, &body.to_string()))
}

async fn let_calls_be_repeated(site: &Site) {
    let mut intent = site.intent();
    let status = Service::plain(Repeatable::All);
    intent.services.insert("status".into(), status);
    site.configure(&intent).await;
}

/// Waits until the engines have made so many tokens, all together.
async fn until_decoded(site: &Site, tokens: u64) {
    site.until("tokens to be made", || async {
        let mut decoded = 0;
        for i in ALL {
            decoded += site.engine_count(i, "decoded").await;
        }
        decoded >= tokens
    })
    .await;
}

/// Whether an answer is whole, and each token follows those before it.
fn is_whole((status, answer): &(u16, Value)) -> bool {
    let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
    let tokens: Vec<String> = text.split(' ').skip(1).map(|t| format!(" {t}")).collect();
    let counted = answer["usage"]["completion_tokens"] == TOKENS;
    let speech = check_speech(tokens.iter().map(String::as_str));
    *status == 200 && counted && tokens.len() as u64 == TOKENS && speech.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_outlive_a_pause_of_all_engines_that_outlasts_their_attempts() {
    let site = site().await;
    let asked: Vec<_> = (0..6)
        .map(|i| generate(&site, 0, &format!("k{i}"), true))
        .collect();
    until_decoded(&site, 60).await;
    site.freeze_engines(&ALL, true).await;
    // A change of the configuration, and a shorter silence with it.
    configure(&site, SILENCE_MS / 2).await;
    tokio::time::sleep(LONG).await;
    site.freeze_engines(&ALL, false).await;
    let mut ends = Vec::new();
    for task in asked {
        let answer = task.await.unwrap();
        ends.push((is_whole(&answer), answer.0, answer.1["error"].clone()));
    }
    assert!(ends.iter().all(|(whole, ..)| *whole), "{ends:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_run_once_outlives_the_silence_of_its_engine() {
    let site = site().await;
    let asked = generate(&site, 0, "once", false);
    until_decoded(&site, 20).await;
    site.freeze_engines(&ALL, true).await;
    configure(&site, SILENCE_MS / 2).await;
    tokio::time::sleep(SHORT).await;
    site.freeze_engines(&ALL, false).await;
    let answer = asked.await.unwrap();
    let error = &answer.1["error"];
    assert!(is_whole(&answer), "{} {error}", answer.0);
    assert_eq!(site.started_at_all().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_run_once_outlives_a_pause_before_its_first_token() {
    let site = site().await;
    site.freeze_engines(&ALL, true).await;
    let asked = generate(&site, 0, "once", false);
    tokio::time::sleep(SHORT).await;
    site.freeze_engines(&ALL, false).await;
    let answer = asked.await.unwrap();
    let error = &answer.1["error"];
    assert!(is_whole(&answer), "{} {error}", answer.0);
    assert_eq!(site.started_at_all().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_run_once_is_taken_over_from_an_engine_that_stands_still() {
    let mut site = site().await;
    let first = generate(&site, 0, "once", false);
    until_decoded(&site, 60).await;
    for engine in &site.engines {
        engine.pause(SHORT);
    }
    site.routers[0].process.kill();
    let (status, _) = first.await.unwrap();
    assert_eq!(status, 0, "the router is dead");
    let answer = generate(&site, 1, "once", false).await.unwrap();
    let error = &answer.1["error"];
    assert!(is_whole(&answer), "{} {error}", answer.0);
    assert_eq!(site.started_at_all().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_outlive_a_pause_of_their_service() {
    let site = site().await;
    let auth = format!("Bearer {KEY}");
    let headers = [("Authorization", auth.as_str()), ("Idempotency-Key", "k")];
    site.service.pause(SHORT);
    let call = site.post_raw("/services/status/runs/17/sign", &headers, "sign");
    let (status, answer) = call.await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(site.runs("k").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_outlives_a_pause_of_its_only_server_without_a_second_run() {
    /// Longer than one attempt of a call waits.
    const PAUSE: Duration = Duration::from_millis(10_700);
    let site = site().await;
    let auth = format!("Bearer {KEY}");
    let headers = [
        ("Authorization", auth.as_str()),
        ("Idempotency-Key", "k"),
        ("Cloverpier-Repeatable", "true"),
    ];
    let_calls_be_repeated(&site).await;
    site.service.pause(PAUSE);
    let call = site.post_raw("/services/status/runs/17", &headers, "look");
    let (status, answer) = call.await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(site.runs("k").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_not_begun_again_while_all_engines_stand_still() {
    let site = site().await;
    // Longer than a busy machine takes to let the engines stand still one after the other.
    configure(&site, 8 * SILENCE_MS).await;
    let asked: Vec<_> = (0..9)
        .map(|i| generate(&site, 0, &format!("k{i}"), true))
        .collect();
    site.until("each engine to run some", || async {
        let mut decoded = Vec::new();
        for i in ALL {
            decoded.push(site.engine_count(i, "decoded").await);
        }
        decoded.iter().all(|tokens| *tokens >= 10)
    })
    .await;
    site.freeze_engines(&ALL, true).await;
    tokio::time::sleep(SHORT).await;
    // Later, an engine that goes on before the others may be sent their answers.
    let begun = site.started_at_all().await;
    site.freeze_engines(&ALL, false).await;
    for task in asked {
        let answer = task.await.unwrap();
        assert!(is_whole(&answer), "{} {}", answer.0, answer.1["error"]);
    }
    assert_eq!(begun, 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_go_on_elsewhere_when_their_silent_engine_dies() {
    let mut site = site().await;
    let asked: Vec<_> = (0..6)
        .map(|i| generate(&site, 0, &format!("k{i}"), true))
        .collect();
    until_decoded(&site, 60).await;
    site.freeze_engines(&ALL, true).await;
    tokio::time::sleep(SHORT / 2).await;
    site.engines[0].kill();
    site.freeze_engines(&ALL[1..], false).await;
    for task in asked {
        let answer = task.await.unwrap();
        assert!(is_whole(&answer), "{} {}", answer.0, answer.1["error"]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_run_once_ends_at_once_when_its_silent_engine_dies() {
    let mut site = site().await;
    let asked = generate(&site, 0, "once", false);
    until_decoded(&site, 20).await;
    site.freeze_engines(&ALL, true).await;
    tokio::time::sleep(SHORT / 2).await;
    assert!(!asked.is_finished(), "its engine lives");
    let died = Instant::now();
    for engine in &mut site.engines {
        engine.kill();
    }
    let (status, answer) = asked.await.unwrap();
    assert_eq!(status, 502, "{answer}");
    assert_eq!(answer["error"]["run"], "unknown", "{answer}");
    assert!(died.elapsed() < Duration::from_secs(10), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_to_a_paused_server_are_answered_by_another_before_it_goes_on() {
    /// Longer than it takes to count as silent.
    const PAUSE: Duration = Duration::from_secs(14);
    let mut site = site().await;
    site.add_service();
    let_calls_be_repeated(&site).await;
    let auth = format!("Bearer {KEY}");
    site.service.pause(PAUSE);
    let paused = Instant::now();
    let calls = (0..6).map(|i| {
        let key = format!("k{i}");
        let headers = [("Authorization", auth.as_str()), ("Idempotency-Key", &key)];
        tokio::spawn(site.post_raw("/services/status/runs/17", &headers, "look"))
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        let (status, answer) = call.await.unwrap();
        assert_eq!(status, 200, "{answer}");
    }
    assert!(paused.elapsed() < PAUSE, "the paused server has gone on");
}

/// The index of the router that holds the copy of a stream, by its first event.
async fn holder_of(mut stream: reqwest::Response) -> usize {
    let mut text = String::new();
    while !text.contains("\n\n") {
        let chunk = stream.chunk().await.unwrap().expect("a first event");
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
    let id = text.lines().find_map(|line| line.strip_prefix("id: "));
    let holder = id.and_then(|id| id.split('.').nth(2));
    let vm = holder.and_then(|member| member.strip_prefix("vm-")?.split('~').next());
    vm.and_then(|vm| vm.parse::<usize>().ok()).unwrap() - 1
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_run_once_is_found_again_after_its_copys_holder_stood_still() {
    let mut site = site().await;
    let holder = holder_of(site.stream_once(0, "once", TOKENS).await).await;
    let other = 3 - holder;
    site.routers[holder].process.pause(SHORT);
    site.routers[0].process.kill();
    let until = Instant::now() + Duration::from_secs(20);
    let text = loop {
        let answer = site.stream_once(other, "once", TOKENS).await;
        let status = answer.status().as_u16();
        let text = answer.text().await.unwrap();
        if status == 200 {
            break text;
        }
        let told: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(
            (status, &told["error"]["run"]),
            (503, &json!("unknown")),
            "{text}"
        );
        assert!(Instant::now() < until, "{text}");
        tokio::time::sleep(SHORT / 4).await;
    };
    let whole = format!("\"completion_tokens\":{TOKENS}");
    assert!(text.contains("[DONE]") && text.contains(&whole), "{text}");
    assert_eq!(site.started_at_all().await, 1);
}
