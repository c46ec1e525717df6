//! Who is a member: epochs, failure detection, and who watches whom.
//!
//! The list of members is one object of the platform and changes only by
//! conditional update; each change is an epoch. [`Detector`] finds members
//! that went silent: a bounded number of heartbeats per member, and a removal
//! only when a second observer could not reach the silent one either (after
//! Das, Gupta and Motivala, "SWIM", 2002). It is a state machine: it says
//! what to send and is given the replies.
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

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::detector::{Detector, DetectorParams, DetectorStep, ProbeResult};
    pub use crate::list::{Member, MemberChange, MemberList};
    pub use crate::rejoin::Rejoin;
}

pub use prelude::*;
