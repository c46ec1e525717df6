//! Rules on single requests: which responses are valid, what a failed attempt proves, how long a request may
//! take, when a refused caller retries, and which requests are admitted on arrival.

use cloverpier_router_policy::arrival::{Rejection, find_account, find_route, priority};
use cloverpier_router_policy::attempt_failure::{
    RequestIdMatch, ResponseHead, check_response, may_mean_process_gone,
};
use cloverpier_router_policy::deadline::{CallerTimeout, has_time_to_send};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::{Refusal, retry_after};
use std::io::ErrorKind;
use std::time::Duration;

const VALID_SUCCESS: ResponseHead = ResponseHead {
    status: 200,
    id: RequestIdMatch::Same,
    is_first_on_connection: false,
    is_marked_not_run: false,
    is_signed: true,
    is_transfer_coded: false,
    is_encoded: false,
};

fn outcome(head: ResponseHead) -> Option<AttemptOutcome> {
    check_response(&head).err().map(|failure| failure.outcome())
}

#[test]
fn a_success_counts_only_if_it_is_signed_and_not_encoded() {
    assert_eq!(outcome(VALID_SUCCESS), None);
    let unsigned = ResponseHead {
        is_signed: false,
        ..VALID_SUCCESS
    };
    assert_eq!(outcome(unsigned), Some(AttemptOutcome::Unknown));
    let encoded = ResponseHead {
        is_encoded: true,
        ..VALID_SUCCESS
    };
    assert_eq!(outcome(encoded), Some(AttemptOutcome::Unknown));
    // An error response needs no signature: it is passed on or retried according to its status.
    let error = ResponseHead {
        status: 500,
        ..unsigned
    };
    assert_eq!(outcome(error), None);
}

#[test]
fn a_status_that_ends_no_exchange_leaves_the_outcome_unknown() {
    for status in [100, 101, 199, 600, 999] {
        for is_marked_not_run in [false, true] {
            let odd = ResponseHead {
                status,
                is_marked_not_run,
                ..VALID_SUCCESS
            };
            assert_eq!(outcome(odd), Some(AttemptOutcome::Unknown), "{status}");
        }
    }
}

#[test]
fn a_body_in_a_transfer_coding_counts_as_none_whatever_the_status() {
    for status in [200, 404, 500] {
        let coded = ResponseHead {
            status,
            is_transfer_coded: true,
            ..VALID_SUCCESS
        };
        assert_eq!(outcome(coded), Some(AttemptOutcome::Unknown), "{status}");
    }
}

#[test]
fn a_response_to_another_request_leaves_the_outcome_unknown() {
    let other = ResponseHead {
        id: RequestIdMatch::Other,
        is_marked_not_run: true,
        ..VALID_SUCCESS
    };
    assert_eq!(outcome(other), Some(AttemptOutcome::Unknown));
    let missing = ResponseHead {
        id: RequestIdMatch::Missing,
        ..VALID_SUCCESS
    };
    assert_eq!(outcome(missing), Some(AttemptOutcome::Unknown));
    let first = ResponseHead {
        is_first_on_connection: true,
        ..missing
    };
    assert_eq!(outcome(first), None);
}

#[test]
fn only_an_explicit_declaration_proves_that_a_request_was_not_run() {
    let refused = ResponseHead {
        status: 503,
        is_marked_not_run: true,
        ..VALID_SUCCESS
    };
    assert_eq!(outcome(refused), Some(AttemptOutcome::Refused));
    let misdirected = ResponseHead {
        status: 421,
        ..VALID_SUCCESS
    };
    assert_eq!(outcome(misdirected), Some(AttemptOutcome::Misdirected));
    let busy = ResponseHead {
        status: 503,
        ..VALID_SUCCESS
    };
    assert_eq!(outcome(busy), None);
}

#[test]
fn only_a_request_without_a_byte_on_the_wire_counts_as_not_sent() {
    let broken = |was_unsent| AttemptFailure::BrokenBeforeResponse {
        was_unsent,
        error: "broken pipe".to_owned(),
    };
    assert_eq!(broken(true).outcome(), AttemptOutcome::NotSent);
    assert_eq!(broken(false).outcome(), AttemptOutcome::Unknown);
    assert_eq!(
        AttemptFailure::DeadlinePassedUnsent.outcome(),
        AttemptOutcome::NotSent
    );
    assert_eq!(
        AttemptFailure::DeadlinePassedSent.outcome(),
        AttemptOutcome::Unknown
    );
}

#[test]
fn a_reset_or_a_refused_connection_may_mean_that_the_process_is_gone() {
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
fn a_request_has_the_shorter_of_the_callers_and_the_routes_timeout() {
    let route = Duration::from_secs(3);
    let time = |text| CallerTimeout::parse(text).effective_timeout(route);
    assert_eq!(time(Some("1500.5")), Duration::from_micros(1_500_500));
    assert_eq!(time(Some(" 9000 ")), route);
    assert_eq!(time(None), route);
    // The last of these is longer than a `Duration` can hold.
    for unreadable in ["soon", "-1", "NaN", "inf", "", "1e300"] {
        assert_eq!(
            CallerTimeout::parse(Some(unreadable)),
            CallerTimeout::Unreadable
        );
        assert_eq!(time(Some(unreadable)), route);
    }
    assert!(has_time_to_send(Duration::from_millis(5)));
    assert!(!has_time_to_send(Duration::from_millis(4)));
}

#[test]
fn a_refused_caller_retries_within_the_objective() {
    let wait = |ms| {
        let objective = Duration::from_millis(ms);
        retry_after(Refusal::NoUpstream { objective })
            .unwrap()
            .as_millis()
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
