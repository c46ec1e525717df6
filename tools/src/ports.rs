//! Ports for the processes that a tool starts.
//!
//! Processes that run at the same time must not pick the same ports: a port that was found free is
//! bound only when the process that it is for has started. So each process claims whole blocks of
//! ports, each by listening at its first port for as long as the process lives. Before, processes
//! began at places that their ids gave; with 16 runs of a test side by side one found two routers'
//! ports taken, which then never became ready.

use cloverpier_core::lock;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Mutex;

/// The ports that are handed out: below those that systems take for connections of their own.
const FIRST_PORT: u16 = 12_000;
/// Ports of a block; the first one is the claim.
const BLOCK: u16 = 100;
/// Blocks.
const BLOCKS: u16 = 180;

/// A block that this process has claimed.
#[derive(Debug)]
struct Block {
    /// Keeps others away.
    _claim: TcpListener,
    first: u16,
    handed_out: u16,
}

/// The blocks of this process, the one in use last.
static CLAIMED: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Addresses on the loopback that nobody listens to, each handed out once.
///
/// # Errors
///
/// No port is left.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut blocks = lock(&CLAIMED);
    (0..count).map(|_| free_address(&mut blocks)).collect()
}

fn free_address(blocks: &mut Vec<Block>) -> io::Result<SocketAddr> {
    loop {
        if let Some(address) = blocks.last_mut().and_then(Block::next_free) {
            return Ok(address);
        }
        let block = claim(blocks)?;
        blocks.push(block);
    }
}

/// Claims a block that no process has; processes begin to look at different places.
fn claim(known: &[Block]) -> io::Result<Block> {
    let begin = std::process::id() % u32::from(BLOCKS);
    let places = (0..u32::from(BLOCKS)).map(|step| (begin + step) % u32::from(BLOCKS));
    for place in places {
        // Below the number of blocks, so it fits.
        let first = FIRST_PORT + u16::try_from(place).unwrap_or(0) * BLOCK;
        let is_own = known.iter().any(|block| block.first == first);
        if let Ok(claim) = TcpListener::bind(loopback(first))
            && !is_own
        {
            return Ok(Block {
                _claim: claim,
                first,
                handed_out: 0,
            });
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Block {
    /// The next port that is free for both protocols; `None` at the end of the block.
    fn next_free(&mut self) -> Option<SocketAddr> {
        while self.handed_out + 1 < BLOCK {
            self.handed_out += 1;
            let address = loopback(self.first + self.handed_out);
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Some(address);
            }
        }
        None
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
