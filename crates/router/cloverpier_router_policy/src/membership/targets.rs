//! Recipients of gossip messages and of flooded changes in a large fleet.
//!
//! Gossip goes to the successors on the ring, to a few random routers, and occasionally to a router that is
//! recorded as dead. Owns no state; relies on [`Membership`] for the live routers and their data centres.

use super::Membership;
use cloverpier_core::DataCentre;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Number of random recipients of each gossip message in this router's data centre, which spread updates beyond
/// the successors.
const RANDOM_LOCAL: usize = 1;
/// Number of random recipients of each gossip message in other data centres.
const RANDOM_REMOTE: usize = 1;
/// Number of random recipients of an urgent message in this router's data centre.
const URGENT_LOCAL: usize = 6;
/// Number of random recipients of an urgent message in other data centres.
const URGENT_REMOTE: usize = 2;
/// Number of routers in its data centre to which a router forwards a change that it receives for the first time.
/// If each of 1,000 routers picks 4, the change reaches 98% of them, and the others fetch it when a gossip
/// message reports a newer revision.
const FLOOD_LOCAL: usize = 4;
/// Number of routers in each other data centre to which a router sends a change that it read from the store.
const FLOOD_REMOTE: usize = 3;
/// One gossip round out of this many also has a dead router as a recipient.
const ROUNDS_PER_DEAD_TARGET: u32 = 10;

impl Membership {
    /// Recipients of the next gossip message: the successors, some random routers, and in every
    /// `ROUNDS_PER_DEAD_TARGET`th round a dead one.
    pub fn targets(&mut self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut targets = self.successors();
        targets.extend(self.local.choose(RANDOM_LOCAL, rng));
        targets.extend(self.remote.choose(RANDOM_REMOTE, rng));
        self.rounds = self.rounds.wrapping_add(1);
        if self.rounds.is_multiple_of(ROUNDS_PER_DEAD_TARGET) {
            targets.extend(self.dead.choose(1, rng));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Random recipients of a message that can't wait for the next gossip period.
    pub fn urgent_targets(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut targets = self.local.choose(URGENT_LOCAL, rng);
        targets.extend(self.remote.choose(URGENT_REMOTE, rng));
        targets
    }

    /// Recipients of a change that this router received from another router.
    pub fn flood_targets(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        self.local.choose(FLOOD_LOCAL, rng)
    }

    /// Recipients, in all data centres, of a change that this router read from the store.
    pub fn flood_roots(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut by_data_centre: HashMap<&DataCentre, Vec<SocketAddr>> = HashMap::new();
        for (_, router) in &self.ring {
            if let Some(member) = self.members.get(router) {
                by_data_centre
                    .entry(&member.data_centre)
                    .or_default()
                    .push(*router);
            }
        }
        let mut roots = Vec::new();
        for (data_centre, routers) in by_data_centre {
            let count = if *data_centre == self.own.data_centre {
                FLOOD_LOCAL
            } else {
                FLOOD_REMOTE
            };
            roots.extend(rng.choose_multiple(routers, count));
        }
        roots
    }
}
