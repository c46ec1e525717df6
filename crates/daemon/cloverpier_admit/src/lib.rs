//! Limits of client accounts and the queue for places at upstreams.
//!
//! ```
//! use cloverpier_admit::prelude::*;
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut bucket = Bucket::full(10.0, now);
//! assert!(bucket.take(1.0, now).is_ok());
//! ```

mod bucket;
mod loan;
mod queue;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::bucket::{Bucket, Short};
    pub use crate::loan::{Borrowed, Lender, Loan, Quota, SpendStep};
    pub use crate::queue::{Queue, QueueStep, Ticket, Waiting};
}

pub use prelude::*;
