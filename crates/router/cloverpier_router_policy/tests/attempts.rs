//! The limits on retries hold for every sequence of outcomes: a request that runs at most once is not repeated,
//! a refused request did not run, and the limit on upstreams, the budget and the deadline are kept.

use cloverpier_router_policy::prelude::*;
use quickcheck::{Arbitrary, Gen, quickcheck};

/// A failed attempt: its outcome, and whether the retry budget had a retry left afterwards.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    outcome: AttemptOutcome,
    has_budget: bool,
}

impl Arbitrary for FailedAttempt {
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

/// Fails attempts in the given ways until the request ends or the failures are used up. Returns the outcomes of the
/// attempts that were sent, and the last step.
fn run_attempts(
    retry_rule: RetryRule,
    max_upstreams: u32,
    failures: &[FailedAttempt],
) -> (Vec<AttemptOutcome>, NextStep) {
    let mut attempts = Attempts::new(retry_rule, max_upstreams);
    let mut outcomes = Vec::new();
    for failure in failures {
        attempts.on_send();
        outcomes.push(failure.outcome);
        let next = attempts.on_outcome(failure.outcome, true, || failure.has_budget);
        if next != NextStep::Retry {
            return (outcomes, next);
        }
    }
    (outcomes, attempts.final_step())
}

quickcheck! {
    fn an_at_most_once_request_that_may_have_run_is_not_retried(failures: Vec<FailedAttempt>) -> bool {
        let (outcomes, _) = run_attempts(RetryRule::AtMostOnce, 5, &failures);
        let before_last = outcomes.len().saturating_sub(1);
        !outcomes[..before_last].iter().copied().any(may_have_run)
    }

    fn a_refused_request_ran_at_no_upstream(failures: Vec<FailedAttempt>) -> bool {
        [RetryRule::Safe, RetryRule::AtMostOnce, RetryRule::Resumable].into_iter().all(|retry_rule| {
            let (outcomes, end) = run_attempts(retry_rule, 5, &failures);
            end != NextStep::Refuse || !outcomes.into_iter().any(may_have_run)
        })
    }

    fn a_request_reaches_at_most_max_upstreams(failures: Vec<FailedAttempt>, max_upstreams: u8) -> bool {
        let max_upstreams = u32::from(max_upstreams % 6).max(1);
        let (outcomes, _) = run_attempts(RetryRule::Resumable, max_upstreams, &failures);
        let reached = outcomes
            .into_iter()
            .filter(|o| !matches!(o, AttemptOutcome::NotSent | AttemptOutcome::Misdirected));
        reached.count() <= max_upstreams as usize
    }

    fn without_budget_a_request_reaches_one_upstream(failures: Vec<FailedAttempt>) -> bool {
        let without_budget = failures.iter().map(|failure| FailedAttempt { has_budget: false, ..*failure });
        let (outcomes, _) = run_attempts(RetryRule::Safe, 5, &without_budget.collect::<Vec<_>>());
        // Only the last attempt may have left this process.
        let before_last = outcomes.len().saturating_sub(1);
        outcomes[..before_last].iter().all(|o| *o == AttemptOutcome::NotSent)
    }

    fn a_request_past_its_deadline_is_not_retried(failure: FailedAttempt) -> bool {
        let mut attempts = Attempts::new(RetryRule::Safe, 5);
        attempts.on_send();
        attempts.on_outcome(failure.outcome, false, || true) != NextStep::Retry
    }
}

#[test]
fn the_budget_is_used_only_if_a_retry_is_allowed() {
    let mut attempts = Attempts::new(RetryRule::AtMostOnce, 3);
    attempts.on_send();
    let next = attempts.on_outcome(AttemptOutcome::Unknown, true, || {
        panic!("the budget must not be used")
    });
    assert_eq!(next, NextStep::Fail);
}

#[test]
fn an_upstreams_error_is_passed_on_when_no_retry_is_allowed() {
    let mut attempts = Attempts::new(RetryRule::AtMostOnce, 1);
    attempts.on_send();
    let next = attempts.on_outcome(AttemptOutcome::Failed, true, || true);
    assert_eq!(next, NextStep::PassOn);
}

#[test]
fn many_dead_addresses_neither_end_a_request_nor_use_the_budget() {
    let mut attempts = Attempts::new(RetryRule::AtMostOnce, 1);
    for _ in 0..8 {
        attempts.on_send();
        let next = attempts.on_outcome(AttemptOutcome::NotSent, true, || {
            panic!("the budget must not be used")
        });
        assert_eq!(next, NextStep::Retry);
    }
}

#[test]
fn a_request_that_left_a_silent_upstream_does_not_fail_for_a_refusal() {
    let mut attempts = Attempts::new(RetryRule::Resumable, 2);
    attempts.on_send();
    attempts.on_upstream_left();
    assert_eq!(
        attempts.on_outcome(AttemptOutcome::Unknown, true, || true),
        NextStep::Retry
    );
    for _ in 0..3 {
        attempts.on_send();
        let next = attempts.on_outcome(AttemptOutcome::Refused, true, || true);
        assert_eq!(next, NextStep::Retry);
    }
    attempts.on_send();
    let next = attempts.on_outcome(AttemptOutcome::Failed, true, || true);
    assert_eq!(next, NextStep::PassOn);
}
