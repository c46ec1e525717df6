//! How much the end of an upstream says against a request that ran there.
//!
//! - **Question.** An upstream ended while it ran a request. How likely is it that it would have
//!   ended anyway?
//! - **Inputs.** Its [`Surroundings`]: how many others its service and its data centre have, and which
//!   of them ended at about the same time. Which of these ended under the same request, and so explain
//!   nothing.
//! - **Answer.** A [`Weight`] between none and [`Weight::FULL`].
//! - **Why.** A sequential test adds up the logarithms of likelihood ratios (Wald, "Sequential tests
//!   of statistical hypotheses", 1945). If the request ended the upstream, the chance that it ended is
//!   1; if not, it is about the part of its neighbours that ended beside it, `(k + 1) / (n + 1)` of
//!   `n` others. The ratio's logarithm, as a part of what it is where nothing else ended, is
//!   `1 - ln(k + 1) / ln(n + 1)`. So an end alone counts in full whatever the size of the domain, and
//!   one among the ends of all neighbours counts nothing: a dying data centre acquits what ran there.
//! - **Why facts travel, and not weights.** Repeats of one request end several upstreams within a
//!   second, at routers that do not know of each other yet. Each end would explain the others, for
//!   good; with the names each router counts them anew once it knows that they are the same request's.
//! - **Ends at the same moment.** Many equal requests may run at the upstreams of a data centre that
//!   dies. So in the domain of the data centre ends of one request explain each other where they are
//!   [`Nearness::Together`] and both runs were under way. Repeats that are sent at the same moment end
//!   upstreams of all data centres, and a retry is sent after the end of the run before.
//!
//! Owns nothing.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Ends beside one that are kept by name; of more, it is a mass death, which explains each of its
/// ends. Repeats of one request ended up to 3 engines within a second where they piled up (measured:
/// one day before 24 engines); chosen above that.
pub const MAX_NAMED: usize = 12;

/// Ends in one data centre that are no further apart are one death of it: those of 24 to 284
/// upstreams are known within 0.05 s of each other (measured: eight days). Twice that.
pub const TOGETHER: Duration = Duration::from_millis(100);

/// How near an upstream that ended beside another one was. A number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u8", from = "u8")]
pub enum Nearness {
    /// In another data centre.
    Service,
    /// In its data centre.
    DataCentre,
    /// In its data centre, and no more than [`TOGETHER`] apart.
    Together,
}

impl From<Nearness> for u8 {
    fn from(nearness: Nearness) -> Self {
        match nearness {
            Nearness::Service => 0,
            Nearness::DataCentre => 1,
            Nearness::Together => 2,
        }
    }
}

impl From<u8> for Nearness {
    fn from(number: u8) -> Self {
        match number {
            0 => Self::Service,
            1 => Self::DataCentre,
            // A later release may tell nearer ones apart.
            _ => Self::Together,
        }
    }
}

/// How another end came about that the same request had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnEnd {
    /// Both runs were under way until one of them ended.
    OfRunsAtOnce,
    /// One run began after the other had ended, as a retry does.
    OfRunsInTurn,
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

/// Upstreams that ended beside one, by a hash of the name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndedBeside {
    /// These.
    Few(BTreeMap<u64, Nearness>),
    /// More than [`MAX_NAMED`].
    Many,
}

impl EndedBeside {
    /// Those of an iterator.
    pub fn of(ended: impl IntoIterator<Item = (u64, Nearness)>) -> Self {
        let mut beside = Self::default();
        beside.extend(ended);
        beside
    }

    fn extend(&mut self, ended: impl IntoIterator<Item = (u64, Nearness)>) {
        let Self::Few(known) = self else {
            return;
        };
        for (upstream, nearness) in ended {
            let known = known.entry(upstream).or_insert(nearness);
            *known = nearness.max(*known);
        }
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
    /// Those of its service that ended at about the same time.
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
                    .map(|(upstream, nearness)| (*upstream, *nearness));
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
        for (upstream, nearness) in ended {
            let own = own(*upstream);
            in_service += u32::from(own.is_none());
            in_data_centre += u32::from(match nearness {
                Nearness::Service => false,
                Nearness::DataCentre => own.is_none(),
                Nearness::Together => own.is_none_or(|own| own == OwnEnd::OfRunsAtOnce),
            });
        }
        let by_service = Weight::in_domain(self.in_service, in_service);
        by_service.min(Weight::in_domain(self.in_data_centre, in_data_centre))
    }
}
