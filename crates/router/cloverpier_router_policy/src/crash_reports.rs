//! Selects the crash reports that routers send to peers about requests that crash upstreams.
//!
//! - **Question.** Which crashes of upstreams are reported to peers, and how are the reports split into
//!   messages?
//! - **Inputs.** The circumstances of a crash: how many other upstreams are listed, and which of them
//!   crashed at about the same time.
//! - **Answer.** Whether a crash is reported; messages that fit into a datagram.
//! - **Why.** A caller may repeat a request at any router, so a crash that the request probably caused is
//!   reported to all routers at once, in one datagram each. A crash that has another explanation is not
//!   reported: when a data centre fails, each of 300 routers would report some five crashes to all
//!   others. While no upstream crashes under a request, nothing is sent.
//!
//! When reports are repeated is decided in [`crate::dissemination`]. How much a crash counts, and
//! what happens to the request's content, is decided in `cloverpier_crashes`. Owns no state.

use cloverpier_crashes::{ContentReport, CrashContext};

/// Minimum weight of a crash that is reported, in thousandths. The weight falls below it when three of
/// the five other upstreams in a data centre crash at about the same time. It is low enough that two
/// upstreams that one request crashed at once are reported.
const MIN_REPORTED_WEIGHT: u32 = 250;
/// Maximum number of crashes in one message. A crash takes 40 bytes, and 10 for each of up to 12
/// upstreams that crashed at about the same time: 32 crashes take at most 5,200 bytes, and a datagram
/// may have 8,192.
const MAX_CRASHES_PER_MESSAGE: usize = 32;

/// Whether a crash is reported to peers.
///
/// `crash_count` is the number of known crashes, this one included, under requests with the same
/// content. The first is reported only if few other upstreams crashed at about the same time: otherwise
/// their common cause explains it. Later ones are always reported, as the content may have caused all
/// of them.
pub fn is_reported(surroundings: &CrashContext, crash_count: usize) -> bool {
    let weight = surroundings.weight(|_| None);
    crash_count > 1 || weight.thousandths() >= MIN_REPORTED_WEIGHT
}

/// Splits reports into messages of at most 32 crashes each, so that each message fits into a datagram.
/// One report is never split; a report with more crashes would get a message of its own.
pub fn split_into_messages(reports: Vec<ContentReport>) -> Vec<Vec<ContentReport>> {
    let mut messages: Vec<Vec<ContentReport>> = Vec::new();
    let mut crash_count = 0;
    for report in reports {
        crash_count += report.crashes.len();
        match messages.last_mut() {
            Some(message) if crash_count <= MAX_CRASHES_PER_MESSAGE => message.push(report),
            _ => {
                crash_count = report.crashes.len();
                messages.push(vec![report]);
            }
        }
    }
    messages
}
