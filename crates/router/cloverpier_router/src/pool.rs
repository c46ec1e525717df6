//! Kept connections to upstreams.

use crate::connection::Connection;
use cloverpier_core::UpstreamName;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Connections kept to one upstream at most.
const MAX_KEPT: usize = 16;
/// How long a connection is kept where the upstream doesn't say.
pub(crate) const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(4_000);
/// A connection is given up this long before the upstream would.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections by upstream, the freshest last.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<UpstreamName, Vec<Connection>>,
}

impl ConnectionPool {
    /// Takes the freshest usable connection.
    pub fn take(&mut self, upstream: &UpstreamName, now: Instant) -> Option<Connection> {
        let kept = self.idle.get_mut(upstream)?;
        while let Some(connection) = kept.pop() {
            if is_usable(&connection, now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put(&mut self, upstream: &UpstreamName, mut connection: Connection, now: Instant) {
        if connection.is_closed() {
            return;
        }
        connection.idle_since = now;
        let kept = self.idle.entry(upstream.clone()).or_default();
        kept.push(connection);
        if kept.len() > MAX_KEPT {
            kept.remove(0);
        }
    }

    /// Upstreams to which a usable connection is kept.
    pub fn connected(&self, now: Instant) -> HashSet<UpstreamName> {
        let usable = |kept: &Vec<Connection>| kept.iter().any(|c| is_usable(c, now));
        let upstreams = self.idle.iter().filter(|(_, kept)| usable(kept));
        upstreams.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Closes connections that can't be used again.
    pub fn close_stale(&mut self, now: Instant) {
        for kept in self.idle.values_mut() {
            kept.retain(|c| is_usable(c, now));
        }
        self.idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all connections to a upstream.
    pub fn close_all(&mut self, upstream: &UpstreamName) {
        self.idle.remove(upstream);
    }
}

fn is_usable(connection: &Connection, now: Instant) -> bool {
    let rested = now.saturating_duration_since(connection.idle_since);
    let limit = connection.idle_limit.saturating_sub(IDLE_MARGIN);
    connection.is_ready() && rested < limit
}

/// Reads how long a upstream keeps an idle connection, from its `Keep-Alive` header.
pub(crate) fn idle_limit(headers: &hyper::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|p| p.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
