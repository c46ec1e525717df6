//! What is promised of a request holds in whatever order its sends end.

use cloverpier_router_policy::prelude::*;
use quickcheck::{Arbitrary, Gen, quickcheck};

/// One send: the outcome, and whether the retry budget had a repeat left.
#[derive(Clone, Copy, Debug)]
struct Send {
    outcome: AttemptOutcome,
    has_budget: bool,
}

impl Arbitrary for Send {
    fn arbitrary(g: &mut Gen) -> Self {
        let outcomes = [
            AttemptOutcome::NotSent,
            AttemptOutcome::Misdirected,
            AttemptOutcome::Refused,
            AttemptOutcome::Unknown,
            AttemptOutcome::Failed,
        ];
        Self {
            outcome: *g.choose(&outcomes).unwrap(),
            has_budget: bool::arbitrary(g),
        }
    }
}

fn may_have_run(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Unknown | AttemptOutcome::Failed)
}

/// Plays sends until the request ends; returns those that were made, and the end.
fn play(retry_rule: RetryRule, most: u32, sends: &[Send]) -> (Vec<AttemptOutcome>, NextStep) {
    let mut attempts = Attempts::new(retry_rule, most);
    let mut made = Vec::new();
    for send in sends {
        attempts.on_send();
        made.push(send.outcome);
        let next = attempts.on_outcome(send.outcome, true, || send.has_budget);
        if next != NextStep::Retry {
            return (made, next);
        }
    }
    (made, attempts.give_up())
}

quickcheck! {
    fn nothing_that_may_have_run_is_sent_again_unless_it_may_repeat(sends: Vec<Send>) -> bool {
        let (made, _) = play(RetryRule::AtMostOnce, 5, &sends);
        let before_last = made.len().saturating_sub(1);
        !made[..before_last].iter().copied().any(may_have_run)
    }

    fn a_refusal_means_that_no_server_may_have_run_the_request(sends: Vec<Send>) -> bool {
        [RetryRule::Safe, RetryRule::AtMostOnce, RetryRule::Resumable].into_iter().all(|retry_rule| {
            let (made, end) = play(retry_rule, 5, &sends);
            end != NextStep::Refuse || !made.into_iter().any(may_have_run)
        })
    }

    fn no_more_servers_than_allowed_may_run_a_request(sends: Vec<Send>, most: u8) -> bool {
        let most = u32::from(most % 6).max(1);
        let (made, _) = play(RetryRule::Resumable, most, &sends);
        let reached = made
            .into_iter()
            .filter(|o| !matches!(o, AttemptOutcome::NotSent | AttemptOutcome::Misdirected));
        reached.count() <= most as usize
    }

    fn without_budget_nothing_reaches_a_second_server(sends: Vec<Send>) -> bool {
        let poor = sends.iter().map(|send| Send { has_budget: false, ..*send });
        let (made, _) = play(RetryRule::Safe, 5, &poor.collect::<Vec<_>>());
        // Only the last send may have left this process.
        let before_last = made.len().saturating_sub(1);
        made[..before_last].iter().all(|o| *o == AttemptOutcome::NotSent)
    }

    fn without_time_nothing_is_sent_again(send: Send) -> bool {
        let mut attempts = Attempts::new(RetryRule::Safe, 5);
        attempts.on_send();
        attempts.on_outcome(send.outcome, false, || true) != NextStep::Retry
    }
}

#[test]
fn the_budget_is_asked_only_when_a_repeat_is_allowed() {
    let mut attempts = Attempts::new(RetryRule::AtMostOnce, 3);
    attempts.on_send();
    let next = attempts.on_outcome(AttemptOutcome::Unknown, true, || panic!("not asked"));
    assert_eq!(next, NextStep::Fail);
}

#[test]
fn a_servers_own_failure_is_passed_on_when_no_other_server_may_be_asked() {
    let mut attempts = Attempts::new(RetryRule::AtMostOnce, 1);
    attempts.on_send();
    let next = attempts.on_outcome(AttemptOutcome::Failed, true, || true);
    assert_eq!(next, NextStep::PassOn);
}

#[test]
fn many_dead_addresses_neither_end_a_request_nor_cost_a_repeat() {
    let mut attempts = Attempts::new(RetryRule::AtMostOnce, 1);
    for _ in 0..8 {
        attempts.on_send();
        let next = attempts.on_outcome(AttemptOutcome::NotSent, true, || panic!("not asked"));
        assert_eq!(next, NextStep::Retry);
    }
}
