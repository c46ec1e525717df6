//! What the attempts of a generation have come to, and whether another may follow. Owns that.

use crate::admission::nobody;
use crate::answers::failure::Failure;
use crate::answers::live::Live;
use crate::app::App;
use crate::error::{ApiError, Run};
use cloverpier_core::{UpstreamName, hash_of};
use cloverpier_route::RouteRequest;

/// Attempts in a row that ended without a token, after which an answer is given up.
const BARREN: u32 = 8;

/// What a generation's attempts have come to.
#[derive(Debug, Default)]
pub(super) struct Tries {
    /// Engines that failed it.
    failed: Vec<UpstreamName>,
    /// Times in a row that its last attempt ended without a token.
    barren: u32,
    /// Whether an engine may have run it.
    pub may_have_run: bool,
}

impl Tries {
    /// Counts an attempt that failed.
    pub fn on_failed(&mut self, upstream: &UpstreamName, failure: Failure) {
        self.may_have_run |= failure.may_have_run();
        self.failed.push(upstream.clone());
    }

    /// Counts the end of the last attempt that ran; the error where no other may follow.
    pub fn after_last(
        &mut self,
        app: &App,
        live: &Live,
        failure: Failure,
        progressed: bool,
    ) -> Option<ApiError> {
        if failure.may_have_run() && !live.spec.repeatable {
            return Some(not_repeated());
        }
        self.barren = if progressed { 0 } else { self.barren + 1 };
        // An attempt ends for silence only once the time to continue its answer is over.
        let is_over = failure.is_silence() || self.barren >= BARREN;
        is_over.then(|| self.error(nobody(app, &live.spec.service)))
    }

    /// An error that ends the generation, true to whether it ran.
    pub fn error(&self, error: ApiError) -> ApiError {
        if self.may_have_run {
            error.with_run(Run::Unknown)
        } else {
            error
        }
    }

    /// The request for an engine that continues an answer: ahead of new work, full ones included.
    pub fn request_for_rest(&self, live: &Live) -> RouteRequest {
        let mut request = RouteRequest::new(live.spec.service.clone());
        request.prefix = Some(hash_of(&live.spec.prompt));
        request.failed = self.failed.clone();
        request.overcommit = true;
        request
    }
}

/// The error of a generation that may have run and may not be repeated.
pub(super) fn not_repeated() -> ApiError {
    ApiError::unknown("the engine failed and the request may not be repeated")
}
