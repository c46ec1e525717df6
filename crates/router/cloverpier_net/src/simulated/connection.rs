//! The state of one connection: what is under way in each direction, and how each end was closed.
//!
//! [`super::stream`] reads and writes it. Owns the bytes that were sent and not read. Relies on its caller for
//! the present time and for the silence of paths.

use super::Party;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::Waker;
use tokio::time::Instant;

/// Bytes that may be sent and not read before a write waits.
const MAX_UNREAD_BYTES: usize = 256 * 1024;

pub(super) type SharedConnection = Arc<Mutex<Connection>>;

/// One of the two ends: the opener's is 0, the other one 1.
pub(super) type Side = usize;

/// A connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) ends: [End; 2],
}

/// One end of a connection.
#[derive(Debug)]
pub(super) struct End {
    pub party: Party,
    pub address: SocketAddr,
    inbound: VecDeque<Segment>,
    unread_bytes: usize,
    /// When this end learns of a reset.
    reset_at: Option<Instant>,
    /// The other end was closed with a reset while the path from it was silent.
    is_reset_held: bool,
    has_shut_down: bool,
    is_closed: bool,
    resets_on_close: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

#[derive(Debug)]
struct Segment {
    arrives_at: Instant,
    /// The bytes; empty for the end of what the sender sends.
    bytes: VecDeque<u8>,
}

/// What a read finds.
#[derive(Debug)]
pub(super) enum Found {
    /// Bytes, or the end of what is sent.
    Ready,
    /// Nothing until then; `None` if nothing is under way.
    Nothing(Option<Instant>),
}

impl End {
    pub fn new(party: Party, address: SocketAddr) -> Self {
        Self {
            party,
            address,
            inbound: VecDeque::new(),
            unread_bytes: 0,
            reset_at: None,
            is_reset_held: false,
            has_shut_down: false,
            is_closed: false,
            resets_on_close: false,
            reader: None,
            writer: None,
        }
    }

    fn wake(&mut self) {
        let wakers = [self.reader.take(), self.writer.take()];
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    fn is_reset(&self, now: Instant) -> bool {
        self.reset_at.is_some_and(|at| at <= now)
    }

    fn learn_of_reset(&mut self, at: Instant) {
        self.reset_at = Some(self.reset_at.map_or(at, |former| former.min(at)));
        self.wake();
    }
}

impl Connection {
    pub fn new(opener: End, acceptor: End) -> Self {
        Self {
            ends: [opener, acceptor],
        }
    }

    /// What a read of this end finds. `silent_since` belongs to the path to this end.
    pub fn find(
        &self,
        side: Side,
        now: Instant,
        silent_since: Option<Instant>,
    ) -> io::Result<Found> {
        let end = &self.ends[side];
        if end.is_reset(now) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let Some(first) = end.inbound.front() else {
            return Ok(Found::Nothing(end.reset_at));
        };
        let is_held = silent_since.is_some_and(|since| first.arrives_at >= since);
        if is_held {
            return Ok(Found::Nothing(end.reset_at));
        }
        if first.arrives_at > now {
            let at = end
                .reset_at
                .map_or(first.arrives_at, |reset| reset.min(first.arrives_at));
            return Ok(Found::Nothing(Some(at)));
        }
        Ok(Found::Ready)
    }

    /// The first bytes that have arrived, which [`Self::find`] has found.
    pub fn peek(&self, side: Side, buf: &mut [u8]) -> usize {
        let Some(first) = self.ends[side].inbound.front() else {
            return 0;
        };
        let count = buf.len().min(first.bytes.len());
        for (to, from) in buf.iter_mut().zip(&first.bytes) {
            *to = *from;
        }
        count
    }

    /// Takes the first bytes that have arrived, which [`Self::find`] has found.
    pub fn take(&mut self, side: Side, buf: &mut [u8]) -> usize {
        let count = self.peek(side, buf);
        let end = &mut self.ends[side];
        end.unread_bytes -= count;
        if let Some(first) = end.inbound.front_mut() {
            first.bytes.drain(..count);
            // The end of the stream stays, so that each later read finds it, too.
            if count > 0 && first.bytes.is_empty() {
                end.inbound.pop_front();
            }
        }
        if let Some(writer) = self.ends[1 - side].writer.take() {
            writer.wake();
        }
        count
    }

    /// Sends bytes that arrive at a time at the soonest; `None` if the write has to wait.
    pub fn send(
        &mut self,
        side: Side,
        bytes: &[u8],
        now: Instant,
        arrives_at: Instant,
    ) -> io::Result<Option<usize>> {
        let (is_shut, is_reset) = (self.ends[side].has_shut_down, self.ends[side].is_reset(now));
        if is_shut || is_reset {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if self.ends[1 - side].is_closed {
            let returns_at = arrives_at + (arrives_at - now);
            self.ends[side].learn_of_reset(returns_at);
            return Ok(Some(bytes.len()));
        }
        let room = MAX_UNREAD_BYTES.saturating_sub(self.ends[1 - side].unread_bytes);
        if room == 0 {
            return Ok(None);
        }
        let count = bytes.len().min(room);
        if count > 0 {
            self.push(1 - side, &bytes[..count], arrives_at);
        }
        Ok(Some(count))
    }

    fn push(&mut self, to: Side, bytes: &[u8], arrives_at: Instant) {
        let end = &mut self.ends[to];
        let last = end.inbound.back().map(|segment| segment.arrives_at);
        end.unread_bytes += bytes.len();
        end.inbound.push_back(Segment {
            arrives_at: last.map_or(arrives_at, |last| last.max(arrives_at)),
            bytes: bytes.iter().copied().collect(),
        });
        if let Some(reader) = end.reader.take() {
            reader.wake();
        }
    }

    /// Ends what this end sends.
    pub fn shut_down(&mut self, side: Side, arrives_at: Instant) {
        if !std::mem::replace(&mut self.ends[side].has_shut_down, true) {
            self.push(1 - side, &[], arrives_at);
        }
    }

    /// Has this end be closed with a reset.
    pub fn set_zero_linger(&mut self, side: Side) {
        self.ends[side].resets_on_close = true;
    }

    /// Closes this end: with a reset if it was asked for or if bytes are left unread, as an operating system does.
    pub fn close(&mut self, side: Side, now: Instant, arrives_at: Instant, is_silent: bool) {
        let end = &mut self.ends[side];
        let mut arrived = end.inbound.iter().filter(|s| s.arrives_at <= now);
        let has_unread = arrived.any(|segment| !segment.bytes.is_empty());
        end.is_closed = true;
        end.inbound.clear();
        end.unread_bytes = 0;
        if !end.resets_on_close && !has_unread {
            self.shut_down(side, arrives_at);
        } else if is_silent {
            self.ends[1 - side].is_reset_held = true;
        } else {
            self.ends[1 - side].learn_of_reset(arrives_at);
        }
        if let Some(writer) = self.ends[1 - side].writer.take() {
            writer.wake();
        }
    }

    /// The path from a party to another is not silent any more: what was held arrives at the soonest then.
    pub fn reopen(&mut self, from: Party, to: Party, arrives_at: Instant) {
        for side in 0..self.ends.len() {
            if (self.ends[1 - side].party, self.ends[side].party) != (from, to) {
                continue;
            }
            let end = &mut self.ends[side];
            let held = end.inbound.iter_mut();
            held.for_each(|segment| segment.arrives_at = segment.arrives_at.max(arrives_at));
            if std::mem::take(&mut end.is_reset_held) {
                end.learn_of_reset(arrives_at);
            }
            end.wake();
        }
    }

    /// Resets the connection at both ends.
    pub fn reset(&mut self, now: Instant) {
        self.ends.iter_mut().for_each(|end| end.learn_of_reset(now));
    }

    pub fn is_between(&self, one: Party, other: Party) -> bool {
        let parties = (self.ends[0].party, self.ends[1].party);
        parties == (one, other) || parties == (other, one)
    }

    pub fn reset_at(&self, side: Side) -> Option<Instant> {
        self.ends[side].reset_at
    }

    pub fn wait_to_read(&mut self, side: Side, waker: &Waker) {
        self.ends[side].reader = Some(waker.clone());
    }

    pub fn wait_to_write(&mut self, side: Side, waker: &Waker) {
        self.ends[side].writer = Some(waker.clone());
    }
}
