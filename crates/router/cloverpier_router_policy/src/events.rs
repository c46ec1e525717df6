//! Splits a byte stream into whole events with their ids.
//!
//! - **Question.** Which bytes form the next whole event, and what is its id?
//! - **Inputs.** The bytes of a stream, in pieces of any size.
//! - **Result.** A [`StreamEvent`] for each event that is complete.
//! - **Why.** Only whole events are passed on to callers. So a stream that breaks in the middle of an event can
//!   continue at another upstream after the last whole event, and the caller never receives a truncated event.
//!
//! Follows the line rules of server-sent events (WHATWG HTML, "Server-sent events") as far as a router needs them:
//! an event ends with an empty line. [`EventSplitter`] owns the bytes that do not form a whole event yet.

use std::fmt;

/// Maximum length of the buffered bytes of one event, so that a stream without event boundaries does not fill the
/// memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event, byte for byte as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes, including the empty line at the end.
    pub bytes: Vec<u8>,
    /// The number in the event's last `id` field; `None` if the event has no id or its id is no number.
    pub id: Option<u64>,
}

/// The reason why received bytes are no valid event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// No event ends within 1 MiB of received bytes.
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

/// Buffers received bytes until they form whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    scanned: usize,
}

impl EventSplitter {
    /// Adds received bytes to the buffer.
    ///
    /// # Errors
    ///
    /// [`EventError::TooLong`] if the buffer exceeds 1 MiB. Whole events are to be taken out after each call, as
    /// they count, too.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(())
    }

    /// Removes the next whole event from the buffer; `None` if the buffer contains no whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.event_end()?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// The memory in bytes that the buffer takes.
    pub fn memory(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether the buffer contains bytes that have not been returned as an event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The length of the first event, up to and including its empty line. Bytes that an earlier call has searched are
    /// skipped.
    fn event_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        let tail = &self.buffer[start..];
        let with_newlines = find(tail, b"\n\n").map(|at| start + at + 2);
        let with_returns = find(tail, b"\n\r\n").map(|at| start + at + 3);
        self.scanned = self.buffer.len();
        match (with_newlines, with_returns) {
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
    // An id that is no number counts as absent: a stream can't be resumed after its event.
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}
