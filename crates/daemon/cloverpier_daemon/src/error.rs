//! Errors as callers and operators see them.
//!
//! Owns the one type of errors that leaves the process: a stable code, a text, the field, and
//! whether the request was run.

use salvo::http::header::{HeaderName, RETRY_AFTER};
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::*;
use serde::Serialize;
use std::time::Duration;

/// Whether the request that an error answers was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// It was not; it may be sent again anywhere.
    NotRun,
    /// Nobody knows; the system will not run it again.
    Unknown,
    /// It was.
    Done,
}

/// An error as it is answered.
#[derive(Clone, Debug, Serialize)]
pub struct ApiError {
    /// The HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// A stable code for programs.
    pub code: &'static str,
    /// A sentence for people.
    pub message: String,
    /// The field or header that is wrong.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request was run.
    pub run: Run,
    /// When to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: &'a ApiError,
}

impl ApiError {
    /// An error of a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            code,
            message: message.into(),
            field: None,
            run: Run::NotRun,
            retry_after_ms: None,
        }
    }

    /// A field or header that can't stand; nothing was run.
    pub fn field(field: impl Into<String>, message: impl Into<String>) -> Self {
        let mut error = Self::not_run(StatusCode::BAD_REQUEST, "invalid_field", message);
        error.field = Some(field.into());
        error
    }

    /// Nothing was run for want of room, a place or a peer; retry later.
    pub fn busy(code: &'static str, message: impl Into<String>, retry: Duration) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message).after(retry)
    }

    /// Nobody knows whether the request was run.
    pub fn unknown(message: impl Into<String>) -> Self {
        let mut error = Self::not_run(StatusCode::BAD_GATEWAY, "outcome_unknown", message);
        error.run = Run::Unknown;
        error
    }

    /// Sets when to retry.
    #[must_use]
    pub fn after(mut self, retry: Duration) -> Self {
        let ms = u64::try_from(retry.as_millis()).unwrap_or(u64::MAX);
        self.retry_after_ms = Some(ms.max(1));
        self
    }

    /// Sets the field.
    #[must_use]
    pub fn at(mut self, field: &str) -> Self {
        self.field = Some(field.to_owned());
        self
    }

    /// Sets whether the request was run.
    #[must_use]
    pub fn with_run(mut self, run: Run) -> Self {
        self.run = run;
        self
    }

    /// The error as JSON text.
    pub fn json(&self) -> String {
        // The type has only text keys, so it can always be written as JSON.
        serde_json::to_string(&Body { error: self }).unwrap_or_default()
    }

    /// Answers with the error.
    pub fn render(&self, res: &mut Response) {
        let status = StatusCode::from_u16(self.status);
        // Only codes of this crate are set, all of which exist.
        res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        if let Some(ms) = self.retry_after_ms {
            let seconds = ms.div_ceil(1_000);
            res.headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        let run = match self.run {
            Run::NotRun => "not-run",
            Run::Unknown => "unknown",
            Run::Done => "done",
        };
        res.headers_mut().insert(
            HeaderName::from_static("cloverpier-run"),
            HeaderValue::from_static(run),
        );
        res.render(Json(Body { error: self }));
    }
}
