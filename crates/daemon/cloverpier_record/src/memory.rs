//! What a member remembers of a slot through epochs.
//!
//! Decides whether a slot is ready, has to be learned from holders of a former epoch, or is lost.

use crate::holder::EPOCHS_KEPT;
use cloverpier_core::MemberId;
use std::time::Instant;

/// Whether this member knows all records of a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// It doesn't hold the slot.
    #[default]
    NotHeld,
    /// It does.
    Ready,
    /// It asks the holders of an earlier epoch; no claim was completed in any
    /// epoch between that one and the present.
    Learning { level: u64, denied: Vec<MemberId> },
    /// Nobody is left who knows: closed until no retry can come any more.
    Closed { since: Instant },
}

/// What a member remembers of a slot through epochs.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotMemory {
    pub(crate) state: SlotState,
    /// The last epoch that it left as a holder that knew all records.
    pub(crate) ready_at: Option<u64>,
    /// Epochs that it left as a holder that had not taken any claim.
    pub(crate) unready_at: Vec<u64>,
}

impl SlotMemory {
    /// Notes how an epoch was left.
    pub(crate) fn close_epoch(&mut self, epoch: u64) {
        match self.state {
            SlotState::NotHeld => {}
            SlotState::Ready => self.ready_at = Some(epoch),
            SlotState::Learning { .. } | SlotState::Closed { .. } => self.unready_at.push(epoch),
        }
        let excess = self.unready_at.len().saturating_sub(EPOCHS_KEPT);
        self.unready_at.drain(..excess);
    }
}

/// The state of a slot in the epoch that is entered.
pub(crate) fn next_state(before: &SlotState, holds: bool, epoch: u64) -> SlotState {
    if !holds {
        return SlotState::NotHeld;
    }
    match before {
        SlotState::Ready => SlotState::Ready,
        SlotState::Closed { since } => SlotState::Closed { since: *since },
        // The first members ever find no earlier claims.
        _ if epoch <= 1 => SlotState::Ready,
        SlotState::NotHeld | SlotState::Learning { .. } => SlotState::Learning {
            level: epoch - 1,
            denied: Vec::new(),
        },
    }
}
