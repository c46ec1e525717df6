//! Names, clock, digests, seeded choices and upstreams' waits, which both programs build on.
//!
//! Nothing here performs I/O. Everything that varies between runs (time and
//! randomness) is passed in, so that decisions can be replayed.
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

mod chain;
mod clock;
mod name;
mod secret;
mod sync;
pub mod wait;
mod weigh;

/// The items that most crates of the workspace need.
pub mod prelude {
    pub use crate::chain::Chain;
    pub use crate::clock::{Clock, ManualClock, SuspendableClock, SystemClock, wall_ms};
    pub use crate::name::{
        AccountName, AdapterName, DataCentre, MemberId, ModelName, RequestKey, ServiceName,
        SoftwareVersion, UpstreamName, VmName,
    };
    pub use crate::secret::{KeyDigest, Secret, same_secret};
    pub use crate::sync::lock;
    pub use crate::wait::{Wait, parse_retry_after};
    pub use crate::weigh::{hash_of, jitter, rank};
}

pub use prelude::*;
