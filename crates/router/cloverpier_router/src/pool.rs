//! The pool of idle connections to upstreams.
//!
//! Owns the connections that carry no request. `cloverpier_router_policy::connection_reuse` decides which of them
//! may be used again.

use crate::connection::{Connection, Via};
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::connection_reuse::is_reusable;
use cloverpier_router_policy::reachability::UpstreamPath;
use hyper::HeaderMap;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A connection that carries no request.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.since);
        self.connection.is_ready() && is_reusable(idle, self.connection.idle_timeout)
    }
}

/// The idle connections to each upstream, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<UpstreamName, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Removes and returns the most recently used connection that may be used again; `None` if there is none. Direct
    /// connections come before tunnels; with `path` through a peer, only tunnels are taken. Connections that may not
    /// be used again are closed.
    pub fn take(
        &mut self,
        upstream: &UpstreamName,
        path: UpstreamPath,
        now: Instant,
    ) -> Option<Connection> {
        let connections = self.idle.get_mut(upstream)?;
        connections.retain(|idle| idle.is_usable(now));
        let newest = |is_direct: bool| {
            let matches = |idle: &IdleConnection| (idle.connection.via == Via::Direct) == is_direct;
            connections.iter().rposition(matches)
        };
        let index = match path {
            UpstreamPath::Direct => newest(true).or_else(|| newest(false)),
            UpstreamPath::ThroughPeer => newest(false),
        };
        Some(connections.remove(index?).connection)
    }

    /// Adds an idle connection, unless it is closed. If the pool then has more than `limit` connections to the
    /// upstream, those that have been idle longest are closed.
    pub fn insert(
        &mut self,
        upstream: &UpstreamName,
        connection: Connection,
        limit: usize,
        now: Instant,
    ) {
        if connection.is_closed() {
            return;
        }
        let connections = self.idle.entry(upstream.clone()).or_default();
        connections.push(IdleConnection {
            connection,
            since: now,
        });
        let excess = connections.len().saturating_sub(limit);
        connections.drain(..excess);
    }

    /// The upstreams to which the pool has a connection that may be used again.
    pub fn connected_upstreams(&self, now: Instant) -> HashSet<UpstreamName> {
        let usable =
            |connections: &Vec<IdleConnection>| connections.iter().any(|idle| idle.is_usable(now));
        let upstreams = self
            .idle
            .iter()
            .filter(|(_, connections)| usable(connections));
        upstreams.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Closes the connections that may not be used again, and the tunnels through peers for which `is_ready` returns
    /// false.
    pub fn close_stale(&mut self, now: Instant, is_ready: impl Fn(SocketAddr) -> bool) {
        let has_way = |via| match via {
            Via::Direct => true,
            Via::Peer(peer) => is_ready(peer),
        };
        for connections in self.idle.values_mut() {
            connections.retain(|idle| idle.is_usable(now) && has_way(idle.connection.via));
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }

    /// Whether the pool has a tunnel.
    pub fn has_tunnels(&self) -> bool {
        let mut all = self.idle.values().flatten();
        all.any(|idle| idle.connection.via != Via::Direct)
    }

    /// Closes the connections to an upstream that take this way.
    pub fn close_path(&mut self, upstream: &UpstreamName, via: Via) {
        if let Some(connections) = self.idle.get_mut(upstream) {
            connections.retain(|idle| idle.connection.via != via);
        }
    }

    /// Closes all tunnels through a peer.
    pub fn close_tunnels_through(&mut self, peer: SocketAddr) {
        for connections in self.idle.values_mut() {
            connections.retain(|idle| idle.connection.via != Via::Peer(peer));
        }
    }

    /// Closes all connections to an upstream.
    pub fn close_all(&mut self, upstream: &UpstreamName) {
        self.idle.remove(upstream);
    }
}

/// The idle timeout that a server announces in its `Keep-Alive` header; `None` without the header or without a
/// `timeout=SECONDS` parameter in it.
pub(crate) fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').map(str::trim);
    let seconds = parameters.find_map(|p| p.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
