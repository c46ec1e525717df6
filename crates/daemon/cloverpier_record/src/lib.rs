//! At most once: records of requests that may not be repeated.
//!
//! A router that wants to run such a request first claims its key at every
//! holder of the key's slot, and dispatches only when all of them, in one
//! epoch, have it written down. So a key that was dispatched is known to
//! every holder of that epoch, and each later set of holders either learned it
//! from one of them or keeps the slot closed until no retry can come any more.
//! Safety rests on epochs, not on clocks. All of it is plain state.
//!
//! ```
//! use cloverpier_record::prelude::*;
//!
//! let slot = Slot::of("ledger/run-17");
//! assert_eq!(slot, Slot::of("ledger/run-17"));
//! ```

mod claim;
mod holder;
mod memory;
mod record;
mod slot;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::claim::{Claim, ClaimStep, Refusal};
    pub use crate::holder::{Horizon, Records, SyncStep};
    pub use crate::record::{ClaimId, ClaimReply, Outcome, Record, StoredAnswer, SyncReply};
    pub use crate::slot::{HOLDERS, SLOT_COUNT, Slot, SlotMap};
}

pub use prelude::*;
