//! A typed client of the platform's object API.
//!
//! This crate owns the wire format of the platform. An update whose response was lost fails with an
//! error of its own, because the update may have taken effect.
//!
//! ```no_run
//! # async fn example() {
//! use cloverpier_object_api::prelude::*;
//!
//! let platform = PlatformClient::new("127.0.0.1:7000".parse().unwrap());
//! match platform.read::<u64>("counter").await {
//!     Ok(Some(found)) => println!("{} at version {}", found.value, found.version),
//!     Ok(None) => println!("no such object"),
//!     Err(e) => println!("{e}"),
//! }
//! # }
//! ```

mod client;
mod wire;

/// All public types, for a glob import.
pub mod prelude {
    pub use crate::client::{AnswerError, PlatformClient, ReadError, VersionedObject, WriteError};
    pub use crate::wire::{ObjectBody, StoredObject, VersionBody};
}

pub use prelude::*;
