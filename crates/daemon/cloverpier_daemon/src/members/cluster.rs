//! What a router knows of its fellow members, and how it stands among them.
//!
//! Owns the list of members in force, the detector, guests, and when a peer or the platform last
//! answered. A router that receives nothing of either takes no new requests ([`Standing`]).

use cloverpier_core::{MemberId, hash_of, rendezvous_rank};
use cloverpier_member::{Detector, DetectorParams, Member, MemberList};
use cloverpier_peer::Guest;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Contact older than this leaves a router alone: longer than the suspicion time of 2.4 s.
const ALONE_AFTER: Duration = Duration::from_secs(4);
/// Time for which a guest is remembered: longer than `ALONE_AFTER`, as a guest that receives nothing
/// serves that long.
const GUEST_KEPT: Duration = Duration::from_secs(6);
/// Members of each data centre that watch the platform for all, so that one may die.
const WATCHERS: usize = 2;

/// Whether a router may take new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Good,
    /// No message from a peer or the platform for seconds: a newer
    /// configuration may be in force elsewhere.
    Alone,
}

/// Members, the detector, and when others last sent something.
#[derive(Debug)]
pub struct Cluster {
    list: Arc<MemberList>,
    /// The detector of silent members.
    pub detector: Detector,
    me: MemberId,
    peer_heard: Instant,
    platform_heard: Instant,
    joining: Vec<Member>,
    guests: BTreeMap<SocketAddr, (Guest, Instant)>,
}

impl Cluster {
    /// A process that knows nobody.
    pub fn new(me: &Member, now: Instant) -> Self {
        Self {
            list: Arc::default(),
            detector: Detector::new(me.id.clone(), DetectorParams::default()),
            me: me.id.clone(),
            peer_heard: now,
            platform_heard: now,
            joining: Vec::new(),
            guests: BTreeMap::new(),
        }
    }

    /// The list of members.
    pub fn list(&self) -> Arc<MemberList> {
        Arc::clone(&self.list)
    }

    /// Takes a list if its epoch is later; says whether it is.
    pub fn adopt(&mut self, list: &MemberList, now: Instant) -> bool {
        if list.epoch <= self.list.epoch {
            return false;
        }
        self.list = Arc::new(list.clone());
        self.detector.set_members(list, now);
        true
    }

    /// Notes that a process asked to be put on the list.
    pub fn on_join_asked(&mut self, member: Member) {
        self.joining.retain(|m| m.vm != member.vm);
        self.joining.push(member);
    }

    /// Takes the processes that asked since the last time.
    pub fn take_joining(&mut self) -> Vec<Member> {
        std::mem::take(&mut self.joining)
    }

    /// Whether this process is on the list.
    pub fn is_member(&self) -> bool {
        self.list.contains(&self.me)
    }

    /// Notes that a message of a peer arrived.
    pub fn on_peer(&mut self, from: &MemberId, now: Instant) {
        self.peer_heard = now;
        self.detector.on_message(from, now);
    }

    /// Notes a heartbeat; one of a router that is not on the list is a guest's.
    pub fn on_heartbeat(&mut self, from: &MemberId, peers_at: SocketAddr, now: Instant) {
        self.on_peer(from, now);
        if !self.list.contains(from) {
            let guest = Guest {
                member: from.clone(),
                peers_at,
            };
            self.guests.insert(peers_at, (guest, now));
        }
    }

    /// Guests that sent something recently.
    ///
    /// They are remembered for longer than one may serve that receives nothing.
    pub fn guests(&mut self, now: Instant) -> Vec<Guest> {
        let list = Arc::clone(&self.list);
        self.guests.retain(|_, (guest, at)| {
            let fresh = now.saturating_duration_since(*at) < GUEST_KEPT;
            fresh && !list.contains(&guest.member)
        });
        self.guests
            .values()
            .map(|(guest, _)| guest.clone())
            .collect()
    }

    /// Notes that the platform answered.
    pub fn on_platform(&mut self, now: Instant) {
        self.platform_heard = now;
    }

    /// Whether this router may take new requests.
    ///
    /// One that reaches neither peers nor the platform can't learn of a newer
    /// configuration, so it stops taking new work; alone on the list it can't
    /// miss one that was confirmed elsewhere.
    pub fn standing(&self, now: Instant) -> Standing {
        let others = self.list.members.iter().any(|m| m.id != self.me);
        let last = self.peer_heard.max(self.platform_heard);
        let silent = now.saturating_duration_since(last) >= ALONE_AFTER;
        if others && silent {
            Standing::Alone
        } else {
            Standing::Good
        }
    }

    /// Whether this member watches the platform on behalf of its data centre.
    pub fn is_watcher(&self) -> bool {
        let Some(me) = self.list.get(&self.me) else {
            return true;
        };
        let home = &me.data_centre;
        let near: Vec<&Member> = self
            .list
            .members
            .iter()
            .filter(|m| m.data_centre == *home)
            .collect();
        let ranked = rendezvous_rank(hash_of(home.as_str()), &near, |m| m.id.as_str());
        let mut first = ranked.iter().take(WATCHERS);
        first.any(|m| m.id == self.me)
    }

    /// Members that this one suspects.
    pub fn suspected(&self, now: Instant) -> BTreeSet<MemberId> {
        self.detector.suspected(now)
    }
}
