//! Parses the settings files of both programs, which are in TOML, and reports all errors at once.
//!
//! Owns the names, ranges and defaults of the keys: [`RouterSettings`] for `cloverpier-front`, and
//! [`DaemonSettings`] for `cloverpierd`. Relies on `toml` for the syntax. Each required key that is missing,
//! each value of another type or out of range, and each unknown key is a [`SettingError`] with that key.
//!
//! ```
//! use cloverpier_settings::prelude::*;
//!
//! let errors = DaemonSettings::parse("vm = 3\nfoo = 1\n").unwrap_err();
//! assert!(errors.errors.iter().any(|e| e.key == "foo"));
//! assert!(errors.errors.iter().any(|e| e.key == "vm"));
//! ```

mod crashes;
mod daemon;
mod file;
mod reader;
mod router;

/// The public items of this crate.
pub mod prelude {
    pub use crate::crashes::CrashSettings;
    pub use crate::daemon::DaemonSettings;
    pub use crate::file::read_settings;
    pub use crate::reader::{SettingError, SettingErrors};
    pub use crate::router::{
        AdmissionOrder, AdmissionSettings, ExposureSettings, LivenessSettings, RetrySettings,
        RouterListen, RouterSettings, SingletonSettings,
    };
}

pub use prelude::*;
