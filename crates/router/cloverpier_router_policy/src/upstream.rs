//! One upstream: as the platform lists it, and what a router thinks of it.

use crate::load::Load;
use cloverpier_core::{DataCentre, ServiceName, UpstreamName, hash_of};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a peer's doubt about a upstream counts.
const PEER_SUSPICION_TTL: Duration = Duration::from_millis(1_000);

/// A living upstream's entry that vanished is back within this time.
const BACK_WITHIN: Duration = Duration::from_millis(2_000);

/// One upstream, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The name of this start of it; a restarted upstream has another.
    pub name: UpstreamName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// A upstream's name in few bytes, for messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(pub u64);

impl UpstreamKey {
    /// The key of a upstream's name.
    pub fn of(name: &UpstreamName) -> Self {
        Self(hash_of(name.as_str()))
    }
}

/// A change of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// The upstream is listed, or listed otherwise.
    Listed(Upstream),
    /// The upstream isn't listed any more.
    Gone(UpstreamName),
}

/// Why a upstream gets no requests although it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub since: Instant,
    pub next_probe: Instant,
    pub pause: Duration,
}

/// A upstream and what this router knows of it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// As listed last.
    pub upstream: Upstream,
    /// Its key.
    pub key: UpstreamKey,
    /// This router's own load there.
    pub own_load: Load,
    /// Smoothed share of requests that failed there.
    pub failure_rate: f64,
    /// Smoothed time of a unit of load, in milliseconds; 0 before the first sample.
    pub pace_ms: f64,
    pub(crate) gone: Option<Instant>,
    pub(crate) replaced: bool,
    pub(crate) suspicion: Option<Suspicion>,
    /// When a peer said last that it suspects the upstream.
    pub(crate) suspected_by_peer: Option<Instant>,
}

impl UpstreamState {
    pub(crate) fn new(upstream: Upstream) -> Self {
        Self {
            key: UpstreamKey::of(&upstream.name),
            upstream,
            own_load: Load::default(),
            failure_rate: 0.0,
            pace_ms: 0.0,
            gone: None,
            replaced: false,
            suspicion: None,
            suspected_by_peer: None,
        }
    }

    /// Whether a peer suspects it.
    pub fn is_suspected_by_peer(&self, now: Instant) -> bool {
        self.suspected_by_peer
            .is_some_and(|at| now.saturating_duration_since(at) <= PEER_SUSPICION_TTL)
    }

    /// Whether it is listed, takes new load and answers, as far as known.
    pub fn is_usable(&self) -> bool {
        self.is_listed() && self.suspicion.is_none()
    }

    /// Whether it is listed, not leaving, and the newest start at its address.
    pub fn is_listed(&self) -> bool {
        self.gone.is_none() && self.may_still_serve()
    }

    /// Whether nothing but its missing entry says that it left.
    pub fn may_still_serve(&self) -> bool {
        !self.upstream.draining && !self.replaced
    }

    /// Whether its entry vanished so short a time ago that it may still come back.
    ///
    /// Entries of living upstreams that lapsed in an outage of the platform are back within
    /// two seconds of its end; one that is missing for longer means that the upstream left.
    pub fn vanished_recently(&self, now: Instant) -> bool {
        self.gone
            .is_some_and(|at| now.saturating_duration_since(at) <= BACK_WITHIN)
    }

    /// Whether it is suspected to be dead.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }
}
