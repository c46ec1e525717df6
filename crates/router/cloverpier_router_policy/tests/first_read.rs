//! The first reads of configuration and upstreams from the store, also in simulated fleets that start at once.

use cloverpier_router_policy::first_read::{FirstRead, StartupState, first_read};
use std::time::Duration;

fn startup_state(peers: usize, age_ms: u64) -> StartupState {
    StartupState {
        is_seed: false,
        age: Duration::from_millis(age_ms),
        has_peers: peers > 0,
        peers,
        random: 0.5,
    }
}

#[test]
fn a_seed_reads_immediately() {
    let seed = StartupState {
        is_seed: true,
        ..startup_state(0, 0)
    };
    assert_eq!(first_read(&seed), FirstRead::Now);
}

#[test]
fn a_router_without_messages_from_peers_reads_soon() {
    let wait = first_read(&startup_state(0, 0));
    let FirstRead::NotBefore(age) = wait else {
        panic!("{wait:?}");
    };
    assert!(age <= Duration::from_millis(250));
    let later = StartupState {
        age,
        ..startup_state(0, 0)
    };
    assert_eq!(first_read(&later), FirstRead::Now);
}

#[test]
fn routers_of_a_large_fleet_wait_for_their_peers() {
    assert_ne!(first_read(&startup_state(985, 2_000)), FirstRead::Now);
    assert_eq!(first_read(&startup_state(985, 20_000)), FirstRead::Now);
}

#[test]
fn routers_without_data_from_peers_read_at_different_times() {
    let reads_at = |random| {
        let startup_state = StartupState {
            random,
            ..startup_state(985, 0)
        };
        match first_read(&startup_state) {
            FirstRead::Now => Duration::ZERO,
            FirstRead::NotBefore(age) => age,
        }
    };
    let spread = reads_at(1.0) - reads_at(0.0);
    assert!(spread >= Duration::from_secs(3), "{spread:?}");
}

/// Simulates a fleet whose routers all start at once and need a long list of upstreams, from the store or from a
/// peer.
struct FleetStartSimulation {
    routers: usize,
    seeds: usize,
    /// Size of the list as the store sends it.
    list_bytes: f64,
    /// Bandwidth of the store's link.
    link_bytes_per_s: f64,
    /// When the store begins to respond, in seconds after the start of the fleet.
    store_available_from_s: f64,
    rng: fastrand::Rng,
}

/// Duration of one simulation step, in seconds.
const STEP_S: f64 = 0.05;
/// Time that a router with the list takes to send it to another router, in seconds.
const COPY_TIME_S: f64 = 0.5;
/// Longest time until all routers have the list, in seconds after the store responds.
const MAX_RECOVERY_S: f64 = 15.0;
/// Longest total time that lists may occupy the store's link, in seconds, because leases and changes use the link,
/// too.
const MAX_LINK_BUSY_S: f64 = 2.0;

impl FleetStartSimulation {
    fn new(routers: usize, upstreams: usize, seed: u64) -> Self {
        Self {
            routers,
            seeds: 3,
            list_bytes: upstreams as f64 * 200.0,
            link_bytes_per_s: 125e6,
            store_available_from_s: 0.0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns when the last router received the list, in seconds after the start, and for how many seconds the
    /// store's link was busy.
    fn run(mut self) -> (f64, f64) {
        let mut routers: Vec<SimulatedRouter> = (0..self.routers)
            .map(|index| SimulatedRouter {
                is_seed: index < self.seeds,
                first_message_at_s: 0.1 + 0.6 * self.rng.f64(),
                random: self.rng.f64(),
                remaining_bytes: self.list_bytes,
                received_at_s: None,
            })
            .collect();
        let mut sent = 0.0;
        let mut now = 0.0;
        while routers.iter().any(|router| router.received_at_s.is_none()) {
            assert!(
                now < 120.0,
                "some of {} routers never receive the list",
                self.routers
            );
            sent += self.read(&mut routers, now);
            self.send_copies(&mut routers, now);
            now += STEP_S;
        }
        (now, sent / self.link_bytes_per_s)
    }

    /// Divides the store's link between all reading routers for one step; returns the bytes sent.
    fn read(&self, routers: &mut [SimulatedRouter], now: f64) -> f64 {
        if now < self.store_available_from_s {
            return 0.0;
        }
        let peers = self.routers - 1;
        let reads =
            |router: &SimulatedRouter| router.received_at_s.is_none() && router.reads(peers, now);
        let readers = routers.iter().filter(|router| reads(router)).count();
        let share = self.link_bytes_per_s * STEP_S / readers.max(1) as f64;
        let mut sent = 0.0;
        for router in routers.iter_mut().filter(|router| reads(router)) {
            sent += share.min(router.remaining_bytes);
            router.remaining_bytes -= share;
            if router.remaining_bytes <= 0.0 {
                router.received_at_s = Some(now);
            }
        }
        sent
    }

    /// Has each router with the list send a copy to a random router, with a probability that gives one copy for each
    /// `COPY_TIME_S` on average.
    fn send_copies(&mut self, routers: &mut [SimulatedRouter], now: f64) {
        let can_send_copies = |router: &SimulatedRouter| {
            router
                .received_at_s
                .is_some_and(|at| at + COPY_TIME_S <= now)
        };
        let senders = routers
            .iter()
            .filter(|router| can_send_copies(router))
            .count();
        for _ in 0..senders {
            let probability = STEP_S / COPY_TIME_S;
            let to = self.rng.usize(..routers.len());
            if self.rng.f64() < probability && routers[to].received_at_s.is_none() {
                routers[to].received_at_s = Some(now);
            }
        }
    }
}

struct SimulatedRouter {
    is_seed: bool,
    first_message_at_s: f64,
    random: f64,
    /// Bytes of the list that this router has not received yet.
    remaining_bytes: f64,
    received_at_s: Option<f64>,
}

impl SimulatedRouter {
    fn reads(&self, peers: usize, now: f64) -> bool {
        let has_peers = now >= self.first_message_at_s;
        let startup_state = StartupState {
            is_seed: self.is_seed,
            age: Duration::from_secs_f64(now),
            has_peers,
            peers: if has_peers { peers } else { 0 },
            random: self.random,
        };
        first_read(&startup_state) == FirstRead::Now
    }
}

#[test]
fn a_fleet_that_starts_at_once_receives_a_long_list_in_time() {
    for (routers, upstreams) in [(300, 3_000), (986, 10_000), (2_000, 20_000)] {
        let (recovered_s, busy_s) = FleetStartSimulation::new(routers, upstreams, 1).run();
        println!("{routers} routers: {recovered_s:.2} s, the store's link {busy_s:.2} s");
        assert!(
            recovered_s <= MAX_RECOVERY_S,
            "{routers} routers: {recovered_s}"
        );
        assert!(busy_s <= MAX_LINK_BUSY_S, "{routers} routers: {busy_s}");
    }
}

#[test]
fn a_fleet_without_seeds_receives_a_long_list_in_time() {
    let mut simulation = FleetStartSimulation::new(986, 10_000, 2);
    simulation.seeds = 0;
    let (recovered_s, _) = simulation.run();
    assert!(recovered_s <= MAX_RECOVERY_S, "{recovered_s}");
}

#[test]
fn a_store_that_recovers_late_is_not_read_by_all_routers_at_once() {
    let mut simulation = FleetStartSimulation::new(986, 10_000, 3);
    simulation.store_available_from_s = 5.0;
    let (recovered_s, busy_s) = simulation.run();
    assert!(recovered_s <= 5.0 + MAX_RECOVERY_S, "{recovered_s}");
    assert!(busy_s <= MAX_LINK_BUSY_S, "{busy_s}");
}
