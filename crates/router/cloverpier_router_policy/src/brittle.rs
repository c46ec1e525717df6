//! Brittle upstreams, which crash if they have to refuse too many requests for lack of room.
//!
//! - **Question.** May a request be sent to a brittle upstream now? For how long does it get none after refusals?
//! - **Inputs.** The number of refusals within a second that the upstream states it survives, for all routers
//!   together; its slots; the load of this router and of all routers there; refusals, by responses to this router or
//!   by peers' reports; the live routers.
//! - **Result.** Yes or no; the length of a pause.
//! - **Why.** Routers fill an upstream by estimates that are some milliseconds old, so several may send the request
//!   that is one too many. A brittle upstream may accept fewer waiting requests than it used to, so only its slots
//!   count, and each router has a share of them that the others leave free. A router may exceed its share while
//!   half of the slots are free. Refusals that happen all the same are reported to all routers, and all pause once
//!   half of the number that the upstream survives has happened within a second: the other half covers requests that
//!   were sent before the report arrived.
//!
//! A brittle upstream that crashes soon after a refusal has crashed for lack of room, so its crash is no evidence
//! against the requests that it ran.
//!
//! [`Brittleness`] owns the statement, this router's share and the recent refusals of one upstream.

use crate::upstream::UpstreamKey;
use cloverpier_core::hash_of;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The span within which an upstream counts its refusals.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Fraction of the refusals that an upstream survives at which all routers pause.
const PAUSE_FRACTION: f64 = 0.5;
/// Fraction of an upstream's slots that may be taken where a router exceeds its share.
const SHARED_FRACTION: f64 = 0.5;
/// Maximum number of refusals that are remembered for an upstream. Routers pause at that number at the latest.
const MAX_REMEMBERED: usize = 64;
/// Pauses of the routers end at random times within this span, so that not all try the upstream at one moment.
const PAUSE_SPREAD: Duration = Duration::from_millis(300);
/// How long after a refusal a crash of a brittle upstream counts as caused by lack of room.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The statement of a response's sender about its brittleness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BrittleStatement {
    /// The response contains no such statement, so the sender is not brittle.
    #[default]
    Absent,
    /// The sender crashes if it has to refuse more than this number of requests within a second.
    MaxRefusals(u32),
    /// The number could not be decoded. The previous statement still applies.
    Unreadable,
}

/// The brittleness of one upstream, and its recent refusals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Brittleness {
    max_refusals: Option<u32>,
    /// The requests that this router may have at the upstream whatever the others have there.
    share: u32,
    refusals: VecDeque<Instant>,
}

impl Brittleness {
    /// Applies a statement. Returns whether the number of refusals that the upstream survives has changed.
    pub fn on_statement(&mut self, statement: BrittleStatement) -> bool {
        let stated = match statement {
            BrittleStatement::Absent => None,
            BrittleStatement::MaxRefusals(count) => Some(count),
            BrittleStatement::Unreadable => return false,
        };
        std::mem::replace(&mut self.max_refusals, stated) != stated
    }

    /// Sets the requests that this router may have at the upstream whatever the others have there.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Whether the upstream is brittle.
    pub fn is_brittle(&self) -> bool {
        self.max_refusals.is_some()
    }

    /// The number of refusals within a second that the upstream survives; `None` if it is not brittle.
    pub fn max_refusals(&self) -> Option<u32> {
        self.max_refusals
    }

    /// Whether the upstream, if it is brittle, has room for another request of this router. `own` are this router's
    /// requests there, `all` those of all routers.
    pub fn has_room(&self, own: u32, all: u32, slots: u32) -> bool {
        let shared = f64::from(slots) * SHARED_FRACTION;
        own < self.share || f64::from(all) < shared
    }

    /// Records that the upstream refused a request for lack of room. Returns how long this router sends it nothing;
    /// `None` if the upstream is not brittle, or has refused few.
    pub fn on_refusal(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Option<Duration> {
        let max_refusals = self.max_refusals?;
        self.refusals
            .retain(|at| now.saturating_duration_since(*at) < REFUSAL_WINDOW);
        self.refusals.push_back(now);
        if self.refusals.len() > MAX_REMEMBERED {
            self.refusals.pop_front();
        }
        let tolerated = (f64::from(max_refusals) * PAUSE_FRACTION) as usize;
        // The pause ends when this refusal is the only one too many that is left.
        let excess = self
            .refusals
            .len()
            .checked_sub(tolerated.clamp(1, MAX_REMEMBERED))?;
        let ends_at = self.refusals[excess] + REFUSAL_WINDOW;
        Some(ends_at.saturating_duration_since(now) + PAUSE_SPREAD.mul_f64(rng.f64()))
    }

    /// Whether a crash of the upstream at `now` is explained by the refusals before it.
    pub fn explains_crash(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= CRASH_WINDOW;
        self.is_brittle() && self.refusals.back().is_some_and(is_recent)
    }
}

/// A router's address as a hash, by which routers are ranked for each upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterHash(u64);

impl RouterHash {
    /// The hash of the router with this address for other routers, the same at all routers.
    pub fn of(router: SocketAddr) -> Self {
        Self(hash_of(&router.to_string()))
    }

    /// The rank of the router for an upstream. The product's upper half depends on all bits of both hashes.
    fn rank(self, upstream: UpstreamKey) -> u64 {
        let product = u128::from(self.0 ^ upstream.0) * u128::from(RANK_MULTIPLIER);
        (product >> 64) as u64 ^ product as u64
    }
}

/// An odd number with evenly spread bits: 2^64 divided by the golden ratio.
const RANK_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The share of an upstream's slots that belongs to the router `own`, among all live `routers`, `own` included. The
/// shares of all routers add up to the slots if all know the same routers. What does not divide evenly goes to the
/// routers that rank first for the upstream.
pub fn share_of(own: RouterHash, routers: &[RouterHash], upstream: UpstreamKey, slots: u32) -> u32 {
    // Fleets are far smaller than the largest number that `u32` holds.
    let count = u32::try_from(routers.len().max(1)).unwrap_or(u32::MAX);
    let own_rank = own.rank(upstream);
    let is_before = |router: &&RouterHash| router.rank(upstream) < own_rank;
    let before = routers.iter().filter(is_before).count();
    let rest = slots % count;
    slots / count + u32::from((before as u64) < u64::from(rest))
}
