//! Log lines and counters of attempts that failed, of silent engines, and of what was decided. Owns nothing.

use crate::answers::attempt::Attempt;
use crate::answers::failure::Failure;
use crate::answers::live::Live;
use crate::app::App;
use cloverpier_answer::AttemptId;
use cloverpier_core::UpstreamName;
use cloverpier_route::KeepReason;
use serde::Serialize;
use std::time::Duration;

#[derive(Serialize)]
struct AttemptOver<'a> {
    request: &'a str,
    attempt: AttemptId,
    upstream: &'a UpstreamName,
    why: Failure,
    tokens: u64,
}

/// An answer stays at its silent engine.
#[derive(Serialize)]
struct Kept<'a> {
    request: &'a str,
    upstream: &'a UpstreamName,
    silent_ms: u128,
    tokens: u64,
    why: KeepReason,
}

/// Another engine was sent the rest, beside those that have it.
#[derive(Serialize)]
struct TriedAlso<'a> {
    request: &'a str,
    upstream: &'a UpstreamName,
    also: &'a UpstreamName,
    silent_ms: u128,
    tokens: u64,
}

/// Another engine has continued an answer.
#[derive(Serialize)]
struct Moved<'a> {
    request: &'a str,
    from: &'a UpstreamName,
    to: &'a UpstreamName,
    silent_ms: u128,
}

/// A silent engine has gone on with its answer.
#[derive(Serialize)]
struct Outlived<'a> {
    request: &'a str,
    upstream: &'a UpstreamName,
    silent_ms: u128,
    /// Engines that had been sent the rest meanwhile, in vain.
    in_vain: usize,
}

/// No engine has continued an answer in time.
#[derive(Serialize)]
struct Expired<'a> {
    request: &'a str,
    upstream: &'a UpstreamName,
    silent_ms: u128,
    engines: usize,
}

pub(super) fn failed(app: &App, live: &Live, attempt: &Attempt<'_>, why: Failure) {
    let line = AttemptOver {
        request: live.key.as_str(),
        attempt: attempt.id,
        upstream: &attempt.upstream,
        why,
        tokens: live.look(|s| s.answer.len()),
    };
    app.metrics.count("attempt.failed", 1);
    app.log.warn("attempt.failed", &line);
}

pub(super) fn kept(app: &App, live: &Live, attempt: &Attempt<'_>, why: KeepReason) {
    let line = Kept {
        request: live.key.as_str(),
        upstream: &attempt.upstream,
        silent_ms: attempt.quiet.quiet_for(app.now()).as_millis(),
        tokens: live.look(|s| s.answer.len()),
        why,
    };
    app.metrics.count("silence.kept", 1);
    app.log.info("silence.kept", &line);
}

pub(super) fn tried_also(app: &App, live: &Live, attempt: &Attempt<'_>, also: &UpstreamName) {
    let line = TriedAlso {
        request: live.key.as_str(),
        upstream: &attempt.upstream,
        also,
        silent_ms: attempt.quiet.quiet_for(app.now()).as_millis(),
        tokens: live.look(|s| s.answer.len()),
    };
    app.metrics.count("silence.tried", 1);
    app.log.info("silence.tried", &line);
}

pub(super) fn moved(app: &App, live: &Live, from: &Attempt<'_>, to: &UpstreamName) {
    let line = Moved {
        request: live.key.as_str(),
        from: &from.upstream,
        to,
        silent_ms: from.quiet.quiet_for(app.now()).as_millis(),
    };
    app.metrics.count("silence.moved", 1);
    app.log.info("silence.moved", &line);
}

pub(super) fn outlived(
    app: &App,
    live: &Live,
    upstream: &UpstreamName,
    silent_for: Duration,
    in_vain: usize,
) {
    let line = Outlived {
        request: live.key.as_str(),
        upstream,
        silent_ms: silent_for.as_millis(),
        in_vain,
    };
    app.metrics.count("silence.outlived", 1);
    app.log.info("silence.outlived", &line);
}

pub(super) fn expired(app: &App, live: &Live, attempt: &Attempt<'_>, engines: usize) {
    let line = Expired {
        request: live.key.as_str(),
        upstream: &attempt.upstream,
        silent_ms: attempt.quiet.quiet_for(app.now()).as_millis(),
        engines,
    };
    app.metrics.count("silence.expired", 1);
    app.log.warn("silence.expired", &line);
}
