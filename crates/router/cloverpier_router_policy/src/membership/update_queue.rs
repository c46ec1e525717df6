//! The queue of membership updates to be sent with the next gossip messages.
//!
//! Owns the routers whose updates are to be sent, and how often each update was sent. Updates that were sent
//! least often go first, so that a new update does not wait behind updates that most routers have. The queue
//! holds addresses only; the content of an update is read from the member's record when a message is sent.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Number of messages in which a router sends each update, in addition to one for each doubling of the fleet
/// size. Every router that receives the update sends it as often, so the loss of single messages does not
/// matter.
const EXTRA_SENDS: u32 = 2;

/// The routers whose updates are still to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    /// How often each router's update was sent.
    sent: HashMap<SocketAddr, u32>,
    /// The same routers, those whose update was sent least often first.
    order: BTreeSet<(u32, SocketAddr)>,
}

impl UpdateQueue {
    /// Queues a router's update, ahead of all that were sent before.
    pub fn push(&mut self, router: SocketAddr) {
        if let Some(sent) = self.sent.insert(router, 0) {
            self.order.remove(&(sent, router));
        }
        self.order.insert((0, router));
    }

    /// Records that another router sent an update that this router already has. That counts as one send by this
    /// router, because it shows that the update is spreading. `fleet_size` bounds the number of sends.
    pub fn on_redundant_update(&mut self, router: SocketAddr, fleet_size: usize) {
        if let Some(sent) = self.sent.get(&router).copied() {
            self.order.remove(&(sent, router));
            self.requeue(router, sent + 1, fleet_size);
        }
    }

    /// Queues an update that was sent `sent` times, or removes it if that is enough for the fleet size.
    fn requeue(&mut self, router: SocketAddr, sent: u32, fleet_size: usize) {
        let log2_fleet_size = usize::BITS - fleet_size.leading_zeros();
        if sent >= log2_fleet_size + EXTRA_SENDS {
            self.sent.remove(&router);
        } else {
            self.sent.insert(router, sent);
            self.order.insert((sent, router));
        }
    }

    /// Whether no update is waiting to be sent.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Removes a router's update from the queue without sending it.
    pub fn remove(&mut self, router: SocketAddr) {
        if let Some(sent) = self.sent.remove(&router) {
            self.order.remove(&(sent, router));
        }
    }

    /// Returns the routers whose updates go into one message, and counts each update as sent once more. An
    /// update stays in the queue until it was sent often enough for `fleet_size`.
    pub fn take(&mut self, max_updates: usize, fleet_size: usize) -> Vec<SocketAddr> {
        let mut taken = Vec::new();
        while taken.len() < max_updates {
            let Some((_, router)) = self.order.pop_first() else {
                break;
            };
            taken.push(router);
        }
        for router in &taken {
            // A router without an entry has an update that was never sent.
            let sent = self.sent.get(router).copied().unwrap_or(0) + 1;
            self.requeue(*router, sent, fleet_size);
        }
        taken
    }
}
