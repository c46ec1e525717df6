//! The counts of a target version and of the previous versions, period by period, for one kind of regression on one route
//! or on all routes.
//!
//! [`comparisons`] makes them from the evidence of consecutive periods; [`Comparison::regression`] evaluates one. Owns no
//! state.

use super::likelihood::{likelihood_ratio, raised_bad_share, recent_tally, upper_bad_share};
use super::{Regression, RegressionKind};
use crate::rollout::evidence::{Arm, Evidence, EvidenceKey, Measure, ResponseCounts, RouteKey};
use crate::rollout::time_histogram::{TimeBucket, TimeHistogram};
use std::collections::BTreeMap;
use std::time::Duration;

/// By how many standard errors the previous versions' recent share of failures must exceed the share
/// since the order to be assumed in its place.
const MIN_EXCESS_FAILURES: f64 = 2.0;
/// The same for slow responses. Many are slow at the same moment, so that a low excess is significant.
const MIN_EXCESS_SLOW: f64 = 1.0;
/// A pause of the network or of the VMs that is no longer than this is no evidence of a slow version.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Response times of the previous versions that a median requires.
const MIN_MEDIAN_SAMPLES: u32 = 8;

/// No response is slow that takes less: on a VM with an eighth of a core, a response may wait that
/// long just for the CPU.
const MIN_SLOW_TIME: Duration = Duration::from_millis(12);

/// The number of responses, and of bad ones among them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub bad: u32,
    pub responses: u32,
    /// Whether a pause of less than [`MAX_PAUSE`] can make these responses bad.
    pub must_last: bool,
}

impl Tally {
    pub fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.responses += other.responses;
        self.must_last |= other.must_last;
    }

    fn without(self, other: Self) -> Self {
        Self {
            bad: self.bad - other.bad,
            responses: self.responses - other.responses,
            ..self
        }
    }
}

/// Tallies of the previous versions and of the target version, by group of its upstreams, in one
/// period.
#[derive(Clone, Debug, Default)]
struct PeriodTallies {
    previous: Tally,
    target: BTreeMap<u8, Tally>,
}

/// The tallies of all periods, the oldest first, for one [`ComparisonKey`].
#[derive(Clone, Debug, Default)]
pub(super) struct Comparison {
    periods: Vec<PeriodTallies>,
}

/// The scope of a comparison: one route, or all routes (`None`), and a kind of regression.
pub(super) type ComparisonKey = (Option<RouteKey>, RegressionKind);

pub(super) fn comparisons(periods: &[Evidence]) -> BTreeMap<ComparisonKey, Comparison> {
    let medians = previous_medians(periods);
    let mut comparisons: BTreeMap<ComparisonKey, Comparison> = BTreeMap::new();
    for (period, evidence) in periods.iter().enumerate() {
        for (key, counts) in evidence {
            for (kind, tally) in tallies(*key, counts, &medians) {
                for route in [Some(key.route), None] {
                    let comparison = comparisons.entry((route, kind)).or_default();
                    comparison.add(period, key.arm, tally);
                }
            }
        }
    }
    comparisons
}

/// The median times of the previous versions over all periods, by route and measure.
fn previous_medians(periods: &[Evidence]) -> BTreeMap<(RouteKey, Measure), TimeBucket> {
    let mut times: BTreeMap<(RouteKey, Measure), TimeHistogram> = BTreeMap::new();
    for (key, counts) in periods.iter().flatten() {
        if key.arm == Arm::Previous {
            let times = times.entry((key.route, key.measure)).or_default();
            times.merge(&counts.times);
        }
    }
    let medians = times.into_iter();
    let medians = medians.filter_map(|(key, times)| Some((key, times.median(MIN_MEDIAN_SAMPLES)?)));
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
            must_last: false,
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
            must_last: slow_threshold < TimeBucket::of(MAX_PAUSE),
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
    fn add(&mut self, period: usize, arm: Arm, tally: Tally) {
        if self.periods.len() <= period {
            self.periods.resize(period + 1, PeriodTallies::default());
        }
        let tallies = &mut self.periods[period];
        match arm {
            Arm::Previous => tallies.previous.add(tally),
            Arm::Target(group) => tallies.target.entry(group).or_default().add(tally),
        }
    }

    pub fn regression(&self, route: Option<RouteKey>, kind: RegressionKind) -> Regression {
        let by_period: Vec<Tally> = self.periods.iter().map(PeriodTallies::target).collect();
        let total = sum(&by_period);
        let min_excess = match kind {
            RegressionKind::Fails => Some(MIN_EXCESS_FAILURES),
            _ if total.must_last => Some(MIN_EXCESS_SLOW),
            // The last responses of a version that gets no requests any more are its slow ones. Where
            // responses take long, they are many.
            _ => None,
        };
        let baselines = self.baselines(min_excess);
        let without_worst = self.without_worst_group();
        // Without the only group no responses remain.
        let rest = without_worst.as_deref().map(sum).unwrap_or_default();
        Regression {
            route,
            kind,
            bad: total.bad,
            responses: total.responses,
            baseline_bad_share: weighted_mean(&baselines, &by_period),
            likelihood_ratio: likelihood_ratio(&by_period, &baselines),
            likelihood_ratio_without_worst: without_worst
                .map(|rest| likelihood_ratio(&rest, &baselines)),
            responses_without_worst: rest.responses,
            likelihood_ratio_without_worst_period: likelihood_ratio(
                &without_worst_period(&by_period),
                &baselines,
            ),
            must_last: total.must_last,
        }
    }

    /// The assumed share of bad responses at the previous versions in each period. The last periods
    /// raise it if their share is at least `min_excess` standard errors higher; they don't if it is
    /// `None`.
    fn baselines(&self, min_excess: Option<f64>) -> Vec<f64> {
        let previous: Vec<Tally> = self.periods.iter().map(|period| period.previous).collect();
        let overall = upper_bad_share(sum(&previous));
        let baselines = (1..=previous.len()).map(|end| {
            let recent = recent_tally(&previous[..end]);
            match min_excess {
                Some(min_excess) => raised_bad_share(recent, overall, min_excess),
                None => overall,
            }
        });
        baselines.collect()
    }

    /// The target version's tallies by period, without the group that has the most bad responses;
    /// `None` where there is only one group.
    fn without_worst_group(&self) -> Option<Vec<Tally>> {
        let mut groups: BTreeMap<u8, Tally> = BTreeMap::new();
        for (group, tally) in self.periods.iter().flat_map(|period| &period.target) {
            groups.entry(*group).or_default().add(*tally);
        }
        let (worst, _) = groups.iter().max_by_key(|(_, tally)| tally.bad)?;
        let rest = self.periods.iter().map(|period| {
            // The group may have no responses in a period.
            let of_worst = period.target.get(worst).copied().unwrap_or_default();
            period.target().without(of_worst)
        });
        (groups.len() > 1).then(|| rest.collect())
    }
}

impl PeriodTallies {
    /// The target version's tally of all groups.
    fn target(&self) -> Tally {
        let groups: Vec<Tally> = self.target.values().copied().collect();
        sum(&groups)
    }
}

fn sum(tallies: &[Tally]) -> Tally {
    let mut total = Tally::default();
    for tally in tallies {
        total.add(*tally);
    }
    total
}

/// The tallies with nothing in the period that has the most bad responses.
fn without_worst_period(by_period: &[Tally]) -> Vec<Tally> {
    let mut rest = by_period.to_vec();
    if let Some(worst) = rest.iter_mut().max_by_key(|tally| tally.bad) {
        *worst = Tally::default();
    }
    rest
}

/// The mean of the periods' shares, weighted by the responses in each; 0 without any response.
fn weighted_mean(shares: &[f64], by_period: &[Tally]) -> f64 {
    let pairs = shares.iter().zip(by_period);
    let weighted: f64 = pairs.map(|(share, t)| share * f64::from(t.responses)).sum();
    weighted / f64::from(sum(by_period).responses.max(1))
}
