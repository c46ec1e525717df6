//! Registration of an attempt with the crash tracker, from its admission until it finishes.
//!
//! While an attempt may still crash its upstream, `cloverpier_crashes` may hold other requests with the same content,
//! as a further attempt could crash one upstream too many. Owns the number that identifies the attempt in the
//! tracker.

use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::{AttemptNumber, ContentKey};
use std::rc::Rc;

/// An admitted attempt, registered with the crash tracker. Dropping it records that the attempt has finished or will
/// not be sent.
pub(crate) struct InFlightAttempt {
    router: Rc<Router>,
    content: ContentKey,
    pub(super) number: AttemptNumber,
}

impl InFlightAttempt {
    /// Registers an attempt that is admitted now.
    pub(super) fn begin(router: &Rc<Router>, request: &RelayRequest) -> Self {
        let content = request.content_key();
        let number = router.crashes.tracker.borrow_mut().on_admitted(content);
        Self {
            router: Rc::clone(router),
            content,
            number,
        }
    }

    /// Records that the attempt is sent, and wakes held requests: this attempt may determine how long they are held.
    pub(super) fn on_sent(&self) {
        let crashes = &self.router.crashes;
        let now = self.router.now();
        let mut tracker = crashes.tracker.borrow_mut();
        tracker.on_sent(self.content, self.number, now);
        crashes.in_flight_changed.notify_waiters();
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let crashes = &self.router.crashes;
        let mut tracker = crashes.tracker.borrow_mut();
        tracker.on_finished(self.content, self.number);
        crashes.in_flight_changed.notify_waiters();
    }
}
