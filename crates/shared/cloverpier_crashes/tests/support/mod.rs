//! Helpers of the tests of [`CrashTracker`]: one request content, and attempts with this content that are lost.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_crashes::prelude::*;
use std::time::{Duration, Instant};

const TARGET: &str = "/digests/17";

pub fn content() -> RequestContent<'static> {
    RequestContent {
        account: "lab",
        host: "api.example",
        method: "POST",
        target: TARGET,
        body: b"",
    }
}

pub fn key() -> ContentKey {
    ContentKey::of(&content())
}

/// An event at an upstream of the service `drafts`: a loss, a crash or a suspected failure.
pub fn upstream(upstream: u64, at: Instant) -> UpstreamEvent {
    UpstreamEvent {
        upstream,
        service: ServiceName::new("drafts"),
        data_centre: DataCentre::new("hall-a"),
        at,
    }
}

/// An attempt that was sent to an upstream 20 ms before the loss.
pub fn attempt(number: u64, loss: LossCause, at: Instant) -> LostAttempt {
    LostAttempt {
        content: key(),
        loss,
        has_completed: false,
        ran_for: Duration::from_millis(20),
        crash_id: CrashId {
            upstream: number,
            time_ms: 5_000,
        },
        upstream: upstream(number, at),
    }
}

/// The neighbours of an upstream in a service of eight upstreams, all in one data centre.
pub fn neighbours(_: &UpstreamEvent) -> NeighbourCounts {
    NeighbourCounts {
        in_service: 7,
        in_data_centre: 7,
    }
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A response to a probe that is received at the time at which the probe is sent.
pub fn response_of(upstream: u64, sent_at: Instant) -> UpstreamResponse {
    UpstreamResponse {
        upstream,
        sent_at,
        received_at: sent_at,
    }
}

/// A tracker with lost attempts at upstreams 1, 2 and so on, each lost 30 ms after the one before.
pub fn tracker_with(losses: &[LossCause], now: Instant) -> CrashTracker {
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    for (number, loss) in (1..).zip(losses) {
        let at = now + ms(30) * number as u32;
        tracker.on_lost(&content(), attempt(number, *loss, at));
    }
    tracker
}

/// The hold of a new request with the content.
pub fn hold(tracker: &CrashTracker, now: Instant) -> Hold {
    tracker.hold(key(), now, neighbours)
}
