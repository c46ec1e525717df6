//! Load from callers, and what they received.

use crate::fleet::Fleet;
use cloverpier_client::{CallError, Caller, GenerateRequest, GeneratedResponse};
use cloverpier_daemon_standin::{SpeechFault, check_speech};
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A load of generations.
#[derive(Clone, Debug)]
pub struct Load {
    /// Generations.
    pub requests: usize,
    /// Tokens of each.
    pub tokens: u32,
    /// Time between two starts.
    pub spacing: Duration,
    /// How long each caller goes on trying.
    pub patience: Duration,
    /// Names the load in idempotency keys and prompts.
    pub name: String,
}

impl Load {
    /// A load whose generations start a few milliseconds apart.
    pub fn new(name: &str, requests: usize, tokens: u32) -> Self {
        Self {
            requests,
            tokens,
            spacing: Duration::from_millis(10),
            patience: Duration::from_secs(30),
            name: name.to_owned(),
        }
    }
}

/// What one caller got.
#[derive(Debug)]
pub struct Outcome {
    /// When it asked.
    pub asked: Instant,
    /// When it had the last token or gave up.
    pub ended: Instant,
    /// The answer.
    pub answer: Result<GeneratedResponse, CallError>,
    /// Tokens asked for.
    pub wanted: u64,
}

/// What is wrong with the answers of a load, counted by what callers received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Answers that are whole.
    pub whole: u64,
    /// Requests that were refused or given up.
    pub failed: u64,
    /// Tokens that are missing in answers that ended.
    pub missing: u64,
    /// Tokens that came again.
    pub repeated: u64,
    /// Answers that join tokens of two generations.
    pub mixed: u64,
}

/// Runs a load through a caller that knows all routers.
pub async fn run(fleet: &Fleet, load: &Load) -> Vec<Outcome> {
    let caller = Arc::new(fleet.caller_at(0));
    // Where the first router is down its address is still tried with the others.
    let _ = caller.addresses().await;
    run_with(caller, load).await
}

/// Runs a load through a caller.
pub async fn run_with(caller: Arc<Caller>, load: &Load) -> Vec<Outcome> {
    let tasks = (0..load.requests).map(|i| {
        let (caller, load) = (Arc::clone(&caller), load.clone());
        tokio::spawn(async move {
            let wait = load.spacing * u32::try_from(i).unwrap_or(0);
            tokio::time::sleep(wait).await;
            one(&caller, &load, i).await
        })
    });
    let done = join_all(tasks).await;
    done.into_iter().filter_map(Result::ok).collect()
}

async fn one(caller: &Caller, load: &Load, i: usize) -> Outcome {
    let prompt = format!("{} asks for report {i} of the calibration log", load.name);
    let mut ask = GenerateRequest::new("drafts", &prompt, load.tokens);
    ask.key = format!("{}-{i}", load.name);
    ask.timeout = load.patience;
    let asked = Instant::now();
    let answer = caller.generate(&ask, |_| {}).await;
    Outcome {
        asked,
        ended: Instant::now(),
        answer,
        wanted: u64::from(load.tokens),
    }
}

/// Counts what is wrong with the answers.
pub fn faults(outcomes: &[Outcome]) -> Faults {
    let mut sum = Faults::default();
    for outcome in outcomes {
        let Ok(answer) = &outcome.answer else {
            sum.failed += 1;
            continue;
        };
        let missing = outcome.wanted.saturating_sub(answer.tokens.len() as u64);
        let extra = (answer.tokens.len() as u64).saturating_sub(outcome.wanted);
        let speech = check_speech(answer.tokens.iter().map(|t| &*t.text));
        let mixed = matches!(
            speech,
            Err(SpeechFault::Mixed { .. } | SpeechFault::NotSpeech { .. })
        );
        sum.missing += missing;
        sum.repeated += answer.repeated + extra;
        sum.mixed += u64::from(mixed);
        let whole = answer.is_verified && missing + extra + answer.repeated == 0 && !mixed;
        sum.whole += u64::from(whole);
    }
    sum
}

/// Waits from a fault to the next token, of each answer that went on elsewhere after it.
pub fn resume_times(outcomes: &[Outcome], fault: Instant) -> Vec<Duration> {
    let answers = outcomes.iter().filter_map(|o| o.answer.as_ref().ok());
    answers.filter_map(|a| resume_time(a, fault)).collect()
}

fn resume_time(answer: &GeneratedResponse, fault: Instant) -> Option<Duration> {
    let engine = |text: &str| text.get(..5).map(str::to_owned);
    let moved = answer.tokens.windows(2).find(|pair| {
        let other = pair[0].from != pair[1].from || engine(&pair[0].text) != engine(&pair[1].text);
        other && pair[1].at >= fault
    })?;
    Some(moved[1].at - fault)
}

/// Waits for the first token.
pub fn first_tokens(outcomes: &[Outcome]) -> Vec<Duration> {
    let answers = outcomes
        .iter()
        .filter_map(|o| Some((o, o.answer.as_ref().ok()?)));
    answers
        .filter_map(|(o, a)| Some(a.tokens.first()?.at - o.asked))
        .collect()
}

/// Waits between two tokens.
pub fn between_tokens(outcomes: &[Outcome]) -> Vec<Duration> {
    let answers = outcomes.iter().filter_map(|o| o.answer.as_ref().ok());
    let pairs = answers.flat_map(|a| a.tokens.windows(2));
    pairs.map(|pair| pair[1].at - pair[0].at).collect()
}
