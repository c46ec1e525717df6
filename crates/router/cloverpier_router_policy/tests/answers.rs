//! What an answer proves, when a broken connection means that a process is gone, and what
//! arrives at the door.

use cloverpier_router_policy::arrival::{Rejection, find_account, find_route, priority};
use cloverpier_router_policy::attempt_failure::{
    AnswerHead, AnswerId, check_answer, may_mean_process_gone,
};
use cloverpier_router_policy::deadline::{CallerLimit, is_worth_sending};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::{Refusal, retry_after};
use std::io::ErrorKind;
use std::time::Duration;

const SUCCESS: AnswerHead = AnswerHead {
    status: 200,
    id: AnswerId::Same,
    is_first_on_connection: false,
    says_not_run: false,
    is_signed: true,
    is_encoded: false,
};

fn outcome(head: AnswerHead) -> Option<AttemptOutcome> {
    check_answer(&head).err().map(|failure| failure.outcome())
}

#[test]
fn only_the_upstreams_own_whole_answer_to_this_request_counts() {
    assert_eq!(outcome(SUCCESS), None);
    let unsigned = AnswerHead {
        is_signed: false,
        ..SUCCESS
    };
    assert_eq!(outcome(unsigned), Some(AttemptOutcome::Unknown));
    let encoded = AnswerHead {
        is_encoded: true,
        ..SUCCESS
    };
    assert_eq!(outcome(encoded), Some(AttemptOutcome::Unknown));
    // A failure needs no signature: it is handed on or retried as what it is.
    let failure = AnswerHead {
        status: 500,
        ..unsigned
    };
    assert_eq!(outcome(failure), None);
}

#[test]
fn an_answer_to_another_request_proves_nothing_of_this_one() {
    let other = AnswerHead {
        id: AnswerId::Other,
        says_not_run: true,
        ..SUCCESS
    };
    assert_eq!(outcome(other), Some(AttemptOutcome::Unknown));
    let missing = AnswerHead {
        id: AnswerId::Missing,
        ..SUCCESS
    };
    assert_eq!(outcome(missing), Some(AttemptOutcome::Unknown));
    let first = AnswerHead {
        is_first_on_connection: true,
        ..missing
    };
    assert_eq!(outcome(first), None);
}

#[test]
fn only_a_statement_proves_that_a_request_was_not_run() {
    let refused = AnswerHead {
        status: 503,
        says_not_run: true,
        ..SUCCESS
    };
    assert_eq!(outcome(refused), Some(AttemptOutcome::Refused));
    let misdirected = AnswerHead {
        status: 421,
        ..SUCCESS
    };
    assert_eq!(outcome(misdirected), Some(AttemptOutcome::Misdirected));
    let busy = AnswerHead {
        status: 503,
        ..SUCCESS
    };
    assert_eq!(outcome(busy), None);
}

#[test]
fn only_a_request_of_which_no_byte_left_counts_as_not_sent() {
    let broke = |was_unsent| AttemptFailure::SendBroke {
        was_unsent,
        error: "broken pipe".to_owned(),
    };
    assert_eq!(broke(true).outcome(), AttemptOutcome::NotSent);
    assert_eq!(broke(false).outcome(), AttemptOutcome::Unknown);
    assert_eq!(
        AttemptFailure::LateUnsent.outcome(),
        AttemptOutcome::NotSent
    );
    assert_eq!(AttemptFailure::LateSent.outcome(), AttemptOutcome::Unknown);
}

#[test]
fn a_reset_or_a_refusal_means_that_the_process_is_gone() {
    assert!(may_mean_process_gone(ErrorKind::ConnectionReset));
    assert!(may_mean_process_gone(ErrorKind::ConnectionRefused));
    for kind in [
        ErrorKind::BrokenPipe,
        ErrorKind::TimedOut,
        ErrorKind::UnexpectedEof,
        ErrorKind::ConnectionAborted,
    ] {
        assert!(!may_mean_process_gone(kind), "{kind:?}");
    }
}

#[test]
fn a_request_is_held_for_the_shorter_of_two_times() {
    let route = Duration::from_secs(3);
    let time = |text| CallerLimit::parse(text).time_on_route(route);
    assert_eq!(time(Some("1500.5")), Duration::from_micros(1_500_500));
    assert_eq!(time(Some(" 9000 ")), route);
    assert_eq!(time(None), route);
    // The last one is longer than a duration can hold.
    for unreadable in ["soon", "-1", "NaN", "inf", "", "1e300"] {
        assert_eq!(
            CallerLimit::parse(Some(unreadable)),
            CallerLimit::Unreadable
        );
        assert_eq!(time(Some(unreadable)), route);
    }
    assert!(is_worth_sending(Duration::from_millis(5)));
    assert!(!is_worth_sending(Duration::from_millis(4)));
}

#[test]
fn a_refused_caller_comes_back_within_the_objective() {
    let wait = |ms| {
        let objective = Duration::from_millis(ms);
        retry_after(Refusal::NoUpstream { objective }).as_millis()
    };
    assert_eq!([wait(10), wait(150), wait(10_000)], [40, 60, 1_000]);
}

fn configuration() -> ConfigurationIndex {
    let route = |name: &str, public| Route {
        name: name.to_owned(),
        host: "ledger.example".to_owned(),
        prefix: format!("/{name}/"),
        streaming: false,
        resumable: false,
        safe: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: None,
        priority: 12,
        max_attempts: 1,
        public,
        targets: Vec::new(),
    };
    ConfigurationIndex::new(Configuration {
        version: 1,
        routes: vec![route("open", true), route("closed", false)],
        accounts: Some(vec![ClientAccount {
            name: "lab".to_owned(),
            priority: Some(2),
            keys: vec!["k".to_owned()],
        }]),
        ..Configuration::default()
    })
}

#[test]
fn a_route_that_is_not_public_needs_a_known_key() {
    let configuration = configuration();
    let closed = find_route(&configuration, "LEDGER.example", "/closed/1").unwrap();
    let unknown = find_account(&configuration, &closed, Some("another"));
    assert_eq!(unknown.unwrap_err(), Rejection::UnknownKey);
    let account = find_account(&configuration, &closed, Some("k")).unwrap();
    assert_eq!(priority(&closed, account.as_deref()), 2);
    let open = find_route(&configuration, "ledger.example", "/open/1").unwrap();
    assert_eq!(find_account(&configuration, &open, None).unwrap(), None);
    assert_eq!(priority(&open, None), 9);
    let nowhere = find_route(&configuration, "ledger.example", "/nowhere/1");
    assert_eq!(nowhere.unwrap_err(), Rejection::NoRoute);
}
