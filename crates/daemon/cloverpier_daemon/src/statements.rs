//! Applies what upstreams state about themselves in answers, of whatever kind of call.
//!
//! A leaving becomes a mark, which routers pass on; a wait binds this router alone. Both are decided
//! in `cloverpier_route`. Relies on `cloverpier_upstream` to read the statements. Owns nothing.

use crate::app::App;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_upstream::UpstreamStatement;
use serde::Serialize;

/// An upstream has said something of itself that was not known.
#[derive(Serialize)]
struct Stated<'a> {
    upstream: &'a UpstreamName,
    leaving: bool,
    wait_ms: Option<u128>,
    /// What it said and cannot be read.
    unreadable: Option<&'a str>,
}

/// Applies what an answer of an upstream states about it.
pub fn hear(app: &App, upstream: &UpstreamName, said: &UpstreamStatement) {
    let now = app.now();
    let mut view = lock(&app.view);
    let leaves = said.is_leaving && view.accepts_work(upstream);
    if leaves {
        view.mark_leaving(upstream);
    }
    let waits = said
        .wait
        .is_some_and(|time| view.on_wait(upstream, time, now));
    drop(view);
    if leaves {
        app.metrics.count("upstream.leaving", 1);
        app.news.notify_one();
    }
    if !leaves && !waits && said.unreadable.is_none() {
        return;
    }
    app.log.info(
        "upstream.stated",
        &Stated {
            upstream,
            leaving: leaves,
            wait_ms: said.wait.filter(|_| waits).map(|time| time.as_millis()),
            unreadable: said.unreadable.as_deref(),
        },
    );
}
