//! Engines of the model that pause and go on, and requests that routers give up for their silence.
//!
//! What a paused engine had begun, and what is sent to it, runs once it goes on, whether or not the router
//! has given it up meanwhile: nobody tells an engine that its caller has left before it looks. Routers ask
//! engines of which they know nothing as the programs do, and check those that they have declared dead.

use super::requests::Lost;
use super::upstreams::{DATA_CENTRES, PROBE_DELAY};
use super::world::{Event, World};
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::prelude::*;
use std::time::Duration;

/// What pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pauses {
    /// Nothing.
    None,
    /// Each engine by itself, each ten seconds on average, for 0.3 s to 2.5 s.
    Engines,
    /// All engines of a data centre, in place of its death, for two seconds.
    DataCentres,
    /// The same, and after the pause they have ended.
    DataCentresThatEnd,
    /// Each engine that a request crashes stands still for 0.3 s to 2.5 s before it ends, as one does
    /// that writes out its memory.
    BeforeCrashes,
}

/// From one pause of an engine to its next, on average.
const PAUSE_EACH: Duration = Duration::from_secs(10);
const PAUSE_LEAST: Duration = Duration::from_millis(300);
const PAUSE_MOST: Duration = Duration::from_millis(2_500);
/// How long a data centre pauses.
const DATA_CENTRE_PAUSE: Duration = Duration::from_secs(2);
/// A router gives a request up after this silence: a question after 0.15 s, and a second for its answer.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1_150);
/// From one check of an engine that was declared dead to the next.
const CHECK_EACH: Duration = Duration::from_millis(500);
/// How long a question waits for its answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// A question of a router to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Question {
    router: usize,
    engine: usize,
    asked: Duration,
    /// When the attempt was lost that it is about.
    lost: Duration,
}

impl World {
    pub(super) fn begin_pauses(&mut self) {
        if self.spec.pauses == Pauses::Engines {
            self.schedule_in(Duration::ZERO, Event::PauseOne);
        }
    }

    /// Pauses one engine, and schedules the next pause.
    pub(super) fn pause_one(&mut self) {
        let mean = PAUSE_EACH / self.spec.engines as u32;
        let next = mean.mul_f64(-(1.0 - self.rng.f64()).ln());
        self.schedule_in(next, Event::PauseOne);
        let engine = self.rng.usize(..self.spec.engines);
        let length = self.draw_pause();
        self.pause(engine, length);
    }

    /// Crashes an engine under a run that it has begun, or has it stand still before it does.
    pub(super) fn crash_under(&mut self, run: usize, content: usize) {
        let engine = self.runs[run].engine;
        let has_paused = std::mem::replace(&mut self.runs[run].has_begun, true);
        if has_paused || self.spec.pauses != Pauses::BeforeCrashes {
            self.crash(engine, content);
            return;
        }
        let length = self.draw_pause();
        self.pause(engine, length);
        self.schedule_in(length, Event::Begin { run });
    }

    fn draw_pause(&mut self) -> Duration {
        PAUSE_LEAST + (PAUSE_MOST - PAUSE_LEAST).mul_f64(self.rng.f64())
    }

    /// Pauses the engines of a data centre; true where that takes the place of its death.
    pub(super) fn pause_data_centre(&mut self, data_centre: usize) -> bool {
        let ends = match self.spec.pauses {
            Pauses::None | Pauses::Engines | Pauses::BeforeCrashes => return false,
            Pauses::DataCentres => false,
            Pauses::DataCentresThatEnd => true,
        };
        for engine in (0..self.spec.engines).filter(|e| e % DATA_CENTRES == data_centre) {
            self.pause(engine, DATA_CENTRE_PAUSE);
            if ends {
                self.schedule_in(DATA_CENTRE_PAUSE, Event::Fail { engine });
            }
        }
        true
    }

    fn pause(&mut self, engine: usize, length: Duration) {
        let until = self.now + length;
        let state = &mut self.engines[engine];
        if !state.is_up {
            return;
        }
        state.paused_until = state.paused_until.max(until);
        let runs = self.runs.iter().enumerate();
        let there = runs.filter(|(_, run)| run.is_alive && run.engine == engine);
        let there: Vec<usize> = there.map(|(run, _)| run).collect();
        for run in there {
            self.schedule_in(GIVE_UP_AFTER, Event::GiveUp { run });
        }
    }

    pub(super) fn is_paused(&self, engine: usize) -> bool {
        self.engines[engine].paused_until > self.now
    }

    /// Has a run given up that was sent to an engine that stands still.
    pub(super) fn watch_run(&mut self, run: usize) {
        if self.is_paused(self.runs[run].engine) {
            self.schedule_in(GIVE_UP_AFTER, Event::GiveUp { run });
        }
    }

    /// Gives a run up, if its engine still says nothing.
    pub(super) fn give_up(&mut self, run: usize) {
        let state = &self.runs[run];
        let engine = state.engine;
        let is_over = !state.is_alive || state.is_given_up || !self.is_paused(engine);
        let router = self.requests[state.request].router;
        if is_over || !self.routers[router].is_up {
            return;
        }
        self.runs[run].is_given_up = true;
        let died = self.ended(engine);
        let silent_since = self.began + self.now.saturating_sub(GIVE_UP_AFTER);
        let name = self.engines[engine].name.clone();
        self.table.suspect(&name, died.at);
        self.routers[router]
            .cases
            .on_suspected_failure(died, silent_since);
        self.lose(run, Lost::GivenUp);
        self.schedule_in(CHECK_EACH, Event::Check { router, engine });
    }

    /// Checks an engine that was declared dead; again, unless it answers or has ended.
    pub(super) fn check(&mut self, router: usize, engine: usize) {
        if self.is_paused(engine) {
            self.schedule_in(CHECK_EACH, Event::Check { router, engine });
            return;
        }
        let now = self.now;
        self.on_answer(Question {
            router,
            engine,
            asked: now,
            lost: now,
        });
    }

    /// Asks the engines of which a router knows nothing.
    pub(super) fn ask_unclear(&mut self, router: usize) {
        let now = self.instant();
        let unclear = self.routers[router].cases.upstreams_to_probe(now);
        for ended in unclear {
            let key = ended.upstream;
            let mut engines = self.engines.iter();
            let engine = engines.position(|e| UpstreamKey::of(&e.name).0 == key);
            let Some(engine) = engine else { continue };
            let question = Question {
                router,
                engine,
                asked: self.now,
                lost: ended.at - self.began,
            };
            self.schedule_in(PROBE_DELAY, Event::Asked { question });
        }
    }

    pub(super) fn on_asked(&mut self, question: Question) {
        let paused_until = self.engines[question.engine].paused_until;
        if paused_until <= self.now {
            self.on_answer(question);
        } else if paused_until < question.asked + ANSWER_WITHIN {
            let wait = paused_until - self.now + PROBE_DELAY;
            self.schedule_in(wait, Event::Asked { question });
        }
    }

    /// What an engine that does not stand still answers, or its host if it has ended.
    fn on_answer(&mut self, question: Question) {
        let Question {
            router,
            engine,
            asked,
            lost,
        } = question;
        let ended = self.ended(engine);
        let now = self.instant();
        let sign = UpstreamResponse {
            upstream: ended.upstream,
            sent_at: self.began + asked,
            received_at: now,
        };
        let engine = &self.engines[engine];
        let cases = &mut self.routers[router].cases;
        if !engine.is_up {
            cases.on_process_gone(ended);
        } else if engine.ended_at.is_some_and(|at| at >= lost) {
            cases.on_process_replaced(ended);
        } else {
            cases.on_response(sign);
            self.table.on_alive(&engine.name, now);
        }
        self.schedule_in(Duration::ZERO, Event::Judge { router });
    }
}
