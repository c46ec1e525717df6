//! Bytes of bodies and answers that are held, counted until they are let go.
//!
//! [`BufferReservation`] owns the count of one body or answer; what all may hold is decided in
//! `cloverpier_router_policy::buffer_memory`.

use cloverpier_router_policy::buffer_memory::{BufferKind, BufferMemory};
use std::cell::RefCell;
use std::rc::Rc;

/// The bytes that one body or answer holds.
#[derive(Debug)]
pub(crate) struct BufferReservation {
    memory: Rc<RefCell<BufferMemory>>,
    held_for: BufferKind,
    bytes: u64,
}

impl BufferReservation {
    /// Nothing held yet.
    pub fn new(memory: &Rc<RefCell<BufferMemory>>, held_for: BufferKind) -> Self {
        Self {
            memory: Rc::clone(memory),
            held_for,
            bytes: 0,
        }
    }

    /// Holds bytes more; false where all together hold too much.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let mut held = self.memory.borrow_mut();
        let is_taken = held.try_reserve(bytes, self.bytes, self.held_for);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Holds bytes more, whatever others hold.
    pub fn grow(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.memory.borrow_mut().reserve(bytes);
        self.bytes += bytes;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let mut held = self.memory.borrow_mut();
        held.release(self.bytes);
    }
}
