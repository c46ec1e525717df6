//! What proves that an upstream ended under a request, or that it survived.

mod support;

use cloverpier_crashes::lost_attempts::{CONFIRM_WITHIN, JUDGE_AFTER};
use cloverpier_crashes::prelude::*;
use std::time::Instant;
use support::*;

/// Guards against a fourth end where the third is proved late.
#[test]
fn an_end_that_is_proved_seconds_later_counts() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Broke; 3], now);
    let late = now + CONFIRM_WITHIN - ms(100);
    assert!(cases.judge(late, neighbours).is_empty());
    assert_eq!(hold(&cases, late), Hold::UntilSettled);
    for number in 1..=3 {
        cases.on_end(upstream(number, late));
    }
    assert_eq!(cases.judge(late, neighbours).len(), 3);
    assert_eq!(cases.book.verdict(key(), late), Verdict::Stopped);
    assert_eq!(hold(&cases, late), Hold::No);
}

/// Guards against ends that count nothing as others had merely paused.
#[test]
fn silence_that_has_passed_explains_no_end() {
    let now = Instant::now();
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    for number in 1..=3 {
        let at = now + ms(1_200) * number as u32;
        for other in 11..=16 {
            cases.on_death(upstream(other, at), at - ms(1_100));
            cases.on_alive(answer_of(other, at + ms(100)));
        }
        cases.on_lost(&content(), attempt(number, Loss::GivenUp, at));
        cases.on_end(upstream(number, at + ms(300)));
        cases.judge(at + ms(300) + JUDGE_AFTER, neighbours);
    }
    assert_eq!(cases.book.verdict(key(), now + ms(4_500)), Verdict::Stopped);
}

/// Guards against a request that waited at an upstream which has started again under its name meanwhile.
#[test]
fn an_end_that_another_start_had_proved_before_the_attempt_was_given_up_counts() {
    let now = Instant::now();
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    cases.on_former_start(upstream(1, now));
    let attempt = LostAttempt {
        ran_for: ms(500),
        ..attempt(1, Loss::GivenUp, now + ms(1))
    };
    cases.on_lost(&content(), attempt);
    assert_eq!(cases.judge(now + ms(1) + JUDGE_AFTER, neighbours).len(), 1);
}

/// Guards against probes and holds for each caller that leaves.
#[test]
fn an_attempt_that_was_abandoned_is_not_asked_about_and_holds_nothing_up() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Abandoned], now);
    assert!(cases.is_empty());
    assert!(cases.unclear(now + ms(3_000)).is_empty());
    assert_eq!(hold(&cases, now + ms(3_000)), Hold::No);
    assert!(cases.judge(now + CONFIRM_WITHIN * 2, neighbours).is_empty());
    assert!(cases.take_dismissed().is_empty());
    let many = cases_with(&[Loss::Abandoned; 5], now);
    assert_eq!(hold(&many, now + ms(200)), Hold::No);
}

/// Guards against ends that come when nobody waits for the request any more.
#[test]
fn upstreams_that_end_after_several_attempts_were_abandoned_there_have_ended_under_the_request() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Abandoned; 3], now);
    assert!(cases.unclear(now + ms(1_500)).is_empty());
    // By then they would have ended.
    let late = now + ms(2_200);
    assert_eq!(cases.unclear(late).len(), 3);
    cases.on_alive(answer_of(1, late));
    cases.on_end(upstream(2, late));
    cases.on_former_start(upstream(3, late));
    let judged = cases.judge(late + JUDGE_AFTER, neighbours);
    assert_eq!(judged.len(), 2);
    let dismissed = cases.take_dismissed();
    assert_eq!(dismissed.len(), 1);
    assert_eq!(dismissed[0].reason, Dismissal::Answered);
}

#[test]
fn an_answer_soon_after_an_attempt_was_abandoned_does_not_show_that_it_was_survived() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Abandoned], now);
    cases.on_alive(answer_of(1, now + ms(500)));
    assert!(cases.has_open_at(1));
    cases.on_alive(answer_of(1, now + ms(2_100)));
    assert!(!cases.has_open_at(1));
}

/// Guards against requests that are charged with an engine that only paused and ended later, though they ran
/// to their end elsewhere meanwhile.
#[test]
fn an_end_that_is_proved_after_the_content_ran_to_its_end_counts_nothing() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::GivenUp, Loss::Broke, Loss::Abandoned], now);
    cases.on_completed(&content(), now + ms(4_000));
    assert_eq!(hold(&cases, now + ms(4_000)), Hold::No);
    for number in 1..=3 {
        cases.on_end(upstream(number, now + ms(5_000)));
    }
    assert_eq!(cases.judge(now + ms(5_100), neighbours).len(), 3);
    assert_eq!(cases.book.evidence(key(), now + ms(5_100)), 0);
}
