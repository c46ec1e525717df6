//! Whether a target version is worse than the previous versions.
//!
//! - **Question.** Do the responses so far show that the target version is bad?
//! - **Inputs.** Failures and response times at both versions by route, and at the target version
//!   also by group of upstreams; the number of upstreams of the target version.
//! - **Outcome.** An [`Assessment`].
//! - **Why.** The test may be evaluated after each response, any number of times, and its rate of
//!   false alarms still stays within the stated bound. The test is a mixture of Wald's sequential
//!   probability ratio tests (A. Wald, Sequential tests of statistical hypotheses, 1945) over how
//!   much worse the version may be: the likelihood of the responses if the version is worse,
//!   divided by their likelihood if the version is at most as bad as the previous ones may be. By
//!   Ville's inequality, a good version raises that ratio above a bound with a probability of at
//!   most one divided by the bound (H. Robbins, Statistical methods related to the law of the
//!   iterated logarithm, 1970). Roll-out tools that operators use compare at fixed moments
//!   (Kayenta, Argo Rollouts, Flagger, as far as published); a bad version here has to be found
//!   within seconds.
//!
//! Failures and slow responses are tested separately, on each route and on all routes together, so
//! that a regression on one route is found. A response is slow if it takes several times the median
//! of the previous versions on its route. A pending response counts as slow as soon as it has taken
//! that long: a version that takes five times as long is detected after three times the usual
//! time. One bad upstream among several is not a bad version: the responses without those of the
//! worst group have to be suspicious, too.
//!
//! Owns no state.

use super::evidence::{Arm, Evidence, EvidenceKey, Measure, ResponseCounts, RouteKey};
use super::time_histogram::TimeBucket;
use std::collections::BTreeMap;
use std::time::Duration;

/// The alternatives of the test: the fraction of otherwise good responses that a worse version
/// turns bad. All have the same weight. A fraction of 0.1 or less takes hundreds of responses to
/// detect, and 0.9 takes a few.
const EXCESS_BAD_SHARES: [f64; 5] = [0.03, 0.1, 0.25, 0.5, 0.9];
/// The likelihood ratio at which a version is bad. About ten tests are evaluated together (three
/// kinds of regression on each of three routes, and on all), each over five time spans, so this
/// bound limits false alarms to one roll-out in 40.
const BAD_RATIO: f64 = 2_000.0;
/// The likelihood ratio that the responses without the worst group's must reach for a bad version.
const BAD_RATIO_WITHOUT_WORST: f64 = 20.0;
/// The likelihood ratio at which a version receives no larger share of the requests.
const SUSPICIOUS_RATIO: f64 = 20.0;
/// The likelihood ratio, over all responses since the order, at which a version is not promoted to
/// all requests.
const PROMOTION_BLOCKING_RATIO: f64 = 2.0;
/// Lower limit of the assumed share of bad responses at the previous versions: upstreams
/// occasionally fail by themselves, and such failures are no regression.
const MIN_BASELINE_BAD_SHARE: f64 = 0.02;
/// Upper limit of the assumed share of bad responses at the previous versions: with a higher share
/// no version could be measurably worse.
const MAX_BASELINE_BAD_SHARE: f64 = 0.95;
/// The share of bad responses at the previous versions is assumed this many standard errors above
/// the measured share, which is only an estimate.
const BASELINE_STANDARD_ERRORS: f64 = 2.0;
/// Response times of the previous versions that a median requires.
const MIN_MEDIAN_SAMPLES: u32 = 8;

/// No response is slow that takes less: on a VM with an eighth of a core, a response may wait that
/// long just for the CPU.
const MIN_SLOW_TIME: Duration = Duration::from_millis(12);

/// The way in which responses of the target version are worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RegressionKind {
    /// More responses are failures.
    Fails,
    /// More responses take several times the previous versions' median until they arrive.
    Slow,
    /// More streams take several times the previous versions' median for the events after the first.
    SlowPace,
}

/// The evidence against a target version in one comparison: a kind of regression on one route or on
/// all routes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Regression {
    /// The route of the counted responses; `None` for all routes together.
    pub route: Option<RouteKey>,
    /// The way in which the responses are worse.
    pub kind: RegressionKind,
    /// The number of bad responses among `responses`.
    pub bad: u32,
    /// The number of counted responses of the target version.
    pub responses: u32,
    /// The assumed share of bad responses at the previous versions, an upper estimate from 0 to 1.
    pub baseline_bad_share: f64,
    /// How many times likelier the responses are if the target version is worse than if it is not.
    pub likelihood_ratio: f64,
    /// The same ratio without the group of upstreams that has the most bad responses; `None` where only
    /// one group has responses.
    pub likelihood_ratio_without_worst: Option<f64>,
    /// The number of responses of the other groups; 0 where only one group has responses.
    pub responses_without_worst: u32,
}

/// The decision of the test on a target version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assessment {
    /// No test found evidence against the version.
    NoRegression,
    /// The evidence against the version does not suffice to roll it back.
    Suspicious(Regression),
    /// A single group of upstreams is bad; there is not sufficient evidence against the others.
    OneGroup(Regression),
    /// The version is bad, at more than one group of upstreams or at its only upstream.
    Bad(Regression),
}

impl Assessment {
    /// Orders assessments: by kind first, then by likelihood ratio. The ratio is never negative, so
    /// its bits have the same order as its value.
    pub(crate) fn severity(&self) -> (u8, u64) {
        match self {
            Self::NoRegression => (0, 0),
            Self::Suspicious(o) => (1, o.likelihood_ratio.to_bits()),
            Self::OneGroup(o) => (2, o.likelihood_ratio.to_bits()),
            Self::Bad(o) => (3, o.likelihood_ratio.to_bits()),
        }
    }
}

/// Assesses a target version that has this number of upstreams.
pub fn assess(evidence: &Evidence, upstreams: usize) -> Assessment {
    let comparisons = comparisons(evidence);
    let regressions = comparisons.iter().map(|((route, kind), comparison)| {
        let regression = comparison.regression(*route, *kind);
        classify(regression, upstreams)
    });
    let severest = regressions.max_by_key(Assessment::severity);
    // Without any responses there is no comparison.
    severest.unwrap_or(Assessment::NoRegression)
}

/// The strongest regression, if any, that keeps a target version with this number of upstreams from
/// receiving all requests yet. A regression that only one of several groups shows does not block.
pub fn promotion_blocker(evidence: &Evidence, upstreams: usize) -> Option<Regression> {
    let comparisons = comparisons(evidence);
    let regressions = comparisons.iter();
    let regressions = regressions.map(|((route, kind), c)| c.regression(*route, *kind));
    let blockers = regressions.filter(|regression| {
        let likelihood_ratio = match regression.likelihood_ratio_without_worst {
            Some(without_worst) if upstreams > 1 => regression.likelihood_ratio.min(without_worst),
            _ => regression.likelihood_ratio,
        };
        likelihood_ratio >= PROMOTION_BLOCKING_RATIO
    });
    blockers.max_by(|one, other| one.likelihood_ratio.total_cmp(&other.likelihood_ratio))
}

/// The number of responses, and of bad ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    bad: u32,
    responses: u32,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.responses += other.responses;
    }

    fn without(self, other: Self) -> Self {
        Self {
            bad: self.bad - other.bad,
            responses: self.responses - other.responses,
        }
    }
}

/// Tallies of the previous versions and of the target version, by group of its upstreams, for one
/// [`ComparisonKey`].
#[derive(Clone, Debug, Default)]
struct Comparison {
    previous: Tally,
    target: BTreeMap<u8, Tally>,
}

/// The scope of a comparison: one route, or all routes (`None`), and a kind of regression.
type ComparisonKey = (Option<RouteKey>, RegressionKind);

fn comparisons(evidence: &Evidence) -> BTreeMap<ComparisonKey, Comparison> {
    let medians = previous_medians(evidence);
    let mut comparisons: BTreeMap<ComparisonKey, Comparison> = BTreeMap::new();
    for (key, counts) in evidence {
        for (kind, tally) in tallies(*key, counts, &medians) {
            for route in [Some(key.route), None] {
                let comparison = comparisons.entry((route, kind)).or_default();
                comparison.add(key.arm, tally);
            }
        }
    }
    comparisons
}

/// The median times of the previous versions, by route and measure.
fn previous_medians(evidence: &Evidence) -> BTreeMap<(RouteKey, Measure), TimeBucket> {
    let previous = evidence.iter().filter(|(key, _)| key.arm == Arm::Previous);
    let medians = previous.filter_map(|(key, counts)| {
        let median = counts.times.median(MIN_MEDIAN_SAMPLES)?;
        Some(((key.route, key.measure), median))
    });
    medians.collect()
}

/// The tallies of one entry, for each kind of regression that the entry has counts of.
fn tallies(
    key: EvidenceKey,
    counts: &ResponseCounts,
    medians: &BTreeMap<(RouteKey, Measure), TimeBucket>,
) -> Vec<(RegressionKind, Tally)> {
    let mut tallies = Vec::new();
    let good = counts.times.total();
    if key.measure == Measure::Response {
        let tally = Tally {
            bad: counts.failed,
            responses: counts.failed + good,
        };
        tallies.push((RegressionKind::Fails, tally));
    }
    // Without a median of the previous versions no response counts as slow.
    if let Some(median) = medians.get(&(key.route, key.measure)) {
        let slow_threshold = median.slow_threshold().max(TimeBucket::of(MIN_SLOW_TIME));
        let overdue = counts.pending.count_from(slow_threshold);
        let tally = Tally {
            bad: counts.times.count_from(slow_threshold) + overdue,
            responses: good + overdue,
        };
        let kind = match key.measure {
            Measure::Response => RegressionKind::Slow,
            Measure::Pace => RegressionKind::SlowPace,
        };
        tallies.push((kind, tally));
    }
    tallies
}

impl Comparison {
    fn add(&mut self, arm: Arm, tally: Tally) {
        match arm {
            Arm::Previous => self.previous.add(tally),
            Arm::Target(group) => self.target.entry(group).or_default().add(tally),
        }
    }

    fn regression(&self, route: Option<RouteKey>, kind: RegressionKind) -> Regression {
        let baseline_bad_share = baseline_bad_share(self.previous);
        let mut total = Tally::default();
        for group in self.target.values() {
            total.add(*group);
        }
        let worst = self.target.values().max_by_key(|group| group.bad);
        let without_worst = worst
            .filter(|_| self.target.len() > 1)
            .map(|worst| total.without(*worst));
        // Without the only group no responses remain.
        let rest = without_worst.unwrap_or_default();
        Regression {
            route,
            kind,
            bad: total.bad,
            responses: total.responses,
            baseline_bad_share,
            likelihood_ratio: likelihood_ratio(total, baseline_bad_share),
            likelihood_ratio_without_worst: without_worst
                .map(|rest| likelihood_ratio(rest, baseline_bad_share)),
            responses_without_worst: rest.responses,
        }
    }
}

fn classify(regression: Regression, upstreams: usize) -> Assessment {
    let without_worst = regression.likelihood_ratio_without_worst;
    let is_shared =
        without_worst.is_some_and(|likelihood_ratio| likelihood_ratio >= BAD_RATIO_WITHOUT_WORST);
    match regression.likelihood_ratio {
        likelihood_ratio if likelihood_ratio >= BAD_RATIO && (upstreams <= 1 || is_shared) => {
            Assessment::Bad(regression)
        }
        likelihood_ratio if likelihood_ratio >= BAD_RATIO => Assessment::OneGroup(regression),
        likelihood_ratio if likelihood_ratio >= SUSPICIOUS_RATIO => {
            Assessment::Suspicious(regression)
        }
        _ => Assessment::NoRegression,
    }
}

/// An upper estimate of the true share of bad responses behind a tally.
fn baseline_bad_share(tally: Tally) -> f64 {
    // Counts one more good and one more bad response than measured, so that a tally without bad
    // responses does not yield a share of exactly 0.
    let responses = f64::from(tally.responses) + 2.0;
    let bad_share = (f64::from(tally.bad) + 1.0) / responses;
    let error = (bad_share * (1.0 - bad_share) / responses).sqrt();
    (bad_share + BASELINE_STANDARD_ERRORS * error)
        .clamp(MIN_BASELINE_BAD_SHARE, MAX_BASELINE_BAD_SHARE)
}

/// How many times likelier a tally is at a worse version than at a version whose share of bad
/// responses is `baseline_bad_share`: the mean over [`EXCESS_BAD_SHARES`].
fn likelihood_ratio(tally: Tally, baseline_bad_share: f64) -> f64 {
    let bad = f64::from(tally.bad);
    let good = f64::from(tally.responses) - bad;
    let of = |excess: f64| {
        let worse_bad_share = baseline_bad_share + excess * (1.0 - baseline_bad_share);
        let if_bad = (worse_bad_share / baseline_bad_share).ln();
        let if_good = ((1.0 - worse_bad_share) / (1.0 - baseline_bad_share)).ln();
        (bad * if_bad + good * if_good).exp()
    };
    let sum: f64 = EXCESS_BAD_SHARES.iter().map(|excess| of(*excess)).sum();
    sum / EXCESS_BAD_SHARES.len() as f64
}
