//! The configuration: learning it, putting it in force, and changing it.
//!
//! Owns the keys of the platform's objects; they are in stored data.

mod acceptance;
mod change;
mod learn;
mod leave;

pub use acceptance::{ConfirmOutcome, ConfirmReport, RouterVersion, in_force};
pub use change::{PlanReport, confirm, make_plan, read_plan};
pub use learn::pull_from_peer;
pub use leave::leave_upstream;

use crate::app::App;
use std::sync::Arc;

/// The platform's object that holds the root.
pub const ROOT_KEY: &str = "cloverpier/config/root";
/// The platform's prefix of parts.
pub const PART_PREFIX: &str = "cloverpier/config/parts/";
/// The platform's prefix of plans.
pub const PLAN_PREFIX: &str = "cloverpier/plans/";
/// The platform's object that holds marks to leave.
pub const MARKS_KEY: &str = "cloverpier/marks";

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(learn::watch(Arc::clone(app)));
    tokio::spawn(learn::learn_from_seeds(Arc::clone(app)));
    tokio::spawn(learn::keep_marks(Arc::clone(app)));
}
