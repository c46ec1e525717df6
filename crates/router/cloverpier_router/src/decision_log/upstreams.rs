//! Log lines on what is known of upstreams and of the contents that end them.
//!
//! As the parent module says, the names of events and fields stay.

use cloverpier_crashes::{Admission, DiscardReason};
use serde::Serialize;

/// An upstream ended while it ran a request, as this router saw.
#[derive(Serialize)]
pub(crate) struct CrashRecorded {
    pub content: String,
    #[serde(rename = "server")]
    pub upstream: String,
    /// When it had started, as a Unix time in milliseconds; 0 where it does not say.
    pub start_ms: u64,
    /// Others of its service that ended at about the same time; nothing where they were many.
    pub ended_beside: Option<usize>,
    /// Whether the content ran to its end a moment before, so that the end does not count.
    pub ran_well: bool,
    /// Ends that are known of the content.
    pub ends: usize,
    /// What is known against it, in thousandths of an end that nothing else explains.
    pub evidence: u32,
    /// How long ago the attempt broke off.
    pub age_ms: u64,
}

/// An attempt was lost at an upstream, and no end is counted for it.
#[derive(Serialize)]
pub(crate) struct CrashDiscarded {
    pub content: String,
    #[serde(rename = "server")]
    pub upstream: String,
    /// When it had started, as a Unix time in milliseconds; 0 where it does not say.
    pub start_ms: u64,
    pub reason: DiscardReason,
    /// How long ago the attempt was lost.
    pub age_ms: u64,
}

/// A request has waited until it was known whether the upstreams ended at which it was lost.
#[derive(Serialize)]
pub(crate) struct RequestHeld<'a> {
    pub request: &'a str,
    pub content: String,
    /// Ends that are known of the content.
    pub ends: usize,
    pub held_ms: u64,
    /// How it goes on.
    pub admission: Admission,
}

/// A content is sent to no upstream any more.
#[derive(Serialize)]
pub(crate) struct ContentStopped<'a> {
    pub content: String,
    /// The upstreams that ended, and when.
    pub ends: Vec<String>,
    /// By whom this router learned of the last of them.
    pub from: &'a str,
}

/// A content that was stopped may be sent again.
#[derive(Serialize)]
pub(crate) struct ContentCleared<'a> {
    pub content: String,
    pub from: &'a str,
}

/// What is believed of an upstream has changed.
#[derive(Serialize)]
pub(crate) struct UpstreamStateChanged<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    pub reason: &'a str,
    pub silent_ms: u64,
}

/// This router has learned that an upstream leaves, otherwise than by its entry.
#[derive(Serialize)]
pub(crate) struct UpstreamLeaving<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    /// The call whose answer said so, or `peer`.
    pub via: &'a str,
    /// The request's id, if it was one.
    pub request: Option<&'a str>,
    /// The peer that said so.
    pub peer: Option<String>,
    /// Since when the first router has known it.
    pub age_ms: u64,
}

/// An upstream has turned a request away and wants nothing for a time.
#[derive(Serialize)]
pub(crate) struct UpstreamPaused<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub wait_ms: u64,
    /// The call whose answer said so.
    pub via: &'a str,
    /// The request's id, if it was one.
    pub request: Option<&'a str>,
}

/// An upstream limits itself, names another rate than before, or none any more.
#[derive(Serialize)]
pub(crate) struct RateLimitChanged<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// Requests a second that it takes from all routers together; nothing where it is not limited
    /// any more.
    pub rate: Option<f64>,
    pub former_rate: Option<f64>,
    /// The call whose answer said so, or `peer`.
    pub via: &'a str,
    /// The request's id, if it was one.
    pub request: Option<&'a str>,
    /// The peer that said so.
    pub peer: Option<String>,
    /// How long ago it reached the first router.
    pub age_ms: u32,
    /// The router that hands out permits for it, as far as this one knows.
    pub limiter: Option<String>,
}

/// A router that should hand out permits does not answer, so that another one is asked.
#[derive(Serialize)]
pub(crate) struct LimiterUnresponsive {
    pub limiter: String,
}
