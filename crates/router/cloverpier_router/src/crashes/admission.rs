//! Admission of requests: whether a request may be sent to an upstream, by the crashes that its content may have
//! caused.
//!
//! A request whose next attempt could crash one upstream too many is held here until the earlier attempts with the
//! same content are resolved. `cloverpier_crashes` decides what is held and what is blocked. Owns no state. Relies on
//! [`super::record`] and [`super::resolution`] to wake held requests when the crash tracker changes, and on
//! [`super::in_flight`] when an attempt with the content is sent or finishes.

use super::in_flight::InFlightAttempt;
use super::neighbours::neighbour_counts;
use crate::decision_log::{RequestHeld, ms};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The result of the check of a request's content before an attempt, and the attempt's registration with the crash
/// tracker.
pub(crate) struct Admitted {
    /// Whether the request may be sent, and whether it is isolated from other requests.
    pub admission: Admission,
    /// The attempt, in flight until this value is dropped; `None` if the request is blocked.
    attempt: Option<Rc<InFlightAttempt>>,
}

impl Admitted {
    /// Admits a request without an attempt: the value before the first check.
    pub const UNRESTRICTED: Self = Self {
        admission: Admission::Normal,
        attempt: None,
    };

    /// Whether the request may still be sent after it waited for an upstream. If not, the caller has to call [`admit`]
    /// again. Registers the attempt if [`admit`] did not, as a crash may have become known since.
    pub fn is_still_valid(&mut self, router: &Rc<Router>, request: &Rc<RelayRequest>) -> bool {
        if router.crashes.tracker.borrow().is_empty() {
            return true;
        }
        let attempt = self
            .attempt
            .get_or_insert_with(|| InFlightAttempt::begin(router, request));
        let number = attempt.register();
        let tracker = router.crashes.tracker.borrow();
        let (content, now) = (request.content_key(), router.now());
        let neighbours = |crashed: &UpstreamEvent| neighbour_counts(router, crashed);
        let hold = tracker.hold_admitted(content, number, now, neighbours);
        let must_wait = hold.until(now, request.deadline, now).is_some();
        // `Hold::Briefly` does not count: `admit` may already have held the request for the maximum of 250 ms.
        let is_held = must_wait && hold != Hold::Briefly;
        !is_held && tracker.registry.status(content, now) != ContentStatus::Blocked
    }

    /// Records that the attempt is sent.
    pub fn on_sent(&self) {
        if let Some(attempt) = &self.attempt {
            attempt.on_sent();
        }
    }
}

/// Waits while the request is held, at most until its deadline, then returns whether and how it may be sent.
pub(crate) async fn admit(router: &Rc<Router>, request: &Rc<RelayRequest>) -> Admitted {
    let crashes = &router.crashes;
    if crashes.tracker.borrow().is_empty() {
        return Admitted {
            admission: Admission::Normal,
            attempt: Some(InFlightAttempt::list(router, request)),
        };
    }
    let content = request.content_key();
    let held_since = router.now();
    let mut is_held = false;
    while let Some(until) = held_until(router, request, held_since) {
        is_held = true;
        tokio::select! {
            () = crashes.tracker_changed.notified() => {}
            () = crashes.in_flight_changed.notified() => {}
            () = router.timers.sleep_until(until) => {}
        }
    }
    let now = router.now();
    let neighbours = |crashed: &UpstreamEvent| neighbour_counts(router, crashed);
    let admission = crashes.tracker.borrow().admission(content, now, neighbours);
    let attempt =
        (admission != Admission::Blocked).then(|| InFlightAttempt::begin(router, request));
    if is_held {
        log_hold(
            router,
            request,
            admission,
            now.saturating_duration_since(held_since),
        );
    }
    Admitted { admission, attempt }
}

/// The latest time until which a request is held that has been held since `held_since`; `None` if the request is not
/// held any more. The time may change whenever the crash tracker changes.
fn held_until(router: &Router, request: &RelayRequest, held_since: Instant) -> Option<Instant> {
    let now = router.now();
    let tracker = router.crashes.tracker.borrow();
    let hold = tracker.hold(request.content_key(), now, |crashed| {
        neighbour_counts(router, crashed)
    });
    hold.until(held_since, request.deadline, now)
}

fn log_hold(router: &Router, request: &RelayRequest, admission: Admission, held_for: Duration) {
    let content = request.content_key();
    let now = router.now();
    let line = RequestHeld {
        request: &request.id,
        content: content.to_string(),
        crash_count: router
            .crashes
            .tracker
            .borrow()
            .registry
            .crash_count(content, now),
        held_ms: ms(held_for),
        admission,
    };
    router.metrics.crashes.count("held");
    router.log.info("request.held", &line);
}
