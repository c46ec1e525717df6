//! Which routers hold the record of a stream.
//!
//! - **Question.** To which routers is the record of a stream sent, and which are queried for it?
//! - **Inputs.** The stream's key; the routers that are alive and ready.
//! - **Result.** Addresses of routers, the preferred ones first.
//! - **Why.** Routers die in groups, as when a data centre loses power, and the record must outlive the router that
//!   relays the stream and some of its holders. All routers that know the same live routers compute the same holders;
//!   where they differ by a few routers, most holders are the same.
//!
//! Owns no state.

use super::StreamKey;
use crate::store_watch::ReadyPeer;
use cloverpier_core::{DataCentre, rendezvous_rank};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of routers that hold a record. If 55 of 100 routers die at the same moment, all six have died for 3 of 100
/// records.
pub const HOLDERS: usize = 6;

/// Number of routers that are queried for a record, more than hold one: some of the preferred ones have died or have
/// started since the record was sent.
const POSSIBLE_HOLDERS: usize = 2 * HOLDERS;
/// Number of holders that have to acknowledge a record before the stream's first event is sent to the caller: two, as
/// one may fail together with the router that relays the stream.
pub const MIN_ACKS: usize = 2;
/// How long the first event waits for the acknowledgements at most. A running holder replies within a few milliseconds.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(60);
/// How often the records of relayed streams are sent again, as holders restart and lose them.
pub const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// The routers that may hold records. Made once for all records that are sent or queried at one moment.
#[derive(Clone, Debug)]
pub struct HolderCandidates<'a> {
    candidates: Vec<Candidate<'a>>,
}

#[derive(Clone, Debug)]
struct Candidate<'a> {
    /// The address as text, by which routers are ranked.
    name: String,
    data_centre: &'a DataCentre,
    address: SocketAddr,
}

impl<'a> HolderCandidates<'a> {
    /// The candidates among the routers that are alive and ready.
    pub fn new(peers: &'a [ReadyPeer]) -> Self {
        let candidates = peers.iter().map(|peer| Candidate {
            name: peer.peer.to_string(),
            data_centre: &peer.data_centre,
            address: peer.peer,
        });
        let candidates = candidates.collect();
        Self { candidates }
    }

    /// The routers that hold the record of a stream.
    pub fn holders(&self, stream: StreamKey) -> Vec<SocketAddr> {
        self.preferred(stream, HOLDERS)
    }

    /// The routers that may hold the record of a stream that another router relayed.
    pub fn possible_holders(&self, stream: StreamKey) -> Vec<SocketAddr> {
        self.preferred(stream, POSSIBLE_HOLDERS)
    }

    /// The `count` routers that a stream ranks first, but first one of each data centre, as the routers of a data centre
    /// fail together.
    fn preferred(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let ranked = rendezvous_rank(stream.placement_hash(), &self.candidates, |c| &c.name);
        let mut seen = HashSet::new();
        let (first_of_each, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|candidate| seen.insert(candidate.data_centre));
        let in_order = first_of_each.into_iter().chain(rest);
        in_order.take(count).map(|c| c.address).collect()
    }
}
