//! The state of a slot at one member, and its states in past epochs.
//!
//! Decides whether a member that enters an epoch has all records of a slot or has to fetch them
//! from holders of a past epoch.

use crate::holder::MAX_EPOCHS;
use cloverpier_core::MemberId;
use std::time::Instant;

/// Whether this member has all records of a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// The member does not hold the slot.
    #[default]
    NotHeld,
    /// The member holds the slot and has all of its records.
    Ready,
    /// The member requests the records from the holders of `past_epoch`. No claim was completed in
    /// a later epoch before the current one. `without_records` lists members that replied that they
    /// do not have the records.
    Syncing {
        past_epoch: u64,
        without_records: Vec<MemberId>,
    },
    /// No remaining member has the records. The slot accepts no claims until the retention period
    /// has passed since `since`, as no caller may retry an earlier request after that.
    Closed { since: Instant },
}

/// The state of a slot at this member, now and in past epochs.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotHistory {
    pub(crate) state: SlotState,
    /// The last epoch before the current one in which this member held the slot with all of its
    /// records.
    pub(crate) last_ready_epoch: Option<u64>,
    /// Epochs in which this member held the slot without all of its records, and therefore accepted
    /// no claim. Oldest first, at most `MAX_EPOCHS`.
    pub(crate) unready_epochs: Vec<u64>,
}

impl SlotHistory {
    /// Records the state of the slot in `epoch`, which the member leaves.
    pub(crate) fn on_epoch_left(&mut self, epoch: u64) {
        match self.state {
            SlotState::NotHeld => {}
            SlotState::Ready => self.last_ready_epoch = Some(epoch),
            SlotState::Syncing { .. } | SlotState::Closed { .. } => self.unready_epochs.push(epoch),
        }
        let excess = self.unready_epochs.len().saturating_sub(MAX_EPOCHS);
        self.unready_epochs.drain(..excess);
    }
}

/// The state of a slot in `epoch`, which the member enters. `holds` is set if the member holds the
/// slot in that epoch.
pub(crate) fn next_state(before: &SlotState, holds: bool, epoch: u64) -> SlotState {
    if !holds {
        return SlotState::NotHeld;
    }
    match before {
        SlotState::Ready => SlotState::Ready,
        SlotState::Closed { since } => SlotState::Closed { since: *since },
        // There are no claims from before the first epoch.
        _ if epoch <= 1 => SlotState::Ready,
        SlotState::NotHeld | SlotState::Syncing { .. } => SlotState::Syncing {
            past_epoch: epoch - 1,
            without_records: Vec::new(),
        },
    }
}
