//! The turn of an attempt with a content that may do harm, from its admission until it is over.
//!
//! Others with the content wait meanwhile, if one more could be too many; `cloverpier_crashes` decides that.
//! Owns one attempt's number there.

use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::{AttemptNumber, ContentKey};
use std::rc::Rc;

/// An attempt that was admitted. It is over when this is dropped.
pub(crate) struct Turn {
    router: Rc<Router>,
    content: ContentKey,
    pub(super) number: AttemptNumber,
}

impl Turn {
    /// Begins with the admission.
    pub(super) fn begin(router: &Rc<Router>, request: &RelayRequest) -> Self {
        let content = request.content_key();
        let number = router.crashes.cases.borrow_mut().on_admitted(content);
        Self {
            router: Rc::clone(router),
            content,
            number,
        }
    }

    /// Records that the attempt is sent.
    pub(super) fn on_sent(&self) {
        let crashes = &self.router.crashes;
        let now = self.router.now();
        let mut cases = crashes.cases.borrow_mut();
        cases.on_sent(self.content, self.number, now);
        crashes.turns.notify_waiters();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let crashes = &self.router.crashes;
        let mut cases = crashes.cases.borrow_mut();
        cases.on_finished(self.content, self.number);
        crashes.turns.notify_waiters();
    }
}
