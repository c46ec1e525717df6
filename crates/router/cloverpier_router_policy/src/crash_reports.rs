//! What is reported to peers of requests that end upstreams.
//!
//! - **Question.** Which ends do peers learn of, and in how large messages?
//! - **Inputs.** What was around an end.
//! - **Answer.** Yes or no; messages within a datagram's bound.
//! - **Why.** A caller repeats at any router, so an end that counts goes to all routers at once, in one
//!   datagram each. One that something else explains goes to nobody: a dying data centre would have
//!   each of 300 routers report some five of them to all others. On days without such contents nothing is
//!   sent at all.
//!
//! Who is sent them again is decided in [`crate::dissemination`]; which ends count, and what is done with a
//! content, in `cloverpier_crashes`. Owns nothing.

use cloverpier_crashes::{ContentReport, CrashContext};

/// Ends of less weight, in thousandths, are not reported: three of five others in a data centre have
/// ended beside it, so that two that one request ended at once are reported.
const MIN_REPORTED_WEIGHT: u32 = 250;
/// Ends in one message. An end takes 40 bytes, and 10 for each of up to 12 others beside it: 32 of
/// them at most 5,200, where a datagram may have 8,192.
const MAX_ENDS: usize = 32;

/// Whether an end is reported to peers, which is one of `ends` that are known of its content. What else
/// ended beside it explains the first; the others may be the content's own.
pub fn is_told(surroundings: &CrashContext, ends: usize) -> bool {
    let weight = surroundings.weight(|_| None);
    ends > 1 || weight.thousandths() >= MIN_REPORTED_WEIGHT
}

/// Reports in as many messages as they need.
pub fn in_messages(reports: Vec<ContentReport>) -> Vec<Vec<ContentReport>> {
    let mut messages: Vec<Vec<ContentReport>> = Vec::new();
    let mut ends = 0;
    for report in reports {
        ends += report.crashes.len();
        match messages.last_mut() {
            Some(message) if ends <= MAX_ENDS => message.push(report),
            _ => {
                ends = report.crashes.len();
                messages.push(vec![report]);
            }
        }
    }
    messages
}
