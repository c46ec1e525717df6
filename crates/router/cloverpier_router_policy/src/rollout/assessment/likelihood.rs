//! The likelihood of responses at a target version, and the assumed share of bad responses at the previous versions.
//!
//! Functions over [`Tally`]; `super` explains the test. Owns no state.

use super::comparison::Tally;

/// The alternatives of the test: the fraction of otherwise good responses that a worse version
/// turns bad. All have the same weight. A fraction of 0.1 or less takes hundreds of responses to
/// detect, and 0.9 takes a few.
const EXCESS_BAD_SHARES: [f64; 5] = [0.03, 0.1, 0.25, 0.5, 0.9];
/// Lower limit of the assumed share of bad responses at the previous versions: upstreams
/// occasionally fail by themselves, and such failures are no regression.
const MIN_BASELINE_BAD_SHARE: f64 = 0.02;
/// Upper limit of the assumed share of bad responses at the previous versions: with a higher share
/// no version could be measurably worse.
const MAX_BASELINE_BAD_SHARE: f64 = 0.95;
/// The share of bad responses at the previous versions is assumed this many standard errors above
/// the measured share, which is only an estimate.
const BASELINE_STANDARD_ERRORS: f64 = 2.0;
/// Responses of the previous versions that an estimate of their recent share requires.
const MIN_RECENT_SAMPLES: u32 = 20;

/// The tally of the last periods, as many as [`MIN_RECENT_SAMPLES`] requires.
pub(super) fn recent_tally(by_period: &[Tally]) -> Tally {
    let mut recent = Tally::default();
    for tally in by_period.iter().rev() {
        recent.add(*tally);
        if recent.responses >= MIN_RECENT_SAMPLES {
            break;
        }
    }
    recent
}

/// An upper estimate of the true share of bad responses behind a tally of all periods.
pub(super) fn upper_bad_share(tally: Tally) -> f64 {
    // Counts one more good and one more bad response than measured, so that a tally without bad
    // responses does not yield a share of exactly 0.
    let responses = f64::from(tally.responses) + 2.0;
    let bad_share = (f64::from(tally.bad) + 1.0) / responses;
    let error = (bad_share * (1.0 - bad_share) / responses).sqrt();
    (bad_share + BASELINE_STANDARD_ERRORS * error)
        .clamp(MIN_BASELINE_BAD_SHARE, MAX_BASELINE_BAD_SHARE)
}

/// An upper estimate of the share of bad responses behind a tally of the last periods, if the
/// measured share is more than `min_excess` standard errors above `overall`; `overall` otherwise, as
/// the share of few responses varies by chance.
pub(super) fn raised_bad_share(recent: Tally, overall: f64, min_excess: f64) -> f64 {
    let responses = f64::from(recent.responses.max(1));
    let bad_share = f64::from(recent.bad) / responses;
    let error = (bad_share * (1.0 - bad_share) / responses).sqrt();
    if bad_share - min_excess * error <= overall {
        return overall;
    }
    (bad_share + BASELINE_STANDARD_ERRORS * error).min(MAX_BASELINE_BAD_SHARE)
}

/// How many times likelier the tallies of all periods are at a worse version than at a version whose
/// shares of bad responses are `baselines`: the mean over [`EXCESS_BAD_SHARES`].
pub(super) fn likelihood_ratio(by_period: &[Tally], baselines: &[f64]) -> f64 {
    let of = |excess: f64| {
        let periods = by_period.iter().zip(baselines);
        let logarithms = periods.map(|(tally, baseline)| log_likelihood(*tally, *baseline, excess));
        logarithms.sum::<f64>().exp()
    };
    let sum: f64 = EXCESS_BAD_SHARES.iter().map(|excess| of(*excess)).sum();
    sum / EXCESS_BAD_SHARES.len() as f64
}

/// The logarithm of the likelihood ratio of one period's tally, for one alternative.
fn log_likelihood(tally: Tally, baseline: f64, excess: f64) -> f64 {
    let bad = f64::from(tally.bad);
    let good = f64::from(tally.responses) - bad;
    let worse = baseline + excess * (1.0 - baseline);
    let if_bad = (worse / baseline).ln();
    let if_good = ((1.0 - worse) / (1.0 - baseline)).ln();
    bad * if_bad + good * if_good
}
