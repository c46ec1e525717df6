//! Messages to peers that wait for replies, by the number that the replies repeat.
//!
//! [`PendingMessages`] owns the channels to the tasks that wait; [`Pending`] removes one of them when it is dropped.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::mpsc;

/// The messages that wait for replies of type `T`.
#[derive(Debug)]
pub(super) struct PendingMessages<T> {
    waiting: RefCell<HashMap<u64, mpsc::UnboundedSender<T>>>,
    last_number: Cell<u64>,
}

impl<T> PendingMessages<T> {
    pub fn new(first_number: u64) -> Self {
        Self {
            waiting: RefCell::default(),
            last_number: Cell::new(first_number),
        }
    }

    /// Adds a message, which waits until the result is dropped.
    pub fn begin(&self) -> Pending<'_, T> {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let (tx, replies) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(number, tx);
        Pending {
            messages: self,
            number,
            replies,
        }
    }

    /// Passes a reply to the task that waits for it. A late reply is ignored.
    pub fn on_reply(&self, number: u64, reply: T) {
        if let Some(tx) = self.waiting.borrow().get(&number) {
            // Fails only if the task is ending, which needs no reply.
            let _ = tx.send(reply);
        }
    }
}

/// A message that waits for replies.
#[derive(Debug)]
pub(super) struct Pending<'a, T> {
    messages: &'a PendingMessages<T>,
    /// The number that replies repeat.
    pub number: u64,
    replies: mpsc::UnboundedReceiver<T>,
}

impl<T> Pending<'_, T> {
    /// The next reply.
    pub async fn next(&mut self) -> T {
        match self.replies.recv().await {
            Some(reply) => reply,
            // `messages` keeps the sender until this value is dropped.
            None => std::future::pending().await,
        }
    }
}

impl<T> Drop for Pending<'_, T> {
    fn drop(&mut self) {
        self.messages.waiting.borrow_mut().remove(&self.number);
    }
}
