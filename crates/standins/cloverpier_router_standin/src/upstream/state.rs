//! What an upstream knows: its description, its faults to come, and what it ran.

use super::engine::StreamDemand;
use super::serve::Asked;
use super::{Brittle, CacheShape, Endless, Engine, LoadShape, UpstreamSpec};
use crate::http::Head;
use crate::ledger::{Arrival, Fault, RoomRefusal, Said, SharedLedger, Statement};
use crate::moment::now;
use cloverpier_core::lock;
use cloverpier_router::HeaderNames;
use cloverpier_router_policy::prelude::Upstream;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// An upstream turns requests away beyond its limit in so long, and so many more.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// As above.
const LIMIT_LEEWAY: f64 = 5.0;
/// Arrivals that are remembered; more than any limit of a test allows in the window.
const MOST_RECENT: usize = 4_096;

#[derive(Debug)]
pub(super) struct State {
    pub(super) upstream: Upstream,
    pub(super) names: HeaderNames,
    pub(super) ledger: SharedLedger,
    pub(super) event_interval: Duration,
    pub(super) cache: CacheShape,
    pub(super) load: LoadShape,
    pub(super) with_start: fn(String, u64) -> String,
    /// Requests that it says to run, whatever runs there.
    pub(super) told_running: u32,
    /// Prompts that were read, in order.
    pub(super) prompts: Vec<String>,
    /// Faults of the next requests, the first one first.
    pub(super) script: Vec<Fault>,
    /// A fault of a share of the requests.
    pub(super) random: Option<(Fault, f64)>,
    /// Whether it says in all its answers that it leaves.
    pub(super) leaves: bool,
    /// For how long it says that it wants nothing, as it turns requests away.
    pub(super) asks_to_wait: Option<Duration>,
    /// The requests a second that it names as its limit in all its answers.
    pub(super) limit: Option<f64>,
    /// What has reached it of late, while it names a limit.
    pub(super) recent: VecDeque<Instant>,
    /// How it states that it is brittle in all its answers, and how many requests may wait there.
    pub(super) brittle: Option<Brittle>,
    /// What it states of its load in all its answers, whether it can be read or not.
    pub(super) stated_load: Option<String>,
    /// What of its answers to questions never ends; `None` where all of them do.
    pub(super) endless_questions: Option<Endless>,
    /// Whether its answers to questions have the status 503.
    pub(super) fails_questions: bool,
    /// Requests that it runs or that wait there.
    pub(super) running: u32,
    /// How long it works on a request before it answers.
    pub(super) work: Duration,
    /// Whether it does no work on requests; it still answers questions.
    pub(super) is_paused: watch::Sender<bool>,
    pub(super) rng: fastrand::Rng,
    /// The body of requests that crash it.
    pub(super) crashed_by: Option<&'static str>,
    /// How long it has such a request before it crashes.
    pub(super) crash_after: Duration,
    pub(super) has_crashed: bool,
    /// How it works on streams; `None` for an upstream that begins each one at once.
    pub(super) engine: Option<Arc<Engine>>,
}

impl State {
    /// Whether a request with a body crashes it.
    pub(super) fn is_crashed_by(&self, body: &[u8]) -> bool {
        self.crashed_by.is_some_and(|text| text.as_bytes() == body)
    }

    /// Crashes it, as the request that it has begun to run does.
    pub(super) fn crash(&mut self) {
        self.has_crashed = true;
        lock(&self.ledger).crashes.push(now());
    }

    /// Whether a fault is the next of the script, which has it no more then.
    pub(super) fn takes_fault(&mut self, fault: Fault) -> bool {
        let is_next = self.script.first() == Some(&fault);
        if is_next {
            self.script.remove(0);
        }
        is_next
    }

    /// The headers by which it says something of itself in an answer, and a note of that.
    pub(super) fn say(&self, id: Option<&str>) -> Vec<(String, String)> {
        let mut headers = Vec::new();
        if self.leaves {
            self.note_statement(id, Said::Leaving);
            headers.push((self.names.leaving.to_string(), "1".to_owned()));
        }
        if let Some(rate) = self.limit {
            self.note_statement(id, Said::Limit(rate));
            headers.push((self.names.rate_limit.to_string(), rate.to_string()));
        }
        if let Some(brittle) = self.brittle {
            let count = brittle.max_refusals.to_string();
            headers.push((self.names.max_refusals.to_string(), count));
        }
        headers.extend(self.engine.iter().map(|engine| engine.load_header()));
        if let Some(load) = &self.stated_load {
            headers.push((self.names.load.to_string(), load.clone()));
        }
        headers
    }

    /// Whether it is brittle and has no room for another request; notes the refusal if so.
    pub(super) fn refuses_for_lack_of_room(&self) -> bool {
        let places = |brittle: Brittle| self.upstream.slots + brittle.may_wait;
        let is_full = self.brittle.is_some_and(|b| self.running >= places(b));
        if is_full {
            let refusal = RoomRefusal {
                at: now(),
                upstream: self.upstream.name.clone(),
            };
            lock(&self.ledger).room_refusals.push(refusal);
        }
        is_full
    }

    /// What a stream needs of the engine; `None` where no engine works on it.
    pub(super) fn stream_demand(&self, head: &Head) -> Option<StreamDemand> {
        let engine = self.engine.as_ref()?;
        let prompt = head.get(self.names.prompt_parts.as_str())?;
        let was_read = self.prompts.iter().any(|read| read == prompt);
        Some(engine.demand(head, &self.names, was_read))
    }

    /// Whether the engine has no room for a stream; notes the refusal if so.
    pub(super) fn is_engine_full(&self, head: &Head) -> bool {
        let demand = self.stream_demand(head);
        let engine = self.engine.as_ref().zip(demand);
        let is_full = engine.is_some_and(|(engine, demand)| engine.refuses(demand));
        let id = head.get(self.names.request_id.as_str());
        if let Some(id) = id.filter(|_| is_full) {
            lock(&self.ledger).refused_last.insert(id.to_owned());
        }
        is_full
    }

    pub(super) fn note_statement(&self, id: Option<&str>, said: Said) {
        let statement = Statement {
            at: now(),
            id: id.map(str::to_owned),
            upstream: self.upstream.name.clone(),
            said,
        };
        lock(&self.ledger).statements.push(statement);
    }

    /// Whether more has reached it of late than its limit allows, a few beyond it.
    pub(super) fn is_beyond_limit(&self) -> bool {
        let Some(per_second) = self.limit else {
            return false;
        };
        let now = now();
        let of_window = self.recent.iter().rev();
        let of_window = of_window.take_while(|at| now.duration_since(**at) < LIMIT_WINDOW);
        of_window.count() as f64 > per_second * LIMIT_WINDOW.as_secs_f64() + LIMIT_LEEWAY
    }

    pub(super) fn note_arrival(&mut self, id: Option<&str>) {
        if self.limit.is_some() {
            self.recent.push_back(now());
            if self.recent.len() > MOST_RECENT {
                self.recent.pop_front();
            }
        }
        let arrival = Arrival {
            at: now(),
            id: id.map(str::to_owned),
            upstream: self.upstream.name.clone(),
            leaves: self.leaves,
        };
        lock(&self.ledger).arrivals.push(arrival);
    }

    pub(super) fn new(
        spec: &UpstreamSpec,
        upstream: Upstream,
        names: HeaderNames,
        ledger: SharedLedger,
    ) -> Self {
        Self {
            upstream,
            names,
            ledger,
            event_interval: spec.event_interval,
            cache: spec.cache,
            load: spec.load,
            with_start: spec.with_start,
            told_running: 0,
            prompts: Vec::new(),
            script: Vec::new(),
            random: None,
            leaves: false,
            asks_to_wait: None,
            limit: None,
            recent: VecDeque::new(),
            brittle: None,
            stated_load: None,
            endless_questions: None,
            fails_questions: false,
            running: 0,
            work: Duration::ZERO,
            is_paused: watch::Sender::new(false),
            rng: fastrand::Rng::with_seed(spec.seed),
            crashed_by: spec.crashed_by,
            crash_after: spec.crash_after,
            has_crashed: false,
            engine: spec
                .engine
                .map(|engine| Arc::new(Engine::new(engine, spec.slots))),
        }
    }
}

/// Notes a run, and reads what it asks.
pub(super) fn note_run(
    state: &Mutex<State>,
    head: &Head,
    id: String,
    upstream: Upstream,
    names: HeaderNames,
) -> Asked {
    let mut state = lock(state);
    let fault = next_fault(&mut state);
    record_run(&state, head, &id, &upstream, &names);
    if fault.is_some() {
        note_fault(&state, &id, &upstream);
    }
    if fault == Some(Fault::Mute) {
        lock(&state.ledger).unanswered.insert(id.clone());
    }
    let prompt = head.get(names.prompt_parts.as_str()).map(str::to_owned);
    state.prompts.extend(prompt.clone());
    let last_event = head.get(names.last_event.as_str());
    let said = state.say(Some(&id));
    Asked {
        id,
        said,
        prompt,
        last_event: last_event.and_then(|l| l.parse().ok()).unwrap_or(0),
        upstream,
        names,
        event_interval: state.event_interval,
        pause: state.is_paused.subscribe(),
        engine: state.engine.clone(),
        fault,
        length: None,
    }
}

/// The fault of the next request: the first of the script, else one by chance.
fn next_fault(state: &mut State) -> Option<Fault> {
    if !state.script.is_empty() {
        return Some(state.script.remove(0));
    }
    let roll = state.rng.f64();
    let (fault, share) = state.random?;
    (roll < share).then_some(fault)
}

fn note_fault(state: &State, id: &str, upstream: &Upstream) {
    let mut ledger = lock(&state.ledger);
    let upstreams = ledger.faults_met.entry(id.to_owned()).or_default();
    upstreams.insert(upstream.name.clone());
}

/// Writes a run into the ledger.
fn record_run(state: &State, head: &Head, id: &str, upstream: &Upstream, names: &HeaderNames) {
    let id = id.to_owned();
    let mut ledger = lock(&state.ledger);
    *ledger.runs.entry(id.clone()).or_default() += 1;
    ledger.refused_last.remove(&id);
    let headers = head.headers.clone().into_iter().collect();
    ledger.heads.insert(id.clone(), headers);
    ledger
        .reached
        .entry(id.clone())
        .or_default()
        .push(upstream.name.clone());
    ledger.leaked_keys += u32::from(head.get(names.key.as_str()).is_some());
    if let Some(account) = head.get(names.account.as_str()) {
        ledger.accounts.insert(id.clone(), account.to_owned());
    }
    let replica = head.get(names.replica_at.as_str());
    if let Some(at) = replica.and_then(|at| at.parse().ok()) {
        ledger.copies.insert((at, id.clone()));
    }
}
