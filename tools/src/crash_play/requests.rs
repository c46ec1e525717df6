//! The requests of the model: where they are sent, how they run, break off and end.

use super::upstreams::PROBE_DELAY;
use super::world::{Event, World};
use super::{CONTACT, Waiting};
use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_crashes::lost_attempts::CRASH_SETTLE_DELAY;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::load_query::ReportedLoad;
use cloverpier_router_policy::prelude::*;
use std::collections::HashSet;
use std::time::Duration;

/// Reading a prompt takes between these times, and this one where it was read before.
const READ_LEAST: Duration = Duration::from_millis(900);
const READ_MOST: Duration = Duration::from_millis(1_900);
const READ_CACHED: Duration = Duration::from_millis(15);
/// Attempts of one request: the users' routes.
const MAX_ATTEMPTS: u32 = 5;
/// A request waits for a judgement for this time at most: what callers give streams.
const PATIENCE: Duration = Duration::from_secs(20);
/// A stream runs for this time after its prompt is read.
const STREAM: Duration = Duration::from_millis(4_050);
/// From the decision to send a request to its arrival, and between two looks for a judgement.
const SEND_DELAY: Duration = Duration::from_millis(2);
const HOLD_STEP: Duration = Duration::from_millis(5);
/// What a stream adds to its engine, and what fits there.
const LOAD: Load = Load {
    requests: 1,
    unread_tokens: 5_200,
    memory_tokens: 6_000,
};
const MEMORY: u64 = 88_000;

/// A request.
pub(super) struct Request {
    pub router: usize,
    /// The crashing content that it has; none for any other, which has a content of its own.
    pub crashing: Option<usize>,
    /// What is the same in each of its repeats.
    target: String,
    tried: Vec<UpstreamName>,
    attempts: u32,
    /// Since when it waits for a judgement.
    held_since: Option<Duration>,
    /// Its attempt under way.
    attempt: Option<AttemptNumber>,
    lost: u32,
    pub is_done: bool,
}

/// A request at an engine.
pub(super) struct Run {
    pub request: usize,
    pub engine: usize,
    begun_at: Duration,
    pub has_begun: bool,
    /// Whether its router has given it up; its engine may still run it.
    pub is_given_up: bool,
    pub is_alive: bool,
}

/// How a run was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lost {
    Broke,
    GivenUp,
}

impl Request {
    pub(super) fn content(&self) -> RequestContent<'_> {
        RequestContent {
            account: "lab",
            host: "api.example",
            method: "POST",
            target: &self.target,
            body: b"",
        }
    }
}

impl World {
    pub(super) fn arrive(&mut self) {
        let copies = self.spec.copies;
        let pause = -(1.0 - self.rng.f64()).ln() * copies as f64 / self.spec.others;
        self.schedule_in(Duration::from_secs_f64(pause), Event::Arrive);
        let target = format!("/drafts/{}", self.requests.len());
        self.outcome.others += copies;
        for _ in 0..copies {
            self.take(None, target.clone());
        }
    }

    pub(super) fn repeat(&mut self, content: usize) {
        let pause = -(1.0 - self.rng.f64()).ln();
        let pause = self.spec.repeat_each.mul_f64(pause);
        self.schedule_in(pause, Event::Repeat { content });
        self.take(Some(content), format!("/crashing/{content}"));
    }

    /// A router that is up takes a request.
    fn take(&mut self, crashing: Option<usize>, target: String) {
        let up = (0..self.spec.routers).filter(|router| self.routers[*router].is_up);
        let up: Vec<usize> = up.collect();
        let Some(router) = self.rng.choice(up) else {
            return;
        };
        let request = self.requests.len();
        self.requests.push(Request {
            router,
            crashing,
            target,
            tried: Vec::new(),
            attempts: 0,
            held_since: None,
            attempt: None,
            lost: 0,
            is_done: false,
        });
        self.schedule_in(Duration::ZERO, Event::Send { request });
    }

    pub(super) fn send(&mut self, index: usize) {
        let now = self.instant();
        let request = &self.requests[index];
        if request.is_done {
            return;
        }
        let content = ContentKey::of(&request.content());
        self.end_attempt(index, content);
        let request = &self.requests[index];
        let cases = &self.routers[request.router].cases;
        let held_since = request.held_since.unwrap_or(self.now);
        let since = self.began + held_since;
        let neighbours = self.neighbours();
        let hold = match (cases.hold(content, now, neighbours), self.spec.waiting) {
            (Hold::UntilResolved, Waiting::Briefly) => Hold::Briefly,
            (Hold::WhileAnotherRuns(_), Waiting::SideBySide) => Hold::No,
            (hold, _) => hold,
        };
        let admission = cases.admission(content, now, neighbours);
        if hold.until(since, since + PATIENCE, now).is_some() {
            self.requests[index].held_since = Some(held_since);
            self.schedule_in(HOLD_STEP, Event::Send { request: index });
            return;
        }
        let is_crashing = request.crashing.is_some();
        if let Some(since) = request.held_since.filter(|_| !is_crashing) {
            self.outcome.waited.push(self.now - since);
        }
        match admission {
            Admission::Blocked => self.stop(index),
            admission => {
                self.begin_attempt(index, content);
                self.send_to_engine(index, admission.isolation_key(content));
            }
        }
    }

    fn begin_attempt(&mut self, index: usize, content: ContentKey) {
        let now = self.instant();
        let request = &mut self.requests[index];
        let cases = &mut self.routers[request.router].cases;
        let attempt = cases.on_admitted(content);
        cases.on_sent(content, attempt, now);
        request.attempt = Some(attempt);
    }

    fn end_attempt(&mut self, index: usize, content: ContentKey) {
        let request = &mut self.requests[index];
        if let Some(attempt) = request.attempt.take() {
            let cases = &mut self.routers[request.router].cases;
            cases.on_finished(content, attempt);
        }
    }

    fn stop(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.is_done = true;
        self.outcome.stopped += usize::from(request.crashing.is_none());
    }

    fn send_to_engine(&mut self, index: usize, apart: Option<u64>) {
        let Some(engine) = self.choose(index, apart) else {
            self.requests[index].is_done = true;
            return;
        };
        let name = self.engines[engine].name.clone();
        let request = &mut self.requests[index];
        request.held_since = None;
        request.tried.push(name.clone());
        let crashing = request.crashing;
        if !self.engines[engine].is_up {
            let now = self.instant();
            self.table.suspect(&name, now);
            self.schedule_in(SEND_DELAY, Event::Send { request: index });
            return;
        }
        if let Some(content) = crashing {
            self.count_arrival(index, content);
        }
        self.requests[index].attempts += 1;
        self.table.add_load(&name, LOAD);
        let run = self.runs.len();
        self.runs.push(Run {
            request: index,
            engine,
            begun_at: self.now,
            has_begun: false,
            is_given_up: false,
            is_alive: true,
        });
        let reading = self.reading_time(index, engine);
        self.schedule_in(SEND_DELAY + reading, Event::Begin { run });
        self.watch_run(run);
    }

    fn choose(&mut self, index: usize, apart: Option<u64>) -> Option<usize> {
        let request = &self.requests[index];
        let now = self.instant();
        let home = DataCentre::new(format!("hall-{}", request.router % 4));
        let demand = Demand {
            service: &self.service,
            home: &home,
            load: LOAD,
            engine_memory: Some(MEMORY),
            affinity: Some(cloverpier_core::hash_of(&request.target)),
            prompt_location: None,
            is_continuation: false,
            tried: &request.tried,
            connected: &HashSet::new(),
            suspect_content: apart,
            overcommit: false,
            reported: &ReportedLoad::default(),
            versions: &VersionRule::default(),
            limits: &LimitedUpstreams::NONE,
            now,
        };
        match choose_upstream(&self.table, &demand, &mut self.rng) {
            Choice::Upstream(upstream) => self.engines.iter().position(|e| e.name == upstream.name),
            Choice::None(_) => None,
        }
    }

    /// Counts a crashing request that reaches an engine too late, sent by a router in touch.
    fn count_arrival(&mut self, index: usize, content: usize) {
        let router = &self.routers[self.requests[index].router];
        let is_in_touch = !router.is_cut_off && self.now >= router.in_touch_since + CONTACT;
        let third = self.third_end[content];
        let is_late = third.is_some_and(|third| self.now > third + CONTACT);
        self.outcome.late[content] += usize::from(is_late && is_in_touch);
    }

    fn reading_time(&mut self, index: usize, engine: usize) -> Duration {
        let crashing = self.requests[index].crashing;
        let was_read = crashing.is_some_and(|content| {
            !self.engines[engine].has_read.insert(content) || self.spec.are_cached
        });
        if was_read {
            return READ_CACHED;
        }
        READ_LEAST + (READ_MOST - READ_LEAST).mul_f64(self.rng.f64())
    }

    pub(super) fn begin_run(&mut self, run: usize) {
        if !self.runs[run].is_alive || self.goes_on_later(run, Event::Begin { run }) {
            return;
        }
        let Run {
            request,
            is_given_up,
            ..
        } = self.runs[run];
        if let Some(content) = self.requests[request].crashing {
            self.crash_under(run, content);
            return;
        }
        self.runs[run].has_begun = true;
        if is_given_up {
            // The engine sees at its first token that its caller has left.
            self.leave(run);
        } else {
            self.schedule_in(STREAM, Event::End { run });
        }
    }

    pub(super) fn end_run(&mut self, run: usize) {
        if !self.runs[run].is_alive || self.goes_on_later(run, Event::End { run }) {
            return;
        }
        self.leave(run);
        if self.runs[run].is_given_up {
            return;
        }
        let now = self.instant();
        let request = &mut self.requests[self.runs[run].request];
        request.is_done = true;
        let router = &mut self.routers[request.router];
        router.cases.on_completed(&request.content(), now);
    }

    fn leave(&mut self, run: usize) {
        self.runs[run].is_alive = false;
        let name = self.engines[self.runs[run].engine].name.clone();
        self.table.remove_load(&name, LOAD);
    }

    /// Whether a run's engine stands still, so that an event of the run comes when it goes on.
    fn goes_on_later(&mut self, run: usize, event: Event) -> bool {
        let engine = self.runs[run].engine;
        let is_paused = self.is_paused(engine);
        if is_paused {
            let wait = self.engines[engine].paused_until - self.now;
            self.schedule_in(wait, event);
        }
        is_paused
    }

    pub(super) fn on_broken(&mut self, run: usize) {
        self.leave(run);
        let Run {
            request, engine, ..
        } = self.runs[run];
        let router = self.requests[request].router;
        // What was given up goes on elsewhere already.
        let is_over = self.requests[request].is_done || self.runs[run].is_given_up;
        if is_over || !self.routers[router].is_up {
            return;
        }
        if self.is_killed_now(request) {
            self.kill(router);
            return;
        }
        self.lose(run, Lost::Broke);
        self.schedule_in(PROBE_DELAY, Event::Refused { router, engine });
    }

    /// A router has lost a run, and sends its request on.
    pub(super) fn lose(&mut self, run: usize, lost: Lost) {
        let Run {
            request: index,
            engine,
            begun_at,
            ..
        } = self.runs[run];
        let router = self.requests[index].router;
        let ended = self.ended(engine);
        let attempt = LostAttempt {
            content: ContentKey::of(&self.requests[index].content()),
            loss: match lost {
                Lost::Broke => LossCause::ConnectionBroken,
                Lost::GivenUp => LossCause::UpstreamSilent,
            },
            has_completed: false,
            crash_id: CrashId {
                upstream: ended.upstream,
                time_ms: self.start_of(engine),
            },
            upstream: ended,
            ran_for: self.now - begun_at,
        };
        let request = &mut self.requests[index];
        let cases = &mut self.routers[router].cases;
        cases.on_lost(&request.content(), attempt);
        request.lost += 1;
        self.outcome.unlucky += usize::from(request.crashing.is_none() && request.lost == 2);
        request.is_done |= request.attempts >= MAX_ATTEMPTS;
        self.schedule_in(CRASH_SETTLE_DELAY, Event::Judge { router });
        self.schedule_in(Duration::ZERO, Event::Send { request: index });
    }

    pub(super) fn on_refused(&mut self, router: usize, engine: usize) {
        if !self.engines[engine].is_up {
            let ended = self.ended(engine);
            self.routers[router].cases.on_process_gone(ended);
        }
    }

    /// Calls back a router's requests with stopped contents that no engine has begun to run.
    pub(super) fn call_back(&mut self, router: usize) {
        let now = self.instant();
        let stopped = self.routers[router]
            .cases
            .registry
            .take_block_changes(now)
            .blocked;
        for content in stopped {
            let runs = self.runs.iter().enumerate();
            let waiting = runs.filter(|(_, run)| run.is_alive && !run.has_begun);
            let called = waiting.filter(|(_, run)| {
                let request = &self.requests[run.request];
                request.router == router && ContentKey::of(&request.content()) == content
            });
            let called: Vec<usize> = called.map(|(run, _)| run).collect();
            for run in called {
                self.leave(run);
                self.stop(self.runs[run].request);
            }
        }
    }
}
