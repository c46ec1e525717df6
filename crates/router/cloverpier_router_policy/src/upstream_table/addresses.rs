//! Index of upstreams by address.
//!
//! [`AddressIndex`] finds the upstreams whose address a new upstream takes over. Without the index
//! each new upstream would be compared with all known ones: 100 million comparisons for a list of
//! 10,000 upstreams. Owns the index; relies on [`super::UpstreamTable`] to update it with each entry.

use cloverpier_core::UpstreamName;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The names of the upstreams in the table, by address. An address has several names while the state
/// of replaced upstreams is kept.
#[derive(Debug, Default)]
pub(super) struct AddressIndex {
    names: HashMap<SocketAddr, Vec<UpstreamName>>,
}

impl AddressIndex {
    /// Names of the upstreams whose latest entries contain `address`.
    pub fn at(&self, address: SocketAddr) -> &[UpstreamName] {
        self.names.get(&address).map_or(&[], Vec::as_slice)
    }

    /// Adds `name`, which must not be recorded at `address` yet.
    pub fn add(&mut self, address: SocketAddr, name: UpstreamName) {
        self.names.entry(address).or_default().push(name);
    }

    /// Removes `name`; has no effect if the name is not recorded at `address`.
    pub fn remove(&mut self, address: SocketAddr, name: &UpstreamName) {
        if let Some(names) = self.names.get_mut(&address) {
            names.retain(|known| known != name);
            if names.is_empty() {
                self.names.remove(&address);
            }
        }
    }
}
