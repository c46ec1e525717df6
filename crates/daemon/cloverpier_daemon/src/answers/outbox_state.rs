//! What waits to be sent to the holders of copies, and which holders failed.
//!
//! Owns the queues and the failures; [`super::outbox`] fills and empties them. Knows nothing of the rest of the
//! router, so that its state can hold it.

use super::live::Live;
use cloverpier_core::MemberId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::Notify;

/// Answers with parts that one holder has not got.
#[derive(Debug, Default)]
pub(super) struct PeerQueue {
    pub(super) waiting: Mutex<Vec<Arc<Live>>>,
    pub(super) wake: Notify,
}

/// Queues of answers with unsent parts, by holder.
#[derive(Debug, Default)]
pub struct Outbox {
    pub(super) queues: Mutex<HashMap<MemberId, Arc<PeerQueue>>>,
    pub(super) failed: Mutex<HashMap<MemberId, Instant>>,
}
