//! Load at upstreams: this router's own and what its peers reported.
//!
//! Owns the last report of each peer and the sums over all peers. Relies on peers to report
//! all of their load with each heartbeat, so that a lost message is made good by the next,
//! and on [`PeerLoad::forget_old`] being called, by which the load of dead peers ends.

use crate::upstream::UpstreamKey;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Load at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens that the upstream has not read yet.
    pub unread_tokens: u32,
    /// Tokens in the KV cache, or to come there.
    pub memory_tokens: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Subtracts another load.
    pub fn subtract(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }

    /// The larger of two loads, part by part.
    #[must_use]
    pub fn at_least(self, other: Load) -> Load {
        Load {
            requests: self.requests.max(other.requests),
            unread_tokens: self.unread_tokens.max(other.unread_tokens),
            memory_tokens: self.memory_tokens.max(other.memory_tokens),
        }
    }

    /// Whether nothing is in flight.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// The last report of one peer.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    load: Vec<(UpstreamKey, Load)>,
}

/// Load that peers reported.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    reports: HashMap<SocketAddr, Report>,
    totals: HashMap<UpstreamKey, Load>,
}

impl PeerLoad {
    /// Replaces what a peer reported before.
    pub fn on_report(&mut self, peer: SocketAddr, load: Vec<(UpstreamKey, Load)>, now: Instant) {
        self.drop_report(peer);
        for (key, part) in &load {
            self.totals.entry(*key).or_default().add(*part);
        }
        self.reports.insert(peer, Report { at: now, load });
    }

    /// Replaces what a peer reported of one upstream.
    pub fn on_change(&mut self, peer: SocketAddr, key: UpstreamKey, load: Load, now: Instant) {
        let report = self.reports.entry(peer).or_insert_with(|| Report {
            at: now,
            load: Vec::new(),
        });
        let before = match report.load.iter_mut().find(|(k, _)| *k == key) {
            Some((_, known)) => std::mem::replace(known, load),
            None => {
                report.load.push((key, load));
                Load::default()
            }
        };
        let total = self.totals.entry(key).or_default();
        total.subtract(before);
        total.add(load);
    }

    /// Forgets reports that are older than `most`.
    pub fn forget_old(&mut self, now: Instant, most: Duration) {
        let old: Vec<SocketAddr> = self
            .reports
            .iter()
            .filter(|(_, r)| now.saturating_duration_since(r.at) > most)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in old {
            self.drop_report(peer);
        }
    }

    /// What all peers have in flight at an upstream.
    pub fn at(&self, key: UpstreamKey) -> Load {
        // Peers that have nothing in flight there do not mention it.
        self.totals.get(&key).copied().unwrap_or_default()
    }

    fn drop_report(&mut self, peer: SocketAddr) {
        let Some(report) = self.reports.remove(&peer) else {
            return;
        };
        for (key, part) in report.load {
            if let Some(total) = self.totals.get_mut(&key) {
                total.subtract(part);
                if total.is_none() {
                    self.totals.remove(&key);
                }
            }
        }
    }
}
