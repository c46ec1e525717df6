//! The time of day that routers agree on, where some VMs' clocks are wrong.
//!
//! - **Question.** What is the time of day?
//! - **Inputs.** Readings of the routers' clocks, each with the moment at which it arrived.
//! - **Answer.** The difference between the time of day and this router's steady clock: the median of
//!   the readings.
//! - **Why.** A VM's time of day may be off, or jump and jump back. Its steady clock does neither, and
//!   the median is right while fewer than half of the clocks are wrong. A reading is late by the time
//!   for which its datagram was on its way, a millisecond or so.
//!
//! [`FleetClock`] owns the last reading of each router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A reading counts for this long: some reports of a router, of which one may be lost.
const READING_TTL: Duration = Duration::from_secs(5);

/// A time of day in milliseconds since 1970, as the routers agree on it.
pub type FleetMs = u64;

/// One router's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// Milliseconds since 1970 at the moment `start` of this router's steady clock.
    offset_ms: i64,
    arrived: Instant,
}

/// The clocks of the routers, as reported to this one.
#[derive(Clone, Debug)]
pub struct FleetClock {
    start: Instant,
    readings: HashMap<SocketAddr, Reading>,
    /// The offset in use.
    offset_ms: i64,
}

impl FleetClock {
    /// A clock that goes by the own time of day until it is notified of others.
    pub fn new(own_wall_ms: u64, now: Instant) -> Self {
        Self {
            start: now,
            readings: HashMap::new(),
            offset_ms: signed(own_wall_ms),
        }
    }

    /// Records a router's reading of its own clock.
    pub fn on_reading(&mut self, router: SocketAddr, wall_ms: u64, now: Instant) {
        let offset_ms = signed(wall_ms) - self.since_start(now);
        let arrived = now;
        self.readings.insert(router, Reading { offset_ms, arrived });
    }

    /// Takes the median of the readings as the time of day; without any, the former one stays.
    pub fn take_median(&mut self, now: Instant) {
        let is_recent = |r: &Reading| now.saturating_duration_since(r.arrived) <= READING_TTL;
        self.readings.retain(|_, reading| is_recent(reading));
        let mut offsets: Vec<i64> = self.readings.values().map(|r| r.offset_ms).collect();
        offsets.sort_unstable();
        if let Some(median) = offsets.get(offsets.len() / 2) {
            self.offset_ms = *median;
        }
    }

    /// Takes the time of day of a router that learns of all clocks.
    pub fn adopt(&mut self, fleet_ms: FleetMs, now: Instant) {
        self.offset_ms = signed(fleet_ms) - self.since_start(now);
    }

    /// The time of day at a moment.
    pub fn ms_at(&self, moment: Instant) -> FleetMs {
        // Before 1970 there is no window.
        u64::try_from(self.offset_ms + self.since_start(moment)).unwrap_or(0)
    }

    fn since_start(&self, moment: Instant) -> i64 {
        let ahead = moment.saturating_duration_since(self.start).as_millis();
        let behind = self.start.saturating_duration_since(moment).as_millis();
        clamped(ahead) - clamped(behind)
    }
}

fn signed(ms: u64) -> i64 {
    clamped(u128::from(ms))
}

/// Far beyond any time of day.
fn clamped(ms: u128) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX / 4).min(i64::MAX / 4)
}
