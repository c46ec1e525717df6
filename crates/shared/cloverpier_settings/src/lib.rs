//! Settings of routers and fronts, read from TOML; all faults are reported at once.
//!
//! ```
//! use cloverpier_settings::prelude::*;
//!
//! let faults = Settings::parse("vm = 3\nfoo = 1\n").unwrap_err();
//! assert!(faults.faults.iter().any(|f| f.key == "foo"));
//! assert!(faults.faults.iter().any(|f| f.key == "vm"));
//! ```

mod file;
mod front;
mod reader;
mod settings;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::file::read_settings;
    pub use crate::front::{FrontListen, FrontSettings, RetrySettings, SilenceSettings};
    pub use crate::reader::{SettingFault, SettingFaults};
    pub use crate::settings::Settings;
}

pub use prelude::*;
