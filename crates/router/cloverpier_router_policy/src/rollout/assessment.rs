//! Whether a new version is worse than those before it.
//!
//! - **Question.** Do the answers seen so far show that the new version is bad?
//! - **Inputs.** Failures and times of both versions by route; of the new version by group of
//!   upstreams; how many upstreams the new version has.
//! - **Answer.** A [`Judgement`].
//! - **Why.** The test may be read after each answer, as often as one likes, and still raises a
//!   false alarm as rarely as it says. It is a mixture of Wald's sequential probability ratio
//!   tests (A. Wald, Sequential tests of statistical hypotheses, 1945) over how much worse the
//!   version may be: the likelihood of what was seen if the version is worse, divided by its
//!   likelihood if it is as the former ones are at worst. By Ville's inequality a good version
//!   raises that ratio above a bound with a probability of at most one in the bound (H. Robbins,
//!   Statistical methods related to the law of the iterated logarithm, 1970). Tools for roll-outs
//!   that operators know compare at fixed moments (Kayenta, Argo Rollouts, Flagger, as far as
//!   published); here each second counts.
//!
//! Failures and slow answers are tested apart, on each route and on all together, so a fault on
//! one route is found. An answer is slow that takes several times as long as the median of the
//! former versions on its route, and so is one that is awaited for this long: a version that takes
//! five times as long is seen after three times the usual time. One bad upstream among several is
//! not a bad version: what is left without the worst group has to be suspicious, too.
//!
//! Owns no state.

use super::evidence::{AnswerCounts, Arm, Evidence, EvidenceKey, Measure, RouteKey};
use super::time_histogram::TimeSize;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much of the good answers of a version may be bad answers at a worse one, each with the
/// same weight.  A tenth or a twentieth takes hundreds of answers to see, nine tenths a few.
const WORSE_BY: [f64; 5] = [0.03, 0.1, 0.25, 0.5, 0.9];
/// The ratio from which on a version is bad. Some ten tests are read at once (three on each of
/// three routes, and on all), each over five spans, so that by this bound a good version is taken
/// for bad in at most one of 40 roll-outs.
const BAD_FROM: f64 = 2_000.0;
/// The ratio that the answers without the worst group have to reach.
const BAD_WITHOUT_WORST_FROM: f64 = 20.0;
/// The ratio from which on a version is not trusted with more requests.
const SUSPICIOUS_FROM: f64 = 20.0;
/// The ratio from which on, over all answers since the order, it does not get all requests.
const DOUBTFUL_FROM: f64 = 2.0;
/// A part of bad answers below this counts as none: upstreams answer with a failure
/// of their own now and then.
const MIN_BAD_PART: f64 = 0.02;
/// And one above this leaves nothing to be worse than.
const MAX_BAD_PART: f64 = 0.95;
/// The former versions' part of bad answers is taken as this many standard errors higher than seen,
/// as it is only estimated.
const STANDARD_ERRORS: f64 = 2.0;
/// Times of the former versions from which on they have a median.
const MIN_TIMES: u32 = 8;

/// No answer is slow that takes less: on a VM with an eighth of a core an answer waits as long for
/// its turn.
const MIN_SLOW: Duration = Duration::from_millis(12);

/// What is wrong with answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// They are failures.
    Fails,
    /// They take several times as long.
    Slow,
    /// They go on several times as slowly once begun.
    SlowPace,
}

/// What speaks most against a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objection {
    /// The route; `None` for all together.
    pub route: Option<RouteKey>,
    /// What is wrong.
    pub fault: Fault,
    /// Bad answers among `answers`.
    pub bad: u32,
    /// Answers of the new version.
    pub answers: u32,
    /// The part of bad answers that the former versions may have at most.
    pub former_part: f64,
    /// How many times likelier the answers are if the version is worse.
    pub ratio: f64,
    /// The same without the worst group of upstreams; `None` where there is one group alone.
    pub ratio_without_worst: Option<f64>,
    /// Answers of the other groups.
    pub answers_without_worst: u32,
}

/// What the answers say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Judgement {
    /// Nothing speaks against the version.
    Nothing,
    /// Something does, not enough.
    Suspicious(Objection),
    /// One group of upstreams is bad; the others are not known to be.
    OneGroup(Objection),
    /// The version is bad.
    Bad(Objection),
}

impl Judgement {
    /// The severer of two judgements is the one that counts; of equal ones that of the higher
    /// ratio, whose bits are ordered as it is since it is not negative.
    pub(crate) fn severity(&self) -> (u8, u64) {
        match self {
            Self::Nothing => (0, 0),
            Self::Suspicious(o) => (1, o.ratio.to_bits()),
            Self::OneGroup(o) => (2, o.ratio.to_bits()),
            Self::Bad(o) => (3, o.ratio.to_bits()),
        }
    }
}

/// Judges a version with this number of upstreams.
pub fn judge(evidence: &Evidence, upstreams: usize) -> Judgement {
    let comparisons = comparisons(evidence);
    let objections = comparisons.iter().map(|((route, fault), comparison)| {
        let objection = comparison.objection(*route, *fault);
        weigh(objection, upstreams)
    });
    let severest = objections.max_by_key(Judgement::severity);
    // Without a comparison nothing speaks against the version.
    severest.unwrap_or(Judgement::Nothing)
}

/// The objection, if any, that keeps a version with this number of upstreams from getting all
/// requests yet. An objection to one group of upstreams alone is none.
pub fn doubt(evidence: &Evidence, upstreams: usize) -> Option<Objection> {
    let comparisons = comparisons(evidence);
    let objections = comparisons.iter();
    let objections = objections.map(|((route, fault), c)| c.objection(*route, *fault));
    let doubts = objections.filter(|objection| {
        let ratio = match objection.ratio_without_worst {
            Some(without_worst) if upstreams > 1 => objection.ratio.min(without_worst),
            _ => objection.ratio,
        };
        ratio >= DOUBTFUL_FROM
    });
    doubts.max_by(|one, other| one.ratio.total_cmp(&other.ratio))
}

/// Good and bad answers.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    bad: u32,
    answers: u32,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.answers += other.answers;
    }

    fn without(self, other: Self) -> Self {
        Self {
            bad: self.bad - other.bad,
            answers: self.answers - other.answers,
        }
    }
}

/// The versions side by side, in one respect.
#[derive(Clone, Debug, Default)]
struct Comparison {
    former: Tally,
    target: BTreeMap<u8, Tally>,
}

/// What is compared: on one route or on all, and in which respect.
type Respect = (Option<RouteKey>, Fault);

fn comparisons(evidence: &Evidence) -> BTreeMap<Respect, Comparison> {
    let medians = former_medians(evidence);
    let mut comparisons: BTreeMap<Respect, Comparison> = BTreeMap::new();
    for (key, counts) in evidence {
        for (fault, tally) in tallies(*key, counts, &medians) {
            for route in [Some(key.route), None] {
                let comparison = comparisons.entry((route, fault)).or_default();
                comparison.add(key.arm, tally);
            }
        }
    }
    comparisons
}

/// The median times of the former versions, by route and measure.
fn former_medians(evidence: &Evidence) -> BTreeMap<(RouteKey, Measure), TimeSize> {
    let former = evidence.iter().filter(|(key, _)| key.arm == Arm::Former);
    let medians = former.filter_map(|(key, counts)| {
        let median = counts.times.median(MIN_TIMES)?;
        Some(((key.route, key.measure), median))
    });
    medians.collect()
}

/// What one entry says, in each respect that it speaks of.
fn tallies(
    key: EvidenceKey,
    counts: &AnswerCounts,
    medians: &BTreeMap<(RouteKey, Measure), TimeSize>,
) -> Vec<(Fault, Tally)> {
    let mut tallies = Vec::new();
    let good = counts.times.total();
    if key.measure == Measure::Answer {
        let tally = Tally {
            bad: counts.failed,
            answers: counts.failed + good,
        };
        tallies.push((Fault::Fails, tally));
    }
    // Without a median no answer counts as slow.
    if let Some(median) = medians.get(&(key.route, key.measure)) {
        let slow_from = median.slow_from().max(TimeSize::of(MIN_SLOW));
        let overdue = counts.awaited.from_size(slow_from);
        let tally = Tally {
            bad: counts.times.from_size(slow_from) + overdue,
            answers: good + overdue,
        };
        let fault = match key.measure {
            Measure::Answer => Fault::Slow,
            Measure::Pace => Fault::SlowPace,
        };
        tallies.push((fault, tally));
    }
    tallies
}

impl Comparison {
    fn add(&mut self, arm: Arm, tally: Tally) {
        match arm {
            Arm::Former => self.former.add(tally),
            Arm::Target(group) => self.target.entry(group).or_default().add(tally),
        }
    }

    fn objection(&self, route: Option<RouteKey>, fault: Fault) -> Objection {
        let former_part = upper_bound(self.former);
        let mut total = Tally::default();
        for group in self.target.values() {
            total.add(*group);
        }
        let worst = self.target.values().max_by_key(|group| group.bad);
        let without_worst = worst
            .filter(|_| self.target.len() > 1)
            .map(|worst| total.without(*worst));
        // A single group leaves no answers when it is taken away.
        let rest = without_worst.unwrap_or_default();
        Objection {
            route,
            fault,
            bad: total.bad,
            answers: total.answers,
            former_part,
            ratio: ratio(total, former_part),
            ratio_without_worst: without_worst.map(|rest| ratio(rest, former_part)),
            answers_without_worst: rest.answers,
        }
    }
}

fn weigh(objection: Objection, upstreams: usize) -> Judgement {
    let without_worst = objection.ratio_without_worst;
    let is_shared = without_worst.is_some_and(|ratio| ratio >= BAD_WITHOUT_WORST_FROM);
    match objection.ratio {
        ratio if ratio >= BAD_FROM && (upstreams <= 1 || is_shared) => Judgement::Bad(objection),
        ratio if ratio >= BAD_FROM => Judgement::OneGroup(objection),
        ratio if ratio >= SUSPICIOUS_FROM => Judgement::Suspicious(objection),
        _ => Judgement::Nothing,
    }
}

/// The upper bound of the part of bad answers that a tally allows.
fn upper_bound(tally: Tally) -> f64 {
    // One good and one bad answer more than were seen, so that none seen is no certainty.
    let answers = f64::from(tally.answers) + 2.0;
    let part = (f64::from(tally.bad) + 1.0) / answers;
    let error = (part * (1.0 - part) / answers).sqrt();
    (part + STANDARD_ERRORS * error).clamp(MIN_BAD_PART, MAX_BAD_PART)
}

/// How many times likelier it is to see these answers if the version is worse than if the part of
/// bad answers is `former_part`.
fn ratio(tally: Tally, former_part: f64) -> f64 {
    let bad = f64::from(tally.bad);
    let good = f64::from(tally.answers) - bad;
    let of = |worse_by: f64| {
        let part = former_part + worse_by * (1.0 - former_part);
        let if_bad = (part / former_part).ln();
        let if_good = ((1.0 - part) / (1.0 - former_part)).ln();
        (bad * if_bad + good * if_good).exp()
    };
    let sum: f64 = WORSE_BY.iter().map(|worse_by| of(*worse_by)).sum();
    sum / WORSE_BY.len() as f64
}
