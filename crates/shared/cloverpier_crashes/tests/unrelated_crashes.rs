//! Requests that crash nothing, at upstreams that end.

mod support;

use cloverpier_crashes::lost_attempts::JUDGE_AFTER;
use cloverpier_crashes::prelude::*;
use std::time::Instant;
use support::*;

/// Equal copies of a request that run at the engines of a data centre when it freezes, and whose engines
/// never come back, or come back as others.
fn copies_in_a_frozen_data_centre(now: Instant) -> CrashCases {
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    // Each engine is given up at a moment of its own, a while after the last sign of life.
    for number in 1..=7 {
        let at = now + ms(1_150) + ms(90) * number as u32;
        cases.on_death(upstream(number, at), now + ms(90) * number as u32);
        let attempt = LostAttempt {
            ran_for: at - now,
            ..attempt(number, Loss::GivenUp, at)
        };
        cases.on_lost(&content(), attempt);
    }
    cases
}

#[test]
fn copies_of_a_request_in_a_data_centre_that_froze_are_not_held_and_not_stopped_when_it_proves_dead()
 {
    let now = Instant::now();
    let mut cases = copies_in_a_frozen_data_centre(now);
    assert_ne!(hold(&cases, now + ms(1_900)), Hold::UntilSettled);
    // Their ends are proved one after the other.
    for number in 1..=7 {
        cases.on_end(upstream(number, now + ms(2_500) + ms(200) * number as u32));
    }
    let later = now + ms(5_000);
    assert_eq!(cases.judge(later, neighbours).len(), 7);
    assert_eq!(cases.book.verdict(key(), later), Verdict::Harmless);
}

/// Guards against innocent requests that are stopped because upstreams have started again before it is known,
/// and the requests that the next starts had got until then are given up.
#[test]
fn attempts_at_the_next_starts_of_upstreams_that_were_known_to_have_ended_do_not_count() {
    let now = Instant::now();
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    let next_known = now + ms(1_300);
    for number in 1..=3 {
        cases.on_end(upstream(number, now + ms(3) * number as u32));
    }
    for number in 1..=3 {
        cases.on_former_start(upstream(number, next_known));
        // Begun 19 ms before.
        cases.on_lost(
            &content(),
            attempt(number, Loss::GivenUp, next_known + ms(1)),
        );
    }
    let judged_at = next_known + ms(1) + JUDGE_AFTER;
    assert!(cases.judge(judged_at, neighbours).is_empty());
    assert_eq!(cases.book.verdict(key(), judged_at), Verdict::Harmless);
}

/// The same where the attempts are given up before the next start is known.
#[test]
fn attempts_that_began_after_an_upstream_refused_are_not_charged_with_its_end() {
    let now = Instant::now();
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    cases.on_end(upstream(1, now));
    cases.on_lost(&content(), attempt(1, Loss::GivenUp, now + ms(200)));
    cases.on_former_start(upstream(1, now + ms(300)));
    assert!(cases.judge(now + ms(400), neighbours).is_empty());
    // The next start ends after that, and the one after it answers at once.
    cases.on_former_start(upstream(1, now + ms(500)));
    assert_eq!(cases.judge(now + ms(600), neighbours).len(), 1);
}

/// Guards against the same at a router that has seen nothing of these ends, and was told of them.
#[test]
fn attempts_at_the_next_starts_of_upstreams_that_peers_saw_end_do_not_count() {
    let now = Instant::now();
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    let crashing = ContentKey::of(&Content {
        body: b"crashes whoever runs it",
        ..content()
    });
    let next_known = now + ms(1_300);
    for number in 1..=3 {
        let seen = attempt(number, Loss::Broke, now);
        let crash = Crash {
            end: seen.end,
            at: now,
            ran_for: seen.ran_for,
            surroundings: Surroundings::default(),
            excused: false,
        };
        cases.book.record(crashing, crash, now);
    }
    for number in 1..=3 {
        cases.on_former_start(upstream(number, next_known));
        // Begun 19 ms before.
        let given_up = attempt(number, Loss::GivenUp, next_known + ms(1));
        cases.on_lost(&content(), given_up);
    }
    let judged_at = next_known + ms(1) + JUDGE_AFTER;
    assert!(cases.judge(judged_at, neighbours).is_empty());
    assert_eq!(cases.book.verdict(crashing, judged_at), Verdict::Stopped);
    // The next start ends after that.
    let ended = judged_at + ms(200);
    cases.on_end(upstream(1, ended));
    assert_eq!(cases.judge(ended + JUDGE_AFTER, neighbours).len(), 1);
}

/// Equal copies of a request that run at engines of a data centre until it dies: all connections break at
/// once, and a busy machine takes its time to refuse what asks there.
fn copies_in_a_data_centre_that_died(now: Instant) -> CrashCases {
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    for number in 1..=5 {
        let at = now + ms(600) + ms(1) * number as u32;
        let attempt = LostAttempt {
            ran_for: ms(600),
            ..attempt(number, Loss::Broke, at)
        };
        cases.on_lost(&content(), attempt);
    }
    cases
}

/// Guards against requests that are stopped as their engines died together and that was proved late.
#[test]
fn copies_in_a_data_centre_that_died_are_not_stopped_however_late_that_is_proved() {
    let now = Instant::now();
    for apart in [0, 90] {
        let mut cases = copies_in_a_data_centre_that_died(now);
        let mut judged = 0;
        for number in 1..=5 {
            let proved = now + ms(830) + ms(apart) * number as u32;
            cases.on_end(upstream(number, proved));
            if apart > 0 {
                judged += cases.judge(proved, neighbours).len();
            }
        }
        let late = now + ms(2_000);
        judged += cases.judge(late, neighbours).len();
        assert_eq!(judged, 5);
        assert_eq!(
            cases.book.verdict(key(), late),
            Verdict::Harmless,
            "{apart} ms"
        );
    }
}

#[test]
fn copies_at_engines_that_started_again_together_under_their_names_are_not_stopped() {
    let now = Instant::now();
    let mut cases = copies_in_a_data_centre_that_died(now);
    for number in 1..=5 {
        cases.on_former_start(upstream(number, now + ms(1_700)));
    }
    let late = now + ms(2_000);
    assert_eq!(cases.judge(late, neighbours).len(), 5);
    assert_eq!(cases.book.verdict(key(), late), Verdict::Harmless);
}
