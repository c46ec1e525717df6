//! Ports that are handed out to processes that run at the same time.

use cloverpier_tools::ports::free_addresses;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};

/// More than one block holds.
const MANY: usize = 250;
const BLOCK: u16 = 100;

#[test]
fn no_port_is_handed_out_twice_and_each_block_is_kept_from_other_processes() {
    let addresses = free_addresses(MANY).unwrap();
    let distinct: HashSet<SocketAddr> = addresses.iter().copied().collect();
    assert_eq!(distinct.len(), MANY);
    let claims: HashSet<u16> = addresses.iter().map(|a| a.port() / BLOCK * BLOCK).collect();
    for port in claims {
        let claim = SocketAddr::from(([127, 0, 0, 1], port));
        // Another process that looks for a block finds this one taken.
        assert!(TcpListener::bind(claim).is_err(), "{claim}");
        assert!(!distinct.contains(&claim));
    }
}
