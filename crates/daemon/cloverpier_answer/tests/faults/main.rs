//! Simulates random faults of the owners, holders, engines and callers of one response.
//!
//! Each token contains the digest of the tokens after which it was generated, so a response that
//! mixes tokens of two generations is detected. Messages are lost, delayed and reordered. Owners
//! and holders crash. Engines continue attempts that were replaced. Callers reconnect to any
//! router.

mod simulation;

use simulation::Simulation;

const STEPS_PER_SIMULATION: u32 = 1_000;
const SIMULATIONS: u64 = 250;

#[test]
fn faults_never_mix_repeat_or_lose_tokens() {
    let mut finished = 0;
    let mut steps = 0_u64;
    for seed in 0..SIMULATIONS {
        let mut simulation = Simulation::new(seed, false);
        for _ in 0..STEPS_PER_SIMULATION {
            simulation.step();
            steps += 1;
            if simulation.client.done {
                break;
            }
        }
        finished += simulation.finished;
    }
    assert!(steps >= 100_000, "only {steps} steps");
    // Fails if hardly any response completes under these faults, as the simulation then checks
    // nothing.
    assert!(
        finished >= SIMULATIONS / 20,
        "only {finished} responses completed"
    );
}

#[test]
fn a_caller_can_always_resume_while_copies_survive() {
    for seed in 0..SIMULATIONS / 4 {
        let mut simulation = Simulation::new(seed, true);
        for _ in 0..STEPS_PER_SIMULATION {
            simulation.step();
        }
    }
}
