//! The answers of this router and what it holds for others.
//!
//! Owns them; the other files here act on them. Relies on nothing of the rest of the router, so that its
//! state can hold it.

use super::directory::Directory;
use super::live::Live;
use super::outbox_state::Outbox;
use cloverpier_answer::ResponseCopies;
use cloverpier_core::{RequestKey, lock};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Answers that this router owns, and copies that it holds for others.
#[derive(Debug, Default)]
pub struct Answers {
    /// Answers that this router owns.
    pub live: Mutex<HashMap<RequestKey, Arc<Live>>>,
    /// Copies that it holds.
    pub copies: Mutex<ResponseCopies>,
    /// Where copies of other routers' answers are.
    pub directory: Mutex<Directory>,
    /// Tokens on their way to holders.
    pub outbox: Outbox,
    /// Calls to plain services that are under way.
    pub calls: AtomicUsize,
}

impl Answers {
    /// Whether no answer is being generated or read, and no call is under way.
    pub fn is_quiet(&self) -> bool {
        let busy = lock(&self.live).values().any(|l| l.is_busy());
        !busy && self.calls.load(Ordering::Relaxed) == 0
    }

    /// An answer that this router owns.
    pub fn get(&self, key: &RequestKey) -> Option<Arc<Live>> {
        lock(&self.live).get(key).cloned()
    }
}
