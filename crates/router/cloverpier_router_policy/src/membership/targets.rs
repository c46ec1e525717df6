//! Who gets which message of a large fleet's gossip.
//!
//! Successors on the ring, a few others at random, and now and then a router that counts as dead. Owns no
//! state; relies on [`Membership`] for who lives where.

use super::Membership;
use cloverpier_core::DataCentre;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Other routers that get each message, in the own data centre and elsewhere: updates spread over them.
const RANDOM_NEAR: usize = 1;
const RANDOM_ELSEWHERE: usize = 1;
/// Routers that are sent something urgent at once, in the own data centre and elsewhere.
const URGENT_NEAR: usize = 6;
const URGENT_ELSEWHERE: usize = 2;
/// Routers that whoever gets a change for the first time passes it on to, all in its data centre; of
/// 1,000 that each choose 4, 98% are reached, and the others notice that they are behind.
const FLOOD_NEAR: usize = 4;
/// Routers of each other data centre that get a change from the one that read it from the store.
const FLOOD_ELSEWHERE: usize = 3;
/// Of this many messages one goes to a dead router.
const DEAD_PERIOD: u32 = 10;

impl Membership {
    /// Who gets the next message: the successors, and some at random.
    pub fn targets(&mut self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut targets = self.successors();
        targets.extend(self.near.choose(RANDOM_NEAR, rng));
        targets.extend(self.elsewhere.choose(RANDOM_ELSEWHERE, rng));
        self.messages = self.messages.wrapping_add(1);
        if self.messages.is_multiple_of(DEAD_PERIOD) {
            targets.extend(self.dead.choose(1, rng));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Who is sent something urgent at once.
    pub fn urgent_targets(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut targets = self.near.choose(URGENT_NEAR, rng);
        targets.extend(self.elsewhere.choose(URGENT_ELSEWHERE, rng));
        targets
    }

    /// Who gets a change from a router that got it from another one.
    pub fn flood_targets(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        self.near.choose(FLOOD_NEAR, rng)
    }

    /// Who gets a change from the router that read it from the store.
    pub fn flood_roots(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut by_centre: HashMap<&DataCentre, Vec<SocketAddr>> = HashMap::new();
        for (_, router) in &self.ring {
            if let Some(member) = self.members.get(router) {
                by_centre
                    .entry(&member.data_centre)
                    .or_default()
                    .push(*router);
            }
        }
        let mut roots = Vec::new();
        for (data_centre, routers) in by_centre {
            let count = if *data_centre == self.own.data_centre {
                FLOOD_NEAR
            } else {
                FLOOD_ELSEWHERE
            };
            roots.extend(rng.choose_multiple(routers, count));
        }
        roots
    }
}
