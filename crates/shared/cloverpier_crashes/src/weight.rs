//! Weight of an upstream's crash as evidence that a certain request caused the crash.
//!
//! An upstream crashes while it executes a request. The request may have caused the crash, or the upstream
//! would have crashed anyway, as in the outage of a data centre. The [`Weight`], between [`Weight::NONE`] and
//! [`Weight::FULL`], is computed from the [`CrashContext`]: how many other upstreams the service and the data
//! centre have, which of them failed at the same time, and which of these also executed the same request.
//!
//! - **Formula.** A sequential test adds up the logarithms of likelihood ratios (Wald, "Sequential tests
//!   of statistical hypotheses", 1945). If the request caused the crash, the probability of the crash is 1;
//!   if not, the probability is about the fraction of upstreams that failed together: `(k + 1) / (n + 1)`,
//!   where `k` of `n` others failed. The weight is the logarithm of the ratio, divided by its value for
//!   `k = 0`: `1 - ln(k + 1) / ln(n + 1)`. So a crash without concurrent failures has full weight whatever
//!   the number of upstreams, and a crash in a complete outage has none.
//! - **Only concurrent failures count.** Several requests may crash upstreams within tenths of a second of
//!   each other. With a longer window these crashes would explain each other, and each request would crash
//!   many more upstreams before it is blocked.
//! - **A plain count of crashes is not enough.** Copies of one request may run at several upstreams of a data
//!   centre, and an outage of the data centre would block the request.
//! - **Crashes under the same request.** A retry starts after the crash of the attempt before, so crashes of
//!   sequential executions of a request do not explain each other. Crashes of executions that overlap in time
//!   do: copies of a request may run at many upstreams of a data centre that fails.
//! - **Routers exchange contexts instead of weights.** A weight depends on which upstreams crashed under the
//!   same request, and that set is complete only after the reports of all routers are merged. So each router
//!   computes the weights from the merged contexts.
//!
//! This module owns no state.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum number of upstreams that [`ConcurrentFailures::Few`] lists. More failures at the same time are treated
/// as a large outage, and crashes in a large outage have no weight.
pub const MAX_LISTED: usize = 12;

/// Whether two executions of the same request, both of which ended with the crash of their upstreams,
/// overlapped in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOrder {
    /// Both executions were in progress when the first of the two upstreams crashed, as with copies of a request.
    Overlapping,
    /// One execution started after the other execution ended, as with a retry.
    Sequential,
}

/// Accepted error when the times of two crashes are compared: different routers observe them, and reports
/// between routers round them to milliseconds.
const TIME_TOLERANCE: Duration = Duration::from_millis(20);

/// The execution of a request at an upstream that crashed during the execution.
#[derive(Clone, Copy, Debug)]
pub struct CrashedExecution {
    /// Time of the crash.
    pub at: Instant,
    /// Time from the sending of the request to the crash.
    pub ran_for: Duration,
}

impl ExecutionOrder {
    /// Two executions overlap if the one that ended last started before the other one ended, by more than the
    /// accepted error of 20 ms.
    pub fn of(one: CrashedExecution, other: CrashedExecution) -> Self {
        let (first, second) = if one.at < other.at {
            (one, other)
        } else {
            (other, one)
        };
        let time_between_crashes = second.at - first.at;
        if second.ran_for > time_between_crashes + TIME_TOLERANCE {
            Self::Overlapping
        } else {
            Self::Sequential
        }
    }
}

/// Weight of one upstream crash as evidence against a request that the upstream was executing, in thousandths of a
/// crash without concurrent failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u32);

impl Weight {
    /// Weight of a crash without concurrent failures.
    pub const FULL: Self = Self(1_000);
    /// Weight of a crash in a complete outage: no evidence against the request.
    pub const NONE: Self = Self(0);

    /// The weight in thousandths of [`Weight::FULL`], from 0 to 1,000.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Weight of a crash in a failure domain (a service or a data centre) that has `others` further
    /// upstreams, `failed` of which failed at the same time.
    pub fn in_failure_domain(others: u32, failed: u32) -> Self {
        if failed == 0 || others == 0 {
            return Self::FULL;
        }
        let log = |count: u32| (f64::from(count) + 1.0).ln();
        let fraction = (1.0 - log(failed) / log(others)).max(0.0);
        // The product is between 0 and 1,000, so the cast loses nothing.
        Self((fraction * f64::from(Self::FULL.0)).round() as u32)
    }
}

/// The upstreams of a service that failed at the same time as an upstream of this service crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConcurrentFailures {
    /// At most [`MAX_LISTED`] upstreams. The key is the hash of the upstream's name; the value is whether the
    /// upstream is in the data centre of the crash.
    Few(BTreeMap<u64, bool>),
    /// More than [`MAX_LISTED`] upstreams: a large outage.
    Many,
}

impl ConcurrentFailures {
    /// Collects pairs of an upstream's hash and whether the upstream is in the data centre of the crash.
    pub fn of(failed: impl IntoIterator<Item = (u64, bool)>) -> Self {
        let mut failures = Self::default();
        failures.extend(failed);
        failures
    }

    /// Removes an upstream whose failure is no sign of a common cause, as one that the same request crashed before.
    /// Has no effect on [`ConcurrentFailures::Many`].
    pub fn remove(&mut self, upstream: u64) {
        if let Self::Few(listed) = self {
            listed.remove(&upstream);
        }
    }

    /// Adds pairs as in [`Self::of`]; with more than [`MAX_LISTED`] upstreams, the value becomes
    /// [`ConcurrentFailures::Many`].
    pub fn extend(&mut self, failed: impl IntoIterator<Item = (u64, bool)>) {
        let Self::Few(listed) = self else {
            return;
        };
        listed.extend(failed);
        if listed.len() > MAX_LISTED {
            *self = Self::Many;
        }
    }
}

impl Default for ConcurrentFailures {
    fn default() -> Self {
        Self::Few(BTreeMap::new())
    }
}

/// The other upstreams of the service at the time of an upstream's crash: how many there were, and which of
/// them failed at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashContext {
    /// Number of other listed upstreams of the service.
    #[serde(rename = "in_service")]
    pub others_in_service: u32,
    /// Number of other listed upstreams of the service in the data centre of the crash.
    #[serde(rename = "in_data_centre")]
    pub others_in_data_centre: u32,
    /// Upstreams of the service that failed at the same time.
    #[serde(rename = "ended")]
    pub concurrent_failures: ConcurrentFailures,
}

impl CrashContext {
    /// Merges another router's observation of the same crash: the smaller numbers of upstreams, and the
    /// union of the failures. Returns whether this changed the context.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.others_in_service = self.others_in_service.min(other.others_in_service);
        self.others_in_data_centre = self.others_in_data_centre.min(other.others_in_data_centre);
        match &other.concurrent_failures {
            ConcurrentFailures::Many => self.concurrent_failures = ConcurrentFailures::Many,
            ConcurrentFailures::Few(failed) => {
                let failed = failed
                    .iter()
                    .map(|(upstream, is_in_data_centre)| (*upstream, *is_in_data_centre));
                self.concurrent_failures.extend(failed);
            }
        }
        *self != before
    }

    /// The weight of the crash: the lower one of its weights in the service and in the data centre.
    ///
    /// `same_request` returns, for an upstream that also crashed during an execution of the request, whether the two
    /// executions overlapped, and `None` for any other upstream. Upstreams with sequential executions do not count as
    /// concurrent failures.
    pub fn weight(&self, same_request: impl Fn(u64) -> Option<ExecutionOrder>) -> Weight {
        let ConcurrentFailures::Few(failed) = &self.concurrent_failures else {
            return Weight::NONE;
        };
        let (mut in_service, mut in_data_centre) = (0, 0);
        let others = failed
            .iter()
            .filter(|(upstream, _)| same_request(**upstream) != Some(ExecutionOrder::Sequential));
        for (_, is_in_data_centre) in others {
            in_service += 1;
            in_data_centre += u32::from(*is_in_data_centre);
        }
        let by_service = Weight::in_failure_domain(self.others_in_service, in_service);
        by_service.min(Weight::in_failure_domain(
            self.others_in_data_centre,
            in_data_centre,
        ))
    }
}
