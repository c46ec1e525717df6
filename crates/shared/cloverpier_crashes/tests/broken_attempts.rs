//! Breaks that are no ends, and ends that can be judged.

use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_crashes::broken_attempts::{CONFIRM_WITHIN, JUDGE_AFTER};
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

fn attempt(name: &str, upstream: u64, at: Instant) -> BrokenAttempt {
    BrokenAttempt {
        content: content(name),
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
    let mut broken = BrokenAttempts::default();
    broken.on_broken(attempt("a", 1, now), false);
    broken.on_broken(attempt("b", 2, now), false);
    broken.on_end(1);
    broken.on_alive(2);
    assert_eq!(
        (
            broken.open_with(content("a")),
            broken.open_with(content("b"))
        ),
        (1, 0)
    );
    assert_eq!(broken.next_due(), Some(now + JUDGE_AFTER));
    assert!(broken.due(now + JUDGE_AFTER / 2).is_empty());
    let due = broken.due(now + JUDGE_AFTER);
    assert_eq!(due.iter().map(|a| a.end.upstream).collect::<Vec<_>>(), [1]);
    assert_eq!(broken.next_due(), None);
}

#[test]
fn a_break_of_which_nothing_is_learned_is_dropped() {
    let now = Instant::now();
    let mut broken = BrokenAttempts::default();
    broken.on_broken(attempt("a", 1, now), false);
    assert_eq!(broken.next_due(), Some(now + JUDGE_AFTER));
    assert!(broken.due(now + JUDGE_AFTER).is_empty());
    // Its upstream is asked once.
    let unclear = broken.unclear(now + JUDGE_AFTER);
    assert_eq!(unclear.iter().map(|u| u.upstream).collect::<Vec<_>>(), [1]);
    assert!(broken.unclear(now + JUDGE_AFTER).is_empty());
    assert_eq!(broken.next_due(), Some(now + CONFIRM_WITHIN));
    assert!(broken.due(now + CONFIRM_WITHIN).is_empty());
    broken.on_end(1);
    assert!(broken.due(now + CONFIRM_WITHIN * 2).is_empty());
}

#[test]
fn an_upstream_that_ended_and_whose_next_start_answers_has_ended() {
    let now = Instant::now();
    let mut broken = BrokenAttempts::default();
    broken.on_broken(attempt("a", 1, now), false);
    broken.on_end(1);
    broken.on_alive(1);
    assert_eq!(broken.due(now + Duration::from_millis(200)).len(), 1);
}

#[test]
fn an_end_that_was_known_before_the_break_counts() {
    let now = Instant::now();
    let mut broken = BrokenAttempts::default();
    broken.on_broken(attempt("a", 1, now), true);
    assert_eq!(broken.due(now + JUDGE_AFTER).len(), 1);
}

#[test]
fn each_attempt_for_which_no_end_is_counted_is_named_once_with_the_reason() {
    let now = Instant::now();
    let mut broken = BrokenAttempts::default();
    broken.on_broken(attempt("a", 1, now), false);
    broken.on_broken(attempt("b", 2, now), false);
    broken.on_broken(attempt("c", 3, now), false);
    broken.on_end(3);
    broken.on_alive(2);
    assert_eq!(broken.due(now + CONFIRM_WITHIN).len(), 1);
    let dismissed = broken.take_dismissed();
    let dismissed: Vec<_> = dismissed
        .iter()
        .map(|d| (d.attempt.end.upstream, d.reason))
        .collect();
    assert_eq!(
        dismissed,
        [(2, Dismissal::Answered), (1, Dismissal::Unclear)]
    );
    assert!(broken.take_dismissed().is_empty());
}
