//! Decision whether a content may have its crashes by chance, though it caused none of them.
//!
//! - **Question.** An upstream that crashes for a reason of its own crashes under all contents that it was executing.
//!   They go on at other upstreams, and some of them are there when the next one crashes. Does a content have more
//!   crashes than that explains?
//! - **Inputs.** The number of contents that the first of the crashed upstreams was executing, the number of upstreams
//!   of the service, and the evidence against the content.
//! - **Answer.** Whether the number of contents that have as many crashes by chance is expected to be at most
//!   [`MAX_EXPECTED_CONTENTS`].
//! - **Reason.** After the first crash, a content is at the next upstream that crashes with a probability of about one
//!   in the number of upstreams. In a service with many upstreams, three crashes are never due to chance. In a service
//!   with three busy ones, two or three requests have three crashes whenever three upstreams crash within seconds.
//!
//! Owns no state.

use super::Evidence;
use crate::weight::Weight;

/// How many contents may be expected to have the crashes of a blocked content by chance. With a higher number, requests
/// that crash nothing are blocked; with a lower one, a crashing request crashes more upstreams of a small service.
const MAX_EXPECTED_CONTENTS: f64 = 0.25;
/// Number of crashes of full weight beyond the limit from which on a content is blocked whatever may be due to chance.
pub(super) const MAX_CRASHES_BEYOND_LIMIT: u32 = 2;

/// The conditions under which a content has its crashes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exposure {
    /// Number of contents that the upstream of the first crash was executing, this one included.
    pub contents: usize,
    /// Number of upstreams of the service, as far as known; 1 or 0 if no other upstream is known.
    pub upstreams: u32,
}

impl Exposure {
    /// Whether so many contents have `evidence` by chance that none of them can be blamed. Not if no other upstream is
    /// known: then each content is at the upstream that crashes, and the limit alone counts.
    pub fn explains(self, evidence: Evidence) -> bool {
        if self.upstreams <= 1 {
            return false;
        }
        let crashes = f64::from(evidence.thousandths) / f64::from(Weight::FULL.thousandths());
        let after_first = (crashes - 1.0).max(0.0);
        let expected = self.contents as f64 / f64::from(self.upstreams).powf(after_first);
        expected > MAX_EXPECTED_CONTENTS
    }
}
