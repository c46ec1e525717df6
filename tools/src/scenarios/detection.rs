//! Failure detection over a sweep of its parameters, in simulated time.
//!
//! Each member's detector runs as it is; messages between them are lost at
//! random. What comes out is the time until a dead member is removed, and how
//! often a live one is suspected or removed.

use crate::report::{Figures, Spread};
use cloverpier_core::{Clock, ManualClock, MemberId};
use cloverpier_member::{Detector, DetectorParams, DetectorStep, Member, MemberList, ProbeResult};
use fastrand::Rng;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

const MEMBERS: usize = 60;
const TICK: Duration = Duration::from_millis(100);
const QUIET: Duration = Duration::from_secs(600);
const DEATHS: usize = 20;
const GIVE_UP: Duration = Duration::from_secs(60);

struct Site {
    clock: ManualClock,
    rng: Rng,
    loss: f64,
    detectors: BTreeMap<MemberId, Detector>,
    dead: Option<MemberId>,
    heartbeats: u64,
    suspected: u64,
    removed: u64,
    removed_dead: bool,
}

/// Sweeps the parameters.
pub fn run(seed: u64) -> Figures {
    let mut rows = Vec::new();
    for period_ms in [200, 400, 800] {
        for periods in [2, 4, 6] {
            for loss in [0.01, 0.1] {
                let params = DetectorParams {
                    heartbeat_interval: Duration::from_millis(period_ms),
                    suspicion_timeout: Duration::from_millis(period_ms * periods),
                    ..DetectorParams::default()
                };
                rows.push(one(params, loss, seed));
            }
        }
    }
    let mut figures = Figures::default();
    figures.count("sweep", rows);
    figures
}

fn one(params: DetectorParams, loss: f64, seed: u64) -> Value {
    let mut site = Site::new(params, loss, seed);
    site.run_for(QUIET);
    let (heartbeats, suspected, removed) = (site.heartbeats, site.suspected, site.removed);
    let node_hours = MEMBERS as f64 * QUIET.as_secs_f64() / 3_600.0;
    let node_seconds = MEMBERS as f64 * QUIET.as_secs_f64();
    let waits: Vec<Duration> = (0..DEATHS).filter_map(|i| site.death(i)).collect();
    json!({
        "period_ms": params.heartbeat_interval.as_millis() as u64,
        "suspect_after_ms": params.suspicion_timeout.as_millis() as u64,
        "loss": loss,
        "heartbeats_a_node_s": heartbeats as f64 / node_seconds,
        "suspected_alive_a_node_hour": suspected as f64 / node_hours,
        "removed_alive_a_node_hour": removed as f64 / node_hours,
        "detected": waits.len(),
        "detection_ms": Spread::of(&waits),
    })
}

impl Site {
    fn new(params: DetectorParams, loss: f64, seed: u64) -> Self {
        let clock = ManualClock::new();
        let at = ([127, 0, 0, 1], 1).into();
        let members = (0..MEMBERS).map(|i| {
            let dc = format!("dc-{}", i % 10);
            Member::new(&format!("vm-{i}"), 1, &dc, at, at)
        });
        let list = MemberList::default().with_all_joined(members.collect());
        let watching = |member: &Member| {
            let mut detector = Detector::new(member.id.clone(), params);
            detector.set_members(&list, clock.now());
            (member.id.clone(), detector)
        };
        Self {
            detectors: list.members.iter().map(watching).collect(),
            rng: Rng::with_seed(seed),
            clock,
            loss,
            dead: None,
            heartbeats: 0,
            suspected: 0,
            removed: 0,
            removed_dead: false,
        }
    }

    /// Whether a request and its reply both arrive.
    fn round_trip(&mut self, to: &MemberId) -> bool {
        let there = self.rng.f64() >= self.loss;
        let back = self.rng.f64() >= self.loss;
        there && back && self.dead.as_ref() != Some(to)
    }

    fn run_for(&mut self, time: Duration) {
        let ticks = time.as_millis() / TICK.as_millis();
        for _ in 0..ticks {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.clock.advance(TICK);
        let ids: Vec<MemberId> = self.detectors.keys().cloned().collect();
        for id in ids {
            if self.dead.as_ref() == Some(&id) {
                continue;
            }
            let now = self.clock.now();
            let steps = self.detectors.get_mut(&id).map(|d| d.tick(now));
            for step in steps.unwrap_or_default() {
                self.carry_out(&id, step);
            }
        }
    }

    fn carry_out(&mut self, from: &MemberId, step: DetectorStep) {
        let now = self.clock.now();
        match step {
            DetectorStep::Heartbeat { to } => {
                self.heartbeats += 1;
                if self.round_trip(&to)
                    && let Some(detector) = self.detectors.get_mut(from)
                {
                    detector.on_message(&to, now);
                }
            }
            DetectorStep::Probe { target, helpers } => {
                self.suspected += u64::from(self.dead.as_ref() != Some(&target));
                for helper in helpers {
                    self.probe(from, &target, &helper);
                }
            }
            DetectorStep::Remove { members } => {
                let dead = self.dead.as_ref().is_some_and(|d| members.contains(d));
                self.removed_dead |= dead;
                self.removed += members.len() as u64 - u64::from(dead);
            }
            DetectorStep::Paused { .. } => {}
        }
    }

    fn probe(&mut self, from: &MemberId, target: &MemberId, helper: &MemberId) {
        if !self.round_trip(helper) {
            return;
        }
        let result = if self.round_trip(target) {
            ProbeResult::Reached
        } else {
            ProbeResult::NotReached
        };
        let now = self.clock.now();
        if let Some(detector) = self.detectors.get_mut(from) {
            detector.on_probe_result(target, result, now);
        }
    }

    /// Lets a member die, and gives the time until another removes it.
    fn death(&mut self, i: usize) -> Option<Duration> {
        let ids: Vec<MemberId> = self.detectors.keys().cloned().collect();
        self.dead = ids.get(i * 3 % MEMBERS).cloned();
        self.removed_dead = false;
        let started = self.clock.now();
        while !self.removed_dead && self.clock.now() - started < GIVE_UP {
            self.tick();
        }
        let took = self.clock.now() - started;
        self.dead = None;
        // It comes back; the others hear it again before the next one dies.
        self.run_for(Duration::from_secs(10));
        self.removed_dead.then_some(took)
    }
}
