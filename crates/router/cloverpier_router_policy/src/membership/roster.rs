//! Routers to choose from at random, without a look at each of them.
//!
//! [`Roster`] owns a set of addresses.

use std::collections::HashMap;
use std::net::SocketAddr;

/// A set of routers.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    routers: Vec<SocketAddr>,
    positions: HashMap<SocketAddr, usize>,
}

impl Roster {
    /// Number of routers.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Adds a router.
    pub fn insert(&mut self, router: SocketAddr) {
        if !self.positions.contains_key(&router) {
            self.positions.insert(router, self.routers.len());
            self.routers.push(router);
        }
    }

    /// Takes a router out.
    pub fn remove(&mut self, router: SocketAddr) {
        let Some(position) = self.positions.remove(&router) else {
            return;
        };
        self.routers.swap_remove(position);
        if let Some(moved) = self.routers.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    /// Some of them at random, each once.
    pub fn choose(&self, count: usize, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        if count * 2 >= self.routers.len() {
            return rng.choose_multiple(self.routers.iter().copied(), count);
        }
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            let router = self.routers[rng.usize(..self.routers.len())];
            if !chosen.contains(&router) {
                chosen.push(router);
            }
        }
        chosen
    }
}
