//! Chooses the peer through which a router opens a tunnel to an upstream.
//!
//! - **Question.** This router does not reach an upstream, or wants a second opinion. Which peer opens the
//!   connection in its place?
//! - **Inputs.** The live and ready peers with their data centres; which of them recently opened a tunnel to an
//!   upstream of the service, declined or did not respond; this router's open tunnels through each.
//! - **Result.** A peer, or none.
//! - **Why.** Where a partition strikes most of a data centre, most peers are cut off themselves, so peers that
//!   have proved to reach the service come first. Among them, two are picked at random and the one with fewer
//!   tunnels is taken, so that routers spread evenly without knowledge of each other. A tunnel that
//!   stays in one of the two data centres crosses between data centres once and not twice.
//!
//! [`TunnelPeers`] owns what is known of the peers.

use cloverpier_core::{DataCentre, ServiceName};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after it has opened a tunnel a peer counts as one that reaches the service.
const PROVEN_TTL: Duration = Duration::from_secs(5);
/// Probability that a router with a single proven peer chooses another one, to find a second proven peer.
const EXPLORE_PROBABILITY: f64 = 0.25;
/// Time for which no tunnel is requested from a peer that did not reach the upstream.
const UPSTREAM_SILENT_TTL: Duration = Duration::from_millis(500);
/// Time for which no tunnel is requested from a peer that declined.
const DECLINED_TTL: Duration = Duration::from_millis(3_000);
/// Time for which no tunnel is requested from a peer that did not respond.
const SILENT_TTL: Duration = Duration::from_millis(2_000);
/// Time for which no tunnel is requested from a peer whose release has none.
const UNSUPPORTED_TTL: Duration = Duration::from_secs(30);
/// Timeout for opening a tunnel through one peer, of which the peer's own connection is a part.
pub const TUNNEL_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the connection that a peer opens to an upstream for a tunnel. Shorter than [`TUNNEL_TIMEOUT`], so
/// that the peer can still respond.
pub const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of peers from which one tunnel is requested.
pub const MAX_PEERS_TRIED: usize = 6;
/// Maximum number of tunnels that a router serves for its peers at a time. Each takes two file descriptors.
pub const MAX_SERVED: usize = 400;
/// Time after which a tunnel is tried in parallel with an own connection that has not opened. A connection
/// between data centres opens within a few milliseconds.
pub const FALLBACK_DELAY: Duration = Duration::from_millis(100);

/// A peer through which a tunnel could go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelCandidate {
    /// The peer's address for other routers.
    pub peer: SocketAddr,
    /// The data centre in which the peer runs.
    pub data_centre: DataCentre,
}

/// The data centres at both ends of a tunnel.
#[derive(Clone, Copy, Debug)]
pub struct TunnelEnds<'a> {
    /// This router's data centre.
    pub home: &'a DataCentre,
    /// The upstream's data centre.
    pub upstream: &'a DataCentre,
}

/// Why a peer did not open a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// The peer declined.
    Declined,
    /// The peer did not reach the upstream. The upstream may be dead, or the peer cut off as well without knowing yet.
    UpstreamSilent,
    /// The peer knows that the upstream leaves or is gone.
    UpstreamLeaves,
    /// The peer did not respond.
    Silent,
    /// The peer's release has no tunnels.
    Unsupported,
}

impl PeerFailure {
    /// Whether the failure concerns the peer itself, and so its tunnels to other upstreams, too.
    pub fn is_of_peer(self) -> bool {
        match self {
            Self::Declined | Self::Silent | Self::Unsupported => true,
            Self::UpstreamSilent | Self::UpstreamLeaves => false,
        }
    }
}

/// The recent results of requests to one peer for tunnels to one service.
#[derive(Clone, Copy, Debug, Default)]
struct PeerRecord {
    proven_at: Option<Instant>,
    avoided_until: Option<Instant>,
}

impl PeerRecord {
    fn is_avoided(self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn is_proven(self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROVEN_TTL;
        self.proven_at.is_some_and(is_recent)
    }
}

/// The recent results of requests to peers for tunnels, and the open tunnels.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    records: HashMap<ServiceName, HashMap<SocketAddr, PeerRecord>>,
    open: HashMap<SocketAddr, u32>,
}

impl TunnelPeers {
    /// The peer that is asked for a tunnel to an upstream of a service; `None` if no candidate may be asked.
    pub fn choose(
        &self,
        candidates: &[TunnelCandidate],
        service: &ServiceName,
        ends: TunnelEnds<'_>,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        let records = self.records.get(service);
        let record = |c: &TunnelCandidate| records.and_then(|r| r.get(&c.peer)).copied();
        let is_usable = |c: &&TunnelCandidate| record(c).is_none_or(|r| !r.is_avoided(now));
        let is_proven = |c: &&TunnelCandidate| record(c).is_some_and(|r| r.is_proven(now));
        let usable: Vec<&TunnelCandidate> = candidates.iter().filter(is_usable).collect();
        let proven: Vec<&TunnelCandidate> = usable.iter().copied().filter(is_proven).collect();
        let is_exploring = proven.len() == 1 && rng.f64() < EXPLORE_PROBABILITY;
        let usable = if proven.is_empty() || is_exploring {
            usable
        } else {
            proven
        };
        let first = pick(&usable, rng)?;
        let second = pick(&usable, rng)?;
        let cost = |c: &TunnelCandidate| (self.open_through(c.peer), crossings(c, ends));
        let better = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        Some(better.peer)
    }

    /// Records that a peer opened a tunnel to an upstream of a service.
    pub fn on_opened(&mut self, service: &ServiceName, peer: SocketAddr, now: Instant) {
        *self.open.entry(peer).or_default() += 1;
        let record = PeerRecord {
            proven_at: Some(now),
            avoided_until: None,
        };
        let records = self.records.entry(service.clone()).or_default();
        records.insert(peer, record);
    }

    /// Records that a tunnel through a peer was closed.
    pub fn on_closed(&mut self, peer: SocketAddr) {
        let Some(open) = self.open.get_mut(&peer) else {
            return;
        };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.open.remove(&peer);
        }
    }

    /// Records that a peer opened no tunnel to an upstream of a service.
    pub fn on_failed(
        &mut self,
        service: &ServiceName,
        peer: SocketAddr,
        failure: PeerFailure,
        now: Instant,
    ) {
        let ttl = match failure {
            PeerFailure::Declined => DECLINED_TTL,
            PeerFailure::UpstreamSilent => UPSTREAM_SILENT_TTL,
            // It says nothing of the peer's paths to others.
            PeerFailure::UpstreamLeaves => return,
            PeerFailure::Silent => SILENT_TTL,
            PeerFailure::Unsupported => UNSUPPORTED_TTL,
        };
        let record = PeerRecord {
            proven_at: None,
            avoided_until: Some(now + ttl),
        };
        let records = self.records.entry(service.clone()).or_default();
        records.insert(peer, record);
    }

    /// Removes what no choice considers any more.
    pub fn remove_expired(&mut self, now: Instant) {
        for records in self.records.values_mut() {
            records.retain(|_, record| record.is_avoided(now) || record.is_proven(now));
        }
    }

    /// Number of this router's open tunnels through a peer.
    fn open_through(&self, peer: SocketAddr) -> u32 {
        // Peers without an entry carry no tunnel.
        self.open.get(&peer).copied().unwrap_or(0)
    }
}

/// The peers in data centres other than `home`; all of them if there is none.
pub fn remote_witnesses(candidates: &[TunnelCandidate], home: &DataCentre) -> Vec<TunnelCandidate> {
    let remote = candidates.iter().filter(|c| c.data_centre != *home);
    let remote: Vec<TunnelCandidate> = remote.cloned().collect();
    if remote.is_empty() {
        candidates.to_vec()
    } else {
        remote
    }
}

/// A random candidate, each with the same probability; `None` without candidates.
fn pick<'a>(
    candidates: &[&'a TunnelCandidate],
    rng: &mut fastrand::Rng,
) -> Option<&'a TunnelCandidate> {
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[rng.usize(..candidates.len())])
}

/// How often a tunnel through the candidate crosses between data centres.
fn crossings(candidate: &TunnelCandidate, ends: TunnelEnds<'_>) -> u32 {
    let to_peer = candidate.data_centre != *ends.home;
    let to_upstream = candidate.data_centre != *ends.upstream;
    u32::from(to_peer) + u32::from(to_upstream)
}
