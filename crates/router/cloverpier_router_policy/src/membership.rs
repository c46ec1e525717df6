//! Gossip membership and failure detection for large fleets, in which heartbeats between all routers would cost
//! too much.
//!
//! - **Question.** Which routers are alive? Which routers receive the next gossip message, which are
//!   probed, and which updates about other routers does the message carry?
//! - **Inputs.** Gossip messages, which carry the sender's own state and updates about other routers; the
//!   current time.
//! - **Result.** The [`MemberUpdate`]s to send, their recipients, and the live members.
//! - **Why.** The number of messages that a router sends and receives, and the time until an update reaches
//!   all routers, must not grow in proportion to the fleet. The routers form a ring, ordered by the hashes of
//!   their addresses. Each router sends every gossip message to its next [`SUCCESSORS`] routers on the ring,
//!   which detect its silence, and to a few random routers. A successor probes a silent router and declares
//!   the router dead if no message arrives. A router sends each update with several gossip messages, so that
//!   the update reaches all routers after a number of rounds that grows with the logarithm of the fleet size.
//!   A router that receives an update that declares it dead refutes the update with a higher stamp.
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002): probes, and updates piggybacked on other messages.
//! Unlike in SWIM, gossip messages also go to fixed neighbours, so that silence is detected without a probe
//! in each period.
//!
//! Updates about one router are ordered by the stamp that this router assigns: it raises the stamp with
//! each change of its own state, and an update with a lower stamp is older. No safety property depends on
//! which routers are recorded as alive.
//!
//! [`Membership`] owns the last update of each member, the ring, the queue of updates to send, and the
//! pending probes. Small fleets use heartbeats instead ([`crate::heartbeat`]).

mod exchange;
mod ring;
mod router_set;
mod targets;
mod update;
mod update_queue;

pub use exchange::MEMBERS_PER_MESSAGE;
pub use ring::{PredecessorCheck, SUCCESSORS};
pub use update::{
    GossipReply, LiveMember, MemberState, MemberUpdate, ReceivedGossip, UpdateOutcome,
};

use crate::peers::PeerState;
use cloverpier_core::DataCentre;
use ring::{Probe, ring_hash};
use router_set::RouterSet;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use update_queue::UpdateQueue;

/// Interval between the gossip messages of a router in a large fleet.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(400);
/// Minimum interval between two urgent reports of routers that are leaving or dead.
pub const DEPARTURE_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest expected time between a member's death and the moment when all routers have recorded it: the
/// silence before probes, the probes, and a few gossip rounds.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// A router that receives no message for this long is presumed to be cut off from the network, and its
/// record of other routers is not used.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a dead member is kept. Until then it occasionally receives gossip, so that the two sides of a
/// healed partition discover each other again.
const DEAD_MEMBER_TTL: Duration = Duration::from_secs(60);
/// Maximum number of updates in one gossip message. An update takes about 60 bytes where the data centre's
/// name has 20 bytes.
pub const UPDATES_PER_MESSAGE: usize = 24;

/// The last update about another router, and when that router last sent a message.
#[derive(Clone, Debug)]
struct Member {
    callers: SocketAddr,
    data_centre: DataCentre,
    state: MemberState,
    stamp: u64,
    /// When the member itself last sent a message to this router; `None` before the first.
    last_message_at: Option<Instant>,
    /// When this record last changed.
    updated_at: Instant,
}

impl Member {
    fn is_dead(&self) -> bool {
        self.state == MemberState::Dead
    }
}

/// One router's record of the fleet's members.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberUpdate,
    members: HashMap<SocketAddr, Member>,
    /// This router and all live members, ordered by the hashes of their addresses.
    ring: BTreeSet<(u64, SocketAddr)>,
    /// Live members in this router's data centre.
    local: RouterSet,
    /// Live members in other data centres.
    remote: RouterSet,
    dead: RouterSet,
    updates: UpdateQueue,
    probes: HashMap<SocketAddr, Probe>,
    /// When the last message from any other router arrived; `None` before the first.
    last_received_at: Option<Instant>,
    /// Leaving and dead routers, to be reported without waiting for the next gossip period.
    departures: BTreeSet<SocketAddr>,
    /// Gossip rounds since the start.
    rounds: u32,
    /// XOR of the [`state_hash`] of this router and of all members.
    digest: u64,
    /// When a digest received from this data centre last equalled this router's; the first digest that
    /// differs sets it, too.
    digest_matched_at: Option<Instant>,
    /// When this router last requested another router's member list.
    members_requested_at: Option<Instant>,
    /// When this router last sent its member list.
    members_sent_at: Option<Instant>,
}

impl Membership {
    /// Creates the record of a router that has received no message yet. The stamp in `own` must exceed the
    /// stamps of earlier processes at this address; the wall clock provides such a stamp. After a backward
    /// clock step, the first update about this router that it receives corrects the stamp.
    pub fn new(own: MemberUpdate) -> Self {
        let mut ring = BTreeSet::new();
        ring.insert((ring_hash(own.router), own.router));
        Self {
            digest: state_hash(&own),
            own,
            members: HashMap::new(),
            ring,
            local: RouterSet::default(),
            remote: RouterSet::default(),
            dead: RouterSet::default(),
            updates: UpdateQueue::default(),
            probes: HashMap::new(),
            last_received_at: None,
            departures: BTreeSet::new(),
            rounds: 0,
            digest_matched_at: None,
            members_requested_at: None,
            members_sent_at: None,
        }
    }

    /// The state that this router's gossip messages report for itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Sets the state that this router reports for itself; a changed state raises the stamp.
    pub fn set_own_state(&mut self, state: PeerState) {
        let state = MemberState::Alive(state);
        if self.own.state != state {
            let stamp = self.own.stamp + 1;
            self.set_own(MemberUpdate {
                state,
                stamp,
                ..self.own.clone()
            });
        }
    }

    fn set_own(&mut self, own: MemberUpdate) {
        self.digest ^= state_hash(&self.own) ^ state_hash(&own);
        self.own = own;
    }

    /// A digest of the recorded states of this router and all members that are not dead. Two routers with
    /// the same records have the same digest.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether a router is recorded as a member, dead or alive.
    pub fn contains(&self, router: SocketAddr) -> bool {
        self.members.contains_key(&router)
    }

    /// Whether a router is recorded as dead.
    pub fn is_recorded_dead(&self, router: SocketAddr) -> bool {
        self.members.get(&router).is_some_and(Member::is_dead)
    }

    /// Number of members that are not dead, without this router.
    pub fn count(&self) -> usize {
        self.ring.len() - 1
    }

    /// Number of members recorded as dead; they are removed after a minute.
    pub fn lost_count(&self) -> usize {
        self.dead.len()
    }

    /// Records a message from a router; `sender` is the state that the router reports for itself.
    pub fn on_message(&mut self, sender: MemberUpdate, now: Instant) -> UpdateOutcome {
        if sender.router == self.own.router {
            return UpdateOutcome::Unchanged;
        }
        self.last_received_at = Some(now);
        let router = sender.router;
        let member = self.members.get_mut(&router);
        if let Some(member) = member {
            member.last_message_at = Some(now);
            if member.is_dead() && member.stamp >= sender.stamp {
                return UpdateOutcome::RecordedDead;
            }
        }
        let outcome = self.on_update(sender, now);
        if let Some(member) = self.members.get_mut(&router) {
            member.last_message_at = Some(now);
        }
        outcome
    }

    /// Records a message without a stamp, as heartbeats are. The recorded stamp is assumed, and a higher
    /// one if the sender is recorded as dead, because the message proves that the sender is alive.
    pub fn on_unstamped_message(&mut self, sender: MemberUpdate, now: Instant) -> UpdateOutcome {
        let member = self.members.get(&sender.router);
        let stamp = member.map_or(0, |member| member.stamp + u64::from(member.is_dead()));
        self.on_message(MemberUpdate { stamp, ..sender }, now)
    }

    /// Records an update about any router, as received from another router.
    pub fn on_update(&mut self, update: MemberUpdate, now: Instant) -> UpdateOutcome {
        if update.router == self.own.router {
            return self.on_own_update(&update);
        }
        let is_dead = update.state == MemberState::Dead;
        let Some(member) = self.members.get(&update.router) else {
            // The death of a router that has no record here needs no record.
            if is_dead {
                return UpdateOutcome::Unchanged;
            }
            self.put(update, None, now);
            return UpdateOutcome::Changed;
        };
        if update.stamp == member.stamp && update.state == member.state {
            self.updates
                .on_redundant_update(update.router, self.ring.len());
            return UpdateOutcome::Unchanged;
        }
        let is_newer = update.stamp > member.stamp;
        let is_death = update.stamp == member.stamp && is_dead && !member.is_dead();
        if !is_newer && !is_death {
            return UpdateOutcome::Unchanged;
        }
        let differs = member.state != update.state || member.callers != update.callers;
        let last_message_at = member.last_message_at;
        self.put(update, last_message_at, now);
        if differs {
            UpdateOutcome::Changed
        } else {
            UpdateOutcome::Unchanged
        }
    }

    /// Refutes an update that declares this router dead, or that an earlier process at this address left,
    /// by raising this router's stamp above the update's.
    fn on_own_update(&mut self, update: &MemberUpdate) -> UpdateOutcome {
        if update.stamp < self.own.stamp || (update.stamp == self.own.stamp && *update == self.own)
        {
            return UpdateOutcome::Unchanged;
        }
        let stamp = update.stamp + 1;
        self.set_own(MemberUpdate {
            stamp,
            ..self.own.clone()
        });
        UpdateOutcome::Changed
    }

    /// Replaces a member's record, adjusts the sets and the digest, and queues the update for sending.
    fn put(&mut self, update: MemberUpdate, last_message_at: Option<Instant>, now: Instant) {
        let previous = self.update_of(update.router);
        self.digest ^= previous.as_ref().map_or(0, state_hash) ^ state_hash(&update);
        let ring_position = (ring_hash(update.router), update.router);
        if update.state == MemberState::Dead {
            self.ring.remove(&ring_position);
            self.probes.remove(&update.router);
            self.local.remove(update.router);
            self.remote.remove(update.router);
            self.dead.insert(update.router);
        } else {
            self.ring.insert(ring_position);
            self.dead.remove(update.router);
            if update.data_centre == self.own.data_centre {
                self.local.insert(update.router);
            } else {
                self.remote.insert(update.router);
            }
        }
        self.updates.push(update.router);
        let is_departing = [MemberState::Dead, MemberState::Alive(PeerState::Leaving)];
        if is_departing.contains(&update.state) {
            self.departures.insert(update.router);
        } else {
            self.departures.remove(&update.router);
        }
        let member = Member {
            callers: update.callers,
            data_centre: update.data_centre,
            state: update.state,
            stamp: update.stamp,
            last_message_at,
            updated_at: now,
        };
        self.members.insert(update.router, member);
    }

    fn update_of(&self, router: SocketAddr) -> Option<MemberUpdate> {
        let member = self.members.get(&router)?;
        Some(MemberUpdate {
            router,
            callers: member.callers,
            data_centre: member.data_centre.clone(),
            state: member.state,
            stamp: member.stamp,
        })
    }

    /// Whether there are leaving or dead routers that have not been reported at once yet.
    pub fn has_departures(&self) -> bool {
        !self.departures.is_empty()
    }

    /// Removes and returns updates about leaving and dead routers, at most [`MEMBERS_PER_MESSAGE`]. The
    /// caller sends them to [`Membership::urgent_targets`].
    pub fn take_departures(&mut self) -> Vec<MemberUpdate> {
        let mut departures = std::mem::take(&mut self.departures);
        // Departures that do not fit into one message stay for the next call.
        while departures.len() > MEMBERS_PER_MESSAGE {
            self.departures.extend(departures.pop_last());
        }
        let routers = departures.into_iter();
        routers
            .filter_map(|router| self.update_of(router))
            .collect()
    }

    /// Returns the updates for the next gossip message, and counts them as sent once more. Each update goes
    /// into a limited number of messages.
    pub fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let routers = self.updates.take(UPDATES_PER_MESSAGE, self.ring.len());
        let routers = routers.into_iter();
        routers
            .filter_map(|router| self.update_of(router))
            .collect()
    }

    /// Whether this router has received no message for 2.5 s, and is presumed to be cut off.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.last_received_at
            .is_none_or(|at| now.saturating_duration_since(at) > ISOLATION_TIMEOUT)
    }

    /// Removes members that have been recorded as dead for a minute.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_kept = |member: &Member| {
            !member.is_dead() || now.saturating_duration_since(member.updated_at) < DEAD_MEMBER_TTL
        };
        let expired = self.members.iter().filter(|(_, member)| !is_kept(member));
        let expired: Vec<SocketAddr> = expired.map(|(router, _)| *router).collect();
        for router in expired {
            self.members.remove(&router);
            self.dead.remove(router);
        }
    }

    /// The live members, in ring order from this router on; none while this router is isolated.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = LiveMember<'_>> {
        let is_isolated = self.is_isolated(now);
        // The order begins at this router's ring position, so that routers that use only the first few
        // members each use different ones.
        let own = self.own_ring_position();
        let around = self.ring.range(own..).chain(self.ring.range(..own));
        let ring = around.filter(move |_| !is_isolated);
        ring.filter_map(|(_, router)| {
            let member = self.members.get(router)?;
            let MemberState::Alive(state) = member.state else {
                return None;
            };
            Some(LiveMember {
                router: *router,
                callers: member.callers,
                data_centre: &member.data_centre,
                state,
            })
        })
    }

    /// The peer addresses of all members, dead ones included.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.keys().copied().collect()
    }

    /// The addresses for callers of all members whose last recorded state is ready.
    pub fn last_known_ready(&self) -> Vec<SocketAddr> {
        let ready = MemberState::Alive(PeerState::Ready);
        let members = self.members.values().filter(|m| m.state == ready);
        members.map(|member| member.callers).collect()
    }
}

/// The hash that a router contributes to the digest; 0 for a dead router.
fn state_hash(update: &MemberUpdate) -> u64 {
    let state = match update.state {
        MemberState::Dead => return 0,
        MemberState::Alive(PeerState::Starting) => 1,
        MemberState::Alive(PeerState::Ready) => 2,
        MemberState::Alive(PeerState::Leaving) => 3,
    };
    let stamp = update.stamp.wrapping_mul(4).wrapping_add(state);
    // The multiplication spreads the stamp over all bits, so that two changes rarely cancel each other in
    // the digest's XOR.
    ring_hash(update.router) ^ stamp.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
