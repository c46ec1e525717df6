//! Membership: joining, heartbeats, removal of the silent, and updates from peers.
//!
//! Carries out what `cloverpier_member` decides; four loops, started here.

pub(crate) mod cluster;
mod join;
mod tick;
mod updates;

pub use cluster::Standing;
pub use join::{adopt, join, leave, update};
pub use updates::{on_versions, pull_marks, push_marks};

use crate::app::App;
use std::sync::Arc;

/// The platform's object that holds the list of members.
pub const MEMBERS_KEY: &str = "cloverpier/members";

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(join::keep_joined(Arc::clone(app)));
    tokio::spawn(join::collect(Arc::clone(app)));
    tokio::spawn(join::watch(Arc::clone(app)));
    tokio::spawn(tick::run(Arc::clone(app)));
}
