//! What bodies and answers may hold of a VM's memory.

use cloverpier_router_policy::held_memory::{HeldFor, HeldMemory};

const MB: u64 = 1 << 20;

#[test]
fn all_together_hold_a_quarter_of_the_memory() {
    let mut memory = HeldMemory::of(100 * MB);
    let answers = (0..1_000).filter(|_| memory.try_take(MB, 0, HeldFor::Answer));
    assert_eq!(answers.count(), 25);
    assert_eq!(memory.held(), 25 * MB);
    memory.give_back(MB);
    assert!(memory.try_take(MB, 0, HeldFor::Answer));
}

#[test]
fn bodies_leave_room_for_the_answers_to_what_runs() {
    let mut memory = HeldMemory::of(100 * MB);
    let bodies = (0..1_000).filter(|_| memory.try_take(MB, 0, HeldFor::Body));
    assert_eq!(bodies.count(), 15);
    assert!(memory.try_take(MB, 0, HeldFor::Answer));
}

#[test]
fn a_short_body_is_read_whatever_is_held() {
    let mut memory = HeldMemory::of(100 * MB);
    while memory.try_take(MB, 0, HeldFor::Answer) {}
    assert!(memory.try_take(10_000, 0, HeldFor::Body));
    assert!(
        !memory.try_take(10_000, 10_000, HeldFor::Body),
        "it is short no more"
    );
}
