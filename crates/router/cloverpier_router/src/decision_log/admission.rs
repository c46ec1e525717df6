//! The log lines about streams that wait for engines.

use cloverpier_router_policy::admission::{AccountKey, Rank};
use serde::Serialize;

/// A stream found no room and waits for its turn.
#[derive(Serialize)]
pub(crate) struct StreamWaiting<'a> {
    /// The request id; empty if the caller set none.
    pub request: &'a str,
    pub service: &'a str,
    /// The name of the client account; empty without one.
    pub account: &'a str,
    pub rank: Rank,
    /// Number of streams that all engines of the service take now.
    pub room: u32,
    /// Number of the service's streams in flight, over all routers.
    pub in_flight: u32,
    /// Number of waiting streams, over all routers, that go before this one or have its rank.
    pub ahead: u32,
    /// Number of streams that wait at this router.
    pub waiting_here: usize,
    /// The age of the oldest report of a peer that counts in `ahead`; `None` without a report.
    pub oldest_report_ms: Option<u64>,
    /// The time after which the stream no longer waits.
    pub waits_for_ms: u64,
}

/// The turn of a stream that waited has come, and an engine has room for it.
#[derive(Serialize)]
pub(crate) struct StreamAdmitted<'a> {
    /// The request id; empty if the caller set none.
    pub request: &'a str,
    /// The rank at its turn.
    pub rank: Option<Rank>,
    pub waited_ms: u64,
    /// Number of streams that all engines of the service take now.
    pub room: u32,
    /// Whether the stream goes to an engine without room, because its pause would become too long.
    pub overcommits: bool,
}

/// The streams that had a turn at this router.
#[derive(Serialize)]
pub(crate) struct TurnsGiven<'a> {
    pub service: &'a str,
    pub turns: usize,
    /// Number of streams that wait here, those with a turn included.
    pub waiting_here: u32,
    /// Number of streams that wait at all routers.
    pub waiting: u32,
    /// Number of streams that all engines of the service take now.
    pub room: u32,
    pub in_flight: u32,
    /// The accounts that have more than their share, by the hash of their name, with the part of their waiting streams
    /// that is within it.
    pub beyond_share: Vec<(AccountKey, f64)>,
    /// The age of the oldest report of a peer; `None` without a report.
    pub oldest_report_ms: Option<u64>,
}
