//! A generation that crashes each engine which makes its first token, and that comes again.
//!
//! What users saw at the router on the platform (`platform/tests/crashing_requests.rs`) holds here by
//! the same cause: a generation that ends its engine goes on at the next one, up to eight times, its
//! caller repeats it at another router under another key, and no router remembers what it did.

mod support;

use cloverpier_daemon_standin::{EngineFaults, EngineModel};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::Site;
use tokio::task::JoinHandle;

const CRASHING: &str = "crashes whoever runs it";
/// How long an engine is away.
const AWAY: Duration = Duration::from_millis(700);
/// How long routers wait for a silent engine.
const SILENCE: Duration = Duration::from_millis(500);
/// The same for a generation's first token.
const FIRST_TOKEN: Duration = Duration::from_millis(2_000);
/// The caller's pause between two repeats: the engines that ended are back.
const PAUSE: Duration = Duration::from_millis(1_000);

async fn site() -> Site {
    let site = Site::with_model(EngineModel {
        step_us: 4_000,
        crashed_by: CRASHING.to_owned(),
        ..EngineModel::default()
    })
    .await;
    site.configure(&site.intent()).await;
    site
}

/// Lets engines crash and come back until a caller is done; returns how many crashed.
async fn play<T>(site: &mut Site, calling: JoinHandle<T>) -> (T, usize) {
    let mut crashes = 0;
    let mut away: Vec<(usize, Instant)> = Vec::new();
    while !calling.is_finished() {
        for engine in 0..site.engines.len() {
            let is_away = away.iter().any(|(index, _)| *index == engine);
            if !is_away && site.has_crashed(engine).await {
                site.engines[engine].kill();
                away.push((engine, Instant::now() + AWAY));
                crashes += 1;
            }
        }
        for (engine, _) in away.extract_if(.., |(_, at)| *at <= Instant::now()) {
            site.restart_engine(engine);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (calling.await.unwrap(), crashes)
}

fn repeat(site: &Site, count: usize) -> JoinHandle<Vec<(u16, Value)>> {
    let body = json!({"model": "drafts", "prompt": CRASHING, "max_tokens": 20});
    let calls: Vec<_> = (0..count)
        .map(|turn| site.post_to(turn % 3, "/v1/completions", &body))
        .collect();
    tokio::spawn(async move {
        let mut answers = Vec::new();
        for call in calls {
            answers.push(call.await);
            tokio::time::sleep(PAUSE).await;
        }
        answers
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_generation_ends_three_engines_whoever_repeats_it() {
    let mut site = site().await;
    let calling = repeat(&site, 6);
    let (answers, crashes) = play(&mut site, calling).await;
    assert_eq!(crashes, 3, "{answers:?}");
    let runs: Vec<&str> = answers
        .iter()
        .map(|(_, body)| body["error"]["run"].as_str().unwrap_or("none"))
        .collect();
    // The first one ran; the others are turned away before they run, and told so.
    assert_eq!(runs[0], "unknown", "{answers:?}");
    assert_eq!(runs[1..], ["not-run"; 5], "{answers:?}");
    let codes = answers
        .iter()
        .map(|(status, body)| (*status, &body["error"]["code"]));
    for (status, code) in codes {
        assert_eq!((status, code), (422, &json!("crashes_upstreams")));
    }
    let other = json!({"model": "drafts", "prompt": "harmless", "max_tokens": 4});
    let other = site.post_to(1, "/v1/completions", &other).await;
    assert_eq!(other.0, 200, "{other:?}");
}

/// A caller that gets "not run" sends it again as if nothing had happened.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_ran_is_never_called_not_run_where_all_engines_are_gone() {
    let mut site = site().await;
    // Engines read it for some 0.2 s.
    let prompt = "word ".repeat(25_000);
    let body = json!({"model": "drafts", "prompt": prompt, "max_tokens": 20});
    let calling = tokio::spawn(site.post_to(0, "/v1/completions", &body));
    site.until("an engine to run it", || async {
        site.started(0).await + site.started(1).await + site.started(2).await > 0
    })
    .await;
    for engine in &mut site.engines {
        engine.kill();
    }
    let (status, answer) = calling.await.unwrap();
    assert_eq!(status, 503, "{answer:?}");
    assert_eq!(answer["error"]["run"], "unknown", "{answer:?}");
}

/// Sets whether all engines stand still: they take orders, and run nothing.
async fn freeze_engines(site: &Site, freeze: bool) {
    for engine in &site.engines {
        let faults = EngineFaults {
            freeze,
            ..EngineFaults::default()
        };
        let url = format!("http://{}/faults", engine.address);
        site.post(&url, &faults).await;
    }
}

/// Guards against ends that nobody counts, as the generation was given up for the engine's silence
/// before it ran there.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_generation_is_counted_at_engines_that_stand_still_before_they_run_it() {
    let mut site = site().await;
    let mut intent = site.intent();
    for service in intent.services.values_mut() {
        service.silence_ms = SILENCE.as_millis() as u64;
    }
    site.configure(&intent).await;
    freeze_engines(&site, true).await;
    let calling = repeat(&site, 6);
    // By then it was given up at the first of them, which runs on for a while without a reader.
    tokio::time::sleep(FIRST_TOKEN + SILENCE).await;
    freeze_engines(&site, false).await;
    let (answers, crashes) = play(&mut site, calling).await;
    assert_eq!(crashes, 3, "{answers:?}");
}
