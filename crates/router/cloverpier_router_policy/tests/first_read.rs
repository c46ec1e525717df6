//! Who reads the store at a start.

use cloverpier_router_policy::first_read::{FirstRead, StartupState, first_read};
use std::time::Duration;

fn starting(peers: usize, age_ms: u64) -> StartupState {
    StartupState {
        is_seed: false,
        age: Duration::from_millis(age_ms),
        has_peers: peers > 0,
        peers,
        random: 0.5,
    }
}

#[test]
fn a_seed_reads_at_once() {
    let seed = StartupState {
        is_seed: true,
        ..starting(0, 0)
    };
    assert_eq!(first_read(&seed), FirstRead::Now);
}

#[test]
fn a_router_that_hears_from_nobody_reads_soon() {
    let wait = first_read(&starting(0, 0));
    let FirstRead::NotBefore(age) = wait else {
        panic!("{wait:?}");
    };
    assert!(age <= Duration::from_millis(250));
    let then = StartupState {
        age,
        ..starting(0, 0)
    };
    assert_eq!(first_read(&then), FirstRead::Now);
}

#[test]
fn routers_of_a_large_fleet_wait_for_their_peers() {
    assert_ne!(first_read(&starting(985, 2_000)), FirstRead::Now);
    assert_eq!(first_read(&starting(985, 20_000)), FirstRead::Now);
}

#[test]
fn routers_that_were_handed_nothing_do_not_all_read_together() {
    let reads_at = |random| {
        let starting = StartupState {
            random,
            ..starting(985, 0)
        };
        match first_read(&starting) {
            FirstRead::Now => Duration::ZERO,
            FirstRead::NotBefore(age) => age,
        }
    };
    let spread = reads_at(1.0) - reads_at(0.0);
    assert!(spread >= Duration::from_secs(3), "{spread:?}");
}

/// A fleet that starts at once before a store that holds a long list.
struct StartPlay {
    routers: usize,
    seeds: usize,
    /// Bytes of the list as the store sends it.
    list: f64,
    /// Bytes a second that the store's link carries.
    link: f64,
    /// When the store begins to answer.
    store_from: f64,
    rng: fastrand::Rng,
}

/// One step of a play, in seconds.
const STEP_S: f64 = 0.05;
/// From one router to the next one the list takes so long, once one knows that the other has it.
const COPY_S: f64 = 0.5;
/// All have to serve again by then, whatever the store does before.
const RECOVERED_S: f64 = 15.0;
/// The store's link is not busy with lists for longer, as leases and changes go over it, too.
const BUSY_S: f64 = 2.0;

impl StartPlay {
    fn new(routers: usize, upstreams: usize, seed: u64) -> Self {
        Self {
            routers,
            seeds: 3,
            list: upstreams as f64 * 200.0,
            link: 125e6,
            store_from: 0.0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// When the last router had the list, in seconds after the start, and for how many seconds the
    /// store's link was busy.
    fn play(mut self) -> (f64, f64) {
        let mut routers: Vec<PlayedRouter> = (0..self.routers)
            .map(|index| PlayedRouter {
                is_seed: index < self.seeds,
                heard_from: 0.1 + 0.6 * self.rng.f64(),
                random: self.rng.f64(),
                left: self.list,
                got: None,
            })
            .collect();
        let mut sent = 0.0;
        let mut now = 0.0;
        while routers.iter().any(|router| router.got.is_none()) {
            assert!(now < 120.0, "{} of them wait for ever", self.routers);
            sent += self.read(&mut routers, now);
            self.hand_on(&mut routers, now);
            now += STEP_S;
        }
        (now, sent / self.link)
    }

    /// All that read share the store's link; returns what it sent.
    fn read(&self, routers: &mut [PlayedRouter], now: f64) -> f64 {
        if now < self.store_from {
            return 0.0;
        }
        let peers = self.routers - 1;
        let reads = |router: &PlayedRouter| router.got.is_none() && router.reads(peers, now);
        let readers = routers.iter().filter(|router| reads(router)).count();
        let share = self.link * STEP_S / readers.max(1) as f64;
        let mut sent = 0.0;
        for router in routers.iter_mut().filter(|router| reads(router)) {
            sent += share.min(router.left);
            router.left -= share;
            if router.left <= 0.0 {
                router.got = Some(now);
            }
        }
        sent
    }

    /// Each that has the list hands it to another one.
    fn hand_on(&mut self, routers: &mut [PlayedRouter], now: f64) {
        let has = |router: &PlayedRouter| router.got.is_some_and(|got| got + COPY_S <= now);
        let holders = routers.iter().filter(|router| has(router)).count();
        for _ in 0..holders {
            let chance = STEP_S / COPY_S;
            let to = self.rng.usize(..routers.len());
            if self.rng.f64() < chance && routers[to].got.is_none() {
                routers[to].got = Some(now);
            }
        }
    }
}

struct PlayedRouter {
    is_seed: bool,
    heard_from: f64,
    random: f64,
    /// Bytes of the list that it lacks.
    left: f64,
    got: Option<f64>,
}

impl PlayedRouter {
    fn reads(&self, peers: usize, now: f64) -> bool {
        let has_peers = now >= self.heard_from;
        let starting = StartupState {
            is_seed: self.is_seed,
            age: Duration::from_secs_f64(now),
            has_peers,
            peers: if has_peers { peers } else { 0 },
            random: self.random,
        };
        first_read(&starting) == FirstRead::Now
    }
}

#[test]
fn a_fleet_that_starts_at_once_soon_has_a_long_list() {
    for (routers, upstreams) in [(300, 3_000), (986, 10_000), (2_000, 20_000)] {
        let (all, busy) = StartPlay::new(routers, upstreams, 1).play();
        println!("{routers} routers: {all:.2} s, the store's link {busy:.2} s");
        assert!(all <= RECOVERED_S, "{routers} routers: {all}");
        assert!(busy <= BUSY_S, "{routers} routers: {busy}");
    }
}

#[test]
fn it_does_so_without_seeds_too() {
    let mut play = StartPlay::new(986, 10_000, 2);
    play.seeds = 0;
    let (all, _) = play.play();
    assert!(all <= RECOVERED_S, "{all}");
}

#[test]
fn a_store_that_is_away_for_long_is_not_asked_by_all_at_once() {
    let mut play = StartPlay::new(986, 10_000, 3);
    play.store_from = 5.0;
    let (all, busy) = play.play();
    assert!(all <= 5.0 + RECOVERED_S, "{all}");
    assert!(busy <= BUSY_S, "{busy}");
}
