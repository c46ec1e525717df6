//! The holder's side: records of a member's slots, through changes of epoch.
//!
//! Question: may this claim be written down here, and from whom are the records of a slot
//! learned? Owns the records of a member's slots. Safety rests on epochs: a claim of another
//! epoch is refused, and a slot that nobody can vouch for is closed for the horizon.

use crate::memory::{SlotMemory, SlotState, next_state};
use crate::record::{ClaimId, ClaimReply, Outcome, Record, SyncReply};
use crate::slot::{Slot, SlotMap};
use cloverpier_core::{MemberId, RequestKey};
use cloverpier_member::MemberList;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Epochs that a member remembers, bound by the list's history; a slot that has to look further
/// back is closed.
pub(crate) const EPOCHS_KEPT: usize = MemberList::HISTORY_KEPT;
/// When to retry a slot that is being learned, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 500;

/// What a member that lacks a slot's records does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncStep {
    /// The slot.
    pub slot: Slot,
    /// The epoch whose holders are asked.
    pub level: u64,
    /// Whom to ask.
    pub sources: Vec<MemberId>,
}

/// How long records matter.
#[derive(Clone, Copy, Debug)]
pub struct Horizon(pub Duration);

/// How long keys are remembered if the settings do not say (`record_horizon_s`).
const DEFAULT_HORIZON: Duration = Duration::from_secs(600);

impl Default for Horizon {
    fn default() -> Self {
        Self(DEFAULT_HORIZON)
    }
}

#[derive(Clone, Debug)]
struct Kept {
    record: Record,
    made: Instant,
}

/// The records that a member holds.
#[derive(Debug)]
pub struct Records {
    me: MemberId,
    horizon: Horizon,
    list: MemberList,
    /// Holders in the last epochs, the present one last.
    maps: VecDeque<SlotMap>,
    slots: BTreeMap<Slot, SlotMemory>,
    kept: HashMap<RequestKey, Kept>,
}

impl Records {
    /// A member without records.
    pub fn new(me: MemberId, horizon: Horizon) -> Self {
        Self {
            me,
            horizon,
            list: MemberList::default(),
            maps: VecDeque::from([SlotMap::default()]),
            slots: BTreeMap::new(),
            kept: HashMap::new(),
        }
    }

    /// The epoch that the member acts on.
    pub fn epoch(&self) -> u64 {
        self.map().epoch()
    }

    /// The holders in that epoch.
    pub fn map(&self) -> &SlotMap {
        // There is always a present epoch: the list begins with one and is cut at its front.
        &self.maps[self.maps.len() - 1]
    }

    /// Enters a later epoch; claims of the earlier one are refused from here on.
    ///
    /// Epochs that were missed are gone through one by one, as each may have
    /// moved a slot away and back.
    pub fn enter(&mut self, list: &MemberList) {
        if list.epoch <= self.epoch() {
            return;
        }
        let missed = list.since(self.epoch() + 1);
        if missed.is_none() {
            // The history doesn't reach back: what was known may lack claims.
            self.slots.clear();
            self.maps = VecDeque::from([SlotMap::default()]);
        }
        for step in missed.unwrap_or_else(|| list.as_far_back()) {
            self.enter_one(step);
        }
    }

    fn enter_one(&mut self, list: MemberList) {
        let before = self.epoch();
        let map = SlotMap::of(&list);
        for slot in Slot::all() {
            let holds = map.holds(slot, &self.me);
            if !holds && !self.slots.contains_key(&slot) {
                continue;
            }
            let memory = self.slots.entry(slot).or_default();
            memory.close_epoch(before);
            memory.state = next_state(&memory.state, holds, list.epoch);
        }
        self.maps.push_back(map);
        if self.maps.len() > EPOCHS_KEPT {
            self.maps.pop_front();
        }
        self.list = list;
    }

    fn map_of(&self, epoch: u64) -> Option<&SlotMap> {
        self.maps.iter().find(|m| m.epoch() == epoch)
    }

    /// What has to be learned, and from whom.
    pub fn to_learn(&mut self, now: Instant) -> Vec<SyncStep> {
        let is_learning = |m: &SlotMemory| matches!(m.state, SlotState::Learning { .. });
        let learning: Vec<Slot> = self
            .slots
            .iter()
            .filter(|(_, memory)| is_learning(memory))
            .map(|(slot, _)| *slot)
            .collect();
        let steps = learning.into_iter().filter_map(|s| self.learn_step(s, now));
        steps.collect()
    }

    /// Goes back through epochs without claims to one whose holders can be asked.
    fn learn_step(&mut self, slot: Slot, now: Instant) -> Option<SyncStep> {
        loop {
            let memory = self.slots.get(&slot)?;
            let SlotState::Learning { level, denied } = &memory.state else {
                return None;
            };
            let level = *level;
            if level == 0 || memory.ready_at == Some(level) {
                // There was no claim before the first epoch, or this member knows them all.
                self.set_state(slot, SlotState::Ready);
                return None;
            }
            if memory.unready_at.contains(&level) {
                self.go_back(slot, level);
                continue;
            }
            let holders = self.map_of(level).map_or(&[][..], |m| m.holders(slot));
            let able =
                |id: &&MemberId| **id != self.me && self.list.contains(id) && !denied.contains(id);
            let sources: Vec<MemberId> = holders.iter().filter(able).cloned().collect();
            if sources.is_empty() {
                self.set_state(slot, SlotState::Closed { since: now });
                return None;
            }
            return Some(SyncStep {
                slot,
                level,
                sources,
            });
        }
    }

    fn set_state(&mut self, slot: Slot, state: SlotState) {
        if let Some(memory) = self.slots.get_mut(&slot) {
            memory.state = state;
        }
    }

    fn go_back(&mut self, slot: Slot, from: u64) {
        let state = SlotState::Learning {
            level: from - 1,
            denied: Vec::new(),
        };
        self.set_state(slot, state);
    }

    /// Answers a member that acts on an epoch and asks for a slot's records up to a level.
    ///
    /// Only a member that has entered that epoch answers: from then on no
    /// claim of an earlier epoch can be completed without its refusal.
    pub fn on_sync(&self, slot: Slot, level: u64, epoch: u64, now: Instant) -> SyncReply {
        if self.epoch() < epoch {
            return SyncReply::Behind;
        }
        let Some(memory) = self.slots.get(&slot) else {
            return SyncReply::Unknown;
        };
        let knows_all = memory.state == SlotState::Ready;
        if knows_all || memory.ready_at.is_some_and(|at| at >= level) {
            let of_slot = |k: &&Kept| Slot::of(k.record.key.as_str()) == slot;
            let kept = self.kept.values().filter(of_slot);
            return SyncReply::Records(kept.map(|k| handed_on(k, now)).collect());
        }
        if memory.unready_at.contains(&level) {
            return SyncReply::NoClaims;
        }
        SyncReply::Unknown
    }

    /// Takes what another member answered to a step.
    pub fn on_sync_reply(
        &mut self,
        step: &SyncStep,
        epoch: u64,
        from: &MemberId,
        reply: SyncReply,
        now: Instant,
    ) {
        let current = epoch == self.epoch();
        let state = self.slots.get_mut(&step.slot).map(|m| &mut m.state);
        let Some(SlotState::Learning { level, denied }) = state else {
            return;
        };
        if !current || *level != step.level {
            return;
        }
        match reply {
            SyncReply::Behind => {}
            SyncReply::Unknown => denied.push(from.clone()),
            SyncReply::NoClaims => self.go_back(step.slot, step.level),
            SyncReply::Records(records) => {
                for record in records {
                    self.learn(record, now);
                }
                self.set_state(step.slot, SlotState::Ready);
            }
        }
    }

    fn learn(&mut self, record: Record, now: Instant) {
        let age = Duration::from_millis(record.age_ms);
        // An age from before this machine started counts as none.
        let made = now.checked_sub(age).unwrap_or(now);
        let known = self.kept.get(&record.key);
        let settled = known.is_some_and(|k| k.record.outcome != Outcome::Claimed);
        if !settled {
            self.kept.insert(record.key.clone(), Kept { record, made });
        }
    }

    /// Takes a claim made in an epoch.
    pub fn on_claim(
        &mut self,
        epoch: u64,
        key: &RequestKey,
        body: u64,
        claim: &ClaimId,
        now: Instant,
    ) -> ClaimReply {
        if epoch != self.epoch() {
            return ClaimReply::OtherEpoch {
                epoch: self.epoch(),
            };
        }
        if let Some(retry_ms) = self.not_ready(Slot::of(key.as_str()), now) {
            return ClaimReply::NotReady { retry_ms };
        }
        if let Some(kept) = self.kept.get(key) {
            if kept.record.claim == *claim {
                return ClaimReply::Written;
            }
            return ClaimReply::Taken(handed_on(kept, now));
        }
        let record = Record {
            key: key.clone(),
            claim: claim.clone(),
            body,
            outcome: Outcome::Claimed,
            age_ms: 0,
        };
        self.kept.insert(key.clone(), Kept { record, made: now });
        ClaimReply::Written
    }

    /// How long until a slot takes claims, in milliseconds; `None` when it takes them now.
    fn not_ready(&mut self, slot: Slot, now: Instant) -> Option<u64> {
        let state = self.slots.get(&slot).map(|m| &m.state);
        match state {
            Some(SlotState::Ready) => None,
            Some(SlotState::Closed { since }) => {
                let closed = now.saturating_duration_since(*since);
                let left = self.horizon.0.saturating_sub(closed);
                if left.is_zero() {
                    self.set_state(slot, SlotState::Ready);
                    return None;
                }
                Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
            }
            _ => Some(NOT_READY_RETRY_MS),
        }
    }

    /// Writes what became of a claim; only the claim's own router can.
    pub fn on_outcome(&mut self, key: &RequestKey, claim: &ClaimId, outcome: Outcome) {
        if let Some(kept) = self.kept.get_mut(key)
            && kept.record.claim == *claim
        {
            kept.record.outcome = outcome;
        }
    }

    /// Gives a key free again whose request was certainly not run.
    pub fn on_release(&mut self, key: &RequestKey, claim: &ClaimId) {
        let own = self.kept.get(key).is_some_and(|k| k.record.claim == *claim);
        if own {
            self.kept.remove(key);
        }
    }

    /// Drops records that no retry can ask for any more.
    pub fn sweep(&mut self, now: Instant) {
        let horizon = self.horizon.0;
        self.kept
            .retain(|_, k| now.saturating_duration_since(k.made) < horizon);
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Slots that this member holds but can't take claims for.
    pub fn slots_not_ready(&self) -> usize {
        let held = |m: &&SlotMemory| !matches!(m.state, SlotState::NotHeld | SlotState::Ready);
        self.slots.values().filter(held).count()
    }
}

fn handed_on(kept: &Kept, now: Instant) -> Record {
    let age = now.saturating_duration_since(kept.made);
    Record {
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ..kept.record.clone()
    }
}
