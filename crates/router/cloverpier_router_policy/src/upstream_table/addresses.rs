//! The names that each address has had.
//!
//! [`AddressIndex`] owns them. Without it each upstream that comes would be compared with all that are
//! known: a list of 10,000 would take 100 million comparisons.

use cloverpier_core::UpstreamName;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Names by address; mostly one each.
#[derive(Debug, Default)]
pub(super) struct AddressIndex {
    names: HashMap<SocketAddr, Vec<UpstreamName>>,
}

impl AddressIndex {
    /// The names at an address.
    pub fn at(&self, address: SocketAddr) -> &[UpstreamName] {
        self.names.get(&address).map_or(&[], Vec::as_slice)
    }

    /// Records a name at an address.
    pub fn add(&mut self, address: SocketAddr, name: UpstreamName) {
        self.names.entry(address).or_default().push(name);
    }

    /// Takes a name off an address.
    pub fn remove(&mut self, address: SocketAddr, name: &UpstreamName) {
        if let Some(names) = self.names.get_mut(&address) {
            names.retain(|known| known != name);
            if names.is_empty() {
                self.names.remove(&address);
            }
        }
    }
}
