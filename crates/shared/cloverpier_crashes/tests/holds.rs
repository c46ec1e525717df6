//! Holds: whether a request is held back before it is sent, and until when.

mod support;

use cloverpier_crashes::lost_attempts::{CONFIRMATION_TIMEOUT, CRASH_SETTLE_DELAY};
use cloverpier_crashes::prelude::*;
use cloverpier_crashes::tracker::MAX_HOLD;
use std::collections::HashSet;
use std::time::Instant;
use support::*;

#[test]
fn first_retry_is_not_held_second_is_held_briefly_third_until_resolved() {
    let now = Instant::now();
    let losses = [
        LossCause::ConnectionBroken,
        LossCause::UpstreamSilent,
        LossCause::ConnectionBroken,
    ];
    let holds: Vec<Hold> = (0..=3)
        .map(|lost| hold(&tracker_with(&losses[..lost], now), now + ms(100)))
        .collect();
    let [no, briefly, resolved] = [Hold::No, Hold::Briefly, Hold::UntilResolved];
    assert_eq!(holds, [no, no, briefly, resolved]);
}

#[test]
fn hold_ends_after_its_maximum_time_or_at_the_deadline() {
    let now = Instant::now();
    let deadline = now + ms(20_000);
    assert_eq!(Hold::No.until(now, deadline, now), None);
    let briefly = Hold::Briefly.until(now, deadline, now);
    assert_eq!(briefly, Some(now + MAX_HOLD));
    assert_eq!(Hold::Briefly.until(now, deadline, now + MAX_HOLD), None);
    let later = now + MAX_HOLD * 2;
    assert_eq!(
        Hold::UntilResolved.until(now, deadline, later),
        Some(deadline)
    );
    assert_eq!(Hold::UntilResolved.until(now, deadline, deadline), None);
    let soon = now + ms(10);
    assert_eq!(Hold::Briefly.until(now, soon, now), Some(soon));
}

#[test]
fn hold_ends_once_an_upstream_responds_or_the_attempts_expire() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::ConnectionBroken; 3], now);
    tracker.on_response(response_of(2, now + ms(150)));
    assert_eq!(hold(&tracker, now + ms(150)), Hold::Briefly);
    let mut tracker = tracker_with(&[LossCause::ConnectionBroken; 3], now);
    let expired = now + CONFIRMATION_TIMEOUT + ms(100);
    assert!(tracker.record_confirmed(expired, neighbours).is_empty());
    assert_eq!(hold(&tracker, expired), Hold::No);
    assert_eq!(tracker.take_discarded().len(), 3);
}

#[test]
fn hold_lasts_until_the_upstream_has_responded_for_the_survival_time() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::ConnectionBroken], now);
    tracker.on_process_gone(upstream(1, now + ms(31)));
    let confirmed_at = now + ms(30) + CRASH_SETTLE_DELAY;
    assert_eq!(tracker.record_confirmed(confirmed_at, neighbours).len(), 1);
    // The next upstream executed the content for 1.5 s before it crashed, so the survival time is longer than that.
    let long = LostAttempt {
        ran_for: ms(1_500),
        ..attempt(2, LossCause::ConnectionBroken, confirmed_at)
    };
    tracker.on_lost(&content(), long);
    tracker.on_process_gone(upstream(2, confirmed_at));
    tracker.record_confirmed(confirmed_at + CRASH_SETTLE_DELAY, neighbours);
    let lost_at = confirmed_at + ms(1_000);
    tracker.on_lost(&content(), attempt(3, LossCause::UpstreamSilent, lost_at));
    assert_eq!(hold(&tracker, lost_at), Hold::UntilResolved);
    let received_at = lost_at + ms(400);
    tracker.on_response(response_of(3, received_at));
    tracker.on_response(response_of(3, received_at + ms(1_500)));
    assert_eq!(hold(&tracker, received_at + ms(1_500)), Hold::UntilResolved);
    let next = tracker.next_due(received_at + ms(1_500));
    assert!(next.is_some());
    tracker.on_response(response_of(3, received_at + ms(1_500) + CRASH_SETTLE_DELAY));
    assert_eq!(hold(&tracker, received_at + ms(1_600)), Hold::No);
}

/// Guards against lookups that every caller needs and that are held because upstreams pause.
#[test]
fn content_that_completed_recently_is_never_held() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    tracker.on_completed(&content(), now);
    for number in 1..=5 {
        tracker.on_lost(
            &content(),
            attempt(number, LossCause::UpstreamSilent, now + ms(10)),
        );
    }
    assert_eq!(hold(&tracker, now + ms(100)), Hold::No);
    assert_eq!(
        tracker.admission(key(), now + ms(100), neighbours),
        Admission::Normal
    );
}

#[test]
fn several_attempts_lost_at_one_upstream_are_one_possible_crash() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    for _ in 0..5 {
        tracker.on_lost(&content(), attempt(1, LossCause::ConnectionBroken, now));
    }
    assert_eq!(hold(&tracker, now + ms(10)), Hold::No);
}

#[test]
fn cleared_content_is_never_held() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::ConnectionBroken; 4], now);
    let limit = tracker.registry.limit();
    tracker.registry.configure(limit, HashSet::from([key()]));
    assert_eq!(hold(&tracker, now + ms(200)), Hold::No);
}

/// Guards against requests that are held until a crash is recorded, and then sent all at once to one engine each.
#[test]
fn copies_are_sent_one_at_a_time_after_two_crashes() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::ConnectionBroken; 2], now);
    let proven_at = now + ms(150);
    for number in 1..=2 {
        tracker.on_process_gone(upstream(number, proven_at));
    }
    assert_eq!(tracker.record_confirmed(proven_at, neighbours).len(), 2);
    assert_eq!(hold(&tracker, proven_at), Hold::No);
    let first = tracker.on_admitted(key());
    assert_eq!(hold(&tracker, proven_at), Hold::WhileAnotherRuns(None));
    assert_eq!(
        tracker.hold_admitted(key(), first, proven_at, neighbours),
        Hold::No
    );
    let sent_at = proven_at + ms(20);
    tracker.on_sent(key(), first, sent_at);
    let longest_execution = tracker.registry.longest_execution(key(), sent_at);
    let survived_at = sent_at + (longest_execution + CRASH_SETTLE_DELAY).max(ms(100));
    let other_runs = Hold::WhileAnotherRuns(Some(survived_at));
    assert_eq!(hold(&tracker, survived_at - ms(1)), other_runs);
    assert_eq!(
        other_runs.until(proven_at, survived_at + ms(1), sent_at),
        Some(survived_at)
    );
    assert_eq!(hold(&tracker, survived_at), Hold::No);
    tracker.on_finished(key(), first);
    assert_eq!(hold(&tracker, sent_at), Hold::No);
}

#[test]
fn copies_are_sent_concurrently_without_a_loss() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[], now);
    for _ in 0..9 {
        tracker.on_admitted(key());
        assert_eq!(hold(&tracker, now + ms(50)), Hold::No);
    }
}

/// Guards against a content that crashes more engines than its limit: its copies are sent to an engine each before the
/// first crash is recorded.
#[test]
fn two_copies_are_sent_concurrently_after_one_loss_and_the_next_waits() {
    let now = Instant::now();
    for loss in [LossCause::ConnectionBroken, LossCause::UpstreamSilent] {
        let mut tracker = tracker_with(&[loss], now);
        let sent_at = now + ms(50);
        for _ in 0..2 {
            assert_eq!(hold(&tracker, sent_at), Hold::No);
            let copy = tracker.on_admitted(key());
            tracker.on_sent(key(), copy, sent_at);
        }
        let survived_at = sent_at + ms(100);
        let other_runs = Hold::WhileAnotherRuns(Some(survived_at));
        assert_eq!(hold(&tracker, sent_at), other_runs);
        assert_eq!(hold(&tracker, survived_at), Hold::No);
    }
}

/// The same once the crash is recorded; a completion of a copy ends the wait.
#[test]
fn copies_wait_after_one_recorded_crash_until_one_of_them_completes() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::ConnectionBroken], now);
    let recorded_at = now + ms(100);
    tracker.on_process_gone(upstream(1, now + ms(31)));
    assert_eq!(tracker.record_confirmed(recorded_at, neighbours).len(), 1);
    for _ in 0..2 {
        assert_eq!(hold(&tracker, recorded_at), Hold::No);
        tracker.on_admitted(key());
    }
    assert_eq!(hold(&tracker, recorded_at), Hold::WhileAnotherRuns(None));
    tracker.on_completed(&content(), recorded_at);
    assert_eq!(hold(&tracker, recorded_at), Hold::No);
}
