//! Tunnels: connections to upstreams through a peer, for a router that does not reach the upstream itself.
//!
//! The peer opens a TCP connection to the upstream and passes the bytes of both directions on. The router at the
//! origin of the tunnel speaks HTTP with the upstream over it as over a connection of its own, so every rule about
//! attempts, retries, deadlines and streams holds unchanged, and the peer decides nothing about requests. A tunnel has
//! one hop: a peer that does not reach the upstream itself declines.
//!
//! | module | concern |
//! | --- | --- |
//! | [`open`] | opens a tunnel: requests it from peers, one after the other |
//! | [`serve`] | serves tunnels for peers |
//! | [`framing`] | marks the end of the upstream's bytes, so that a lost peer is no regular end |
//!
//! The protocol between routers: a GET request for [`TUNNEL_PATH`] with `Upgrade: `[`PROTOCOL`] at the address for
//! peers. Status 101 opens the tunnel; another status has the reason in [`FAILURE_HEADER`]. A release without tunnels
//! responds with 404. `cloverpier_router_policy::tunnel_peers` decides which peer is chosen. Owns the counts of open
//! tunnels.

mod framing;
pub(crate) mod open;
pub(crate) mod serve;

use cloverpier_core::ServiceName;
use cloverpier_router_policy::tunnel_peers::{PeerFailure, TunnelPeers};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// The path of tunnels, part of the protocol between routers.
pub(crate) const TUNNEL_PATH: &str = "/tunnel";
/// The name of the protocol in the `Upgrade` header.
const PROTOCOL: &str = "cloverpier-tunnel";
/// The header with the name of the upstream to which the tunnel leads.
const UPSTREAM_HEADER: &str = "tunnel-upstream";
/// The header with the id of the tunnel, 16 hexadecimal digits, which the origin chooses at random.
const ID_HEADER: &str = "tunnel-id";
/// The header with the reason why no tunnel is opened.
const FAILURE_HEADER: &str = "tunnel-failure";

/// Why a peer did not open a tunnel; the value of [`FAILURE_HEADER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServeFailure {
    /// The host of the upstream refused the connection: no process listens at its address.
    Refused,
    /// The upstream did not respond to the peer either.
    Unreachable,
    /// The peer does not open this tunnel: it does not know the upstream, does not reach it itself, serves too many
    /// tunnels, or is about to stop.
    Declined,
    /// The peer knows that the upstream leaves or is gone.
    UpstreamLeaves,
}

impl ServeFailure {
    /// The name in the header and in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Declined => "declined",
            Self::UpstreamLeaves => "leaving",
        }
    }

    /// The failure with this name; [`Self::Declined`] for a name of a later release.
    fn from_name(name: &str) -> Self {
        match name {
            "refused" => Self::Refused,
            "unreachable" => Self::Unreachable,
            "leaving" => Self::UpstreamLeaves,
            _ => Self::Declined,
        }
    }
}

/// The tunnels of this router, those that it uses and those that it serves.
#[derive(Debug, Default)]
pub(crate) struct Tunnels {
    peers: Rc<RefCell<TunnelPeers>>,
    served: Rc<Cell<usize>>,
}

impl Tunnels {
    /// Counts a tunnel that a peer has opened to an upstream of a service, until the result is dropped.
    fn begin(&self, service: &ServiceName, peer: SocketAddr, id: u64, now: Instant) -> OpenTunnel {
        self.peers.borrow_mut().on_opened(service, peer, now);
        OpenTunnel {
            id,
            peer,
            peers: Rc::clone(&self.peers),
        }
    }

    /// Records that a peer did not open a tunnel, or that nothing arrives through it any more.
    fn on_failed(
        &self,
        service: &ServiceName,
        peer: SocketAddr,
        failure: PeerFailure,
        now: Instant,
    ) {
        let mut peers = self.peers.borrow_mut();
        peers.on_failed(service, peer, failure, now);
    }

    /// Removes what is known of peers and no choice considers any more.
    pub fn remove_expired(&self, now: Instant) {
        self.peers.borrow_mut().remove_expired(now);
    }
}

/// A tunnel that this router uses. It counts as open until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenTunnel {
    /// The id in log lines of both routers.
    pub id: u64,
    /// The peer through which the tunnel leads.
    pub peer: SocketAddr,
    peers: Rc<RefCell<TunnelPeers>>,
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.peers.borrow_mut().on_closed(self.peer);
    }
}
