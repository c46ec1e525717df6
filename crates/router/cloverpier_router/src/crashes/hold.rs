//! Decides whether a request may be sent to an upstream now, and holds it until that is known.
//!
//! Owns no state. Relies on [`super::judgement`] to wake what is held.

use super::neighbours::neighbours;
use super::turn::Turn;
use crate::decision_log::{RequestHeld, ms};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a request may be sent, and its turn, if its content may do harm.
pub(crate) struct Admitted {
    /// How it may be sent.
    pub admission: Admission,
    /// Lasts as long as the attempt.
    turn: Option<Turn>,
}

impl Admitted {
    /// Of a request before its first admission.
    pub const NEW: Self = Self {
        admission: Admission::Normal,
        turn: None,
    };

    /// Whether the request may still be sent, which has waited for an upstream since it was admitted.
    /// Otherwise it has to be admitted anew.
    pub fn still_holds(&mut self, router: &Rc<Router>, request: &RelayRequest) -> bool {
        if router.crashes.cases.borrow().is_empty() {
            return true;
        }
        let turn = self
            .turn
            .get_or_insert_with(|| Turn::begin(router, request));
        let cases = router.crashes.cases.borrow();
        let (content, now) = (request.content_key(), router.now());
        let neighbours = |end: &UpstreamEvent| neighbours(router, end);
        let hold = cases.hold_admitted(content, turn.number, now, neighbours);
        let has_to_wait = hold.until(now, request.deadline, now).is_some();
        // One that waits briefly may have done so.
        let is_held = has_to_wait && hold != Hold::Briefly;
        !is_held && cases.registry.status(content, now) != ContentStatus::Blocked
    }

    /// Records that the attempt is sent.
    pub fn on_sent(&self) {
        self.turn.iter().for_each(Turn::on_sent);
    }
}

/// Decides whether a request may be sent to an upstream now. Where its next attempt may be one too
/// many, it waits until the last one is judged.
pub(crate) async fn admit(router: &Rc<Router>, request: &RelayRequest) -> Admitted {
    let crashes = &router.crashes;
    if crashes.cases.borrow().is_empty() {
        return Admitted::NEW;
    }
    let content = request.content_key();
    let since = router.now();
    let mut is_held = false;
    while let Some(until) = held_until(router, request, since) {
        is_held = true;
        tokio::select! {
            () = crashes.changed.notified() => {}
            () = crashes.turns.notified() => {}
            () = router.timers.sleep_until(until) => {}
        }
    }
    let now = router.now();
    let neighbours = |end: &UpstreamEvent| neighbours(router, end);
    let admission = crashes.cases.borrow().admission(content, now, neighbours);
    let turn = (admission != Admission::Blocked).then(|| Turn::begin(router, request));
    if is_held {
        log_hold(
            router,
            request,
            admission,
            now.saturating_duration_since(since),
        );
    }
    Admitted { admission, turn }
}

/// Until when a request that has waited since a moment goes on waiting for a judgement; `None` where it
/// does not.
fn held_until(router: &Router, request: &RelayRequest, since: Instant) -> Option<Instant> {
    let now = router.now();
    let cases = router.crashes.cases.borrow();
    let hold = cases.hold(request.content_key(), now, |end| neighbours(router, end));
    hold.until(since, request.deadline, now)
}

fn log_hold(router: &Router, request: &RelayRequest, admission: Admission, held: Duration) {
    let content = request.content_key();
    let now = router.now();
    let line = RequestHeld {
        request: &request.id,
        content: content.to_string(),
        crash_count: router
            .crashes
            .cases
            .borrow()
            .registry
            .crash_count(content, now),
        held_ms: ms(held),
        admission,
    };
    router.metrics.crashes.count("held");
    router.log.info("request.held", &line);
}
