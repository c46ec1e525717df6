//! Decides whether an attempt of a stream that has no event yet stays at its engine or moves to another one.
//!
//! - **Question.** The engine is alive and has sent no event for an attempt. Should the attempt wait on, or end, so
//!   that the request is sent to another engine?
//! - **Inputs.** A [`FirstEventWait`]: how long the attempt has waited; what was predicted when it was sent; what is
//!   predicted now at the engine that would get the next attempt; the time left to the objective and to the deadline;
//!   whether the request may be sent again.
//! - **Result.** A [`FirstEventStep`].
//! - **Why.** A move discards what the engine has read of the prompt, and another engine reads it again. Under
//!   overload every engine is behind, so that moves only add to the load. So an attempt moves only if its caller gains:
//!   if the caller is in time elsewhere and would be late here, or if the engine seems to hang and another one is
//!   clearly sooner. No attempt ends while the request could not be sent to an engine with room: a late answer serves
//!   the caller better than an error.
//!
//! A move that saves the objective happens at the last moment at which it still does, as the engine may send the event
//! before. Owns no state.

use crate::choice::{Choice, Demand, choose_upstream, fits_kv_cache};
use crate::first_event::predicted_first_event;
use crate::upstream_table::UpstreamTable;
use serde::Serialize;
use std::time::Duration;

/// The factor by which a first event may take longer than predicted without a sign of a fault: the load that peers
/// report is up to a heartbeat old.
pub(crate) const PREDICTION_ERROR: f64 = 1.25;
/// The other engine's prediction times this factor has to be shorter than the remaining time at the present engine.
pub(crate) const CLEARLY_SOONER: f64 = 2.0;
/// An engine that takes this many times as long as predicted may hang.
const HANG_FACTOR: f64 = 3.0;
/// The time between two decisions on an attempt.
pub(crate) const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Predictions count as at least this long, to allow for what an attempt takes besides reading prompts.
const MIN_PREDICTED: Duration = Duration::from_millis(200);
/// Maximum number of times that a request is moved away from living engines: beyond that, moves have not helped.
pub(crate) const MAX_MOVES: u32 = 2;

/// The other engine that would get the request if its attempt ended now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Elsewhere {
    /// No other engine that responds has room for the request, or the request may not be sent again.
    Nowhere,
    /// An engine has room; its first event can't be predicted.
    Unpredicted,
    /// An engine has room and is predicted to send the first event after this time, the prompt read anew included.
    After(Duration),
}

impl Elsewhere {
    /// The engine that [`choose_upstream`] selects for the demand of the next attempt, if the request fits into its KV
    /// cache. The demand excludes the engine of the present attempt.
    pub fn for_next_attempt(
        table: &UpstreamTable,
        demand: &Demand<'_>,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let Choice::Upstream(upstream) = choose_upstream(table, demand, rng) else {
            return Self::Nowhere;
        };
        let Some(engine) = table.get(&upstream.name) else {
            return Self::Nowhere;
        };
        if engine.is_unresponsive(demand.now) {
            return Self::Nowhere;
        }
        let fits = |memory| fits_kv_cache(table, demand, engine, memory);
        if !demand.engine_memory.is_none_or(fits) {
            return Self::Nowhere;
        }
        predicted_first_event(table, demand, engine).map_or(Self::Unpredicted, Self::After)
    }
}

/// An attempt at a living engine that has sent no event for it.
#[derive(Clone, Copy, Debug)]
pub struct FirstEventWait {
    /// The time since the attempt was sent.
    pub waited: Duration,
    /// The time to the first event that was predicted when the attempt was sent; `None` if no rate was known.
    pub predicted: Option<Duration>,
    /// The other engine that would get the request.
    pub elsewhere: Elsewhere,
    /// The time left until the caller's answer is late; zero if it is late already.
    pub until_late: Duration,
    /// The time left until the request's deadline.
    pub until_deadline: Duration,
    /// The route's objective for the first event.
    pub objective: Duration,
    /// The configured time after which an attempt without a prediction is moved.
    pub stall_after: Duration,
    /// How often the request was moved away from a living engine before.
    pub moves: u32,
    /// Whether requests wait in the router for room at engines, so that the room elsewhere is theirs.
    pub others_wait: bool,
}

/// What becomes of an attempt without a first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstEventStep {
    /// The attempt goes on; decide again after this time.
    WaitFor(Duration),
    /// The attempt ends and the request is sent to another engine.
    Move(MoveReason),
}

/// Why an attempt is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveReason {
    /// The caller would be late here and is in time elsewhere.
    InTimeElsewhere,
    /// The engine is so far beyond its prediction that it may hang.
    MayHang,
    /// The configured time has passed, and nothing was predicted.
    Unpredicted,
}

impl FirstEventWait {
    /// Decides what becomes of the attempt.
    pub fn step(&self) -> FirstEventStep {
        if self.moves >= MAX_MOVES {
            return FirstEventStep::WaitFor(self.until_deadline);
        }
        let predicted = self.predicted.map(|p| p.max(MIN_PREDICTED));
        match (predicted, self.elsewhere) {
            (_, Elsewhere::Nowhere) => FirstEventStep::WaitFor(CHECK_PERIOD),
            (Some(predicted), Elsewhere::After(elsewhere)) => {
                self.by_prediction(predicted, elsewhere)
            }
            (Some(predicted), Elsewhere::Unpredicted) => {
                let move_after = self.hangs_after(predicted).max(self.stall_after);
                self.by_timeout(move_after, MoveReason::MayHang)
            }
            (None, _) => self.by_timeout(self.stall_after, MoveReason::Unpredicted),
        }
    }

    fn by_prediction(&self, predicted: Duration, elsewhere: Duration) -> FirstEventStep {
        let remaining = remaining_here(predicted, self.waited);
        if elsewhere.mul_f64(CLEARLY_SOONER) > remaining || elsewhere > self.until_deadline {
            return FirstEventStep::WaitFor(CHECK_PERIOD);
        }
        let needed_elsewhere = elsewhere.mul_f64(PREDICTION_ERROR);
        let is_late_here = remaining > self.until_late;
        if is_late_here && needed_elsewhere <= self.until_late && !self.others_wait {
            let spare = self.until_late.saturating_sub(needed_elsewhere);
            return if spare < CHECK_PERIOD {
                FirstEventStep::Move(MoveReason::InTimeElsewhere)
            } else {
                FirstEventStep::WaitFor(spare.saturating_sub(CHECK_PERIOD).max(CHECK_PERIOD))
            };
        }
        if self.waited >= self.hangs_after(predicted) {
            return FirstEventStep::Move(MoveReason::MayHang);
        }
        FirstEventStep::WaitFor(CHECK_PERIOD)
    }

    fn by_timeout(&self, timeout: Duration, reason: MoveReason) -> FirstEventStep {
        let left = timeout.saturating_sub(self.waited);
        if left.is_zero() {
            FirstEventStep::Move(reason)
        } else {
            FirstEventStep::WaitFor(left)
        }
    }

    /// The time without an event after which the engine may hang.
    fn hangs_after(&self, predicted: Duration) -> Duration {
        predicted.mul_f64(HANG_FACTOR).max(self.objective)
    }
}

/// The time after the sending of an attempt at which [`FirstEventWait::step`] is first asked: not before the attempt
/// can be moved.
pub fn first_check(
    predicted: Option<Duration>,
    until_late: Duration,
    stall_after: Duration,
) -> Duration {
    match predicted.map(|p| p.max(MIN_PREDICTED)) {
        None => stall_after,
        Some(predicted) if predicted > until_late => CHECK_PERIOD,
        Some(predicted) => predicted.mul_f64(PREDICTION_ERROR),
    }
}

/// The time that the present engine is expected to take still. Once the attempt is further behind its prediction than
/// usual, what delays it is not known; a delay of unknown cause that has lasted for some time is expected to last as
/// long again.
fn remaining_here(predicted: Duration, waited: Duration) -> Duration {
    if waited <= predicted.mul_f64(PREDICTION_ERROR) {
        predicted.saturating_sub(waited)
    } else {
        waited
    }
}
