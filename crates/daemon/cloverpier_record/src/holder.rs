//! Stores the records of a member's slots, across changes of the membership epoch.
//!
//! [`Records`] decides whether a claim may be stored at this member, and from which members the
//! records of a newly assigned slot are fetched. Safety depends on epochs, not on clocks: a holder
//! refuses a claim of any other epoch, and a slot without a member that has all of its records
//! accepts no claims for the retention period. The caller sends the messages and passes in the
//! time.

use crate::record::{ClaimId, ClaimReply, Outcome, Record, SyncReply};
use crate::slot::{Slot, SlotMap};
use crate::slot_history::{SlotHistory, SlotState, next_state};
use cloverpier_core::{MemberId, RequestKey};
use cloverpier_member::MemberList;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Epochs whose holders a member keeps, the current one included: as many as the member list has
/// changes in its history. A slot whose records would have to come from an earlier epoch is closed
/// for the retention period.
pub(crate) const MAX_EPOCHS: usize = MemberList::MAX_HISTORY;
/// Time after which a claim is retried, in milliseconds, if the holder has not fetched the slot's
/// records yet.
const SYNC_RETRY_MS: u64 = 500;

/// A request for the records of a slot that this member holds but has not fetched yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncStep {
    /// The slot whose records are missing here.
    pub slot: Slot,
    /// The past epoch whose holders receive the request. No claim was completed in any later epoch
    /// before the current one.
    pub past_epoch: u64,
    /// Holders of the slot in that epoch that are still members and may have the records. Never
    /// empty.
    pub sources: Vec<MemberId>,
}

/// How long a record is kept after its claim was stored. A caller must not retry a request after
/// that.
#[derive(Clone, Copy, Debug)]
pub struct RecordRetention(pub Duration);

/// The same default as that of the setting `record_horizon_s`.
const DEFAULT_RETENTION: Duration = Duration::from_secs(600);

impl Default for RecordRetention {
    fn default() -> Self {
        Self(DEFAULT_RETENTION)
    }
}

#[derive(Clone, Debug)]
struct StoredRecord {
    record: Record,
    created_at: Instant,
}

/// The records that this member stores, and the state of each of its slots.
#[derive(Debug)]
pub struct Records {
    me: MemberId,
    retention: RecordRetention,
    list: MemberList,
    /// The holders of all slots in the last epochs, oldest first. The last entry is for the current
    /// epoch.
    slot_maps: VecDeque<SlotMap>,
    slots: BTreeMap<Slot, SlotHistory>,
    stored: HashMap<RequestKey, StoredRecord>,
}

impl Records {
    /// Creates a store without records for the member `me`, before its first epoch.
    pub fn new(me: MemberId, retention: RecordRetention) -> Self {
        Self {
            me,
            retention,
            list: MemberList::default(),
            slot_maps: VecDeque::from([SlotMap::default()]),
            slots: BTreeMap::new(),
            stored: HashMap::new(),
        }
    }

    /// The epoch that the member has entered; 0 before the first one. Claims of any other epoch are
    /// refused.
    pub fn epoch(&self) -> u64 {
        self.slot_map().epoch()
    }

    /// The holders of all slots in the current epoch.
    pub fn slot_map(&self) -> &SlotMap {
        // Never empty: the list starts with one entry, and entries are only removed from the front
        // after one was added.
        &self.slot_maps[self.slot_maps.len() - 1]
    }

    /// Enters the epoch of `list`, if it is newer than the current epoch. Claims of earlier epochs
    /// are refused from then on.
    ///
    /// Skipped epochs are entered one after the other, as each of them may have moved a slot to
    /// other members and back.
    pub fn enter(&mut self, list: &MemberList) {
        if list.epoch <= self.epoch() {
            return;
        }
        let skipped = list.lists_since(self.epoch() + 1);
        if skipped.is_none() {
            // The list's history does not cover all skipped epochs. In the missing ones, other
            // members may have stored claims, so the records here may be incomplete.
            self.slots.clear();
            self.slot_maps = VecDeque::from([SlotMap::default()]);
        }
        for step in skipped.unwrap_or_else(|| list.available_lists()) {
            self.enter_next(step);
        }
    }

    fn enter_next(&mut self, list: MemberList) {
        let before = self.epoch();
        let map = SlotMap::of(&list);
        for slot in Slot::all() {
            let holds = map.holds(slot, &self.me);
            if !holds && !self.slots.contains_key(&slot) {
                continue;
            }
            let history = self.slots.entry(slot).or_default();
            history.on_epoch_left(before);
            history.state = next_state(&history.state, holds, list.epoch);
        }
        self.slot_maps.push_back(map);
        if self.slot_maps.len() > MAX_EPOCHS {
            self.slot_maps.pop_front();
        }
        self.list = list;
    }

    fn slot_map_at(&self, epoch: u64) -> Option<&SlotMap> {
        self.slot_maps.iter().find(|m| m.epoch() == epoch)
    }

    /// The requests to send for slots whose records have not been fetched yet.
    pub fn sync_steps(&mut self, now: Instant) -> Vec<SyncStep> {
        let is_syncing = |m: &SlotHistory| matches!(m.state, SlotState::Syncing { .. });
        let syncing: Vec<Slot> = self
            .slots
            .iter()
            .filter(|(_, history)| is_syncing(history))
            .map(|(slot, _)| *slot)
            .collect();
        let steps = syncing
            .into_iter()
            .filter_map(|s| self.next_sync_step(s, now));
        steps.collect()
    }

    /// Finds the latest past epoch in which a claim may have been completed and whose holders can
    /// be queried. Marks the slot as ready or closed where there is none.
    fn next_sync_step(&mut self, slot: Slot, now: Instant) -> Option<SyncStep> {
        loop {
            let history = self.slots.get(&slot)?;
            let SlotState::Syncing {
                past_epoch,
                without_records,
            } = &history.state
            else {
                return None;
            };
            let past_epoch = *past_epoch;
            if past_epoch == 0 || history.last_ready_epoch == Some(past_epoch) {
                // Either no epoch precedes the first one, or this member already has all records of
                // that epoch.
                self.set_state(slot, SlotState::Ready);
                return None;
            }
            if history.unready_epochs.contains(&past_epoch) {
                self.search_earlier(slot, past_epoch);
                continue;
            }
            let holders = self
                .slot_map_at(past_epoch)
                .map_or(&[][..], |m| m.holders(slot));
            let eligible = |id: &&MemberId| {
                **id != self.me && self.list.contains(id) && !without_records.contains(id)
            };
            let sources: Vec<MemberId> = holders.iter().filter(eligible).cloned().collect();
            if sources.is_empty() {
                self.set_state(slot, SlotState::Closed { since: now });
                return None;
            }
            return Some(SyncStep {
                slot,
                past_epoch,
                sources,
            });
        }
    }

    fn set_state(&mut self, slot: Slot, state: SlotState) {
        if let Some(history) = self.slots.get_mut(&slot) {
            history.state = state;
        }
    }

    fn search_earlier(&mut self, slot: Slot, from: u64) {
        let state = SlotState::Syncing {
            past_epoch: from - 1,
            without_records: Vec::new(),
        };
        self.set_state(slot, state);
    }

    /// Returns the stored records of a slot, including all that claims up to `past_epoch` created,
    /// for a member that has entered `epoch`.
    ///
    /// The reply is [`SyncReply::Behind`] until this member has entered `epoch`, too. After that,
    /// this member refuses claims of earlier epochs, so none of them can still be completed and be
    /// missing from the reply.
    pub fn on_sync(&self, slot: Slot, past_epoch: u64, epoch: u64, now: Instant) -> SyncReply {
        if self.epoch() < epoch {
            return SyncReply::Behind;
        }
        let Some(history) = self.slots.get(&slot) else {
            return SyncReply::Unknown;
        };
        let has_all_records = history.state == SlotState::Ready;
        if has_all_records || history.last_ready_epoch.is_some_and(|at| at >= past_epoch) {
            let of_slot = |k: &&StoredRecord| Slot::of(k.record.key.as_str()) == slot;
            let stored = self.stored.values().filter(of_slot);
            return SyncReply::Records(stored.map(|k| with_age(k, now)).collect());
        }
        if history.unready_epochs.contains(&past_epoch) {
            return SyncReply::NoClaims;
        }
        SyncReply::Unknown
    }

    /// Processes the reply of the member `from` to a step of [`Self::sync_steps`]. `epoch` is the
    /// epoch in which the request was sent. Outdated replies have no effect.
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
        let Some(SlotState::Syncing {
            past_epoch,
            without_records,
        }) = state
        else {
            return;
        };
        if !current || *past_epoch != step.past_epoch {
            return;
        }
        match reply {
            SyncReply::Behind => {}
            SyncReply::Unknown => without_records.push(from.clone()),
            SyncReply::NoClaims => self.search_earlier(step.slot, step.past_epoch),
            SyncReply::Records(records) => {
                for record in records {
                    self.insert_synced(record, now);
                }
                self.set_state(step.slot, SlotState::Ready);
            }
        }
    }

    fn insert_synced(&mut self, record: Record, now: Instant) {
        let age = Duration::from_millis(record.age_ms);
        // An age that lies before the origin of this machine's clock can't be represented. The
        // record then counts as new, which keeps it longer.
        let created_at = now.checked_sub(age).unwrap_or(now);
        let existing = self.stored.get(&record.key);
        let is_resolved = existing.is_some_and(|k| k.record.outcome != Outcome::Claimed);
        if !is_resolved {
            self.stored
                .insert(record.key.clone(), StoredRecord { record, created_at });
        }
    }

    /// Stores a claim that was made in `epoch`. Repeating a stored claim succeeds again.
    pub fn on_claim(
        &mut self,
        epoch: u64,
        key: &RequestKey,
        request_digest: u64,
        claim: &ClaimId,
        now: Instant,
    ) -> ClaimReply {
        if epoch != self.epoch() {
            return ClaimReply::OtherEpoch {
                epoch: self.epoch(),
            };
        }
        if let Some(retry_ms) = self.retry_after_ms(Slot::of(key.as_str()), now) {
            return ClaimReply::NotReady { retry_ms };
        }
        if let Some(stored) = self.stored.get(key) {
            if stored.record.claim == *claim {
                return ClaimReply::Written;
            }
            return ClaimReply::Taken(with_age(stored, now));
        }
        let record = Record {
            key: key.clone(),
            claim: claim.clone(),
            request_digest,
            outcome: Outcome::Claimed,
            age_ms: 0,
        };
        self.stored.insert(
            key.clone(),
            StoredRecord {
                record,
                created_at: now,
            },
        );
        ClaimReply::Written
    }

    /// Time until the slot accepts claims, in milliseconds. `None` if it accepts claims now.
    /// Reopens a closed slot after the retention period.
    fn retry_after_ms(&mut self, slot: Slot, now: Instant) -> Option<u64> {
        let state = self.slots.get(&slot).map(|m| &m.state);
        match state {
            Some(SlotState::Ready) => None,
            Some(SlotState::Closed { since }) => {
                let closed = now.saturating_duration_since(*since);
                let left = self.retention.0.saturating_sub(closed);
                if left.is_zero() {
                    self.set_state(slot, SlotState::Ready);
                    return None;
                }
                Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
            }
            _ => Some(SYNC_RETRY_MS),
        }
    }

    /// Stores the outcome of a claimed request, if `claim` is the claim that the record of the key
    /// contains.
    pub fn on_outcome(&mut self, key: &RequestKey, claim: &ClaimId, outcome: Outcome) {
        if let Some(stored) = self.stored.get_mut(key)
            && stored.record.claim == *claim
        {
            stored.record.outcome = outcome;
        }
    }

    /// Removes the record of a key whose request certainly has not been executed, so that the key
    /// can be claimed again. Does nothing if the record contains another claim.
    pub fn on_release(&mut self, key: &RequestKey, claim: &ClaimId) {
        let own = self
            .stored
            .get(key)
            .is_some_and(|k| k.record.claim == *claim);
        if own {
            self.stored.remove(key);
        }
    }

    /// Removes records that are older than the retention period, as no caller may retry their
    /// requests any more.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.retention.0;
        self.stored
            .retain(|_, k| now.saturating_duration_since(k.created_at) < retention);
    }

    /// The number of stored records.
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Whether no record is stored.
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }

    /// The number of slots that this member holds but does not accept claims for: slots that are
    /// closed or whose records have not been fetched yet.
    pub fn slots_not_ready(&self) -> usize {
        let held = |m: &&SlotHistory| !matches!(m.state, SlotState::NotHeld | SlotState::Ready);
        self.slots.values().filter(held).count()
    }
}

fn with_age(stored: &StoredRecord, now: Instant) -> Record {
    let age = now.saturating_duration_since(stored.created_at);
    Record {
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ..stored.record.clone()
    }
}
