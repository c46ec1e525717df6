//! The platform's object API, as a typed client.
//!
//! All knowledge of the platform's wire shapes is here. Each call gives one
//! of a few outcomes; an update whose answer was lost is an outcome of its
//! own, since it may have taken effect.
//!
//! ```no_run
//! # async fn example() {
//! use cloverpier_object_api::prelude::*;
//!
//! let platform = Platform::new("127.0.0.1:7000".parse().unwrap());
//! match platform.read::<u64>("counter").await {
//!     Ok(Some(found)) => println!("{} at version {}", found.value, found.version),
//!     Ok(None) => println!("nothing there"),
//!     Err(e) => println!("{e}"),
//! }
//! # }
//! ```

mod client;
mod wire;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::client::{Found, Platform, ReadError, WriteError};
    pub use crate::wire::{ObjectBody, StoredObject, VersionBody};
}

pub use prelude::*;
