//! Cancels the attempts of one request.
//!
//! Owns the flag of one request, and wakes the tasks that wait for an upstream's response to it.

use std::cell::Cell;
use std::future::Future;
use tokio::sync::Notify;

/// A flag that is set when a request's content is blocked while the request is in flight. It is never reset.
#[derive(Debug, Default)]
pub(crate) struct CancelSignal {
    is_cancelled: Cell<bool>,
    changed: Notify,
}

impl CancelSignal {
    /// Cancels the request's attempts, including those that begin later.
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        self.changed.notify_waiters();
    }

    /// Whether the request's attempts are cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }

    /// Waits until the request's attempts are cancelled.
    pub async fn cancelled(&self) {
        while !self.is_cancelled() {
            self.changed.notified().await;
        }
    }

    /// Runs `work` to its end. Returns `None` if the request's attempts are cancelled before that, or already
    /// were.
    pub async fn run_unless_cancelled<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.cancelled() => None,
            done = work => Some(done),
        }
    }
}
