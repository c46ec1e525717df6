//! When a router asks for permits, and what follows from what it gets.
//!
//! [`PermitClient`] owns what was answered last for each upstream, and which routers did not answer.

use super::PermitRefusal;
use crate::upstream::UpstreamKey;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an answer is waited for: a round trip to the upstream's data centre, of which routers and
/// network may take more on a busy machine.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// After an ask without an answer the upstream is left out for this long.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(150);
/// A router that leaves this many asks in a row unanswered hands out no permits: it is dead, or runs a
/// release that does not.
const MAX_UNANSWERED: u32 = 3;
/// And it is passed over for this long.
const SILENT_FOR: Duration = Duration::from_secs(5);

/// The last refusal for an upstream.
#[derive(Clone, Copy, Debug)]
struct LastRefusal {
    at: Instant,
    refusal: PermitRefusal,
    /// Requests that were refused since without an ask.
    since: u32,
    /// Until when the upstream is left out where there are others.
    left_out_until: Instant,
}

/// What this router knows of the permits of upstreams.
#[derive(Clone, Debug, Default)]
pub struct PermitClient {
    refusals: HashMap<UpstreamKey, LastRefusal>,
    unanswered: HashMap<SocketAddr, u32>,
    silent: HashMap<SocketAddr, Instant>,
}

impl PermitClient {
    /// Whether an upstream is left out for now where there are others.
    pub fn is_left_out(&self, upstream: UpstreamKey, now: Instant) -> bool {
        let refusal = self.refusals.get(&upstream);
        refusal.is_some_and(|last| now < last.left_out_until)
    }

    /// When a request's caller should retry that is refused without an ask, as no permit can be had
    /// within the time that it may wait; `None` where it is worth asking.
    pub fn refuse_unasked(
        &mut self,
        upstream: UpstreamKey,
        max_wait: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let last = self.refusals.get_mut(&upstream)?;
        if now + max_wait >= last.at + last.refusal.next {
            return None;
        }
        last.since = last.since.saturating_add(1);
        let retry = last.at + last.refusal.retry + last.refusal.turn.saturating_mul(last.since);
        Some(retry.saturating_duration_since(now))
    }

    /// Records an answer of a limiter.
    pub fn on_answer(
        &mut self,
        upstream: UpstreamKey,
        from: SocketAddr,
        refusal: Option<PermitRefusal>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) {
        self.on_speaking(from);
        let Some(refusal) = refusal else {
            self.refusals.remove(&upstream);
            return;
        };
        // Those that were refused at the same moment do not ask again at the same moment.
        let left_out = refusal.next + refusal.turn.mul_f64(rng.f64());
        let last = LastRefusal {
            at: now,
            refusal,
            since: 0,
            left_out_until: now + left_out,
        };
        self.refusals.insert(upstream, last);
    }

    /// Leaves an upstream out for a moment, as nobody has answered an ask for it.
    pub fn leave_out(&mut self, upstream: UpstreamKey, now: Instant) {
        let refusal = PermitRefusal {
            next: Duration::ZERO,
            retry: UNANSWERED_PAUSE,
            turn: UNANSWERED_PAUSE,
        };
        let last = LastRefusal {
            at: now,
            refusal,
            since: 0,
            left_out_until: now + UNANSWERED_PAUSE,
        };
        self.refusals.insert(upstream, last);
    }

    /// Records that a router did not answer; returns whether it is passed over from now on and was not
    /// before.
    pub fn on_silence(&mut self, limiter: SocketAddr, now: Instant) -> bool {
        let unanswered = self.unanswered.entry(limiter).or_default();
        *unanswered += 1;
        if *unanswered < MAX_UNANSWERED {
            return false;
        }
        *unanswered = 0;
        let was_silent = self.is_silent(limiter, now);
        self.silent.insert(limiter, now);
        !was_silent
    }

    /// Records a message of a router that only those send that hand out permits.
    pub fn on_speaking(&mut self, router: SocketAddr) {
        self.unanswered.remove(&router);
        self.silent.remove(&router);
    }

    /// Whether a router is passed over.
    pub fn is_silent(&self, router: SocketAddr, now: Instant) -> bool {
        let silent = self.silent.get(&router);
        silent.is_some_and(|since| now.saturating_duration_since(*since) < SILENT_FOR)
    }

    /// The routers that are passed over, to be asked whether they answer by now.
    pub fn silent(&self, now: Instant) -> Vec<SocketAddr> {
        let silent = self.silent.keys().copied();
        silent
            .filter(|router| self.is_silent(*router, now))
            .collect()
    }

    /// Forgets what was answered for an upstream, as when it names another limit.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.refusals.remove(&upstream);
    }

    /// Forgets what was answered for upstreams that are not limited any more.
    pub fn retain(&mut self, is_limited: impl Fn(UpstreamKey) -> bool, now: Instant) {
        self.refusals.retain(|upstream, _| is_limited(*upstream));
        let is_silent = |since: &Instant| now.saturating_duration_since(*since) < SILENT_FOR;
        self.silent.retain(|_, since| is_silent(since));
    }
}
