//! A set of routers with random sampling in time that does not depend on its size.
//!
//! [`RouterSet`] owns the addresses.

use std::collections::HashMap;
use std::net::SocketAddr;

/// A set of router addresses, indexed for random sampling.
#[derive(Clone, Debug, Default)]
pub(super) struct RouterSet {
    routers: Vec<SocketAddr>,
    positions: HashMap<SocketAddr, usize>,
}

impl RouterSet {
    /// Number of routers in the set.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Adds a router; a router in the set stays where it is.
    pub fn insert(&mut self, router: SocketAddr) {
        if !self.positions.contains_key(&router) {
            self.positions.insert(router, self.routers.len());
            self.routers.push(router);
        }
    }

    /// Removes a router, and moves the last one to its position.
    pub fn remove(&mut self, router: SocketAddr) {
        let Some(position) = self.positions.remove(&router) else {
            return;
        };
        self.routers.swap_remove(position);
        if let Some(moved) = self.routers.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    /// Returns up to `count` different routers, picked at random.
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
