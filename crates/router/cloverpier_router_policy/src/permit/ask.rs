//! What routers ask a limiter and what it answers, and what a request gets by that.
//!
//! [`PermitRequest`] and [`PermitReply`] travel between routers. Owns no state.

use super::bucket::HandedOut;
use crate::limit::LimitReport;
use crate::upstream::UpstreamKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A permit is not used later than this after its time, as when this process stood still: what the
/// upstream gets then was counted for another moment.
const USABLE_FOR: Duration = Duration::from_millis(100);

/// Whether a permit whose time was `due` may be used.
pub fn is_usable(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) <= USABLE_FOR
}

/// An ask for the permits of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitAsk {
    /// The router that asks.
    pub from: SocketAddr,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// For how many requests; 0 asks whether the limiter answers.
    pub count: u32,
    /// How long each of them may wait for its turn.
    pub max_wait: Duration,
}

/// What requests get that no permit can be had for in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRefusal {
    /// After what time a permit is free.
    pub next: Duration,
    /// After what time the request's caller should retry: those that were refused before it come
    /// first.
    pub retry: Duration,
    /// The time in which each of the routers that ask gets one permit.
    pub turn: Duration,
}

/// An ask, as it is sent to the limiter; the order of fields is on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Tells the asks of one router apart.
    pub number: u64,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// See [`PermitAsk::count`].
    pub count: u32,
    /// See [`PermitAsk::max_wait`].
    pub max_wait: Duration,
    /// What the asking router knows of the limit.
    pub limit: Option<LimitReport>,
}

/// What a limiter answers; the order of fields is on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Of the ask.
    pub number: u64,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The permits; `None` where the router is not the limiter, as far as it knows.
    pub handed_out: Option<HandedOut>,
    /// What the limiter knows of the limit.
    pub limit: Option<LimitReport>,
}

/// What a router is to do with a request for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// Send it: the upstream is not limited.
    Unlimited,
    /// Send it after this time: this router is the limiter.
    Granted(Duration),
    /// Ask this router.
    Ask(SocketAddr),
    /// Do not send it.
    Refused {
        /// After what time its caller should retry.
        retry: Duration,
    },
}
