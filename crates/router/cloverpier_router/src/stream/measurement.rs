//! Times the events of streams during a roll-out of their service, so that versions can be compared.
//!
//! Each attempt records the time to its first event and then the time of the next [`PACE_EVENTS`] events.
//! [`crate::rollouts`] owns the recorded times; the [`Measurement`] of an attempt is its state.

use super::StreamRelay;
use crate::rollouts::{self, Measuring};
use cloverpier_router_policy::prelude::Upstream;
use cloverpier_router_policy::rollout::evidence::Measure;

/// Number of events after the first chunk that are timed together: about half a second of a stream with an
/// event every 31 ms.
const PACE_EVENTS: u64 = 16;

/// The timing that is in progress for an attempt.
pub(super) enum Measurement {
    /// The time from the sending of the attempt to its first event.
    FirstEvent(Measuring),
    /// The time of the following events; the number is the count of events that are still to arrive.
    Pace(Measuring, u64),
    /// Nothing: the measurement is complete, or no roll-out is in progress.
    Inactive,
}

impl StreamRelay {
    /// Starts to time the first event of an attempt. Attempts that resume a stream are not timed, because the
    /// prompt may have been read already, which makes the time short.
    pub(super) fn start_first_event_measurement(&self, upstream: &Upstream) -> Measurement {
        if self.request.last_event.is_some() || self.is_resuming() {
            return Measurement::Inactive;
        }
        let (router, request) = (&self.router, &self.request);
        match rollouts::measure(router, request, upstream, Measure::Response) {
            Some(measuring) => Measurement::FirstEvent(measuring),
            None => Measurement::Inactive,
        }
    }

    /// Records that `count` events have arrived, and ends or continues the measurement.
    pub(super) fn measure_events(&mut self, count: u64) {
        let Some(current) = &mut self.current else {
            return;
        };
        let measurement = std::mem::replace(&mut current.measurement, Measurement::Inactive);
        current.measurement = match measurement {
            Measurement::FirstEvent(measuring) => {
                measuring.answered();
                let (router, request) = (&self.router, &self.request);
                let pace = rollouts::measure(router, request, &current.upstream, Measure::Pace);
                pace.map_or(Measurement::Inactive, |p| Measurement::Pace(p, PACE_EVENTS))
            }
            Measurement::Pace(measuring, left) if left > count => {
                Measurement::Pace(measuring, left - count)
            }
            Measurement::Pace(measuring, _) => {
                measuring.answered();
                Measurement::Inactive
            }
            Measurement::Inactive => Measurement::Inactive,
        };
    }
}
