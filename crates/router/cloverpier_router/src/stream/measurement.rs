//! Times the events of streams during a roll-out of their service, so that versions can be compared.
//!
//! Each attempt records the time to its first event and then the time of the next [`PACE_EVENTS`] events.
//! [`crate::rollouts`] owns the recorded times; the [`StreamMeasurement`] of an attempt is its state.

use super::StreamRelay;
use crate::rollouts::{self, Measurement};
use cloverpier_router_policy::prelude::Upstream;
use cloverpier_router_policy::rollout::evidence::Measure;

/// Number of events after the first chunk that are timed together: about half a second of a stream with an
/// event every 31 ms.
const PACE_EVENTS: u64 = 16;

/// The timing that is in progress for an attempt.
pub(super) enum StreamMeasurement {
    /// The time from the sending of the attempt to its first event.
    FirstEvent(Measurement),
    /// The time of the following events; the number is the count of events that are still to arrive.
    Pace(Measurement, u64),
    /// Nothing: the measurement is complete, or no roll-out is in progress.
    Inactive,
}

impl StreamRelay {
    /// Starts to time the first event of an attempt. Attempts that resume a stream are not timed, because the
    /// prompt may have been read already, which makes the time short.
    pub(super) fn start_first_event_measurement(&self, upstream: &Upstream) -> StreamMeasurement {
        if self.request.last_event.is_some() || self.is_resuming() {
            return StreamMeasurement::Inactive;
        }
        let (router, request) = (&self.router, &self.request);
        match rollouts::start_measurement(router, request, upstream, Measure::Response) {
            Some(measuring) => StreamMeasurement::FirstEvent(measuring),
            None => StreamMeasurement::Inactive,
        }
    }

    /// Records that `count` events have arrived, and ends or continues the measurement.
    pub(super) fn measure_events(&mut self, count: u64) {
        let Some(current) = &mut self.current else {
            return;
        };
        let measurement = std::mem::replace(&mut current.measurement, StreamMeasurement::Inactive);
        current.measurement = match measurement {
            StreamMeasurement::FirstEvent(measuring) => {
                measuring.complete();
                let (router, request) = (&self.router, &self.request);
                let pace =
                    rollouts::start_measurement(router, request, &current.upstream, Measure::Pace);
                pace.map_or(StreamMeasurement::Inactive, |p| {
                    StreamMeasurement::Pace(p, PACE_EVENTS)
                })
            }
            StreamMeasurement::Pace(measuring, left) if left > count => {
                StreamMeasurement::Pace(measuring, left - count)
            }
            StreamMeasurement::Pace(measuring, _) => {
                measuring.complete();
                StreamMeasurement::Inactive
            }
            StreamMeasurement::Inactive => StreamMeasurement::Inactive,
        };
    }
}
