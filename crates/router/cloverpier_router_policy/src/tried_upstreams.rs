//! The upstreams that have failed a request, which get no further attempt of it.
//!
//! - **Question.** Which upstreams are no candidates for the next attempt of a request?
//! - **Inputs.** The upstream of each attempt that ended, and whether the attempt was ended although the upstream may
//!   still go on with it.
//! - **Result.** A list of names for [`crate::choice::Demand`].
//! - **Why.** An upstream that has failed a request probably fails it again. An upstream that was left because it was
//!   silent, or behind a lost path, has not failed; it has read the prompt of a stream, but may still run the attempt that
//!   was given up. So it gets another attempt only where no other upstream can.
//!
//! [`TriedUpstreams`] owns the names for one request.

use crate::attempt_failure::AttemptFailure;
use cloverpier_core::UpstreamName;

/// The upstreams that get no further attempt of one request.
#[derive(Clone, Debug, Default)]
pub struct TriedUpstreams {
    /// In the order of the attempts.
    excluded: Vec<UpstreamName>,
    /// Those of them whose attempt was ended although they may still go on with it.
    left: Vec<UpstreamName>,
    last: Option<UpstreamName>,
}

impl TriedUpstreams {
    /// Records the upstream of an attempt that failed.
    pub fn on_failure(&mut self, upstream: &UpstreamName, failure: &AttemptFailure) {
        if failure.leaves_upstream() {
            self.left.push(upstream.clone());
        }
        self.excluded.push(upstream.clone());
        self.last = Some(upstream.clone());
    }

    /// The upstreams that are no candidates.
    pub fn excluded(&self) -> &[UpstreamName] {
        &self.excluded
    }

    /// The upstreams that are no candidates once an attempt at `upstream` has ended, too.
    pub fn with(&self, upstream: &UpstreamName) -> Vec<UpstreamName> {
        let mut excluded = self.excluded.clone();
        excluded.push(upstream.clone());
        excluded
    }

    /// The upstream of the last attempt that ended; `None` before the first.
    pub fn last(&self) -> Option<&UpstreamName> {
        self.last.as_ref()
    }

    /// Makes the upstreams candidates again that were left without proof of a failure, once for each attempt. Returns
    /// whether there are any.
    pub fn readmit_left(&mut self) -> bool {
        let readmitted = std::mem::take(&mut self.left);
        self.excluded.retain(|name| !readmitted.contains(name));
        !readmitted.is_empty()
    }
}
