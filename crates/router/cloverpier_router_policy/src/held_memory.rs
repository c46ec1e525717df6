//! How much of bodies and answers a router holds for all callers together.
//!
//! - **Question.** May this many more bytes be held?
//! - **Inputs.** The VM's memory; what is held already.
//! - **Answer.** Yes or no.
//! - **Why.** A router reads a request's body whole before it sends it, so that it can be sent again, and
//!   the first part of an answer before it passes it on, so that one that breaks off can be had elsewhere.
//!   Callers and upstreams that read or write slowly keep these bytes there: a bound on each is none on
//!   all of them, and a process that is over its VM's memory is killed with all that it serves. So all
//!   together hold a part of the memory. An answer that would go beyond it is passed on as it comes; a
//!   request is refused before it has run.
//!
//! [`HeldMemory`] owns the sum.

/// The part of the VM's memory that bodies and answers may take: the rest is for connections, upstreams
/// and the program.
const HELD_SHARE: f64 = 0.25;
/// Of that, the part that request bodies may take, so that answers to running requests have the rest.
const BODIES_SHARE: f64 = 0.6;
/// A request's body may take so much whatever else is held: most bodies are shorter.
const LITTLE: u64 = 16 * 1024;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// The body of a request that has not run.
    Body,
    /// An answer that is not passed on yet.
    Answer,
}

/// The bytes that are held.
#[derive(Clone, Copy, Debug)]
pub struct HeldMemory {
    limit: u64,
    held: u64,
}

impl HeldMemory {
    /// Nothing held, in a VM with this many bytes of memory.
    pub fn of(vm_bytes: u64) -> Self {
        Self {
            limit: (vm_bytes as f64 * HELD_SHARE) as u64,
            held: 0,
        }
    }

    /// Takes bytes more, where one request or answer has `own` already; false where that is too much.
    pub fn try_take(&mut self, bytes: u64, own: u64, held_for: HeldFor) -> bool {
        let limit = match held_for {
            HeldFor::Body => (self.limit as f64 * BODIES_SHARE) as u64,
            HeldFor::Answer => self.limit,
        };
        let is_little = held_for == HeldFor::Body && own + bytes <= LITTLE;
        if !is_little && self.held + bytes > limit {
            return false;
        }
        self.take(bytes);
        true
    }

    /// Takes bytes that are held already, whatever the bound.
    pub fn take(&mut self, bytes: u64) {
        self.held = self.held.saturating_add(bytes);
    }

    /// Gives bytes back.
    pub fn give_back(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// What is held.
    pub fn held(&self) -> u64 {
        self.held
    }
}
