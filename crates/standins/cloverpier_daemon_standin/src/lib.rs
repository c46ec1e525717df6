//! Stand-ins for what the system meets: platform, model engine, plain service, link.
//!
//! They are small and honest: each counts what it did, so that a check
//! needn't take the routers' word, and each has faults that are switched over
//! HTTP while it runs. The daemon never links this crate.
//!
//! ```
//! use cloverpier_daemon_standin::prelude::*;
//! use cloverpier_core::TokenDigest;
//!
//! let first = speak(7, TokenDigest::EMPTY);
//! assert!(check_speech([first.as_str()]).is_ok());
//! assert!(check_speech(["made up"]).is_err());
//! ```

pub mod engine;
pub mod link;
pub mod platform;
pub mod service;
mod speech;
mod web;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::engine::{EngineCounts, EngineFaults, EngineModel};
    pub use crate::link::LinkFaults;
    pub use crate::platform::{PlatformCounts, PlatformFaults};
    pub use crate::service::{ServiceCounts, ServiceFaults};
    pub use crate::speech::{SpeechFault, check_speech, speak};
}

pub use prelude::*;
