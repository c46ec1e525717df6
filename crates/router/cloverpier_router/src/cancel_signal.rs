//! Calls the attempts of one request back.
//!
//! Owns one request's flag and wakes whoever waits for its upstream.

use std::cell::Cell;
use std::future::Future;
use tokio::sync::Notify;

/// Set once when the request's content is stopped while an attempt is under way.
#[derive(Debug, Default)]
pub(crate) struct CancelSignal {
    is_set: Cell<bool>,
    changed: Notify,
}

impl CancelSignal {
    /// Calls the attempts back.
    pub fn set(&self) {
        self.is_set.set(true);
        self.changed.notify_waiters();
    }

    /// Whether they were called back.
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until they are.
    pub async fn wait(&self) {
        while !self.is_set() {
            self.changed.notified().await;
        }
    }

    /// Runs `work` unless they are called back before it ends, or were before: `None` then.
    pub async fn run_unless_cancelled<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.wait() => None,
            done = work => Some(done),
        }
    }
}
