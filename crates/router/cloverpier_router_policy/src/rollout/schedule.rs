//! Which stage of a roll-out comes next, and when.
//!
//! - **Question.** How far does a roll-out go on now?
//! - **Inputs.** The order and how long ago it became known; the present [`Progress`]; what all
//!   routers counted; how many upstreams the new version has; the operator's bound on exposure.
//! - **Answer.** A [`Step`].
//! - **Why.** Between the order and its deadline a bad version may get a tenth of all requests of
//!   its service and fifty besides (the operator's bound), also one that turns bad late, under load
//!   or on one route. So most of the time belongs to the first stage, whose few requests leave most
//!   of the bound for the stages that follow, and what is left at the end suffices to move
//!   everything. A version whose answers raise suspicion gets no more than it has; one of which too
//!   little is known at the end is rolled back, as callers know the former one to work.
//!
//! The times are parts of the order's duration, since all that is known of it is that the operator
//! wants it done by then.
//!
//! Owns no state.

use super::assessment::{Judgement, Objection, doubt, judge};
use super::evidence::{Arm, FleetEvidence, Measure, SentCounts};
use super::{Permille, Progress, Stage};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The end of the first stage, as a part of the duration.
const CANARY_UNTIL: f64 = 0.54;
/// The end of the second stage, as a part of the duration.
const LOAD_UNTIL: f64 = 0.66;
/// The end of the third stage, as a part of the duration.
const PART_UNTIL: f64 = 0.76;
/// From then on streams at the former versions move. Before, they are left to end by themselves: a
/// move has their prompts read again and makes them late.
const MOVE_FROM: f64 = 1.25;
/// A version that is not trusted by then is rolled back: later there is no time to move all
/// requests.
const DECIDE_UNTIL: f64 = 0.80;

/// The part of the operator's bound that the first stage may use up.
const CANARY_PART: f64 = 0.5;
/// The most of the requests that the first stage sends to the new version, where these are so few
/// that the bound would allow more.
const MAX_CANARY_SHARE: f64 = 0.5;
/// Requests of the new version in the second stage at least, and at most; one of four upstreams has
/// its final load with the latter.
const LOAD_SHARES: [f64; 2] = [0.1, 0.25];
/// Requests of the new version in the third stage.
const PART_SHARE: f64 = 0.35;
/// Upstreams of the new version that are tried in the first stage at least, so that one bad
/// upstream is not counted as a bad version.
const MIN_CANARIES: usize = 2;

/// How many times the load that upstreams have at the end those have that are tried first, as
/// those of a service have it when a data centre dies. With as much as at the end, a version that
/// is slow under load would be found too late, as the load takes a stream's length to be there.
const CANARY_LOAD: f64 = 1.6;
/// Answers of the new version without which nothing is known of it. Five good answers are expected
/// of a version that fails in two of five requests in one of 13 cases.
const MIN_ANSWERS: u32 = 5;
/// Answers of other upstreams of the new version that clear it where one group of them is bad. Ten
/// answers of a version of which two in five fail are all good in one of 165 cases.
const MIN_OTHER_ANSWERS: u32 = 10;
/// Time for an answer at the new version after the stage that asks for it, and for its report.
const MIN_STAGE: Duration = Duration::from_millis(600);
/// Least time between two settings of the share.
const ADAPT_EACH: Duration = Duration::from_secs(1);
/// The share is lowered where less than this part of it is allowed.
const LOWER_FROM: f64 = 0.8;
/// Pause between two looks at other upstreams of the new version.
const ROTATE_EACH: Duration = Duration::from_millis(500);

/// The operator's bound on the requests that a bad version gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// The part of all requests that reach the service.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

/// What a step is decided by.
#[derive(Debug)]
pub struct Situation<'a> {
    /// The present moment.
    pub now: Instant,
    /// When the order became known.
    pub known_since: Instant,
    /// When the present stage, or its round, began.
    pub stage_since: Instant,
    /// How long after it the roll-out should be completed.
    pub duration: Duration,
    /// How far it is.
    pub progress: Progress,
    /// What all routers counted.
    pub evidence: &'a FleetEvidence,
    /// Upstreams that the new version has.
    pub upstreams: usize,
    /// The routers that are alive, this one among them.
    pub routers: &'a [SocketAddr],
    /// The operator's bound.
    pub bounds: ExposureBounds,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Nothing for now.
    Stay,
    /// The roll-out goes on like this.
    Go(Progress),
    /// It ends: the new version is bad, or too little is known of it.
    RollBack(Option<Objection>),
    /// It ends: nothing is left at the former versions.
    Complete,
}

/// The progress with which a roll-out begins, before anything is known of the service's requests.
pub fn first_progress(bounds: ExposureBounds) -> Progress {
    Progress {
        share: Permille::of(bounds.share * CANARY_PART),
        ..Progress::default()
    }
}

/// How many upstreams of the new version are tried at a stage, at a share of the requests.
pub fn canaries(stage: Stage, share: Permille, upstreams: usize) -> usize {
    let proportional = (share.part() * upstreams as f64 / CANARY_LOAD).round() as usize;
    match stage {
        Stage::Load => proportional.max(1),
        _ => proportional.max(MIN_CANARIES),
    }
}

/// Decides what follows.
pub fn step(situation: &Situation<'_>) -> Step {
    let progress = situation.progress;
    if progress.stage.is_over() {
        return Step::Stay;
    }
    let windows = situation.evidence.windows();
    let judgements = windows
        .iter()
        .map(|evidence| judge(evidence, situation.upstreams));
    let severest = judgements.max_by_key(Judgement::severity);
    // Without a span of answers nothing is known against the version.
    match severest.unwrap_or(Judgement::Nothing) {
        Judgement::Bad(objection) => Step::RollBack(Some(objection)),
        Judgement::OneGroup(objection) if situation.upstreams > 1 => {
            look_elsewhere(situation, objection)
        }
        Judgement::OneGroup(objection) | Judgement::Suspicious(objection) => {
            wait_for_more(situation, objection)
        }
        Judgement::Nothing => go_on(situation),
    }
}

impl Situation<'_> {
    /// The part of the duration that has passed.
    fn passed(&self) -> f64 {
        let elapsed = self.now.saturating_duration_since(self.known_since);
        elapsed.as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn in_stage(&self) -> Duration {
        self.now.saturating_duration_since(self.stage_since)
    }
}

/// One group of upstreams is bad: others of the new version are tried. Where these have answered
/// often enough, and well, the fault is the group's; what they answered without load says nothing
/// of an upstream that is bad under load.
fn look_elsewhere(situation: &Situation<'_>, objection: Objection) -> Step {
    let progress = situation.progress;
    let is_cleared = objection.answers_without_worst >= MIN_OTHER_ANSWERS;
    let tries_others = match progress.stage {
        Stage::Canary => !is_cleared,
        Stage::Load => situation.passed() < LOAD_UNTIL,
        _ => false,
    };
    if tries_others && situation.in_stage() >= ROTATE_EACH && progress.round < u8::MAX {
        return Step::Go(Progress {
            round: progress.round + 1,
            ..progress
        });
    }
    if is_cleared && !tries_others {
        return go_on(situation);
    }
    wait_for_more(situation, objection)
}

/// A version that is not trusted gets no more requests, and is rolled back in the end.
fn wait_for_more(situation: &Situation<'_>, objection: Objection) -> Step {
    let is_decided = situation.progress.stage.is_decided_for_target();
    if !is_decided && situation.passed() >= DECIDE_UNTIL {
        return Step::RollBack(Some(objection));
    }
    Step::Stay
}

fn go_on(situation: &Situation<'_>) -> Step {
    let progress = situation.progress;
    let passed = situation.passed();
    let is_stage_over = |until: f64| passed >= until && situation.in_stage() >= MIN_STAGE;
    match progress.stage {
        Stage::Canary if is_stage_over(CANARY_UNTIL) => after_canary(situation),
        Stage::Canary => adapt_share(situation),
        Stage::Load if is_stage_over(LOAD_UNTIL) => go(Stage::Part, PART_SHARE, progress),
        Stage::Part if is_stage_over(PART_UNTIL) => after_part(situation),
        Stage::All if passed >= MOVE_FROM => go(Stage::Moving, 1.0, progress),
        Stage::All | Stage::Moving => complete_if_empty(situation),
        Stage::Load | Stage::Part | Stage::RolledBack | Stage::Completed => Step::Stay,
    }
}

fn go(stage: Stage, share: f64, progress: Progress) -> Step {
    Step::Go(Progress {
        stage,
        share: Permille::of(share),
        ..progress
    })
}

/// The end of the first stage: on with a version of which enough is known.
fn after_canary(situation: &Situation<'_>) -> Step {
    if target_answers(situation.evidence) >= MIN_ANSWERS {
        let [least, most] = LOAD_SHARES;
        let one_upstream = 1.0 / situation.upstreams.max(1) as f64;
        return go(
            Stage::Load,
            one_upstream.clamp(least, most),
            situation.progress,
        );
    }
    if situation.passed() >= DECIDE_UNTIL {
        return Step::RollBack(None);
    }
    Step::Stay
}

/// The end of the third stage: all requests go to a version against which nothing speaks, even a
/// little.
fn after_part(situation: &Situation<'_>) -> Step {
    let total = situation.evidence.total();
    match doubt(&total, situation.upstreams) {
        Some(objection) => wait_for_more(situation, objection),
        None => go(Stage::All, 1.0, situation.progress),
    }
}

fn target_answers(evidence: &FleetEvidence) -> u32 {
    let total = evidence.total();
    let answers = total
        .iter()
        .filter(|(key, _)| key.arm != Arm::Former && key.measure == Measure::Answer);
    answers.map(|(_, c)| c.failed + c.times.total()).sum()
}

/// Sets the share of the first stage by the requests that can be expected until the deadline:
/// where they are few, the fifty that the bound allows besides are most of it. As long as a router
/// has not reported, nobody knows how many there are.
fn adapt_share(situation: &Situation<'_>) -> Step {
    let evidence = situation.evidence;
    let elapsed = situation
        .now
        .saturating_duration_since(situation.known_since);
    let is_known = situation.routers.iter().all(|r| evidence.has_reported(r));
    if elapsed < ADAPT_EACH || situation.in_stage() < ADAPT_EACH || !is_known {
        return Step::Stay;
    }
    let SentCounts { former, target } = evidence.sent();
    let sent = f64::from(former) + f64::from(target);
    let expected = sent / elapsed.as_secs_f64() * situation.duration.as_secs_f64();
    let ExposureBounds { share, slack } = situation.bounds;
    let allowed = CANARY_PART * (share * expected + slack);
    let adapted = (allowed / expected.max(1.0)).min(MAX_CANARY_SHARE);
    let progress = situation.progress;
    let present = progress.share.part();
    // It is raised once, by the first measure, and lowered whenever more requests come.
    let is_raised = progress.round == 0 && adapted > present;
    let is_lowered = adapted < present * LOWER_FROM;
    if (is_raised || is_lowered) && progress.round < u8::MAX {
        return Step::Go(Progress {
            share: Permille::of(adapted),
            round: progress.round + 1,
            ..progress
        });
    }
    Step::Stay
}

/// All living routers have left the former versions: these may stop. One that does not say so, as
/// of a release that knows no roll-outs, holds the end up: its requests would be lost.
fn complete_if_empty(situation: &Situation<'_>) -> Step {
    let evidence = situation.evidence;
    let has_left = |router| evidence.has_left_former(router, Stage::All);
    let is_settled = situation.in_stage() >= MIN_STAGE;
    if is_settled && situation.routers.iter().all(has_left) {
        return Step::Complete;
    }
    Step::Stay
}
