//! Admission control: rate limits of client accounts, and the queue of requests that wait for a
//! free slot of an upstream.
//!
//! The types here are state machines without I/O; the caller sends the messages and passes in the
//! time.
//!
//! ```
//! use cloverpier_admit::prelude::*;
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut bucket = TokenBucket::full(10.0, now);
//! assert!(bucket.take(1.0, now).is_ok());
//! ```

mod bucket;
mod queue;
mod quota;

/// The public types of the crate.
pub mod prelude {
    pub use crate::bucket::{InsufficientLevel, TokenBucket};
    pub use crate::queue::{FairQueue, PushResult, QueuedRequest, Ticket};
    pub use crate::quota::{LocalQuota, Quota, QuotaAllocator, QuotaGrant, SpendResult};
}

pub use prelude::*;
