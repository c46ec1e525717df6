//! Log lines and counters of silent upstreams that have a request, and of what was decided. Owns nothing.

use crate::app::App;
use cloverpier_core::UpstreamName;
use cloverpier_route::KeepReason;
use serde::Serialize;
use std::time::Duration;

/// A request whose upstream is silent.
#[derive(Clone, Copy, Debug)]
pub struct Silent<'a> {
    /// The request's key.
    pub request: &'a str,
    /// The upstream that has had it for longest.
    pub upstream: &'a UpstreamName,
    /// For how long it has sent nothing.
    pub silent_for: Duration,
}

#[derive(Serialize)]
struct Line<'a> {
    request: &'a str,
    upstream: &'a UpstreamName,
    silent_ms: u128,
    /// Why the request stays there alone.
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<KeepReason>,
    /// The upstream that was sent it, too, or has it now.
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<&'a UpstreamName>,
    /// Upstreams that were sent it, too, in vain.
    #[serde(skip_serializing_if = "Option::is_none")]
    in_vain: Option<usize>,
}

impl<'a> Silent<'a> {
    fn line(&self) -> Line<'a> {
        Line {
            request: self.request,
            upstream: self.upstream,
            silent_ms: self.silent_for.as_millis(),
            why: None,
            to: None,
            in_vain: None,
        }
    }

    /// The request stays where it is.
    pub fn kept(&self, app: &App, why: KeepReason) {
        let line = Line {
            why: Some(why),
            ..self.line()
        };
        app.metrics.count("silence.kept", 1);
        app.log.info("silence.kept", &line);
    }

    /// Another upstream was sent the request, beside those that have it.
    pub fn tried_also(&self, app: &App, to: &UpstreamName) {
        let line = Line {
            to: Some(to),
            ..self.line()
        };
        app.metrics.count("silence.tried", 1);
        app.log.info("silence.tried", &line);
    }

    /// Another upstream has taken the request on.
    pub fn moved(&self, app: &App, to: &UpstreamName) {
        let line = Line {
            to: Some(to),
            ..self.line()
        };
        app.metrics.count("silence.moved", 1);
        app.log.info("silence.moved", &line);
    }

    /// The silent upstream has gone on with the request.
    pub fn outlived(&self, app: &App, in_vain: usize) {
        let line = Line {
            in_vain: Some(in_vain),
            ..self.line()
        };
        app.metrics.count("silence.outlived", 1);
        app.log.info("silence.outlived", &line);
    }

    /// No upstream has gone on with the request in time.
    pub fn expired(&self, app: &App) {
        app.metrics.count("silence.expired", 1);
        app.log.warn("silence.expired", &self.line());
    }
}
