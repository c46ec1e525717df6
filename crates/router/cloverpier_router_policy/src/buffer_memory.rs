//! Limits the memory that a router uses to buffer request and response bodies for all callers together.
//!
//! - **Question.** May this many more bytes be buffered?
//! - **Inputs.** The VM's memory; the bytes that are buffered already.
//! - **Result.** Yes or no.
//! - **Why.** A router reads the whole body of a request before it sends the request, so that it can retry. It
//!   buffers the beginning of a response before it passes the response on, so that a response that breaks off
//!   can be requested from another upstream. Slow callers and upstreams keep these bytes in memory for long. A
//!   limit on each body does not limit their sum, and a process that exceeds its VM's memory is killed with all
//!   requests that it serves. So all bodies together get a fraction of the memory. Beyond it, a response is
//!   passed on as it arrives, a request is refused before it has run, and an attempt fails whose event does not end.
//!
//! [`BufferMemory`] owns the sum of the buffered bytes. Relies on its user to release what was reserved.

/// Fraction of the VM's memory that buffered bodies may take; the rest is for connections, the table of upstreams
/// and the program.
const BUFFER_FRACTION: f64 = 0.25;
/// A request body is buffered only while the sum stays within this fraction of the limit, so that the responses of
/// running requests have the rest.
const BODIES_FRACTION: f64 = 0.6;
/// A request body up to this length is always buffered, whatever the sum is; most bodies are shorter.
const SHORT_BODY_BYTES: u64 = 16 * 1024;
/// Incomplete events up to this length are always buffered, which covers the bytes of one read and a usual event.
const SHORT_EVENT_BYTES: u64 = 64 * 1024;

/// The kind of body that bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// The body of a request, which stays in memory for retries until the request ends.
    Body,
    /// The bytes of a response that have not been passed on to the caller.
    Response,
    /// The bytes of an incomplete event of a stream.
    Event,
}

/// The sum of the buffered bytes of one router, and its limit.
#[derive(Clone, Copy, Debug)]
pub struct BufferMemory {
    limit: u64,
    reserved: u64,
}

impl BufferMemory {
    /// Creates the state of a router without buffered bytes, on a VM with `vm_bytes` of memory.
    pub fn for_vm(vm_bytes: u64) -> Self {
        Self {
            limit: (vm_bytes as f64 * BUFFER_FRACTION) as u64,
            reserved: 0,
        }
    }

    /// Reserves `bytes` more for a body of which `own` bytes are buffered already. Returns false, and reserves
    /// nothing, if the limit for this kind of body would be exceeded.
    pub fn try_reserve(&mut self, bytes: u64, own: u64, kind: BufferKind) -> bool {
        let limit = match kind {
            BufferKind::Body => (self.limit as f64 * BODIES_FRACTION) as u64,
            BufferKind::Response | BufferKind::Event => self.limit,
        };
        let is_short = match kind {
            BufferKind::Body => own + bytes <= SHORT_BODY_BYTES,
            BufferKind::Response => false,
            BufferKind::Event => own + bytes <= SHORT_EVENT_BYTES,
        };
        if !is_short && self.reserved + bytes > limit {
            return false;
        }
        self.reserve(bytes);
        true
    }

    /// Reserves bytes that are in memory already, even beyond the limit.
    pub fn reserve(&mut self, bytes: u64) {
        self.reserved = self.reserved.saturating_add(bytes);
    }

    /// Releases reserved bytes.
    pub fn release(&mut self, bytes: u64) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }

    /// The sum of the reserved bytes.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }
}
