//! Logs as JSON lines and metrics over statsd.
//!
//! Components that write log lines get a [`Log`], which adds the VM's name to each line, so that the logs of
//! a fleet can be merged.
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

/// The public items of this crate.
pub mod prelude {
    pub use crate::bounded::{BoundedWriter, LogProgress};
    pub use crate::line::{Log, NoFields, init_logs, init_logs_bounded};
    pub use crate::metrics::Metrics;
}

pub use prelude::*;
