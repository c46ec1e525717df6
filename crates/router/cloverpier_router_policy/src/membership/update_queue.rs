//! The updates that wait for the next messages.
//!
//! Owns which routers there are updates of, and how often each is still to be sent: those that were sent
//! least go first, so that something new does not wait for what all know soon. The updates themselves are
//! those of the member when the message leaves.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Messages that each update goes into besides one for each doubling of the fleet: whoever learns it
/// does the same, so a message that is lost costs nothing.
const MORE_MESSAGES: u32 = 2;

/// Routers of which there are updates.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    /// How often the update of a router was sent.
    sent: HashMap<SocketAddr, u32>,
    order: BTreeSet<(u32, SocketAddr)>,
}

impl UpdateQueue {
    /// Has the update of a router sent, before those that were sent already.
    pub fn push(&mut self, router: SocketAddr) {
        if let Some(sent) = self.sent.insert(router, 0) {
            self.order.remove(&(sent, router));
        }
        self.order.insert((0, router));
    }

    /// Records that somebody else knows the update of a router: as many messages fewer are needed.
    pub fn heard_again(&mut self, router: SocketAddr, routers: usize) {
        if let Some(sent) = self.sent.get(&router).copied() {
            self.order.remove(&(sent, router));
            self.put_back(router, sent + 1, routers);
        }
    }

    fn put_back(&mut self, router: SocketAddr, sent: u32, routers: usize) {
        let doublings = usize::BITS - routers.leading_zeros();
        if sent >= doublings + MORE_MESSAGES {
            self.sent.remove(&router);
        } else {
            self.sent.insert(router, sent);
            self.order.insert((sent, router));
        }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Has the update of a router not sent.
    pub fn forget(&mut self, router: SocketAddr) {
        if let Some(sent) = self.sent.remove(&router) {
            self.order.remove(&(sent, router));
        }
    }

    /// Takes the updates of one message, in a fleet of `routers`.
    pub fn take(&mut self, most: usize, routers: usize) -> Vec<SocketAddr> {
        let mut taken = Vec::new();
        while taken.len() < most {
            let Some((_, router)) = self.order.pop_first() else {
                break;
            };
            taken.push(router);
        }
        for router in &taken {
            // What is not there was never sent.
            let sent = self.sent.get(router).copied().unwrap_or(0) + 1;
            self.put_back(*router, sent, routers);
        }
        taken
    }
}
