//! Cuts a byte stream into whole events with their ids.
//!
//! - **Question.** Which bytes form the next whole event, and what is its id?
//! - **Why.** Only whole events are passed on: a stream that breaks in the middle of one
//!   continues at another upstream after the last whole event, without a torn one before.
//!
//! Follows the line rules of server-sent events (WHATWG HTML, "Server-sent events") as far
//! as a router needs them: an event ends with an empty line. [`EventSplitter`] owns the
//! bytes that do not form a whole event yet.

use std::fmt;

/// Bytes of one event at most, so that a stream without ends of events is not held in memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event, as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, the empty line at the end included.
    pub bytes: Vec<u8>,
    /// Its id, when it has one.
    pub id: Option<u64>,
}

/// The bytes are no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than a mebibyte.
    TooLong,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("an event is too long"),
        }
    }
}

impl std::error::Error for EventError {}

/// Collects bytes until they form whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    scanned: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// [`EventError::TooLong`] when no event ends within a mebibyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(())
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.event_end()?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether a part of an event was received.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Where the first event ends: behind an empty line.
    fn event_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        let tail = &self.buffer[start..];
        let plain = find(tail, b"\n\n").map(|at| start + at + 2);
        let with_returns = find(tail, b"\n\r\n").map(|at| start + at + 3);
        self.scanned = self.buffer.len();
        match (plain, with_returns) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    // An id that is no number counts as none: a stream cannot be resumed after its event.
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}
