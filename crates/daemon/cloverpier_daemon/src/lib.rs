//! The router daemon: carries out what the decision crates return.
//!
//! [`App`] holds the state of one process; [`parts`] is the one
//! place where its parts are registered. Removing a part is removing a line
//! there.
//!
//! ```no_run
//! # async fn example(settings: cloverpier_settings::DaemonSettings) {
//! use cloverpier_daemon::prelude::*;
//!
//! let app = App::new(settings, Timers::default());
//! cloverpier_daemon::run(app).await;
//! # }
//! ```

#![warn(clippy::disallowed_methods)]

pub mod admission;
pub mod answers;
pub mod app;
pub mod claims;
pub mod config;
pub mod crashes;
pub mod error;
pub mod loads;
pub mod members;
pub mod parts;
pub mod plain;
pub mod resume;
pub mod seeking;
pub mod silence_log;
pub mod statements;
pub mod stop;
pub mod web;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::app::App;
    pub use crate::parts::{PARTS, Part};
    pub use crate::run;
    pub use cloverpier_timers::Timers;
}

use crate::app::App;
use std::sync::Arc;

/// Runs a router until it is stopped.
pub async fn run(app: Arc<App>) {
    for part in parts::PARTS {
        (part.start)(&app);
    }
    stop::wait(&app).await;
}
