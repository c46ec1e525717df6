//! The permits of one upstream, as the router counts them that hands them out.
//!
//! A token bucket: tokens come in at the rate that the upstream names, a few are kept for a burst, and a
//! request that can wait takes one in advance. [`PermitBucket`] owns the tokens, the order in which
//! refused callers retry, and which routers ask.

use super::{PermitAsk, PermitRefusal};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Part of a rate that is handed out. The rest covers permits that are under way when the window of
/// whoever counts begins.
const USED_SHARE: f64 = 0.95;
/// Tokens that are kept while nobody asks: the users allow five requests beyond the rate.
const BURST: f64 = 4.0;
/// A router counts as one that asks for this long after it has asked.
const ASKS_FOR: Duration = Duration::from_secs(10);
/// Refused callers are sent away for no longer, as an upstream may take more by then.
const MAX_RETRY: Duration = Duration::from_secs(10);
/// A day is longer than anybody waits.
const MAX_WAIT: Duration = Duration::from_secs(86_400);

/// What an ask got.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedOut {
    /// After what time each permit may be used, one a request.
    pub waits: Vec<Duration>,
    /// What the remaining requests get.
    pub refusal: Option<PermitRefusal>,
}

/// Permits that are handed out at a rate.
#[derive(Clone, Debug)]
pub struct PermitBucket {
    /// Less than 0 where permits are handed out in advance.
    tokens: f64,
    /// Refused callers that have not retried yet, by the times that they were given.
    booked: f64,
    counted: Instant,
    asked: HashMap<SocketAddr, Instant>,
    forgot: Instant,
}

impl PermitBucket {
    /// A bucket with a part of one permit, as much as its router has of the rate: what others handed out
    /// before is not known.
    pub fn new(share: f64, now: Instant) -> Self {
        Self {
            tokens: share,
            booked: 0.0,
            counted: now,
            asked: HashMap::new(),
            forgot: now,
        }
    }

    /// Hands out permits for as many of the requests as may wait for theirs. `per_second` is the rate of
    /// the upstream, as far as it is this router's to hand out.
    pub fn hand_out(&mut self, ask: &PermitAsk, per_second: f64, now: Instant) -> HandedOut {
        let per_second = per_second * USED_SHARE;
        self.refill(per_second, now);
        self.note_asker(ask.from, now);
        let mut handed_out = HandedOut::default();
        for _ in 0..ask.count {
            let wait = self.time_to(1.0, per_second);
            if wait > ask.max_wait {
                handed_out.refusal = Some(self.refuse(ask, handed_out.waits.len(), per_second));
                break;
            }
            self.tokens -= 1.0;
            handed_out.waits.push(wait);
        }
        handed_out
    }

    /// The refusal of the requests that got no permit.
    fn refuse(&mut self, ask: &PermitAsk, granted: usize, per_second: f64) -> PermitRefusal {
        let refused = ask.count as usize - granted;
        let next = self.time_to(1.0, per_second).min(MAX_RETRY);
        let mut retry = self.time_to(1.0 + self.booked, per_second);
        if retry > MAX_RETRY {
            // Beyond it, callers are spread over the same time once more.
            self.booked = 0.0;
            retry = next;
        }
        self.booked += refused as f64;
        let turn = self.asked.len() as f64 / per_second;
        PermitRefusal {
            next,
            retry,
            turn: Duration::from_secs_f64(turn).min(MAX_RETRY),
        }
    }

    /// How long it takes until there are this many tokens.
    fn time_to(&self, tokens: f64, per_second: f64) -> Duration {
        let missing = (tokens - self.tokens).max(0.0);
        // A time that no duration can hold is longer than any that counts.
        Duration::try_from_secs_f64(missing / per_second).unwrap_or(MAX_WAIT)
    }

    fn refill(&mut self, per_second: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.counted).as_secs_f64();
        self.counted = self.counted.max(now);
        let new = passed * per_second;
        self.tokens = (self.tokens + new).min(BURST);
        self.booked = (self.booked - new).max(0.0);
    }

    fn note_asker(&mut self, router: SocketAddr, now: Instant) {
        self.asked.insert(router, now);
        if now.saturating_duration_since(self.forgot) > ASKS_FOR / 10 {
            let asks = |at: &Instant| now.saturating_duration_since(*at) < ASKS_FOR;
            self.asked.retain(|_, at| asks(at));
            self.forgot = now;
        }
    }
}
