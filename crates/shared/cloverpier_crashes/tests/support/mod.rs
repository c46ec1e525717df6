//! A content, upstreams that run it, and attempts that are lost there.

#![allow(dead_code, reason = "each test file needs a part of it")]

use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_crashes::prelude::*;
use std::time::{Duration, Instant};

const TARGET: &str = "/digests/17";

pub fn content() -> Content<'static> {
    Content {
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

pub fn upstream(upstream: u64, at: Instant) -> EndedUpstream {
    EndedUpstream {
        upstream,
        service: ServiceName::new("drafts"),
        data_centre: DataCentre::new("hall-a"),
        at,
    }
}

pub fn attempt(number: u64, loss: Loss, at: Instant) -> LostAttempt {
    LostAttempt {
        content: key(),
        loss,
        ran_well: false,
        ran_for: Duration::from_millis(20),
        end: UpstreamEnd {
            upstream: number,
            start: 5_000,
        },
        upstream: upstream(number, at),
    }
}

/// Eight upstreams, all in one data centre.
pub fn neighbours(_: &EndedUpstream) -> Neighbours {
    Neighbours {
        in_service: 7,
        in_data_centre: 7,
    }
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn answer_of(upstream: u64, asked: Instant) -> SignOfLife {
    SignOfLife {
        upstream,
        asked,
        answered: asked,
    }
}

/// Cases in which a content was lost at upstreams 1, 2 and so on, each 30 ms after the one before.
pub fn cases_with(losses: &[Loss], now: Instant) -> CrashCases {
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    for (number, loss) in (1..).zip(losses) {
        let at = now + ms(30) * number as u32;
        cases.on_lost(&content(), attempt(number, *loss, at));
    }
    cases
}

/// What was decided of the content, once the time to judge has passed.
pub fn hold(cases: &CrashCases, now: Instant) -> Hold {
    cases.hold(key(), now, neighbours)
}
