//! What is measured of streams while a roll-out of their service is under way.
//!
//! The time to the first event, and the pace of some events after it. [`crate::rollouts`] owns what
//! comes of it.

use super::StreamRun;
use crate::rollouts::{self, Measurement};
use cloverpier_router_policy::prelude::Upstream;
use cloverpier_router_policy::rollout::evidence::Measure;

/// Events after the first whose pace is measured together: some half a second of a stream that
/// makes an event each 31 ms.
const PACE_EVENTS: u64 = 16;

/// What is measured of a run that began a stream.
pub(super) enum Measured {
    /// The time to its first event.
    First(Measurement),
    /// The pace of this many events after it.
    Pace(Measurement, u64),
    /// Nothing any more.
    Nothing,
}

impl StreamRun {
    /// Measures the time to the first event, unless a prompt that was read already makes it short.
    pub(super) fn measure_first(&self, upstream: &Upstream) -> Measured {
        if self.request.last_event.is_some() || self.is_resuming() {
            return Measured::Nothing;
        }
        let (router, request) = (&self.router, &self.request);
        match rollouts::start_measurement(router, request, upstream, Measure::Response) {
            Some(measuring) => Measured::First(measuring),
            None => Measured::Nothing,
        }
    }

    /// Ends what is measured of the run once enough events have come.
    pub(super) fn measure_events(&mut self, count: u64) {
        let Some(source) = &mut self.source else {
            return;
        };
        let measured = std::mem::replace(&mut source.measured, Measured::Nothing);
        source.measured = match measured {
            Measured::First(measuring) => {
                measuring.complete();
                let (router, request) = (&self.router, &self.request);
                let pace =
                    rollouts::start_measurement(router, request, &source.upstream, Measure::Pace);
                pace.map_or(Measured::Nothing, |p| Measured::Pace(p, PACE_EVENTS))
            }
            Measured::Pace(measuring, left) if left > count => {
                Measured::Pace(measuring, left - count)
            }
            Measured::Pace(measuring, _) => {
                measuring.complete();
                Measured::Nothing
            }
            Measured::Nothing => Measured::Nothing,
        };
    }
}
