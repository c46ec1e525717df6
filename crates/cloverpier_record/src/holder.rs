//! The holder's side: records of a member's slots, through changes of epoch.

use crate::slot::{Slot, SlotMap};
use cloverpier_core::{MemberId, RequestKey};
use cloverpier_member::MemberList;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One try of one router to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The router.
    pub router: MemberId,
    /// A number that the router uses once.
    pub number: u64,
}

/// An answer that is kept for a caller that asks again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, when there was one.
    pub content_type: Option<Arc<str>>,
    /// The body; `None` when it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was claimed; whether it ran isn't known.
    Claimed,
    /// It was dispatched and no answer came; it must not run again.
    Unknown,
    /// It ran, and this was the answer.
    Done(StoredAnswer),
}

/// The record of a request key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: RequestKey,
    /// Who claimed it.
    pub claim: ClaimId,
    /// Digest of the request, so that a key isn't used for two requests.
    pub body: u64,
    /// What became of it.
    pub outcome: Outcome,
    /// How long ago the record was made, in milliseconds; set when it is handed on.
    pub age_ms: u64,
}

/// What a holder answers to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is written down.
    Written,
    /// The key was claimed before.
    Taken(Record),
    /// The holder acts on another epoch.
    OtherEpoch {
        /// The holder's epoch.
        epoch: u64,
    },
    /// The holder doesn't hold the slot, or doesn't know all of its records yet.
    NotReady {
        /// How long to wait, in milliseconds.
        retry_ms: u64,
    },
}

/// What a member answers to another that must learn a slot's records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// All records that any claim in an earlier epoch wrote.
    Records(Vec<Record>),
    /// The member doesn't know all of them.
    NotReady,
    /// The member acts on an earlier epoch still; ask again.
    Behind,
}

/// What a member that lacks a slot's records does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncStep {
    /// The slot.
    pub slot: Slot,
    /// Whom to ask.
    pub sources: Vec<MemberId>,
}

/// How long records matter.
#[derive(Clone, Copy, Debug)]
pub struct Horizon(pub Duration);

impl Default for Horizon {
    fn default() -> Self {
        Self(Duration::from_secs(600))
    }
}

/// Whether a holder knows all records of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SlotState {
    /// It does, and did as a holder in every epoch up to this one.
    Ready { epoch: u64 },
    /// It asks the holders of the epoch before; those that said they don't know are noted.
    Learning { denied: Vec<MemberId> },
    /// Nobody is left who knows: closed until no retry can come any more.
    Closed { since: Instant },
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
    map: SlotMap,
    before: Option<SlotMap>,
    slots: BTreeMap<Slot, SlotState>,
    kept: HashMap<RequestKey, Kept>,
}

impl Records {
    /// A member without records.
    pub fn new(me: MemberId, horizon: Horizon) -> Self {
        Self {
            me,
            horizon,
            list: MemberList::default(),
            map: SlotMap::default(),
            before: None,
            slots: BTreeMap::new(),
            kept: HashMap::new(),
        }
    }

    /// The epoch that the member acts on.
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// The holders in that epoch.
    pub fn map(&self) -> &SlotMap {
        &self.map
    }

    /// Enters a later epoch; claims of the earlier one are refused from here on.
    pub fn enter(&mut self, list: &MemberList, now: Instant) {
        if list.epoch <= self.map.epoch() {
            return;
        }
        let steps = list.since(self.map.epoch().max(1));
        match steps {
            Some(lists) => {
                for step in lists {
                    if step.epoch > self.map.epoch() {
                        self.enter_one(step, now);
                    }
                }
            }
            // The history doesn't reach back: what was known may lack claims.
            None => {
                self.slots.clear();
                self.before = list.previous().map(|members| previous_map(list, members));
                self.settle_on(list.clone(), now);
            }
        }
    }

    fn enter_one(&mut self, list: MemberList, now: Instant) {
        let followed = self.map.epoch() + 1 == list.epoch && self.map.epoch() > 0;
        self.before = if followed {
            Some(self.map.clone())
        } else {
            list.previous().map(|members| previous_map(&list, members))
        };
        self.settle_on(list, now);
    }

    fn settle_on(&mut self, list: MemberList, now: Instant) {
        self.map = SlotMap::of(&list);
        self.list = list;
        let epoch = self.map.epoch();
        for slot in Slot::all() {
            let state = self.state_in(slot, epoch, now);
            match state {
                Some(state) => drop(self.slots.insert(slot, state)),
                None => self.leave_slot(slot, epoch),
            }
        }
    }

    /// The state of a slot that this member holds in an epoch.
    fn state_in(&self, slot: Slot, epoch: u64, now: Instant) -> Option<SlotState> {
        if !self.map.holds(slot, &self.me) {
            return None;
        }
        let nobody_before = self
            .before
            .as_ref()
            .is_none_or(|b| b.holders(slot).is_empty());
        let first = epoch == 1 || (self.list.previous().is_some_and(|m| m.is_empty()));
        match self.slots.get(&slot) {
            Some(SlotState::Ready { epoch: at }) if *at + 1 == epoch => {
                Some(SlotState::Ready { epoch })
            }
            Some(SlotState::Closed { since }) => Some(SlotState::Closed { since: *since }),
            // The first members ever find no earlier claims.
            _ if epoch == 1 => Some(SlotState::Ready { epoch }),
            _ if nobody_before || first => Some(SlotState::Closed { since: now }),
            _ => Some(SlotState::Learning { denied: Vec::new() }),
        }
    }

    /// A slot that moved away is kept for one epoch, for its new holders to learn from.
    fn leave_slot(&mut self, slot: Slot, epoch: u64) {
        let stale = match self.slots.get(&slot) {
            Some(SlotState::Ready { epoch: at }) => *at + 1 < epoch,
            _ => true,
        };
        if stale {
            self.slots.remove(&slot);
        }
    }

    /// What has to be learned, and from whom.
    pub fn to_learn(&mut self, now: Instant) -> Vec<SyncStep> {
        let mut steps = Vec::new();
        let learning: Vec<Slot> = self
            .slots
            .iter()
            .filter(|(_, s)| matches!(s, SlotState::Learning { .. }))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in learning {
            let sources = self.sources(slot);
            if sources.is_empty() {
                self.slots.insert(slot, SlotState::Closed { since: now });
            } else {
                steps.push(SyncStep { slot, sources });
            }
        }
        steps
    }

    /// Holders of the epoch before that are members still and haven't said that they don't know.
    fn sources(&self, slot: Slot) -> Vec<MemberId> {
        let Some(SlotState::Learning { denied }) = self.slots.get(&slot) else {
            return Vec::new();
        };
        let before = self.before.as_ref().map_or(&[][..], |b| b.holders(slot));
        before
            .iter()
            .filter(|id| **id != self.me && self.list.contains(id) && !denied.contains(id))
            .cloned()
            .collect()
    }

    /// Answers a member that must learn a slot's records for an epoch.
    ///
    /// Only a member that has entered that epoch answers: from then on no
    /// claim of an earlier epoch can be completed without its refusal.
    pub fn on_sync(&self, slot: Slot, epoch: u64, now: Instant) -> SyncReply {
        if self.map.epoch() < epoch {
            return SyncReply::Behind;
        }
        let knows = match self.slots.get(&slot) {
            Some(SlotState::Ready { epoch: at }) => *at + 1 >= epoch,
            _ => false,
        };
        if !knows {
            return SyncReply::NotReady;
        }
        let of_slot = |k: &&Kept| Slot::of(k.record.key.as_str()) == slot;
        let kept = self.kept.values().filter(of_slot);
        SyncReply::Records(kept.map(|k| handed_on(k, now)).collect())
    }

    /// Takes what another member answered.
    pub fn on_sync_reply(
        &mut self,
        slot: Slot,
        epoch: u64,
        from: &MemberId,
        reply: SyncReply,
        now: Instant,
    ) {
        if epoch != self.map.epoch() {
            return;
        }
        let Some(SlotState::Learning { denied }) = self.slots.get_mut(&slot) else {
            return;
        };
        match reply {
            SyncReply::Behind => {}
            SyncReply::NotReady => denied.push(from.clone()),
            SyncReply::Records(records) => {
                for record in records {
                    self.learn(record, now);
                }
                self.slots.insert(slot, SlotState::Ready { epoch });
            }
        }
    }

    fn learn(&mut self, record: Record, now: Instant) {
        let age = Duration::from_millis(record.age_ms);
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
        if epoch != self.map.epoch() {
            return ClaimReply::OtherEpoch {
                epoch: self.map.epoch(),
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
        let epoch = self.map.epoch();
        let holds = self.map.holds(slot, &self.me);
        match self.slots.get(&slot) {
            Some(SlotState::Ready { epoch: at }) if *at == epoch && holds => None,
            Some(SlotState::Closed { since }) => {
                let closed = now.saturating_duration_since(*since);
                let left = self.horizon.0.saturating_sub(closed);
                if left.is_zero() && holds {
                    self.slots.insert(slot, SlotState::Ready { epoch });
                    return None;
                }
                Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
            }
            _ => Some(500),
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
        let ready = |s: &&SlotState| !matches!(s, SlotState::Ready { .. });
        self.slots.values().filter(ready).count()
    }
}

fn previous_map(list: &MemberList, members: Vec<cloverpier_member::Member>) -> SlotMap {
    SlotMap::of(&MemberList {
        epoch: list.epoch.saturating_sub(1),
        members,
        history: Vec::new(),
    })
}

fn handed_on(kept: &Kept, now: Instant) -> Record {
    let age = now.saturating_duration_since(kept.made);
    Record {
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ..kept.record.clone()
    }
}
