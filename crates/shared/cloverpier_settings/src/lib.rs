//! The settings files of both programs, read from TOML; all faults are reported at once.
//!
//! Owns the names of the keys, their ranges and their defaults ([`RouterSettings`] for
//! `cloverpier-front`, [`DaemonSettings`] for `cloverpierd`). Relies on `toml` for the
//! syntax. A key that is missing, of another kind or unknown is a fault that names it.
//!
//! ```
//! use cloverpier_settings::prelude::*;
//!
//! let faults = DaemonSettings::parse("vm = 3\nfoo = 1\n").unwrap_err();
//! assert!(faults.faults.iter().any(|f| f.key == "foo"));
//! assert!(faults.faults.iter().any(|f| f.key == "vm"));
//! ```

mod crashes;
mod daemon;
mod file;
mod reader;
mod router;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::crashes::CrashSettings;
    pub use crate::daemon::DaemonSettings;
    pub use crate::file::read_settings;
    pub use crate::reader::{SettingFault, SettingFaults};
    pub use crate::router::{
        ExposureSettings, RetrySettings, RouterListen, RouterSettings, SilenceSettings,
        SingletonSettings,
    };
}

pub use prelude::*;
