//! Idle connections to upstreams, kept for the next request.
//!
//! Owns the connections that no request uses. Which of them may be used again is decided in
//! `cloverpier_router_policy::connection_reuse`.

use crate::connection::Connection;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::connection_reuse::is_reusable;
use hyper::HeaderMap;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// A connection that no request uses.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.since);
        self.connection.is_ready() && is_reusable(idle, self.connection.idle_timeout)
    }
}

/// Idle connections by upstream, the freshest last.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<UpstreamName, Vec<Idle>>,
}

impl ConnectionPool {
    /// Takes the freshest usable connection.
    pub fn take(&mut self, upstream: &UpstreamName, now: Instant) -> Option<Connection> {
        let kept = self.idle.get_mut(upstream)?;
        while let Some(idle) = kept.pop() {
            if idle.is_usable(now) {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request; where more than `limit` are kept, the longest idle
    /// ones are closed.
    pub fn put(
        &mut self,
        upstream: &UpstreamName,
        connection: Connection,
        limit: usize,
        now: Instant,
    ) {
        if connection.is_closed() {
            return;
        }
        let kept = self.idle.entry(upstream.clone()).or_default();
        kept.push(Idle {
            connection,
            since: now,
        });
        let excess = kept.len().saturating_sub(limit);
        kept.drain(..excess);
    }

    /// Upstreams to which a usable connection is kept.
    pub fn connected(&self, now: Instant) -> HashSet<UpstreamName> {
        let usable = |kept: &Vec<Idle>| kept.iter().any(|idle| idle.is_usable(now));
        let upstreams = self.idle.iter().filter(|(_, kept)| usable(kept));
        upstreams.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Closes connections that cannot be used again.
    pub fn close_stale(&mut self, now: Instant) {
        for kept in self.idle.values_mut() {
            kept.retain(|idle| idle.is_usable(now));
        }
        self.idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all connections to an upstream.
    pub fn close_all(&mut self, upstream: &UpstreamName) {
        self.idle.remove(upstream);
    }
}

/// How long the other side keeps an idle connection, by its `Keep-Alive` header; `None` where
/// it does not say, or says it in another form than `timeout=SECONDS`.
pub(crate) fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|p| p.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
