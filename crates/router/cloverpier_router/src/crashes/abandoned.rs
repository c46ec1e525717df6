//! Attempts that end with nobody to wait for them, as when their caller leaves.
//!
//! An upstream may run such an attempt all the same, and end by it. Owns nothing but the attempt's
//! own data; [`super::record`] records what was lost.

use super::record;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::LossCause;
use cloverpier_router_policy::prelude::Upstream;
use std::rc::Rc;
use std::time::Instant;

/// An attempt under way: one that is dropped before its outcome is known was abandoned.
pub(crate) struct AbandonGuard {
    /// `None` once the outcome is known.
    attempt: Option<SentAttempt>,
}

struct SentAttempt {
    router: Rc<Router>,
    request: Rc<RelayRequest>,
    upstream: Upstream,
    begun: Instant,
}

impl AbandonGuard {
    /// Begins to watch an attempt that is about to be sent.
    pub fn begin(router: &Rc<Router>, request: &Rc<RelayRequest>, upstream: &Upstream) -> Self {
        Self {
            attempt: Some(SentAttempt {
                router: Rc::clone(router),
                request: Rc::clone(request),
                upstream: upstream.clone(),
                begun: router.now(),
            }),
        }
    }

    /// Ends the watch: the upstream has begun to answer, or whoever learned of the failure records it.
    pub fn settle(mut self) {
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
                begun,
            } = attempt;
            let ran_for = router.now().saturating_duration_since(begun);
            record::on_lost(&router, &request, &upstream, LossCause::Abandoned, ran_for);
        }
    }
}
