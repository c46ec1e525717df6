//! The ring: who is next to whom, and what a neighbour's silence means.
//!
//! Owns the probes under way. A router that was paused, or that receives nothing from others, judges nobody.

use super::{MemberState, MemberUpdate, Membership};
use cloverpier_core::hash_of;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The next routers on the ring, which notice a router's silence: one of them may be dead, too.
pub const SUCCESSORS: usize = 2;
/// Silence of a predecessor after which it is probed: two messages and a half.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Pause between probes, and how many may stay unanswered.
const PROBE_PERIOD: Duration = Duration::from_millis(200);
const PROBES: u32 = 3;

/// A probe of a predecessor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    /// When its silence began to count.
    since: Instant,
    sent: u32,
    last: Option<Instant>,
}

/// What the ring requires of this router now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RingStep {
    /// Predecessors to probe.
    pub probe: Vec<SocketAddr>,
    /// Predecessors that were declared dead.
    pub dead: Vec<SocketAddr>,
}

impl Membership {
    pub(super) fn own_place(&self) -> (u64, SocketAddr) {
        (rank_of(self.own.router), self.own.router)
    }

    pub(super) fn successors(&self) -> Vec<SocketAddr> {
        let own = self.own_place();
        let after = self.ring.range(own..).skip(1);
        let around = after.chain(self.ring.range(..own));
        around.take(SUCCESSORS).map(|(_, router)| *router).collect()
    }

    fn predecessors(&self) -> Vec<SocketAddr> {
        let own = self.own_place();
        let before = self.ring.range(..own).rev();
        let around = before.chain(self.ring.range(own..).rev());
        let others = around.filter(|(_, router)| *router != self.own.router);
        others.take(SUCCESSORS).map(|(_, router)| *router).collect()
    }

    /// Judges the silence of the predecessors. Where this process was paused, silence says nothing:
    /// it counts anew.
    pub fn ring_step(&mut self, was_paused: bool, now: Instant) -> RingStep {
        let predecessors = self.predecessors();
        if was_paused {
            self.probes.clear();
        }
        self.probes
            .retain(|router, _| predecessors.contains(router));
        let mut step = RingStep::default();
        // A router that is cut off itself judges nobody.
        if self.is_alone(now) {
            self.probes.clear();
            return step;
        }
        for router in predecessors {
            match self.judge(router, now) {
                Judgement::Fine => {}
                Judgement::Probe => step.probe.push(router),
                Judgement::Dead => step.dead.push(router),
            }
        }
        for router in &step.dead {
            self.declare_dead(*router, now);
        }
        step
    }

    fn judge(&mut self, router: SocketAddr, now: Instant) -> Judgement {
        let heard = self.members.get(&router).and_then(|member| member.heard);
        let probe = self.probes.entry(router).or_insert(Probe {
            since: now,
            sent: 0,
            last: None,
        });
        if let Some(heard) = heard.filter(|heard| *heard > probe.since) {
            *probe = Probe {
                since: heard,
                sent: 0,
                last: None,
            };
        }
        let passed = |at: Instant| now.saturating_duration_since(at);
        let is_due = match probe.last {
            None => passed(probe.since) >= SILENCE,
            Some(last) => passed(last) >= PROBE_PERIOD,
        };
        if !is_due {
            return Judgement::Fine;
        }
        if probe.sent == PROBES {
            return Judgement::Dead;
        }
        probe.sent += 1;
        probe.last = Some(now);
        Judgement::Probe
    }

    fn declare_dead(&mut self, router: SocketAddr, now: Instant) {
        let update = self.update_of(router);
        let heard = self.members.get(&router).and_then(|member| member.heard);
        if let Some(update) = update {
            let state = MemberState::Dead;
            self.put(MemberUpdate { state, ..update }, heard, now);
        }
    }
}

/// What a predecessor's silence means.
enum Judgement {
    Fine,
    Probe,
    Dead,
}

/// A router's place on the ring.
pub(super) fn rank_of(router: SocketAddr) -> u64 {
    hash_of(&router.to_string())
}
