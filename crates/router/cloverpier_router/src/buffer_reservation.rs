//! RAII reservations of the memory in which request and response bodies are buffered.
//!
//! A [`BufferReservation`] owns the reserved bytes of one body and releases them when it is dropped.
//! `cloverpier_router_policy::buffer_memory` decides how many bytes all bodies together may take.

use cloverpier_router_policy::buffer_memory::{BufferKind, BufferMemory};
use std::cell::RefCell;
use std::rc::Rc;

/// The buffer memory that is reserved for one body.
#[derive(Debug)]
pub(crate) struct BufferReservation {
    memory: Rc<RefCell<BufferMemory>>,
    kind: BufferKind,
    bytes: u64,
}

impl BufferReservation {
    /// Creates a reservation of 0 bytes.
    pub fn new(memory: &Rc<RefCell<BufferMemory>>, kind: BufferKind) -> Self {
        Self {
            memory: Rc::clone(memory),
            kind,
            bytes: 0,
        }
    }

    /// Reserves `bytes` more. Returns false, and reserves nothing, if the limit for all bodies would be exceeded.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let mut memory = self.memory.borrow_mut();
        let is_reserved = memory.try_reserve(bytes, self.bytes, self.kind);
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
    }

    /// Changes the reservation to `bytes`. Returns false, and changes nothing, if the limit for all bodies would be exceeded.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let released = self.bytes.saturating_sub(bytes as u64);
        self.memory.borrow_mut().release(released);
        self.bytes -= released;
        self.try_grow(bytes - self.bytes as usize)
    }

    /// Reserves `bytes` more for data that is in memory already, even beyond the limit for all bodies.
    pub fn grow(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.memory.borrow_mut().reserve(bytes);
        self.bytes += bytes;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let mut memory = self.memory.borrow_mut();
        memory.release(self.bytes);
    }
}
