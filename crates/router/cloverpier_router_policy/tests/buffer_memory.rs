//! How much of a VM's memory buffered request and response bodies may take.

use cloverpier_router_policy::buffer_memory::{BufferKind, BufferMemory};

const MB: u64 = 1 << 20;

#[test]
fn all_bodies_together_take_a_quarter_of_the_memory() {
    let mut memory = BufferMemory::for_vm(100 * MB);
    let responses = (0..1_000).filter(|_| memory.try_reserve(MB, 0, BufferKind::Response));
    assert_eq!(responses.count(), 25);
    assert_eq!(memory.reserved(), 25 * MB);
    memory.release(MB);
    assert!(memory.try_reserve(MB, 0, BufferKind::Response));
}

#[test]
fn request_bodies_leave_memory_for_the_responses_of_running_requests() {
    let mut memory = BufferMemory::for_vm(100 * MB);
    let bodies = (0..1_000).filter(|_| memory.try_reserve(MB, 0, BufferKind::Body));
    assert_eq!(bodies.count(), 15);
    assert!(memory.try_reserve(MB, 0, BufferKind::Response));
}

#[test]
fn a_short_request_body_is_always_buffered() {
    let mut memory = BufferMemory::for_vm(100 * MB);
    while memory.try_reserve(MB, 0, BufferKind::Response) {}
    assert!(memory.try_reserve(10_000, 0, BufferKind::Body));
    assert!(
        !memory.try_reserve(10_000, 10_000, BufferKind::Body),
        "a body of 20,000 bytes is not short"
    );
}

#[test]
fn the_part_of_an_event_is_buffered_while_it_is_short_or_memory_is_left() {
    let mut memory = BufferMemory::for_vm(4_000_000);
    assert!(memory.try_reserve(1_000_000, 0, BufferKind::Response));
    assert!(memory.try_reserve(60_000, 0, BufferKind::Event));
    assert!(
        !memory.try_reserve(10_000, 60_000, BufferKind::Event),
        "70,000 bytes are not short"
    );
    memory.release(1_000_000);
    assert!(memory.try_reserve(10_000, 60_000, BufferKind::Event));
}
