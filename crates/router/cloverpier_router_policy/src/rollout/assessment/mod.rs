//! Whether a target version is worse than the previous versions.
//!
//! - **Question.** Do the responses so far show that the target version is bad?
//! - **Inputs.** Failures and response times at both versions by period and route, and at the target
//!   version also by group of upstreams; the number of upstreams of the target version.
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
//! The target version's share of the requests grows during a roll-out, so its responses are later
//! ones than those of the previous versions. A burst or an outage late in the roll-out would look
//! like a bad version. So responses are compared with those of the previous versions of the
//! same period; where these have few or none, as after the promotion, with those of the last periods
//! that have. A pause of the network or of the VMs makes many responses slow at one moment, if they
//! usually take less. So such a version is slow only if the responses without those of the worst
//! period are suspicious, too.
//!
//! [`comparison`] counts responses by period, [`likelihood`] evaluates the counts. Owns no state.

mod comparison;
mod likelihood;

use super::evidence::{Evidence, RouteKey};
use comparison::comparisons;

/// The likelihood ratio at which a version is bad. About ten tests are evaluated together (three
/// kinds of regression on each of three routes, and on all), each over five time spans, so this
/// bound limits false alarms to one roll-out in 40.
const BAD_RATIO: f64 = 2_000.0;
/// The likelihood ratio that the responses without the worst group's must reach for a bad version,
/// and those without the worst period's for a slow one.
const BAD_RATIO_WITHOUT_WORST: f64 = 20.0;
/// The likelihood ratio at which a version receives no larger share of the requests.
const SUSPICIOUS_RATIO: f64 = 20.0;
/// The likelihood ratio, over all responses since the order, at which a version is not promoted to
/// all requests.
const PROMOTION_BLOCKING_RATIO: f64 = 2.0;
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
    /// The assumed share of bad responses at the previous versions, an upper estimate from 0 to 1; the
    /// mean over the periods, weighted by the responses of the target version.
    pub baseline_bad_share: f64,
    /// How many times likelier the responses are if the target version is worse than if it is not.
    pub likelihood_ratio: f64,
    /// The same ratio without the group of upstreams that has the most bad responses; `None` where only
    /// one group has responses.
    pub likelihood_ratio_without_worst: Option<f64>,
    /// The number of responses of the other groups; 0 where only one group has responses.
    pub responses_without_worst: u32,
    /// The same ratio without the period that has the most bad responses; 1 where only one period has
    /// responses.
    pub likelihood_ratio_without_worst_period: f64,
    /// Whether a pause of less than [`MAX_PAUSE`] can make responses slow, so that the evidence must
    /// come from more than one period.
    pub must_last: bool,
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

/// Assesses a target version that has this number of upstreams, by the evidence of consecutive
/// periods, the oldest first.
pub fn assess(periods: &[Evidence], upstreams: usize) -> Assessment {
    let comparisons = comparisons(periods);
    let regressions = comparisons.iter().map(|((route, kind), comparison)| {
        let regression = comparison.regression(*route, *kind);
        classify(regression, upstreams)
    });
    let severest = regressions.max_by_key(Assessment::severity);
    // Without any responses there is no comparison.
    severest.unwrap_or(Assessment::NoRegression)
}

/// The strongest regression, if any, that keeps a target version with this number of upstreams from
/// receiving all requests yet. A regression that only one of several groups shows does not block,
/// nor do responses that were slow in one period only.
pub fn promotion_blocker(periods: &[Evidence], upstreams: usize) -> Option<Regression> {
    let comparisons = comparisons(periods);
    let regressions = comparisons.iter();
    let regressions = regressions.map(|((route, kind), c)| c.regression(*route, *kind));
    let blockers = regressions.filter(|regression| {
        let mut likelihood_ratio = regression.likelihood_ratio;
        if let Some(without_worst) = regression.likelihood_ratio_without_worst
            && upstreams > 1
        {
            likelihood_ratio = likelihood_ratio.min(without_worst);
        }
        if regression.must_last {
            likelihood_ratio =
                likelihood_ratio.min(regression.likelihood_ratio_without_worst_period);
        }
        likelihood_ratio >= PROMOTION_BLOCKING_RATIO
    });
    blockers.max_by(|one, other| one.likelihood_ratio.total_cmp(&other.likelihood_ratio))
}

fn classify(regression: Regression, upstreams: usize) -> Assessment {
    let without_worst = regression.likelihood_ratio_without_worst;
    let is_shared =
        without_worst.is_some_and(|likelihood_ratio| likelihood_ratio >= BAD_RATIO_WITHOUT_WORST);
    let lasts = !regression.must_last
        || regression.likelihood_ratio_without_worst_period >= BAD_RATIO_WITHOUT_WORST;
    match regression.likelihood_ratio {
        likelihood_ratio if likelihood_ratio >= BAD_RATIO && upstreams > 1 && !is_shared => {
            Assessment::OneGroup(regression)
        }
        likelihood_ratio if likelihood_ratio >= BAD_RATIO && lasts => Assessment::Bad(regression),
        likelihood_ratio if likelihood_ratio >= SUSPICIOUS_RATIO => {
            Assessment::Suspicious(regression)
        }
        _ => Assessment::NoRegression,
    }
}
