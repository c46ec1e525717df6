//! Logs as JSON lines and metrics over statsd.
//!
//! A [`Log`] is handed to whoever writes lines; it carries the VM's name, so
//! that lines of a fleet can be read together.
//!
//! ```
//! use cloverpier_observe::prelude::*;
//! use serde::Serialize;
//!
//! #[derive(Serialize)]
//! struct Chosen<'a> {
//!     upstream: &'a str,
//! }
//!
//! let log = Log::new("vm-1");
//! log.info("route.chosen", &Chosen { upstream: "e1" });
//! ```

mod bounded;
mod line;
mod metrics;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::bounded::{BoundedWriter, LogProgress};
    pub use crate::line::{Log, NoFields, init_logs, init_logs_bounded};
    pub use crate::metrics::Metrics;
}

pub use prelude::*;
