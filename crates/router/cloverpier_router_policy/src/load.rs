//! The load at upstreams: the type, and the load that peers reported.
//!
//! Owns the last report of each peer and the sums over all peers, by upstream. Relies on peers to report all of
//! their load with each heartbeat, so that the next heartbeat corrects what a lost message left wrong, and on
//! [`PeerLoad::remove_expired`] being called regularly, which ends the load of peers that have crashed.

use crate::upstream::UpstreamKey;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The load that requests cause at one upstream. The token counts concern model engines only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that have been sent and have not ended.
    pub requests: u32,
    /// Prompt tokens that the engine has not read yet.
    pub unread_tokens: u32,
    /// Tokens that the requests occupy in the KV cache, including those that they will add.
    pub memory_tokens: u32,
}

impl Load {
    /// Adds another load field by field, saturating.
    pub fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Subtracts another load field by field, saturating at 0.
    pub fn subtract(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }

    /// The larger value of each field of two loads.
    #[must_use]
    pub fn max_by_field(self, other: Load) -> Load {
        Load {
            requests: self.requests.max(other.requests),
            unread_tokens: self.unread_tokens.max(other.unread_tokens),
            memory_tokens: self.memory_tokens.max(other.memory_tokens),
        }
    }

    /// Whether all fields are 0.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

/// The last full report of one peer, with the changes that it has sent since.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    load: Vec<(UpstreamKey, Load)>,
}

/// The load that peers reported, by peer and in total.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    reports: HashMap<SocketAddr, Report>,
    totals: HashMap<UpstreamKey, Load>,
}

impl PeerLoad {
    /// Replaces a peer's report by a full one. The peer has no load at upstreams that `load` does not contain.
    pub fn on_report(&mut self, peer: SocketAddr, load: Vec<(UpstreamKey, Load)>, now: Instant) {
        self.remove_report(peer);
        for (key, reported) in &load {
            self.totals.entry(*key).or_default().add(*reported);
        }
        self.reports.insert(peer, Report { at: now, load });
    }

    /// Replaces the load of one upstream in a peer's report. The report keeps its age: only full reports renew it.
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

    /// Removes the reports of peers whose last full report is older than `max_age`.
    pub fn remove_expired(&mut self, now: Instant, max_age: Duration) {
        let old: Vec<SocketAddr> = self
            .reports
            .iter()
            .filter(|(_, r)| now.saturating_duration_since(r.at) > max_age)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in old {
            self.remove_report(peer);
        }
    }

    /// The sum of the load that all peers reported at an upstream.
    pub fn at(&self, key: UpstreamKey) -> Load {
        // Peers do not report upstreams at which they have no load.
        self.totals.get(&key).copied().unwrap_or_default()
    }

    fn remove_report(&mut self, peer: SocketAddr) {
        let Some(report) = self.reports.remove(&peer) else {
            return;
        };
        for (key, reported) in report.load {
            if let Some(total) = self.totals.get_mut(&key) {
                total.subtract(reported);
                if total.is_zero() {
                    self.totals.remove(&key);
                }
            }
        }
    }
}
