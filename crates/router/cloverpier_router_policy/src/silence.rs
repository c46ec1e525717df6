//! What is silent while an attempt makes no progress: the attempt, its upstream, or its service.
//!
//! - **Question.** An attempt at an upstream has made no progress for a while. Does only this attempt hang, does its
//!   upstream send nothing to any request, or do all upstreams of the service?
//! - **Inputs.** A [`SilenceEvidence`]: how long this attempt has made no progress; how long its upstream has sent no
//!   part of a response to any request of this router; how many other upstreams of the service have requests of this
//!   router, and how many of those have responded meanwhile.
//! - **Result.** A [`SilenceScope`].
//! - **Why.** The cause decides what helps. A response that hangs at an upstream that serves others never arrives, and
//!   another upstream helps. An upstream that pauses goes on with all its requests, and one that has died with none of
//!   them. If all upstreams fall silent at once, they have a cause in common, such as a pause of all of them or of the
//!   network, and no other upstream helps.
//!
//! Owns no state.

use serde::Serialize;
use std::time::Duration;

/// What this router knows of a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceEvidence {
    /// The time since the attempt made progress; before that, since it was sent.
    pub without_progress: Duration,
    /// The time since the upstream sent a part of a response to any request of this router; `None` if it never has.
    pub upstream_silent: Option<Duration>,
    /// Number of other upstreams of the service that have requests of this router.
    pub others_awaited: usize,
    /// Number of these that have sent a part of a response since this attempt made progress.
    pub others_heard: usize,
}

/// What is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SilenceScope {
    /// Only this attempt: its upstream has responded to other requests meanwhile.
    Attempt,
    /// The upstream; others of the service have responded meanwhile, or none of them has requests of this router.
    Upstream,
    /// All upstreams of the service that have requests of this router.
    Service,
}

impl SilenceEvidence {
    /// What the evidence shows to be silent.
    pub fn scope(&self) -> SilenceScope {
        let has_responded = |silent: Duration| silent < self.without_progress;
        if self.upstream_silent.is_some_and(has_responded) {
            SilenceScope::Attempt
        } else if self.others_awaited > 0 && self.others_heard == 0 {
            SilenceScope::Service
        } else {
            SilenceScope::Upstream
        }
    }
}
