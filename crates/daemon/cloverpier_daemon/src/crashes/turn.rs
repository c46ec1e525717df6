//! The turn of an attempt, from its admission until it is over.
//!
//! Others with the content wait meanwhile, if one more could be too many; `cloverpier_crashes` decides that.
//! Owns one attempt's number there.

use crate::app::App;
use cloverpier_core::lock;
use cloverpier_crashes::prelude::*;

/// An attempt that was admitted. It is over when this is dropped.
pub struct Turn<'a> {
    app: &'a App,
    content: ContentKey,
    number: AttemptNumber,
}

impl<'a> Turn<'a> {
    pub(super) fn new(app: &'a App, content: ContentKey, number: AttemptNumber) -> Self {
        Self {
            app,
            content,
            number,
        }
    }

    /// Records that the attempt is sent.
    pub fn on_sent(&self) {
        let crashes = &self.app.crashes;
        let now = self.app.now();
        lock(&crashes.cases).on_sent(self.content, self.number, now);
        crashes.turns.notify_waiters();
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let crashes = &self.app.crashes;
        lock(&crashes.cases).on_finished(self.content, self.number);
        crashes.turns.notify_waiters();
    }
}
