//! The ring of routers, and failure detection of a router's predecessors on it.
//!
//! Defines the pending probes, which [`Membership`] holds. A router that was paused, or that receives no
//! messages, declares no other router dead, because its own pause or lost connection may explain the silence.

use super::{MemberState, MemberUpdate, Membership};
use cloverpier_core::hash_of;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of successors on the ring that receive each gossip message of a router and detect its silence. There
/// are two, because one of them may be dead, too.
pub const SUCCESSORS: usize = 2;
/// Silence of a predecessor after which it is probed: two and a half gossip periods.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(1_000);
/// Interval between probes of one router.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of unanswered probes after which a router is declared dead, one interval after the last probe.
const MAX_UNANSWERED_PROBES: u32 = 3;

/// The silence of one predecessor, and the probes sent because of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    /// When the silence began: at the predecessor's last message, or when this router began to check the
    /// predecessor.
    silent_since: Instant,
    probes_sent: u32,
    last_probe_at: Option<Instant>,
}

/// The result of one check of the predecessors' silence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PredecessorCheck {
    /// Predecessors to be sent a gossip message that requires a reply.
    pub probe: Vec<SocketAddr>,
    /// Predecessors that this check declared dead and recorded as such.
    pub dead: Vec<SocketAddr>,
}

impl Membership {
    pub(super) fn own_ring_position(&self) -> (u64, SocketAddr) {
        (ring_hash(self.own.router), self.own.router)
    }

    pub(super) fn successors(&self) -> Vec<SocketAddr> {
        let own = self.own_ring_position();
        let after = self.ring.range(own..).skip(1);
        let around = after.chain(self.ring.range(..own));
        around.take(SUCCESSORS).map(|(_, router)| *router).collect()
    }

    fn predecessors(&self) -> Vec<SocketAddr> {
        let own = self.own_ring_position();
        let before = self.ring.range(..own).rev();
        let around = before.chain(self.ring.range(own..).rev());
        let others = around.filter(|(_, router)| *router != self.own.router);
        others.take(SUCCESSORS).map(|(_, router)| *router).collect()
    }

    /// Checks how long each predecessor has been silent. If this process was paused (`was_paused`), silence
    /// is no evidence of a failure, and the measurement starts again.
    pub fn check_predecessors(&mut self, was_paused: bool, now: Instant) -> PredecessorCheck {
        let predecessors = self.predecessors();
        if was_paused {
            self.probes.clear();
        }
        self.probes
            .retain(|router, _| predecessors.contains(router));
        let mut check = PredecessorCheck::default();
        // An isolated router can't distinguish dead predecessors from its own loss of connection.
        if self.is_isolated(now) {
            self.probes.clear();
            return check;
        }
        for router in predecessors {
            match self.probe_decision(router, now) {
                ProbeDecision::Wait => {}
                ProbeDecision::Probe => check.probe.push(router),
                ProbeDecision::DeclareDead => check.dead.push(router),
            }
        }
        for router in &check.dead {
            self.declare_dead(*router, now);
        }
        check
    }

    fn probe_decision(&mut self, router: SocketAddr, now: Instant) -> ProbeDecision {
        let last_message_at = self
            .members
            .get(&router)
            .and_then(|member| member.last_message_at);
        let probe = self.probes.entry(router).or_insert(Probe {
            silent_since: now,
            probes_sent: 0,
            last_probe_at: None,
        });
        if let Some(last_message_at) = last_message_at.filter(|at| *at > probe.silent_since) {
            *probe = Probe {
                silent_since: last_message_at,
                probes_sent: 0,
                last_probe_at: None,
            };
        }
        let passed = |at: Instant| now.saturating_duration_since(at);
        let is_due = match probe.last_probe_at {
            None => passed(probe.silent_since) >= PROBE_AFTER_SILENCE,
            Some(last_probe_at) => passed(last_probe_at) >= PROBE_INTERVAL,
        };
        if !is_due {
            return ProbeDecision::Wait;
        }
        if probe.probes_sent == MAX_UNANSWERED_PROBES {
            return ProbeDecision::DeclareDead;
        }
        probe.probes_sent += 1;
        probe.last_probe_at = Some(now);
        ProbeDecision::Probe
    }

    fn declare_dead(&mut self, router: SocketAddr, now: Instant) {
        let update = self.update_of(router);
        let last_message_at = self
            .members
            .get(&router)
            .and_then(|member| member.last_message_at);
        if let Some(update) = update {
            let state = MemberState::Dead;
            self.put(MemberUpdate { state, ..update }, last_message_at, now);
        }
    }
}

/// The action that a predecessor's silence requires.
enum ProbeDecision {
    Wait,
    Probe,
    DeclareDead,
}

/// The hash of a router's address, which orders the ring.
pub(super) fn ring_hash(router: SocketAddr) -> u64 {
    hash_of(&router.to_string())
}
