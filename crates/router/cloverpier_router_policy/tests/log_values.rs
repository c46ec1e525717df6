//! The values by which log lines name decisions do not change, as on-call engineers search for them.

use cloverpier_router_policy::prelude::*;
use serde::Serialize;

#[track_caller]
fn assert_log_values<T: Serialize>(values: &[T], expected: &[&str]) {
    let written: Vec<_> = values.iter().map(|v| serde_json::json!(v)).collect();
    assert_eq!(written, expected);
}

#[test]
fn decisions_are_logged_under_stable_names() {
    assert_log_values(
        &[
            AttemptOutcome::NotSent,
            AttemptOutcome::Misdirected,
            AttemptOutcome::Refused,
            AttemptOutcome::Unknown,
            AttemptOutcome::Failed,
        ],
        &["not-sent", "misdirected", "refused", "unknown", "failed"],
    );
    assert_log_values(
        &[
            NextStep::Retry,
            NextStep::Refuse,
            NextStep::Fail,
            NextStep::PassOn,
        ],
        &["send-again", "refuse", "fail", "pass-on"],
    );
    assert_log_values(
        &[
            WatcherRole::Chosen,
            WatcherRole::Fallback,
            WatcherRole::Standby,
        ],
        &["chosen", "nobody-else", "left-to-others"],
    );
}
