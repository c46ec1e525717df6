//! Which routers there are, and which of them live, in a fleet too large for heartbeats to all.
//!
//! - **Question.** Which routers live? Who gets the next message about that, who is probed, and what
//!   does the message say of others?
//! - **Inputs.** Messages from routers, with what they say of themselves and of others; moments.
//! - **Answer.** [`MemberUpdate`] to send, and to whom; the members that live.
//! - **Why.** What a router sends, receives and waits must not grow with the fleet. So the routers form a
//!   ring by the hash of their addresses, and each sends every message to its next [`SUCCESSORS`] there,
//!   which notice its silence, and to a few others at random. A router that is silent is probed, and
//!   declared dead by who probed it if it does not answer. That, like anything else that changes, goes on
//!   with the messages that are sent anyway, some times each: after as many rounds as the logarithm of
//!   the fleet all know it. A router that learns that it counts as dead says that it is not.
//!
//! This is SWIM (Das, Gupta, Motivala, 2002): probes, and updates that travel with other messages. Here the
//! messages go to fixed neighbours, too, so that silence is noticed without a probe each period.
//!
//! Updates of a router are ordered by its stamp, which it raises with each change of its own state: what
//! has a lower stamp is older. Nothing of safety depends on who counts as alive.
//!
//! [`Membership`] owns all members with the last update of each, the ring, the updates to pass on, and the
//! probes under way. Small fleets do without it ([`crate::heartbeat`]).

mod exchange;
mod ring;
mod roster;
mod targets;
mod update;
mod update_queue;

pub use exchange::MEMBERS_PER_MESSAGE;
pub use ring::{RingStep, SUCCESSORS};
pub use update::{GossipReply, GossipSeen, Heard, LiveMember, MemberState, MemberUpdate};

use crate::peers::PeerState;
use cloverpier_core::DataCentre;
use ring::{Probe, rank_of};
use roster::Roster;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use update_queue::UpdateQueue;

/// How often a router of a large fleet sends messages.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(400);
/// Routers that end are reported at once, once in this time at most.
pub const ENDED_PERIOD: Duration = Duration::from_millis(100);
/// How long after its end a member may count as alive: silence, probes, and some rounds of updates.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// A router that receives nothing from others for this long is cut off, and knows nothing of others.
const ALONE_AFTER: Duration = Duration::from_millis(2_500);
/// A dead router is forgotten after this long; until then it is sent a message now and then, so that
/// routers find each other again after a partition.
const DEAD_KEPT_FOR: Duration = Duration::from_secs(60);
/// Updates in one message: with data centres' names of 20 bytes they take some 60 bytes each.
pub const UPDATES_PER_MESSAGE: usize = 24;

/// A router, as it is known.
#[derive(Clone, Debug)]
struct Member {
    callers: SocketAddr,
    data_centre: DataCentre,
    state: MemberState,
    stamp: u64,
    /// When a message of its own arrived last.
    heard: Option<Instant>,
    /// When the last update of it came.
    changed: Instant,
}

impl Member {
    fn is_dead(&self) -> bool {
        self.state == MemberState::Dead
    }
}

/// The routers that a router knows.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberUpdate,
    members: HashMap<SocketAddr, Member>,
    /// Those that are not dead, and this router, by rank.
    ring: BTreeSet<(u64, SocketAddr)>,
    /// Those that are not dead, in the own data centre and elsewhere.
    near: Roster,
    elsewhere: Roster,
    dead: Roster,
    updates: UpdateQueue,
    probes: HashMap<SocketAddr, Probe>,
    heard_any: Option<Instant>,
    /// Routers that end, which are reported without waiting for the next period.
    ended: BTreeSet<SocketAddr>,
    messages: u32,
    /// Of what is known of those that are not dead.
    digest: u64,
    /// When another router last knew the same.
    agreed: Option<Instant>,
    /// When all members were asked for, and sent.
    asked: Option<Instant>,
    sent_all: Option<Instant>,
}

impl Membership {
    /// A router that knows nobody. `stamp` must be greater than those of its former runs: the time of
    /// day does; where a clock went back, the first update of itself corrects it.
    pub fn new(own: MemberUpdate) -> Self {
        let mut ring = BTreeSet::new();
        ring.insert((rank_of(own.router), own.router));
        Self {
            digest: mark(&own),
            own,
            members: HashMap::new(),
            ring,
            near: Roster::default(),
            elsewhere: Roster::default(),
            dead: Roster::default(),
            updates: UpdateQueue::default(),
            probes: HashMap::new(),
            heard_any: None,
            ended: BTreeSet::new(),
            messages: 0,
            agreed: None,
            asked: None,
            sent_all: None,
        }
    }

    /// What this router says of itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Says something else of this router from now on.
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
        self.digest ^= mark(&self.own) ^ mark(&own);
        self.own = own;
    }

    /// A digest of what is known of the members that are not dead, this router among them: routers that
    /// know the same have the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether a router is a member, dead or not.
    pub fn knows(&self, router: SocketAddr) -> bool {
        self.members.contains_key(&router)
    }

    /// Whether a router counts as dead.
    pub fn is_known_dead(&self, router: SocketAddr) -> bool {
        self.members.get(&router).is_some_and(Member::is_dead)
    }

    /// Number of members, dead ones not among them, this router not either.
    pub fn count(&self) -> usize {
        self.ring.len() - 1
    }

    /// Number of routers that were declared dead within the last minute.
    pub fn lost(&self) -> usize {
        self.dead.len()
    }

    /// Records a message from a router, with what it says of itself.
    pub fn on_message(&mut self, sender: MemberUpdate, now: Instant) -> Heard {
        if sender.router == self.own.router {
            return Heard::Known;
        }
        self.heard_any = Some(now);
        let router = sender.router;
        let known = self.members.get_mut(&router);
        if let Some(known) = known {
            known.heard = Some(now);
            if known.is_dead() && known.stamp >= sender.stamp {
                return Heard::TakenForDead;
            }
        }
        let heard = self.on_update(sender, now);
        if let Some(member) = self.members.get_mut(&router) {
            member.heard = Some(now);
        }
        heard
    }

    /// Records a message of a router of a release that says nothing of stamps: that it runs is known
    /// all the same.
    pub fn on_plain_message(&mut self, sender: MemberUpdate, now: Instant) -> Heard {
        let known = self.members.get(&sender.router);
        let stamp = known.map_or(0, |known| known.stamp + u64::from(known.is_dead()));
        self.on_message(MemberUpdate { stamp, ..sender }, now)
    }

    /// Records what another router says of a router.
    pub fn on_update(&mut self, update: MemberUpdate, now: Instant) -> Heard {
        if update.router == self.own.router {
            return self.on_own_update(&update);
        }
        let is_dead = update.state == MemberState::Dead;
        let Some(known) = self.members.get(&update.router) else {
            // A dead router that was not known needs no memory.
            if is_dead {
                return Heard::Known;
            }
            self.put(update, None, now);
            return Heard::Changed;
        };
        if update.stamp == known.stamp && update.state == known.state {
            self.updates.heard_again(update.router, self.ring.len());
            return Heard::Known;
        }
        let is_newer = update.stamp > known.stamp;
        let is_end = update.stamp == known.stamp && is_dead && !known.is_dead();
        if !is_newer && !is_end {
            return Heard::Known;
        }
        let differs = known.state != update.state || known.callers != update.callers;
        let heard = known.heard;
        self.put(update, heard, now);
        if differs {
            Heard::Changed
        } else {
            Heard::Known
        }
    }

    /// Somebody takes this router for dead, or for a former run of it.
    fn on_own_update(&mut self, update: &MemberUpdate) -> Heard {
        if update.stamp < self.own.stamp || (update.stamp == self.own.stamp && *update == self.own)
        {
            return Heard::Known;
        }
        let stamp = update.stamp + 1;
        self.set_own(MemberUpdate {
            stamp,
            ..self.own.clone()
        });
        Heard::Changed
    }

    fn put(&mut self, update: MemberUpdate, heard: Option<Instant>, now: Instant) {
        let former = self.update_of(update.router);
        self.digest ^= former.as_ref().map_or(0, mark) ^ mark(&update);
        let place = (rank_of(update.router), update.router);
        if update.state == MemberState::Dead {
            self.ring.remove(&place);
            self.probes.remove(&update.router);
            self.near.remove(update.router);
            self.elsewhere.remove(update.router);
            self.dead.insert(update.router);
        } else {
            self.ring.insert(place);
            self.dead.remove(update.router);
            if update.data_centre == self.own.data_centre {
                self.near.insert(update.router);
            } else {
                self.elsewhere.insert(update.router);
            }
        }
        self.updates.push(update.router);
        let is_ending = [MemberState::Dead, MemberState::Alive(PeerState::Leaving)];
        if is_ending.contains(&update.state) {
            self.ended.insert(update.router);
        } else {
            self.ended.remove(&update.router);
        }
        let member = Member {
            callers: update.callers,
            data_centre: update.data_centre,
            state: update.state,
            stamp: update.stamp,
            heard,
            changed: now,
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

    /// Whether routers end that are to be reported at once.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// The routers that end, to be reported to [`Membership::urgent_targets`] at once; they count as
    /// reported then.
    pub fn take_ended(&mut self) -> Vec<MemberUpdate> {
        let mut ended = std::mem::take(&mut self.ended);
        // What does not fit waits for the next time.
        while ended.len() > MEMBERS_PER_MESSAGE {
            self.ended.extend(ended.pop_last());
        }
        let known = ended.into_iter();
        known.filter_map(|router| self.update_of(router)).collect()
    }

    /// Updates for the next message; each goes into some messages.
    pub fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let routers = self.updates.take(UPDATES_PER_MESSAGE, self.ring.len());
        let known = routers.into_iter();
        known.filter_map(|router| self.update_of(router)).collect()
    }

    /// Whether this router receives nothing from others.
    pub fn is_alone(&self, now: Instant) -> bool {
        self.heard_any
            .is_none_or(|at| now.saturating_duration_since(at) > ALONE_AFTER)
    }

    /// Forgets routers that have been dead for long.
    pub fn forget_old(&mut self, now: Instant) {
        let is_kept = |member: &Member| {
            !member.is_dead() || now.saturating_duration_since(member.changed) < DEAD_KEPT_FOR
        };
        let over = self.members.iter().filter(|(_, member)| !is_kept(member));
        let over: Vec<SocketAddr> = over.map(|(router, _)| *router).collect();
        for router in over {
            self.members.remove(&router);
            self.dead.remove(router);
        }
    }

    /// The members that live; none where this router is cut off.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = LiveMember<'_>> {
        let is_alone = self.is_alone(now);
        // From this router's place on: whoever takes the first of them takes others than its peers do.
        let own = self.own_place();
        let around = self.ring.range(own..).chain(self.ring.range(..own));
        let ring = around.filter(move |_| !is_alone);
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

    /// The addresses of all members, dead or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.keys().copied().collect()
    }

    /// Where callers reach the members that were ready when something was last known of them.
    pub fn once_ready(&self) -> Vec<SocketAddr> {
        let ready = MemberState::Alive(PeerState::Ready);
        let members = self.members.values().filter(|m| m.state == ready);
        members.map(|member| member.callers).collect()
    }
}

/// A router's part in the digest; none if it is dead.
fn mark(update: &MemberUpdate) -> u64 {
    let state = match update.state {
        MemberState::Dead => return 0,
        MemberState::Alive(PeerState::Starting) => 1,
        MemberState::Alive(PeerState::Ready) => 2,
        MemberState::Alive(PeerState::Leaving) => 3,
    };
    let stamp = update.stamp.wrapping_mul(4).wrapping_add(state);
    // Spread over all bits, so that two changes hardly cancel each other.
    rank_of(update.router) ^ stamp.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
