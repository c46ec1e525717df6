//! Membership of the router fleet: the member list with its epochs, and failure detection.
//!
//! The member list is one object at the platform, which changes only by conditional updates. Each
//! change starts a new epoch. [`Detector`] detects failed members with a bounded number of
//! heartbeats per member. A member is removed only if a second observer could not reach that
//! member, either (after Das, Gupta and Motivala, "SWIM", 2002). The types here are state machines
//! without I/O: the caller sends the messages and passes in the replies and the time.
//!
//! ```
//! use cloverpier_member::prelude::*;
//!
//! let list = MemberList::default();
//! let one = Member::new("vm-1", 1, "hall-a", ([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into());
//! let list = list.with_joined(one.clone());
//! assert_eq!(list.epoch, 1);
//! assert!(list.contains(&one.id));
//! ```

#![warn(clippy::disallowed_methods)]

mod detector;
mod list;
mod rejoin;

/// The public types of the crate.
pub mod prelude {
    pub use crate::detector::{Detector, DetectorParams, DetectorStep, ProbeResult};
    pub use crate::list::{Member, MemberChange, MemberList};
    pub use crate::rejoin::RejoinBackoff;
}

pub use prelude::*;
