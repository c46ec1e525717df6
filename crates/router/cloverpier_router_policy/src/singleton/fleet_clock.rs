//! The time of day that all routers use, also if the clocks of some VMs are wrong.
//!
//! - **Question.** What is the time of day?
//! - **Inputs.** Readings of the routers' clocks, each with the moment at which it arrived.
//! - **Outcome.** The offset of the time of day from this router's monotonic clock: the median of the
//!   readings.
//! - **Why.** A VM's time of day may be wrong, or jump and jump back. Its monotonic clock does neither,
//!   and the median is right while fewer than half of the clocks are wrong. A reading lags by the
//!   network delay of its datagram, about a millisecond.
//!
//! [`FleetClock`] owns the last reading of each router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a reading counts: several reports of a router, of which some may be lost.
const READING_TTL: Duration = Duration::from_secs(5);

/// The time of day in milliseconds since 1970, by the fleet's clock.
pub type FleetMs = u64;

/// The last reading of one router's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// The reading's time of day at this router's [`FleetClock::start`], in milliseconds since 1970.
    offset_ms: i64,
    arrived: Instant,
}

/// The fleet's time of day at this router.
#[derive(Clone, Debug)]
pub struct FleetClock {
    start: Instant,
    readings: HashMap<SocketAddr, Reading>,
    /// The offset in use: the time of day at `start`, in milliseconds since 1970.
    offset_ms: i64,
}

impl FleetClock {
    /// A clock that follows this VM's own time of day until readings or the holder replace it.
    pub fn new(own_wall_ms: u64, now: Instant) -> Self {
        Self {
            start: now,
            readings: HashMap::new(),
            offset_ms: to_i64(own_wall_ms),
        }
    }

    /// Records a router's time of day, in milliseconds since 1970, at the moment its report arrived.
    pub fn on_reading(&mut self, router: SocketAddr, wall_ms: u64, now: Instant) {
        let offset_ms = to_i64(wall_ms) - self.since_start(now);
        let arrived = now;
        self.readings.insert(router, Reading { offset_ms, arrived });
    }

    /// Sets the time of day to the median of the recent readings; without any, the clock continues.
    pub fn take_median(&mut self, now: Instant) {
        let is_recent = |r: &Reading| now.saturating_duration_since(r.arrived) <= READING_TTL;
        self.readings.retain(|_, reading| is_recent(reading));
        let mut offsets: Vec<i64> = self.readings.values().map(|r| r.offset_ms).collect();
        offsets.sort_unstable();
        if let Some(median) = offsets.get(offsets.len() / 2) {
            self.offset_ms = *median;
        }
    }

    /// Sets the time of day to the one that the lease's holder sent, as the holder receives the readings
    /// of all routers.
    pub fn adopt(&mut self, fleet_ms: FleetMs, now: Instant) {
        self.offset_ms = to_i64(fleet_ms) - self.since_start(now);
    }

    /// The time of day at a moment, before or after the start of this clock.
    pub fn ms_at(&self, moment: Instant) -> FleetMs {
        // Times before 1970 are in no window, so 0 serves for them.
        u64::try_from(self.offset_ms + self.since_start(moment)).unwrap_or(0)
    }

    fn since_start(&self, moment: Instant) -> i64 {
        let ahead = moment.saturating_duration_since(self.start).as_millis();
        let behind = self.start.saturating_duration_since(moment).as_millis();
        clamp_to_i64(ahead) - clamp_to_i64(behind)
    }
}

fn to_i64(ms: u64) -> i64 {
    clamp_to_i64(u128::from(ms))
}

/// Limits a number of milliseconds to a value far beyond any time of day, so that sums cannot overflow.
fn clamp_to_i64(ms: u128) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX / 4).min(i64::MAX / 4)
}
