//! Events that prove that an upstream has crashed under a request, or has survived the request.

mod support;

use cloverpier_crashes::lost_attempts::{CONFIRMATION_TIMEOUT, CRASH_SETTLE_DELAY};
use cloverpier_crashes::prelude::*;
use std::time::Instant;
use support::*;

/// Guards against a fourth crash where the third one is proven only after seconds.
#[test]
fn crash_that_is_proven_seconds_later_counts() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::ConnectionBroken; 3], now);
    let late = now + CONFIRMATION_TIMEOUT - ms(100);
    assert!(tracker.record_confirmed(late, neighbours).is_empty());
    assert_eq!(hold(&tracker, late), Hold::UntilResolved);
    for number in 1..=3 {
        tracker.on_process_gone(upstream(number, late));
    }
    assert_eq!(tracker.record_confirmed(late, neighbours).len(), 3);
    assert_eq!(tracker.registry.status(key(), late), ContentStatus::Blocked);
    assert_eq!(hold(&tracker, late), Hold::No);
}

/// Guards against crashes without weight because other upstreams paused at the same time and then responded again.
#[test]
fn pauses_that_are_over_do_not_lower_the_weight_of_a_crash() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    for number in 1..=3 {
        let at = now + ms(1_200) * number as u32;
        for other in 11..=16 {
            tracker.on_suspected_failure(upstream(other, at), at - ms(1_100));
            tracker.on_response(response_of(other, at + ms(100)));
        }
        tracker.on_lost(&content(), attempt(number, LossCause::UpstreamSilent, at));
        tracker.on_process_gone(upstream(number, at + ms(300)));
        tracker.record_confirmed(at + ms(300) + CRASH_SETTLE_DELAY, neighbours);
    }
    assert_eq!(
        tracker.registry.status(key(), now + ms(4_500)),
        ContentStatus::Blocked
    );
}

/// Guards against a crash that is not counted: the router waits for a response of an upstream that has already
/// restarted under the same name.
#[test]
fn crash_that_a_newer_process_proved_before_the_loss_counts() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    tracker.on_process_replaced(upstream(1, now));
    let attempt = LostAttempt {
        ran_for: ms(500),
        ..attempt(1, LossCause::UpstreamSilent, now + ms(1))
    };
    tracker.on_lost(&content(), attempt);
    assert_eq!(
        tracker
            .record_confirmed(now + ms(1) + CRASH_SETTLE_DELAY, neighbours)
            .len(),
        1
    );
}

/// Guards against probes and holds for each caller that disconnects.
#[test]
fn abandoned_attempt_causes_no_probe_and_no_hold() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::Abandoned], now);
    assert!(tracker.is_empty());
    assert!(tracker.upstreams_to_probe(now + ms(3_000)).is_empty());
    assert_eq!(hold(&tracker, now + ms(3_000)), Hold::No);
    assert!(
        tracker
            .record_confirmed(now + CONFIRMATION_TIMEOUT * 2, neighbours)
            .is_empty()
    );
    assert!(tracker.take_discarded().is_empty());
    let many = tracker_with(&[LossCause::Abandoned; 5], now);
    assert_eq!(hold(&many, now + ms(200)), Hold::No);
}

/// Guards against crashes that are not counted because the router no longer waits for the attempts.
#[test]
fn crashes_after_several_abandoned_attempts_count() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::Abandoned; 3], now);
    assert!(tracker.upstreams_to_probe(now + ms(1_500)).is_empty());
    // The survival time of abandoned attempts has passed.
    let late = now + ms(2_200);
    assert_eq!(tracker.upstreams_to_probe(late).len(), 3);
    tracker.on_response(response_of(1, late));
    tracker.on_process_gone(upstream(2, late));
    tracker.on_process_replaced(upstream(3, late));
    let confirmed = tracker.record_confirmed(late + CRASH_SETTLE_DELAY, neighbours);
    assert_eq!(confirmed.len(), 2);
    let discarded = tracker.take_discarded();
    assert_eq!(discarded.len(), 1);
    assert_eq!(discarded[0].reason, DiscardReason::Survived);
}

#[test]
fn early_response_does_not_prove_survival_of_an_abandoned_attempt() {
    let now = Instant::now();
    let mut tracker = tracker_with(&[LossCause::Abandoned], now);
    tracker.on_response(response_of(1, now + ms(500)));
    assert!(tracker.has_unresolved_at(1));
    tracker.on_response(response_of(1, now + ms(2_100)));
    assert!(!tracker.has_unresolved_at(1));
}

/// Guards against a crash that counts against a content that completed elsewhere in between: an engine was only paused
/// at the loss and crashed later.
#[test]
fn crash_that_is_proven_after_a_completion_does_not_count() {
    let now = Instant::now();
    let mut tracker = tracker_with(
        &[
            LossCause::UpstreamSilent,
            LossCause::ConnectionBroken,
            LossCause::Abandoned,
        ],
        now,
    );
    tracker.on_completed(&content(), now + ms(4_000));
    assert_eq!(hold(&tracker, now + ms(4_000)), Hold::No);
    for number in 1..=3 {
        tracker.on_process_gone(upstream(number, now + ms(5_000)));
    }
    assert_eq!(
        tracker.record_confirmed(now + ms(5_100), neighbours).len(),
        3
    );
    assert_eq!(
        tracker
            .registry
            .evidence_thousandths(key(), now + ms(5_100)),
        0
    );
}
