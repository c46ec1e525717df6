//! Streamed responses that contain each token exactly once, and copies of them that survive the
//! failure of a router.
//!
//! [`OwnedResponse`] is the state of a response at the router that owns the response. Tokens are
//! accepted only from the current attempt and only at the next offset. They are released to the
//! caller only once the copies that the service requires contain them. [`ResponseCopies`] is the
//! state at a peer that holds copies, and refuses owners whose term has ended. Both are state
//! machines without I/O or a clock.
//!
//! ```
//! use cloverpier_answer::prelude::*;
//!
//! let mut response = OwnedResponse::new(1, 77);
//! let attempt = response.open_attempt();
//! assert_eq!(response.on_token(attempt, 0, "Hola".into()), TokenOutcome::Accepted);
//! assert_eq!(response.on_token(attempt, 0, "Hola".into()), TokenOutcome::Repeated);
//! assert_eq!(response.released(), 0);
//! response.on_copied(1);
//! assert_eq!(response.released(), 1);
//! ```

mod copies;
mod copy_progress;
mod event_id;
mod response;
mod takeover;

/// The public types of the crate.
pub mod prelude {
    pub use crate::copies::{
        AppendReply, BatchHeader, ResponseCopies, ResponseCopy, Retention, SealReply, TokenBatch,
        TokenSource,
    };
    pub use crate::copy_progress::{CopyProgress, CopyStep};
    pub use crate::event_id::EventId;
    pub use crate::response::{
        AttemptId, Finish, FinishReason, OwnedResponse, ResumePoint, TokenOutcome,
    };
    pub use crate::takeover::{Takeover, TakeoverStep};
}

pub use prelude::*;
