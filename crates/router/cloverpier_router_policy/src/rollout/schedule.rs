//! Which stage of a roll-out comes next, and when.
//!
//! - **Question.** What is the next progress of a roll-out now?
//! - **Inputs.** The order and how long ago it was given; the present [`Progress`]; the counts
//!   of all routers; the number of upstreams of the target version; the operator's bound on
//!   exposure.
//! - **Outcome.** A [`Step`].
//! - **Why.** Between the order and its deadline a bad version may receive a tenth of all requests
//!   of its service and fifty more (the operator's bound), also a version that turns bad late,
//!   under load or on one route. So the first stage has most of the time: its few requests leave
//!   most of the bound to the later stages, and the remaining time suffices to move all requests. A
//!   version with suspicious responses keeps its present share. A version with too few responses at
//!   the decision deadline is rolled back, since the previous versions work for the callers.
//!
//! The moments are fractions of the order's duration, as the operator's deadline is the only time
//! that an order contains.
//!
//! Owns no state.

use super::assessment::{Assessment, Regression, assess, promotion_blocker};
use super::evidence::{Arm, FleetEvidence, Measure, SentCounts};
use super::{Permille, Progress, Stage};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The end of the stage `Canary`, as a fraction of the order's duration.
const CANARY_END: f64 = 0.54;
/// The end of the stage `Load`, as a fraction of the order's duration.
const LOAD_END: f64 = 0.66;
/// The end of the stage `Part`, as a fraction of the order's duration.
const PART_END: f64 = 0.76;
/// A version that is still suspicious, or has too few responses, at this fraction of the order's
/// duration is rolled back: later the time would not suffice to move all requests.
const DECISION_DEADLINE: f64 = 0.80;

/// The fraction of the operator's bound that the first stage may use up.
const CANARY_EXPOSURE_FRACTION: f64 = 0.5;
/// The largest share of the requests in the first stage. Where a service has so few requests that
/// the bound would allow more, this limit applies.
const MAX_CANARY_SHARE: f64 = 0.5;
/// The smallest and the largest share of the requests in the second stage. With the largest share,
/// one of four upstreams has the load of the completed roll-out.
const LOAD_SHARE_RANGE: [f64; 2] = [0.1, 0.25];
/// The share of the requests in the third stage.
const PART_SHARE: f64 = 0.35;
/// The smallest number of upstreams that the first stage tries, so that one bad upstream is not
/// mistaken for a bad version.
const MIN_CANARIES: usize = 2;

/// The load of a tried upstream, as a multiple of its load after the roll-out; the upstreams of a
/// service have as much load while a data centre is down. With a multiple of 1, a version that is
/// slow under load would be detected too late, since load takes the length of a stream to build up.
const CANARY_LOAD_FACTOR: f64 = 1.6;
/// Responses of the target version that the first stage requires. A version that fails two of five
/// requests returns five good responses in a row in one of 13 cases.
const MIN_CANARY_RESPONSES: u32 = 5;
/// Responses of the other upstreams that clear the target version where one group of its upstreams
/// is bad. A version that fails two of five requests returns ten good responses in a row in one of
/// 165 cases.
const MIN_CLEARING_RESPONSES: u32 = 10;
/// The shortest time in a stage: enough for a response of the target version and its report.
const MIN_STAGE_DURATION: Duration = Duration::from_millis(600);
/// The shortest time between two updates of the first stage's share.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// The share is lowered where the bound allows less than this fraction of the present share.
const SHARE_LOWERING_FRACTION: f64 = 0.8;
/// The time for which one set of upstreams is tried before the next set replaces it.
const ROTATION_INTERVAL: Duration = Duration::from_millis(500);

/// The operator's bound on the requests that a bad version receives: `share` of all, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// A fraction of all requests of the service, from 0 to 1.
    pub share: f64,
    /// A number of requests beyond that share.
    pub slack: f64,
}

/// The inputs of [`step`].
#[derive(Debug)]
pub struct StepInput<'a> {
    /// The present moment, on this router's monotonic clock.
    pub now: Instant,
    /// When the order arrived at this router, or an earlier estimate of when the order was given.
    pub ordered_at: Instant,
    /// When the present stage, or its present round, began at this router.
    pub stage_since: Instant,
    /// The time from `ordered_at` until the target version should receive all requests.
    pub duration: Duration,
    /// The progress that the step starts from.
    pub progress: Progress,
    /// The counts that all routers reported.
    pub evidence: &'a FleetEvidence,
    /// The number of upstreams of the target version.
    pub upstreams: usize,
    /// The routers that are alive, this router included.
    pub routers: &'a [SocketAddr],
    /// The operator's bound on exposure.
    pub bounds: ExposureBounds,
}

/// The decision on how a roll-out continues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The progress stays as it is for now.
    Stay,
    /// The roll-out takes this progress: a later stage, or another round of the same stage.
    Update(Progress),
    /// The roll-out ends: the target version is bad, or has too few responses (`None`).
    RollBack(Option<Regression>),
    /// The roll-out ends: no router has requests at the previous versions any more.
    Complete,
}

/// The progress of a new order, before the rate of the service's requests is known.
pub fn first_progress(bounds: ExposureBounds) -> Progress {
    Progress {
        share: Permille::from_fraction(bounds.share * CANARY_EXPOSURE_FRACTION),
        ..Progress::default()
    }
}

/// How many upstreams of the target version share its requests in the first two stages. `share` is
/// the version's share of all requests, and `upstreams` the number of its upstreams.
pub fn canary_count(stage: Stage, share: Permille, upstreams: usize) -> usize {
    let proportional =
        (share.as_fraction() * upstreams as f64 / CANARY_LOAD_FACTOR).round() as usize;
    match stage {
        Stage::Load => proportional.max(1),
        _ => proportional.max(MIN_CANARIES),
    }
}

/// Decides how a roll-out continues.
pub fn step(input: &StepInput<'_>) -> Step {
    let progress = input.progress;
    if progress.stage.is_over() {
        return Step::Stay;
    }
    let periods = input.evidence.periods();
    let starts = input.evidence.window_starts();
    let assessments = starts.map(|start| assess(&periods[start..], input.upstreams));
    let severest = assessments.max_by_key(Assessment::severity);
    // Without any window of responses there is no evidence against the version.
    match severest.unwrap_or(Assessment::NoRegression) {
        Assessment::Bad(regression) => Step::RollBack(Some(regression)),
        Assessment::OneGroup(regression) if input.upstreams > 1 => {
            try_other_upstreams(input, regression)
        }
        Assessment::OneGroup(regression) | Assessment::Suspicious(regression) => {
            wait_or_roll_back(input, regression)
        }
        Assessment::NoRegression => advance(input),
    }
}

impl StepInput<'_> {
    /// The fraction of the order's duration that has elapsed; above 1 after the deadline.
    fn elapsed_fraction(&self) -> f64 {
        let elapsed = self.now.saturating_duration_since(self.ordered_at);
        elapsed.as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn time_in_stage(&self) -> Duration {
        self.now.saturating_duration_since(self.stage_since)
    }
}

/// Handles a bad group of upstreams: others of the target version are tried. Enough good responses
/// of these clear the version, and only the group counts as faulty. The stage `Load` tries further
/// upstreams all the same, as an upstream that is bad under load may respond well without load.
fn try_other_upstreams(input: &StepInput<'_>, regression: Regression) -> Step {
    let progress = input.progress;
    let is_cleared = regression.responses_without_worst >= MIN_CLEARING_RESPONSES;
    let tries_others = match progress.stage {
        Stage::Canary => !is_cleared,
        Stage::Load => input.elapsed_fraction() < LOAD_END,
        _ => false,
    };
    if tries_others && input.time_in_stage() >= ROTATION_INTERVAL && progress.round < u8::MAX {
        return Step::Update(Progress {
            round: progress.round + 1,
            ..progress
        });
    }
    if is_cleared && !tries_others {
        return advance(input);
    }
    wait_or_roll_back(input, regression)
}

/// Keeps the progress of a suspicious version, and rolls the version back at the deadline.
fn wait_or_roll_back(input: &StepInput<'_>, regression: Regression) -> Step {
    let is_decided = input.progress.stage.sends_all_to_target();
    if !is_decided && input.elapsed_fraction() >= DECISION_DEADLINE {
        return Step::RollBack(Some(regression));
    }
    Step::Stay
}

fn advance(input: &StepInput<'_>) -> Step {
    let progress = input.progress;
    let elapsed_fraction = input.elapsed_fraction();
    let is_stage_over =
        |until: f64| elapsed_fraction >= until && input.time_in_stage() >= MIN_STAGE_DURATION;
    match progress.stage {
        Stage::Canary if is_stage_over(CANARY_END) => end_canary_stage(input),
        Stage::Canary => update_share(input),
        Stage::Load if is_stage_over(LOAD_END) => enter_stage(Stage::Part, PART_SHARE, progress),
        Stage::Part if is_stage_over(PART_END) => end_part_stage(input),
        Stage::All | Stage::Moving => complete_if_drained(input),
        Stage::Load | Stage::Part | Stage::RolledBack | Stage::Completed => Step::Stay,
    }
}

fn enter_stage(stage: Stage, share: f64, progress: Progress) -> Step {
    Step::Update(Progress {
        stage,
        share: Permille::from_fraction(share),
        ..progress
    })
}

/// Ends the first stage: the next one starts if enough responses of the target version arrived.
fn end_canary_stage(input: &StepInput<'_>) -> Step {
    if target_responses(input.evidence) >= MIN_CANARY_RESPONSES {
        let [least, most] = LOAD_SHARE_RANGE;
        let one_upstream = 1.0 / input.upstreams.max(1) as f64;
        return enter_stage(Stage::Load, one_upstream.clamp(least, most), input.progress);
    }
    if input.elapsed_fraction() >= DECISION_DEADLINE {
        return Step::RollBack(None);
    }
    Step::Stay
}

/// Ends the third stage: the target version receives all requests if there is not even weak
/// evidence against it.
fn end_part_stage(input: &StepInput<'_>) -> Step {
    let periods = input.evidence.periods();
    match promotion_blocker(&periods, input.upstreams) {
        Some(regression) => wait_or_roll_back(input, regression),
        None => enter_stage(Stage::All, 1.0, input.progress),
    }
}

fn target_responses(evidence: &FleetEvidence) -> u32 {
    let total = evidence.total();
    let responses = total
        .iter()
        .filter(|(key, _)| key.arm != Arm::Previous && key.measure == Measure::Response);
    responses.map(|(_, c)| c.failed + c.times.total()).sum()
}

/// Sets the first stage's share from the number of requests that the service is expected to receive
/// until the deadline. Where they are few, the bound consists mostly of its `slack`. The number is
/// unknown until every router has reported.
fn update_share(input: &StepInput<'_>) -> Step {
    let evidence = input.evidence;
    let elapsed = input.now.saturating_duration_since(input.ordered_at);
    let have_all_reported = input.routers.iter().all(|r| evidence.has_reported(r));
    if elapsed < SHARE_UPDATE_INTERVAL
        || input.time_in_stage() < SHARE_UPDATE_INTERVAL
        || !have_all_reported
    {
        return Step::Stay;
    }
    let SentCounts { previous, target } = evidence.sent();
    let sent = f64::from(previous) + f64::from(target);
    let expected = sent / elapsed.as_secs_f64() * input.duration.as_secs_f64();
    let ExposureBounds { share, slack } = input.bounds;
    let allowed = CANARY_EXPOSURE_FRACTION * (share * expected + slack);
    let adapted = (allowed / expected.max(1.0)).min(MAX_CANARY_SHARE);
    let progress = input.progress;
    let present = progress.share.as_fraction();
    // The share is raised at most once, by the first estimate, and lowered as often as more requests
    // arrive.
    let is_raised = progress.round == 0 && adapted > present;
    let is_lowered = adapted < present * SHARE_LOWERING_FRACTION;
    if (is_raised || is_lowered) && progress.round < u8::MAX {
        return Step::Update(Progress {
            share: Permille::from_fraction(adapted),
            round: progress.round + 1,
            ..progress
        });
    }
    Step::Stay
}

/// Completes a roll-out once every live router has reported that no request of it runs at the
/// previous versions, whose upstreams then stop. A router that does not report, as one of a release
/// without roll-outs, delays the completion: its requests would be lost.
fn complete_if_drained(input: &StepInput<'_>) -> Step {
    let evidence = input.evidence;
    let has_left = |router| evidence.has_drained_previous(router, Stage::All);
    let is_settled = input.time_in_stage() >= MIN_STAGE_DURATION;
    if is_settled && input.routers.iter().all(has_left) {
        return Step::Complete;
    }
    Step::Stay
}
