//! Names, clocks, secrets, digests, rendezvous hashing, URL encoding, rules on heads of responses and wait periods of
//! upstreams, for the crates of both programs.
//!
//! Decision functions get the time and the random number generator as arguments, so that decisions can be
//! replayed. Only [`SystemClock`] and [`wall_ms`] read the clocks of the machine.
//!
//! ```
//! use cloverpier_core::prelude::*;
//! use std::time::Duration;
//!
//! let clock = ManualClock::new();
//! let start = clock.now();
//! clock.advance(Duration::from_millis(5));
//! assert_eq!(clock.now() - start, Duration::from_millis(5));
//! ```

mod clock;
mod name;
mod rendezvous;
mod response_head;
mod secret;
mod sync;
mod token_digest;
mod url_encoding;
pub mod wait;
mod wide_digest;

/// The items that most crates of the workspace need.
pub mod prelude {
    pub use crate::clock::{Clock, ManualClock, SuspendableClock, SystemClock, wall_ms};
    pub use crate::name::{
        AccountName, AdapterName, DataCentre, MemberId, ModelName, RequestKey, ServiceName,
        SoftwareVersion, UpstreamName, VmName,
    };
    pub use crate::rendezvous::{hash_of, jitter, rendezvous_rank};
    pub use crate::response_head::{is_final_status, is_transfer_coding_left};
    pub use crate::secret::{KeyDigest, Secret, same_secret};
    pub use crate::sync::lock;
    pub use crate::token_digest::TokenDigest;
    pub use crate::url_encoding::url_encoded;
    pub use crate::wait::{WaitPeriod, parse_retry_after};
    pub use crate::wide_digest::wide_digest;
}

pub use prelude::*;
