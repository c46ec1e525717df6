//! Detection of abandoned attempts: attempts whose task is dropped before their outcome is known, as when the caller
//! disconnects.
//!
//! The upstream may still execute an abandoned attempt and crash because of it. Owns only the data of the attempts
//! that are being watched; [`super::record`] records the abandoned ones as lost.

use super::record;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::LossCause;
use cloverpier_router_policy::prelude::Upstream;
use std::rc::Rc;
use std::time::Instant;

/// Watches an attempt from its sending. If the guard is dropped before [`Self::disarm`], the attempt is recorded as lost with
/// [`LossCause::Abandoned`].
pub(crate) struct AbandonGuard {
    /// `None` once the guard is disarmed.
    attempt: Option<SentAttempt>,
}

struct SentAttempt {
    router: Rc<Router>,
    request: Rc<RelayRequest>,
    upstream: Upstream,
    started_at: Instant,
}

impl AbandonGuard {
    /// Starts to watch an attempt that is about to be sent; the time of this call counts as its start.
    pub fn begin(router: &Rc<Router>, request: &Rc<RelayRequest>, upstream: &Upstream) -> Self {
        Self {
            attempt: Some(SentAttempt {
                router: Rc::clone(router),
                request: Rc::clone(request),
                upstream: upstream.clone(),
                started_at: router.now(),
            }),
        }
    }

    /// Stops watching the attempt: it succeeded, the first event of its stream arrived, or its failure is recorded
    /// elsewhere.
    pub fn disarm(mut self) {
        self.attempt = None;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let SentAttempt {
                router,
                request,
                upstream,
                started_at,
            } = attempt;
            let ran_for = router.now().saturating_duration_since(started_at);
            record::on_lost(&router, &request, &upstream, LossCause::Abandoned, ran_for);
        }
    }
}
