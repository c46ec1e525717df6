//! Registration of an attempt with the crash tracker, from its admission until it finishes.
//!
//! While an attempt may still crash its upstream, `cloverpier_crashes` may hold other requests with the same content,
//! as a further attempt could crash one upstream too many. While no crash is known, attempts are only listed, since the
//! key of a content takes time to compute; once an attempt is lost, the attempts with its content are registered that
//! were sent before ([`register_copies`]). Owns the number that identifies the attempt in the tracker;
//! [`super::state`] owns the list.

use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::AttemptNumber;
use std::cell::Cell;
use std::ptr;
use std::rc::{Rc, Weak};
use std::time::Instant;

/// An admitted attempt. Dropping it records that the attempt has finished or will not be sent.
pub(crate) struct InFlightAttempt {
    router: Rc<Router>,
    request: Rc<RelayRequest>,
    /// When the attempt was sent; `None` before.
    sent_at: Cell<Option<Instant>>,
    /// `None` while the attempt is not registered.
    number: Cell<Option<AttemptNumber>>,
}

impl InFlightAttempt {
    /// Lists an attempt that is admitted now, without registering it.
    pub(super) fn list(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Rc<Self> {
        let attempt = Rc::new(Self::new(router, request));
        let mut listed = router.crashes.listed_attempts.borrow_mut();
        // Finished attempts are removed only when the list would have to grow, so that an attempt takes amortized
        // constant time.
        if listed.len() == listed.capacity() {
            listed.retain(|attempt| attempt.strong_count() > 0);
        }
        listed.push(Rc::downgrade(&attempt));
        attempt
    }

    /// Registers an attempt that is admitted now.
    pub(super) fn begin(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Rc<Self> {
        let attempt = Rc::new(Self::new(router, request));
        attempt.register();
        attempt
    }

    fn new(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Self {
        Self {
            router: Rc::clone(router),
            request: Rc::clone(request),
            sent_at: Cell::new(None),
            number: Cell::new(None),
        }
    }

    /// Registers the attempt if it is not registered, and returns its number.
    pub(super) fn register(&self) -> AttemptNumber {
        if let Some(number) = self.number.get() {
            return number;
        }
        let content = self.request.content_key();
        let mut tracker = self.router.crashes.tracker.borrow_mut();
        let number = tracker.on_admitted(content);
        if let Some(sent_at) = self.sent_at.get() {
            tracker.on_sent(content, number, sent_at);
        }
        self.number.set(Some(number));
        number
    }

    /// Records that the attempt is sent, and wakes held requests: this attempt may determine how long they are held.
    pub(super) fn on_sent(&self) {
        let now = self.router.now();
        self.sent_at.set(Some(now));
        if let Some(number) = self.number.get() {
            let crashes = &self.router.crashes;
            let mut tracker = crashes.tracker.borrow_mut();
            tracker.on_sent(self.request.content_key(), number, now);
            crashes.in_flight_changed.notify_waiters();
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if let Some(number) = self.number.get() {
            let crashes = &self.router.crashes;
            let mut tracker = crashes.tracker.borrow_mut();
            tracker.on_finished(self.request.content_key(), number);
            crashes.in_flight_changed.notify_waiters();
        }
    }
}

/// Registers the listed attempts that were sent with the content of a request, except those of the request itself, an
/// attempt of which was lost.
pub(super) fn register_copies(router: &Router, request: &RelayRequest) {
    let content = request.content_key();
    let listed = std::mem::take(&mut *router.crashes.listed_attempts.borrow_mut());
    let is_copy = |attempt: &InFlightAttempt| {
        let is_other = !ptr::eq(&raw const *attempt.request, request);
        is_other && attempt.sent_at.get().is_some() && attempt.request.content_key() == content
    };
    let (copies, others): (Vec<_>, Vec<_>) = listed
        .iter()
        .filter_map(Weak::upgrade)
        .partition(|attempt| is_copy(attempt));
    for copy in &copies {
        copy.register();
    }
    let others = others.iter().map(Rc::downgrade);
    router.crashes.listed_attempts.borrow_mut().extend(others);
}
