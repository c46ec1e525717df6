//! What a router does with a request while it is not known whether upstreams ended under it.

use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_crashes::cases::MAX_HOLD;
use cloverpier_crashes::lost_attempts::{CONFIRM_WITHIN, JUDGE_AFTER};
use cloverpier_crashes::prelude::*;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const TARGET: &str = "/digests/17";

fn content() -> Content<'static> {
    Content {
        account: "lab",
        host: "api.example",
        method: "POST",
        target: TARGET,
        body: b"",
    }
}

fn key() -> ContentKey {
    ContentKey::of(&content())
}

fn upstream(upstream: u64, at: Instant) -> EndedUpstream {
    EndedUpstream {
        upstream,
        service: ServiceName::new("drafts"),
        data_centre: DataCentre::new("hall-a"),
        at,
    }
}

fn attempt(number: u64, loss: Loss, at: Instant) -> LostAttempt {
    LostAttempt {
        content: key(),
        loss,
        ran_well: false,
        ran_for: Duration::from_millis(20),
        end: UpstreamEnd {
            upstream: number,
            start: 5_000,
        },
        upstream: upstream(number, at),
    }
}

/// Eight upstreams, all in one data centre.
fn neighbours(_: &EndedUpstream) -> Neighbours {
    Neighbours {
        in_service: 7,
        in_data_centre: 7,
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn answer_of(upstream: u64, asked: Instant) -> SignOfLife {
    SignOfLife {
        upstream,
        asked,
        answered: asked,
    }
}

/// Cases in which a content was lost at upstreams 1, 2 and so on, each 30 ms after the one before.
fn cases_with(losses: &[Loss], now: Instant) -> CrashCases {
    let mut cases = CrashCases::new(CrashLimit(3), EndsBy::Start);
    for (number, loss) in (1..).zip(losses) {
        let at = now + ms(30) * number as u32;
        cases.on_lost(&content(), attempt(number, *loss, at));
    }
    cases
}

/// What was decided of the content, once the time to judge has passed.
fn hold(cases: &CrashCases, now: Instant) -> Hold {
    cases.hold(key(), now, neighbours)
}

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
