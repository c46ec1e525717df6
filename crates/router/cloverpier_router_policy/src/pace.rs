//! How long work takes at an upstream, relative to the usual time of its service.
//!
//! - **Question.** By which factor does the same work take longer at this upstream than at a usual one?
//! - **Inputs.** The paces that upstreams state in responses ([`LoadStatement`]); the times of first events against the
//!   prediction ([`crate::first_event`]); peers' reports ([`PaceReport`]); the age of each.
//! - **Result.** A factor from [`MIN_PACE`] to [`MAX_PACE`]; 1 where nothing is known.
//! - **Why.** Upstreams of one service differ by a factor, permanently or for some seconds. The number of requests there
//!   does not show it, and a stream at a slow engine is late while others are idle. A router of a large fleet sends an
//!   engine a stream every few minutes, so what one router learns has to be told to the others.
//!
//! All evidence loses its weight with time, against the assumption that the upstream is a usual one, so an engine that
//! is avoided for its pace is tried again. An observation that contradicts a statement outweighs it, so a wrong
//! statement costs little.
//!
//! [`Pace`] owns what is known of one upstream. Upstreams that state no pace have the pace 1.

mod query;
mod report;

pub use query::engines_to_ask;
pub use report::{MAX_REPORTS, PaceReport};

use crate::upstream::UpstreamKey;
use std::time::{Duration, Instant};

/// The lowest factor that counts, so that an engine which is wrongly taken for a fast one attracts at most twice its share.
pub const MIN_PACE: f64 = 0.5;
/// The highest factor that counts.
pub const MAX_PACE: f64 = 16.0;
/// The highest pace that an upstream can state, in percent.
const MAX_STATED_PERCENT: u32 = 10_000;
/// How long a stated pace describes the present. Statements within this time of each other are about the same moment.
const MOMENT: Duration = Duration::from_millis(600);
/// How often an unreadable statement of one upstream is logged.
const UNREADABLE_LOG_PERIOD: Duration = Duration::from_secs(10);
/// The time in which evidence loses half of its weight against the assumption that the upstream is a usual one.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// The time in which evidence loses half of its weight against newer evidence.
const REPLACED_HALF_LIFE: Duration = Duration::from_secs(1);
/// The weight of the assumption that an upstream has the usual pace, relative to one moment's statement.
const PRIOR_WEIGHT: f64 = 0.1;
/// The highest weight of all evidence, so that a lasting change counts within about a second.
const MAX_WEIGHT: f64 = 2.0;
/// The lowest weight of a statement that follows another one immediately.
const MIN_STATEMENT_WEIGHT: f64 = 0.05;
/// The weight of an observation that contradicts the statements.
const OBSERVATION_WEIGHT: f64 = 1.5;
/// Work that took longer than predicted by less than this factor does not contradict the known pace: the prediction does
/// not know the streams that an engine generates meanwhile.
const CONTRADICTION_FACTOR: f64 = 2.5;
/// Peers are told of a pace that differs from what they know by more than this factor.
const NEWS_FACTOR: f64 = 1.2;

/// What an upstream states of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// The number of slots.
    pub slots: u32,
    /// How long work takes there at present; `None` if the upstream does not state it.
    pub pace: Option<StatedPace>,
}

/// How long work takes at an upstream at present, in percent of the usual time, as the upstream states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedPace(u32);

impl StatedPace {
    /// A pace in percent; `None` for one that no upstream can have.
    pub fn percent(percent: u32) -> Option<Self> {
        let is_possible = (1..=MAX_STATED_PERCENT).contains(&percent);
        is_possible.then_some(Self(percent))
    }

    /// The pace as a factor, within the bounds that count.
    fn factor(self) -> f64 {
        bounded(f64::from(self.0) / 100.0)
    }
}

/// The statement of a response's sender about its load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LoadStatement {
    /// The response contains no such statement.
    #[default]
    Absent,
    /// The sender's load at the time of the response.
    Stated(StatedLoad),
    /// The statement could not be decoded and has no effect. Contains its text, for the log.
    Unreadable(String),
}

fn bounded(factor: f64) -> f64 {
    factor.clamp(MIN_PACE, MAX_PACE)
}

/// A logarithm of a factor, whose weight decreases with its age.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    weight: f64,
    log_mean: f64,
    at: Instant,
}

impl Evidence {
    fn weight_at(&self, now: Instant, half_life: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.weight * (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
    }

    /// The evidence with one more sample.
    fn with(former: Option<Self>, factor: f64, weight: f64, now: Instant) -> Self {
        let kept = former.map_or(0.0, |e| e.weight_at(now, REPLACED_HALF_LIFE));
        let kept = kept.min(MAX_WEIGHT - weight);
        let log_mean = former.map_or(0.0, |e| e.log_mean);
        let total = kept + weight;
        Self {
            weight: total,
            log_mean: (log_mean * kept + factor.ln() * weight) / total,
            at: now,
        }
    }

    /// The factor, the nearer to 1 the less the evidence weighs.
    fn factor(&self, now: Instant) -> f64 {
        let weight = self.weight_at(now, HALF_LIFE);
        bounded((self.log_mean * weight / (weight + PRIOR_WEIGHT)).exp())
    }
}

/// What a router knows of one upstream's pace.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    evidence: Option<Evidence>,
    /// By how much work took longer than the upstream's statements explain.
    correction: Option<Evidence>,
    /// The last stated pace, and when it arrived.
    stated: Option<(f64, Instant)>,
    /// What this router last told its peers or heard from one.
    shared: Option<Evidence>,
    unreadable_logged_at: Option<Instant>,
}

impl Pace {
    /// How long work takes that lasts longer than a moment, relative to the usual time.
    pub fn factor(&self, now: Instant) -> f64 {
        self.evidence.map_or(1.0, |e| e.factor(now))
    }

    /// How long short work takes at present, relative to the usual time. `None` unless the upstream has just stated it.
    pub fn present_factor(&self, now: Instant) -> Option<f64> {
        let (factor, at) = self.stated?;
        (now.saturating_duration_since(at) < MOMENT).then_some(factor)
    }

    /// The time since the last evidence; `None` where nothing is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let evidence = self.evidence?;
        Some(now.saturating_duration_since(evidence.at))
    }

    /// Applies a stated pace. Returns whether peers have to be told.
    pub fn on_stated(&mut self, pace: StatedPace, now: Instant) -> bool {
        let factor = bounded(pace.factor() * self.correction_at(now));
        self.stated = Some((factor, now));
        self.add(factor, self.moment_weight(now), now);
        self.is_news(now)
    }

    /// Applies the least factor that explains how long work took. One that contradicts what is known also corrects later
    /// statements. Returns whether peers have to be told. Has no effect on an upstream of which no pace was stated.
    pub fn on_observed(&mut self, factor: f64, now: Instant) -> bool {
        let known = self.factor(now);
        let factor = bounded(factor);
        if self.evidence.is_none() || factor < known * CONTRADICTION_FACTOR {
            return false;
        }
        let correction = self.correction_at(now) * factor / known;
        let former = self.correction;
        self.correction = Some(Evidence::with(former, correction, OBSERVATION_WEIGHT, now));
        self.add(factor, OBSERVATION_WEIGHT, now);
        self.is_news(now)
    }

    /// Applies a peer's report.
    pub fn on_report(&mut self, report: &PaceReport, now: Instant) {
        let seen = now.checked_sub(report.age()).unwrap_or(now);
        let is_newer = self.evidence.is_none_or(|e| e.at < seen);
        let factor = report.factor();
        if is_newer {
            self.add(factor, self.moment_weight(seen), seen);
        }
        self.shared = Some(Evidence::with(None, factor, MAX_WEIGHT, now));
    }

    /// The report for peers, who know it from then on.
    pub fn report(&mut self, upstream: UpstreamKey, now: Instant) -> PaceReport {
        let factor = self.factor(now);
        self.shared = Some(Evidence::with(None, factor, MAX_WEIGHT, now));
        PaceReport::new(upstream, factor, self.age(now).unwrap_or_default())
    }

    /// Records a statement that could not be decoded. Returns whether it is logged: not if one of this upstream was
    /// logged a short time ago.
    pub fn on_unreadable(&mut self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < UNREADABLE_LOG_PERIOD;
        if self.unreadable_logged_at.is_some_and(is_recent) {
            return false;
        }
        self.unreadable_logged_at = Some(now);
        true
    }

    fn correction_at(&self, now: Instant) -> f64 {
        self.correction.map_or(1.0, |e| e.factor(now))
    }

    fn add(&mut self, factor: f64, weight: f64, at: Instant) {
        self.evidence = Some(Evidence::with(self.evidence, factor, weight, at));
    }

    /// The weight of a statement at `at`: statements about the same moment weigh as much as one together.
    fn moment_weight(&self, at: Instant) -> f64 {
        let Some(last) = self.evidence else {
            return 1.0;
        };
        let passed = at.saturating_duration_since(last.at);
        (passed.as_secs_f64() / MOMENT.as_secs_f64()).clamp(MIN_STATEMENT_WEIGHT, 1.0)
    }

    /// Whether this router's knowledge differs from that of its peers, which grows old there, too.
    fn is_news(&self, now: Instant) -> bool {
        let shared = self.shared.map_or(1.0, |e| e.factor(now));
        let own = self.factor(now);
        (own / shared).max(shared / own) > NEWS_FACTOR
    }
}
