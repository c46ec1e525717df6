//! Whether a request waits before it is sent, and for what.

mod support;

use cloverpier_crashes::lost_attempts::{CONFIRM_WITHIN, JUDGE_AFTER};
use cloverpier_crashes::prelude::*;
use cloverpier_crashes::tracker::MAX_HOLD;
use std::collections::HashSet;
use std::time::Instant;
use support::*;

#[test]
fn a_first_retry_waits_for_nothing_a_second_for_a_judgement_a_third_until_all_is_settled() {
    let now = Instant::now();
    let losses = [Loss::Broke, Loss::GivenUp, Loss::Broke];
    let holds: Vec<Hold> = (0..=3)
        .map(|lost| hold(&cases_with(&losses[..lost], now), now + ms(100)))
        .collect();
    let [no, briefly, settled] = [Hold::No, Hold::Briefly, Hold::UntilSettled];
    assert_eq!(holds, [no, no, briefly, settled]);
}

#[test]
fn a_hold_ends_with_its_time_or_with_that_of_the_request() {
    let now = Instant::now();
    let deadline = now + ms(20_000);
    assert_eq!(Hold::No.until(now, deadline, now), None);
    let briefly = Hold::Briefly.until(now, deadline, now);
    assert_eq!(briefly, Some(now + MAX_HOLD));
    assert_eq!(Hold::Briefly.until(now, deadline, now + MAX_HOLD), None);
    let later = now + MAX_HOLD * 2;
    assert_eq!(
        Hold::UntilSettled.until(now, deadline, later),
        Some(deadline)
    );
    assert_eq!(Hold::UntilSettled.until(now, deadline, deadline), None);
    let soon = now + ms(10);
    assert_eq!(Hold::Briefly.until(now, soon, now), Some(soon));
}

#[test]
fn a_held_request_goes_on_once_its_upstreams_have_answered_or_nothing_was_learned_in_time() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Broke; 3], now);
    cases.on_alive(answer_of(2, now + ms(150)));
    assert_eq!(hold(&cases, now + ms(150)), Hold::Briefly);
    let mut cases = cases_with(&[Loss::Broke; 3], now);
    let over = now + CONFIRM_WITHIN + ms(100);
    assert!(cases.judge(over, neighbours).is_empty());
    assert_eq!(hold(&cases, over), Hold::No);
    assert_eq!(cases.take_dismissed().len(), 3);
}

#[test]
fn an_upstream_is_asked_until_it_has_lived_on_as_long_as_others_ran_the_content() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Broke], now);
    cases.on_end(upstream(1, now + ms(31)));
    let judged = now + ms(30) + JUDGE_AFTER;
    assert_eq!(cases.judge(judged, neighbours).len(), 1);
    // The first one ran it for a second and a half.
    let long = LostAttempt {
        ran_for: ms(1_500),
        ..attempt(2, Loss::Broke, judged)
    };
    cases.on_lost(&content(), long);
    cases.on_end(upstream(2, judged));
    cases.judge(judged + JUDGE_AFTER, neighbours);
    let given_up = judged + ms(1_000);
    cases.on_lost(&content(), attempt(3, Loss::GivenUp, given_up));
    assert_eq!(hold(&cases, given_up), Hold::UntilSettled);
    let answered = given_up + ms(400);
    cases.on_alive(answer_of(3, answered));
    cases.on_alive(answer_of(3, answered + ms(1_500)));
    assert_eq!(hold(&cases, answered + ms(1_500)), Hold::UntilSettled);
    let next = cases.next_due(answered + ms(1_500));
    assert!(next.is_some());
    cases.on_alive(answer_of(3, answered + ms(1_500) + JUDGE_AFTER));
    assert_eq!(hold(&cases, answered + ms(1_600)), Hold::No);
}

/// Guards against lookups that everybody needs and that wait as upstreams pause.
#[test]
fn a_content_that_ran_well_a_moment_before_never_waits() {
    let now = Instant::now();
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    cases.on_completed(&content(), now);
    for number in 1..=5 {
        cases.on_lost(&content(), attempt(number, Loss::GivenUp, now + ms(10)));
    }
    assert_eq!(hold(&cases, now + ms(100)), Hold::No);
    assert_eq!(
        cases.admission(key(), now + ms(100), neighbours),
        Admission::Beside
    );
}

#[test]
fn many_requests_that_one_upstream_lost_are_one_end() {
    let now = Instant::now();
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    for _ in 0..5 {
        cases.on_lost(&content(), attempt(1, Loss::Broke, now));
    }
    assert_eq!(hold(&cases, now + ms(10)), Hold::No);
}

#[test]
fn a_content_that_the_operator_cleared_never_waits() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Broke; 4], now);
    let limit = cases.book.limit();
    cases.book.set_bounds(limit, HashSet::from([key()]));
    assert_eq!(hold(&cases, now + ms(200)), Hold::No);
}

/// Guards against requests that waited for a judgement and are then sent all at once, to an engine each.
#[test]
fn copies_of_what_ended_two_engines_go_on_one_at_a_time() {
    let now = Instant::now();
    let mut cases = cases_with(&[Loss::Broke; 2], now);
    let proved = now + ms(150);
    for number in 1..=2 {
        cases.on_end(upstream(number, proved));
    }
    assert_eq!(cases.judge(proved, neighbours).len(), 2);
    assert_eq!(hold(&cases, proved), Hold::No);
    let first = cases.on_admitted(key());
    assert_eq!(hold(&cases, proved), Hold::WhileAnotherRuns(None));
    assert_eq!(
        cases.hold_admitted(key(), first, proved, neighbours),
        Hold::No
    );
    let sent = proved + ms(20);
    cases.on_sent(key(), first, sent);
    let ran = cases.book.longest_run(key(), sent);
    let lived = sent + (ran + JUDGE_AFTER).max(ms(100));
    let waits = Hold::WhileAnotherRuns(Some(lived));
    assert_eq!(hold(&cases, lived - ms(1)), waits);
    assert_eq!(waits.until(proved, lived + ms(1), sent), Some(lived));
    assert_eq!(hold(&cases, lived), Hold::No);
    cases.on_over(key(), first);
    assert_eq!(hold(&cases, sent), Hold::No);
}

#[test]
fn copies_of_what_ended_one_engine_or_none_go_on_side_by_side() {
    let now = Instant::now();
    for lost in [0, 1] {
        let mut cases = cases_with(&[Loss::Broke; 2][..lost], now);
        for _ in 0..9 {
            cases.on_admitted(key());
        }
        assert_eq!(hold(&cases, now + ms(50)), Hold::No);
    }
}
