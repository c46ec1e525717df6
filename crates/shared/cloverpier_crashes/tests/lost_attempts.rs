//! Breaks that are no ends, and ends that can be judged.

use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_crashes::lost_attempts::{ASK_AGAIN_AFTER, CONFIRM_WITHIN, JUDGE_AFTER};
use cloverpier_crashes::prelude::*;
use std::time::{Duration, Instant};

fn content(name: &str) -> ContentKey {
    ContentKey::of(&Content {
        account: "lab",
        host: "api.example",
        method: "POST",
        target: name,
        body: b"",
    })
}

fn attempt(name: &str, upstream: u64, at: Instant) -> LostAttempt {
    LostAttempt {
        content: content(name),
        loss: Loss::Broke,
        ran_well: false,
        ran_for: Duration::from_secs(2),
        end: UpstreamEnd { upstream, start: 7 },
        upstream: EndedUpstream {
            upstream,
            service: ServiceName::new("drafts"),
            data_centre: DataCentre::new("hall-a"),
            at,
        },
    }
}

#[test]
fn an_end_is_judged_a_little_later_and_a_break_at_a_living_upstream_never() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.on_lost(attempt("b", 2, now), false);
    lost.on_end(1, now);
    lost.on_alive(answer_of(2, now), no_survival);
    assert_eq!(
        (
            lost.open_with(content("a")).count(),
            lost.open_with(content("b")).count()
        ),
        (1, 0)
    );
    assert_eq!(lost.next_due(), Some(now + JUDGE_AFTER));
    assert!(lost.due(now + JUDGE_AFTER / 2).is_empty());
    let due = lost.due(now + JUDGE_AFTER);
    assert_eq!(due.iter().map(|a| a.end.upstream).collect::<Vec<_>>(), [1]);
    assert_eq!(lost.next_due(), None);
}

#[test]
fn a_break_of_which_nothing_is_learned_is_dropped() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    assert_eq!(lost.next_due(), Some(now + JUDGE_AFTER));
    assert!(lost.due(now + JUDGE_AFTER).is_empty());
    // Its upstream is asked once.
    let unclear = lost.unclear(now + JUDGE_AFTER);
    assert_eq!(unclear.iter().map(|u| u.upstream).collect::<Vec<_>>(), [1]);
    assert!(lost.unclear(now + JUDGE_AFTER).is_empty());
    assert_eq!(lost.next_due(), Some(now + CONFIRM_WITHIN));
    assert!(lost.due(now + CONFIRM_WITHIN).is_empty());
    lost.on_end(1, now);
    assert!(lost.due(now + CONFIRM_WITHIN * 2).is_empty());
}

#[test]
fn an_upstream_that_ended_and_whose_next_start_answers_has_ended() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.on_end(1, now);
    lost.on_alive(answer_of(1, now), no_survival);
    assert_eq!(lost.due(now + Duration::from_millis(200)).len(), 1);
}

#[test]
fn an_end_that_was_known_before_the_break_counts() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), true);
    assert_eq!(lost.due(now + JUDGE_AFTER).len(), 1);
}

#[test]
fn each_attempt_for_which_no_end_is_counted_is_named_once_with_the_reason() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.on_lost(attempt("b", 2, now), false);
    lost.on_lost(attempt("c", 3, now), false);
    lost.on_end(3, now);
    lost.on_alive(answer_of(2, now), no_survival);
    assert_eq!(lost.due(now + CONFIRM_WITHIN).len(), 1);
    let dismissed = lost.take_dismissed();
    let dismissed: Vec<_> = dismissed
        .iter()
        .map(|d| (d.attempt.end.upstream, d.reason))
        .collect();
    assert_eq!(
        dismissed,
        [(2, Dismissal::Answered), (1, Dismissal::Unclear)]
    );
    assert!(lost.take_dismissed().is_empty());
}

fn answer_of(upstream: u64, asked: Instant) -> SignOfLife {
    SignOfLife {
        upstream,
        asked,
        answered: asked,
    }
}

fn no_survival(_: ContentKey) -> Duration {
    Duration::ZERO
}

fn reasons(lost: &mut LostAttempts) -> Vec<Dismissal> {
    let dismissed = lost.take_dismissed();
    dismissed.iter().map(|d| d.reason).collect()
}

/// Guards against an answer that was on its way when the connection broke.
#[test]
fn an_answer_to_a_question_from_before_the_break_proves_nothing() {
    let asked = Instant::now();
    let broke = asked + Duration::from_millis(30);
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, broke), false);
    let late = SignOfLife {
        upstream: 1,
        asked,
        answered: broke + Duration::from_millis(5),
    };
    lost.on_alive(late, no_survival);
    assert_eq!(lost.open().count(), 1);
    lost.on_alive(answer_of(1, broke + Duration::from_millis(6)), no_survival);
    assert_eq!(reasons(&mut lost), [Dismissal::Answered]);
}

/// Guards against an upstream that answers before it runs what was given up, and ends by it.
#[test]
fn an_upstream_that_was_given_up_has_survived_once_it_has_lived_on_for_long_enough() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut lost = LostAttempts::default();
    let given_up = LostAttempt {
        loss: Loss::GivenUp,
        ..attempt("a", 1, now)
    };
    lost.on_lost(given_up.clone(), false);
    let survival = |_: ContentKey| ms(200);
    lost.on_alive(answer_of(1, now + ms(700)), survival);
    lost.on_alive(answer_of(1, now + ms(899)), survival);
    assert_eq!(lost.open().count(), 1);
    lost.on_alive(answer_of(1, now + ms(900)), survival);
    assert_eq!(reasons(&mut lost), [Dismissal::Answered]);
    // One that ends meanwhile has ended under the request.
    lost.on_lost(given_up, false);
    lost.on_alive(answer_of(1, now + ms(700)), survival);
    lost.on_end(1, now + ms(800));
    assert!(lost.due(now + ms(800)).is_empty());
    assert_eq!(lost.due(now + ms(800) + JUDGE_AFTER).len(), 1);
}

/// Guards against an upstream that pauses again and again, and runs for moments between.
#[test]
fn an_upstream_that_answers_late_has_not_shown_that_it_survived_what_was_given_up() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut lost = LostAttempts::default();
    let given_up = LostAttempt {
        loss: Loss::GivenUp,
        ..attempt("a", 1, now)
    };
    lost.on_lost(given_up, false);
    for second in 0..4 {
        let asked = now + ms(100) + ms(1_000) * second;
        let answered = asked + ms(700);
        let sign = SignOfLife {
            upstream: 1,
            asked,
            answered,
        };
        lost.on_alive(sign, |_| ms(100));
    }
    assert_eq!(lost.open().count(), 1);
}

#[test]
fn an_upstream_is_asked_again_while_its_attempt_holds_something_up() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    let in_question = |_: ContentKey| Some(ms(100));
    assert!(lost.unclear_again(now + ms(60), in_question).is_empty());
    let asked = now + JUDGE_AFTER;
    assert_eq!(lost.unclear(asked).len(), 1);
    assert_eq!(lost.next_asked_again(|_| None), None);
    assert_eq!(
        lost.next_asked_again(in_question),
        Some(asked + ASK_AGAIN_AFTER)
    );
    assert!(
        lost.unclear_again(asked + ASK_AGAIN_AFTER, |_| None)
            .is_empty()
    );
    assert_eq!(
        lost.unclear_again(asked + ASK_AGAIN_AFTER, in_question)
            .len(),
        1
    );
    assert!(
        lost.unclear_again(asked + ASK_AGAIN_AFTER, in_question)
            .is_empty()
    );
}

/// Guards against requests that are held up for as long as an upstream stands still.
#[test]
fn an_attempt_is_dropped_in_time_however_often_its_upstream_is_asked() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.unclear(now + JUDGE_AFTER);
    let mut at = now + JUDGE_AFTER;
    while at < now + CONFIRM_WITHIN {
        at += ASK_AGAIN_AFTER;
        lost.unclear_again(at, |_| Some(Duration::ZERO));
    }
    assert!(lost.due(at).is_empty());
    assert_eq!(reasons(&mut lost), [Dismissal::Unclear]);
}

/// A router that was paused has had no time to ask.
#[test]
fn an_attempt_is_not_dropped_before_its_upstream_could_answer() {
    let now = Instant::now();
    let late = now + CONFIRM_WITHIN * 2;
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    assert_eq!(lost.unclear(late).len(), 1);
    assert!(lost.due(late).is_empty());
    let next = lost.next_due().unwrap();
    assert!(next > late);
    assert!(lost.due(next).is_empty());
    assert_eq!(reasons(&mut lost), [Dismissal::Unclear]);
}
