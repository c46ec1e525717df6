//! Random faults over owners, holders, engines and callers of one answer.
//!
//! Engines speak text that names what it was generated after, so that a mixed
//! answer shows. Messages are lost, delayed and reordered; owners and holders
//! die; engines that were given up speak on; callers reconnect anywhere.

mod world;

use world::World;

const STEPS_PER_WORLD: u32 = 1_000;
const WORLDS: u64 = 250;

#[test]
fn no_fault_order_mixes_repeats_or_loses_a_token() {
    let mut finished = 0;
    let mut steps = 0_u64;
    for seed in 0..WORLDS {
        let mut world = World::new(seed, false);
        for _ in 0..STEPS_PER_WORLD {
            world.step();
            steps += 1;
            if world.client.done {
                break;
            }
        }
        finished += world.finished;
    }
    assert!(steps >= 100_000, "only {steps} steps");
    // The faults are severe, yet answers get through: the check isn't vacuous.
    assert!(finished >= WORLDS / 20, "only {finished} answers ended");
}

#[test]
fn no_token_that_a_caller_has_is_unknown_while_its_copy_lasts() {
    for seed in 0..WORLDS / 4 {
        let mut world = World::new(seed, true);
        for _ in 0..STEPS_PER_WORLD {
            world.step();
        }
    }
}
