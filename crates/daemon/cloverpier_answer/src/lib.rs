//! Answers that contain each token exactly once, and the copies that outlive a router.
//!
//! [`Answer`] is the owner's side: it takes tokens from the current attempt
//! alone, at the next offset alone, and releases them to the caller only once
//! a copy is held by a peer. [`Copies`] is the peer's side: it holds tokens
//! for owners and refuses an owner whose term has ended. Both are plain state
//! machines: they know neither sockets nor clocks.
//!
//! ```
//! use cloverpier_answer::prelude::*;
//!
//! let mut answer = Answer::fresh(1, 77);
//! let attempt = answer.open_attempt();
//! assert_eq!(answer.on_token(attempt, 0, "Hola".into()), TokenStep::Accepted);
//! assert_eq!(answer.on_token(attempt, 0, "Hola".into()), TokenStep::Repeated);
//! assert_eq!(answer.released(), 0);
//! answer.on_copied(1);
//! assert_eq!(answer.released(), 1);
//! ```

mod answer;
mod copies;
mod event_id;
mod shipping;
mod takeover;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::answer::{Answer, AttemptId, Finish, FinishReason, Resume, TokenStep};
    pub use crate::copies::{
        AppendReply, Copies, Entry, EntryHead, HeldAnswer, Retention, SealReply, Source,
    };
    pub use crate::event_id::EventId;
    pub use crate::shipping::{ShipStep, Shipping};
    pub use crate::takeover::{Takeover, TakeoverStep};
}

pub use prelude::*;
