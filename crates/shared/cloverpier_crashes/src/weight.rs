//! How much the end of an upstream says against a request that ran there.
//!
//! - **Question.** An upstream ended while it ran a request. How likely is it that it would have
//!   ended anyway?
//! - **Inputs.** Its [`Surroundings`]: how many others its service and its data centre have, and which
//!   of them ended at the same moment. Which of these ended under the same request.
//! - **Answer.** A [`Weight`] between none and [`Weight::FULL`].
//! - **Why.** A sequential test adds up the logarithms of likelihood ratios (Wald, "Sequential tests
//!   of statistical hypotheses", 1945). If the request ended the upstream, the chance that it ended is
//!   1; if not, it is about the part of its neighbours that ended with it, `(k + 1) / (n + 1)` of `n`
//!   others. The ratio's logarithm, as a part of what it is where nothing else ended, is
//!   `1 - ln(k + 1) / ln(n + 1)`. So an end alone counts in full whatever the size of the domain, and
//!   one among the ends of all neighbours counts nothing: a dying data centre acquits what ran there.
//! - **Why only the same moment.** Where several requests crash upstreams, their ends follow each
//!   other by tenths of a second and would explain each other; then a content ends many more upstreams
//!   before it is stopped.
//! - **Why not a plain count.** Equal copies of one request run at several upstreams of a data centre;
//!   a count would stop them when it dies.
//! - **Ends of the same request.** A retry is sent after the end of the run before, which explains
//!   nothing. But many equal requests may run at the upstreams of a data centre that dies, so their
//!   ends count like any other where both runs were under way.
//! - **Why facts travel, and not weights.** What ended under the same request is known once all routers
//!   have informed each other; each counts anew then.
//!
//! Owns nothing.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Ends at the same moment that are kept by name; of more, it is a mass death, which explains each
/// of its ends.
pub const MAX_NAMED: usize = 12;

/// How another end of the same request came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnEnd {
    /// Both runs were under way until one of them ended.
    OfRunsAtOnce,
    /// One run began after the other had ended, as a retry does.
    OfRunsInTurn,
}

/// Times of two ends that different routers saw, or that were rounded, agree to this.
const SAME_TIME: Duration = Duration::from_millis(20);

/// A run of a request that ended with its upstream.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun {
    /// When it ended.
    pub at: Instant,
    /// How long it had run.
    pub ran_for: Duration,
}

impl OwnEnd {
    /// How the ends of two runs came about.
    pub fn of_runs(one: EndedRun, other: EndedRun) -> Self {
        let (first, second) = if one.at < other.at {
            (one, other)
        } else {
            (other, one)
        };
        let second_had_run = second.at - first.at;
        if second.ran_for > second_had_run + SAME_TIME {
            Self::OfRunsAtOnce
        } else {
            Self::OfRunsInTurn
        }
    }
}

/// What one end counts against a request, in thousandths of an end that nothing else explains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u32);

impl Weight {
    /// An end that nothing else explains.
    pub const FULL: Self = Self(1_000);
    /// An end that something else explains.
    pub const NONE: Self = Self(0);

    /// In thousandths.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// What an end counts in a domain of `others` upstreams beside it, of which `ended` did.
    pub fn in_domain(others: u32, ended: u32) -> Self {
        if ended == 0 || others == 0 {
            return Self::FULL;
        }
        let log = |count: u32| (f64::from(count) + 1.0).ln();
        let part = (1.0 - log(ended) / log(others)).max(0.0);
        // Between 0 and 1,000.
        Self((part * f64::from(Self::FULL.0)).round() as u32)
    }
}

/// Upstreams that ended at the same moment, by a hash of the name, and whether each is in the same data
/// centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndedBeside {
    /// These.
    Few(BTreeMap<u64, bool>),
    /// More than [`MAX_NAMED`].
    Many,
}

impl EndedBeside {
    /// Those of an iterator.
    pub fn of(ended: impl IntoIterator<Item = (u64, bool)>) -> Self {
        let mut beside = Self::default();
        beside.extend(ended);
        beside
    }

    /// Leaves one out that explains nothing.
    pub fn remove(&mut self, upstream: u64) {
        if let Self::Few(known) = self {
            known.remove(&upstream);
        }
    }

    /// Adds some.
    pub fn extend(&mut self, ended: impl IntoIterator<Item = (u64, bool)>) {
        let Self::Few(known) = self else {
            return;
        };
        known.extend(ended);
        if known.len() > MAX_NAMED {
            *self = Self::Many;
        }
    }
}

impl Default for EndedBeside {
    fn default() -> Self {
        Self::Few(BTreeMap::new())
    }
}

/// What was around an upstream when it ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Surroundings {
    /// Others of its service that are listed.
    pub in_service: u32,
    /// Those of them in its data centre.
    pub in_data_centre: u32,
    /// Those of its service that ended at the same moment.
    pub ended: EndedBeside,
}

impl Surroundings {
    /// Adds what another observer saw around the same end; returns whether that is more.
    pub fn merge(&mut self, other: &Self) -> bool {
        let former = self.clone();
        self.in_service = self.in_service.min(other.in_service);
        self.in_data_centre = self.in_data_centre.min(other.in_data_centre);
        match &other.ended {
            EndedBeside::Many => self.ended = EndedBeside::Many,
            EndedBeside::Few(ended) => {
                let ended = ended
                    .iter()
                    .map(|(upstream, is_near)| (*upstream, *is_near));
                self.ended.extend(ended);
            }
        }
        *self != former
    }

    /// The end's weight; `own` says which of the others ended under the same request.
    pub fn weight(&self, own: impl Fn(u64) -> Option<OwnEnd>) -> Weight {
        let EndedBeside::Few(ended) = &self.ended else {
            return Weight::NONE;
        };
        let (mut in_service, mut in_data_centre) = (0, 0);
        let others = ended
            .iter()
            .filter(|(upstream, _)| own(**upstream) != Some(OwnEnd::OfRunsInTurn));
        for (_, is_in_data_centre) in others {
            in_service += 1;
            in_data_centre += u32::from(*is_in_data_centre);
        }
        let by_service = Weight::in_domain(self.in_service, in_service);
        by_service.min(Weight::in_domain(self.in_data_centre, in_data_centre))
    }
}
