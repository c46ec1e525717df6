//! Words of decisions as log lines have them; on-call engineers search for these.

use cloverpier_router_policy::prelude::*;
use serde::Serialize;

#[track_caller]
fn assert_written<T: Serialize>(values: &[T], words: &[&str]) {
    let written: Vec<_> = values.iter().map(|v| serde_json::json!(v)).collect();
    assert_eq!(written, words);
}

#[test]
fn decisions_are_logged_in_the_words_of_72eb395() {
    assert_written(
        &[
            AttemptOutcome::NotSent,
            AttemptOutcome::Misdirected,
            AttemptOutcome::Refused,
            AttemptOutcome::Unknown,
            AttemptOutcome::Failed,
        ],
        &["not-sent", "misdirected", "refused", "unknown", "failed"],
    );
    assert_written(
        &[
            NextStep::Retry,
            NextStep::Refuse,
            NextStep::Fail,
            NextStep::PassOn,
        ],
        &["send-again", "refuse", "fail", "pass-on"],
    );
    assert_written(
        &[
            WatcherRole::Chosen,
            WatcherRole::Fallback,
            WatcherRole::Standby,
        ],
        &["chosen", "nobody-else", "left-to-others"],
    );
}
