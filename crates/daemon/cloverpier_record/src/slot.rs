//! Slots of the key space and who holds them in an epoch.
//!
//! Every router works the holders out by itself from the list of members, by rendezvous hash, in
//! as many data centres as there are.

use cloverpier_core::{MemberId, hash_of, rendezvous_rank};
use cloverpier_member::{Member, MemberList};
use serde::{Deserialize, Serialize};

/// Slots that the key space is divided into, so that a lost one closes a thousandth of the keys.
pub const SLOT_COUNT: u16 = 1024;

/// Members that hold each slot: three data centres, of which one may be lost.
pub const HOLDERS: usize = 3;

/// A slot of the key space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(u16);

impl Slot {
    /// The slot of a key.
    pub fn of(key: &str) -> Self {
        let slot = hash_of(key) % u64::from(SLOT_COUNT);
        // Below `SLOT_COUNT`, so it always fits.
        Self(u16::try_from(slot).unwrap_or(0))
    }

    /// All slots.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOT_COUNT).map(Self)
    }

    /// The slot's number.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Holders of every slot in one epoch.
#[derive(Clone, Debug, Default)]
pub struct SlotMap {
    epoch: u64,
    holders: Vec<Vec<MemberId>>,
}

impl SlotMap {
    /// Works out the holders from a list of members.
    ///
    /// The order is by rendezvous weight; a holder from a data centre that
    /// isn't represented yet goes first, so that one data centre's loss leaves
    /// a holder wherever there are two data centres.
    pub fn of(list: &MemberList) -> Self {
        let able: Vec<Member> = list
            .members
            .iter()
            .filter(|m| !m.stopping)
            .cloned()
            .collect();
        let able = if able.is_empty() {
            list.members.clone()
        } else {
            able
        };
        let holders = Slot::all().map(|slot| holders_of(slot, &able)).collect();
        Self {
            epoch: list.epoch,
            holders,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The holders of a slot, the primary first.
    pub fn holders(&self, slot: Slot) -> &[MemberId] {
        self.holders.get(slot.index()).map_or(&[], Vec::as_slice)
    }

    /// Whether a member holds a slot.
    pub fn holds(&self, slot: Slot, id: &MemberId) -> bool {
        self.holders(slot).contains(id)
    }
}

fn holders_of(slot: Slot, members: &[Member]) -> Vec<MemberId> {
    let key = hash_of(&format!("slot/{}", slot.0));
    let ranked = rendezvous_rank(key, members, |m| m.id.as_str());
    let mut chosen: Vec<&Member> = Vec::with_capacity(HOLDERS);
    for member in &ranked {
        let fresh = chosen.iter().all(|c| c.data_centre != member.data_centre);
        if fresh && chosen.len() < HOLDERS {
            chosen.push(member);
        }
    }
    for member in &ranked {
        let taken = chosen.iter().any(|c| c.id == member.id);
        if !taken && chosen.len() < HOLDERS {
            chosen.push(member);
        }
    }
    chosen.into_iter().map(|m| m.id.clone()).collect()
}
