//! At-most-once execution of requests that must not be repeated.
//!
//! Before a router dispatches such a request, the router claims the request key at every holder of
//! the key's slot. The request is dispatched only if all holders have stored the claim in the same
//! membership epoch. Every holder of that epoch therefore has a record of each dispatched key. The
//! holders of a later epoch either fetch the records from such a holder, or refuse claims on the
//! slot until no caller may retry any more. Safety depends on epochs, not on clocks.
//!
//! The types here are state machines without I/O; the caller sends the messages and passes in the
//! time.
//!
//! ```
//! use cloverpier_record::prelude::*;
//!
//! let slot = Slot::of("ledger/run-17");
//! assert_eq!(slot, Slot::of("ledger/run-17"));
//! ```

mod claim;
mod holder;
mod record;
mod slot;
mod slot_history;

/// The public types of the crate.
pub mod prelude {
    pub use crate::claim::{Claim, ClaimStep, Refusal};
    pub use crate::holder::{RecordRetention, Records, SyncStep};
    pub use crate::record::{ClaimId, ClaimReply, Outcome, Record, StoredResponse, SyncReply};
    pub use crate::slot::{HOLDERS_PER_SLOT, SLOT_COUNT, Slot, SlotMap};
}

pub use prelude::*;
