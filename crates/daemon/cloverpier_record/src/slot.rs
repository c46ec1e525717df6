//! Assigns the slots of the request key space to the members that hold their records.
//!
//! Every router computes the same holders from the same member list, by rendezvous hashing. The
//! holders of a slot are spread over as many data centres as possible.

use cloverpier_core::{MemberId, hash_of, rendezvous_rank};
use cloverpier_member::{Member, MemberList};
use serde::{Deserialize, Serialize};

/// The number of slots in the key space. A slot that loses all holders closes about a thousandth of
/// the keys.
pub const SLOT_COUNT: u16 = 1024;

/// The number of holders of a slot, if there are enough members. With holders in three data
/// centres, one data centre may fail.
pub const HOLDERS_PER_SLOT: usize = 3;

/// A hash slot: the part of the request key space whose records have the same holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(u16);

impl Slot {
    /// The slot of a request key, by the key's hash.
    pub fn of(key: &str) -> Self {
        let slot = hash_of(key) % u64::from(SLOT_COUNT);
        // Never fails, as the value is below `SLOT_COUNT`.
        Self(u16::try_from(slot).unwrap_or(0))
    }

    /// All slots, in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOT_COUNT).map(Self)
    }

    /// The slot's number, from 0 to `SLOT_COUNT - 1`.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The holders of every slot in one epoch.
#[derive(Clone, Debug, Default)]
pub struct SlotMap {
    epoch: u64,
    holders: Vec<Vec<MemberId>>,
}

impl SlotMap {
    /// Computes the holders from a member list.
    ///
    /// Members rank by rendezvous hash for each slot. The first member of each data centre is
    /// chosen before a second member of any, so that the failure of one data centre leaves a holder
    /// if there are at least two. Stopping members hold no slots, unless all members are stopping.
    pub fn of(list: &MemberList) -> Self {
        let eligible: Vec<Member> = list
            .members
            .iter()
            .filter(|m| !m.stopping)
            .cloned()
            .collect();
        let eligible = if eligible.is_empty() {
            list.members.clone()
        } else {
            eligible
        };
        let holders = Slot::all()
            .map(|slot| holders_of(slot, &eligible))
            .collect();
        Self {
            epoch: list.epoch,
            holders,
        }
    }

    /// The epoch of the member list; 0 for an empty map.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The holders of a slot, the primary first. Empty if there are no members.
    pub fn holders(&self, slot: Slot) -> &[MemberId] {
        self.holders.get(slot.index()).map_or(&[], Vec::as_slice)
    }

    /// Whether the member `id` holds the slot.
    pub fn holds(&self, slot: Slot, id: &MemberId) -> bool {
        self.holders(slot).contains(id)
    }
}

fn holders_of(slot: Slot, members: &[Member]) -> Vec<MemberId> {
    let key = hash_of(&format!("slot/{}", slot.0));
    let ranked = rendezvous_rank(key, members, |m| m.id.as_str());
    let mut chosen: Vec<&Member> = Vec::with_capacity(HOLDERS_PER_SLOT);
    for member in &ranked {
        let is_new_data_centre = chosen.iter().all(|c| c.data_centre != member.data_centre);
        if is_new_data_centre && chosen.len() < HOLDERS_PER_SLOT {
            chosen.push(member);
        }
    }
    for member in &ranked {
        let is_chosen = chosen.iter().any(|c| c.id == member.id);
        if !is_chosen && chosen.len() < HOLDERS_PER_SLOT {
            chosen.push(member);
        }
    }
    chosen.into_iter().map(|m| m.id.clone()).collect()
}
