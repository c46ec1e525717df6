//! Lost attempts: proofs of crash and survival, probes, and timeouts.

use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_crashes::lost_attempts::{CONFIRMATION_TIMEOUT, CRASH_SETTLE_DELAY, PROBE_INTERVAL};
use cloverpier_crashes::prelude::*;
use std::time::{Duration, Instant};

fn content(name: &str) -> ContentKey {
    ContentKey::of(&RequestContent {
        account: "lab",
        host: "api.example",
        method: "POST",
        target: name,
        body: b"",
    })
}

/// An attempt whose connection broke two seconds after the attempt was sent.
fn attempt(name: &str, upstream: u64, at: Instant) -> LostAttempt {
    LostAttempt {
        content: content(name),
        loss: LossCause::ConnectionBroken,
        has_completed: false,
        ran_for: Duration::from_secs(2),
        crash_id: CrashId {
            upstream,
            time_ms: 7,
        },
        upstream: UpstreamEvent {
            upstream,
            service: ServiceName::new("drafts"),
            data_centre: DataCentre::new("hall-a"),
            at,
        },
    }
}

#[test]
fn crash_is_confirmed_after_the_settle_delay_and_a_survived_break_never() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.on_lost(attempt("b", 2, now), false);
    lost.on_crash(1, now);
    lost.on_response(response_of(2, now), no_survival);
    assert_eq!(
        (
            lost.unresolved_with(content("a")).count(),
            lost.unresolved_with(content("b")).count()
        ),
        (1, 0)
    );
    assert_eq!(lost.next_due(), Some(now + CRASH_SETTLE_DELAY));
    assert!(lost.take_confirmed(now + CRASH_SETTLE_DELAY / 2).is_empty());
    let confirmed = lost.take_confirmed(now + CRASH_SETTLE_DELAY);
    assert_eq!(
        confirmed
            .iter()
            .map(|a| a.crash_id.upstream)
            .collect::<Vec<_>>(),
        [1]
    );
    assert_eq!(lost.next_due(), None);
}

#[test]
fn unresolved_break_expires_after_one_probe() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    assert_eq!(lost.next_due(), Some(now + CRASH_SETTLE_DELAY));
    assert!(lost.take_confirmed(now + CRASH_SETTLE_DELAY).is_empty());
    // The upstream is returned for a first probe once.
    let probed = lost.first_probes(now + CRASH_SETTLE_DELAY);
    assert_eq!(probed.iter().map(|u| u.upstream).collect::<Vec<_>>(), [1]);
    assert!(lost.first_probes(now + CRASH_SETTLE_DELAY).is_empty());
    assert_eq!(lost.next_due(), Some(now + CONFIRMATION_TIMEOUT));
    assert!(lost.take_confirmed(now + CONFIRMATION_TIMEOUT).is_empty());
    lost.on_crash(1, now);
    assert!(
        lost.take_confirmed(now + CONFIRMATION_TIMEOUT * 2)
            .is_empty()
    );
}

#[test]
fn response_of_the_next_process_does_not_revoke_a_crash() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.on_crash(1, now);
    lost.on_response(response_of(1, now), no_survival);
    assert_eq!(
        lost.take_confirmed(now + Duration::from_millis(200)).len(),
        1
    );
}

#[test]
fn crash_that_was_known_before_the_loss_counts() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), true);
    assert_eq!(lost.take_confirmed(now + CRASH_SETTLE_DELAY).len(), 1);
}

#[test]
fn discarded_attempts_are_returned_once_with_the_reason() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.on_lost(attempt("b", 2, now), false);
    lost.on_lost(attempt("c", 3, now), false);
    lost.on_crash(3, now);
    lost.on_response(response_of(2, now), no_survival);
    assert_eq!(lost.take_confirmed(now + CONFIRMATION_TIMEOUT).len(), 1);
    let discarded = lost.take_discarded();
    let discarded: Vec<_> = discarded
        .iter()
        .map(|d| (d.attempt.crash_id.upstream, d.reason))
        .collect();
    assert_eq!(
        discarded,
        [
            (2, DiscardReason::Survived),
            (1, DiscardReason::Unconfirmed)
        ]
    );
    assert!(lost.take_discarded().is_empty());
}

/// A response to a probe that is received at the time at which the probe is sent.
fn response_of(upstream: u64, sent_at: Instant) -> UpstreamResponse {
    UpstreamResponse {
        upstream,
        sent_at,
        received_at: sent_at,
    }
}

/// The survival time of a content whose survival is proven by the second prompt response.
fn no_survival(_: ContentKey) -> Duration {
    Duration::ZERO
}

fn reasons(lost: &mut LostAttempts) -> Vec<DiscardReason> {
    let discarded = lost.take_discarded();
    discarded.iter().map(|d| d.reason).collect()
}

/// Guards against a false proof of survival by a response that was in transit when the connection broke.
#[test]
fn response_to_a_probe_sent_before_the_break_proves_nothing() {
    let sent_at = Instant::now();
    let broken_at = sent_at + Duration::from_millis(30);
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, broken_at), false);
    let late = UpstreamResponse {
        upstream: 1,
        sent_at,
        received_at: broken_at + Duration::from_millis(5),
    };
    lost.on_response(late, no_survival);
    assert_eq!(lost.unresolved().count(), 1);
    lost.on_response(
        response_of(1, broken_at + Duration::from_millis(6)),
        no_survival,
    );
    assert_eq!(reasons(&mut lost), [DiscardReason::Survived]);
}

/// Guards against a false proof of survival: an upstream responds, and only then starts the request that crashes it.
#[test]
fn silent_upstream_has_survived_once_it_responds_for_the_survival_time() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut lost = LostAttempts::default();
    let silent = LostAttempt {
        loss: LossCause::UpstreamSilent,
        ..attempt("a", 1, now)
    };
    lost.on_lost(silent.clone(), false);
    let survival_time = |_: ContentKey| ms(200);
    lost.on_response(response_of(1, now + ms(700)), survival_time);
    lost.on_response(response_of(1, now + ms(899)), survival_time);
    assert_eq!(lost.unresolved().count(), 1);
    lost.on_response(response_of(1, now + ms(900)), survival_time);
    assert_eq!(reasons(&mut lost), [DiscardReason::Survived]);
    // An upstream that crashes within the survival time has crashed under the request.
    lost.on_lost(silent, false);
    lost.on_response(response_of(1, now + ms(700)), survival_time);
    lost.on_crash(1, now + ms(800));
    assert!(lost.take_confirmed(now + ms(800)).is_empty());
    assert_eq!(
        lost.take_confirmed(now + ms(800) + CRASH_SETTLE_DELAY)
            .len(),
        1
    );
}

/// Guards against a false proof of survival by an upstream that pauses repeatedly and runs only for moments in between.
#[test]
fn late_responses_of_a_silent_upstream_do_not_prove_survival() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut lost = LostAttempts::default();
    let silent = LostAttempt {
        loss: LossCause::UpstreamSilent,
        ..attempt("a", 1, now)
    };
    lost.on_lost(silent, false);
    for second in 0..4 {
        let sent_at = now + ms(100) + ms(1_000) * second;
        let received_at = sent_at + ms(700);
        let response = UpstreamResponse {
            upstream: 1,
            sent_at,
            received_at,
        };
        lost.on_response(response, |_| ms(100));
    }
    assert_eq!(lost.unresolved().count(), 1);
}

#[test]
fn upstream_is_probed_again_while_its_attempt_may_hold_requests() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    let may_hold_requests = |_: ContentKey| Some(ms(100));
    assert!(
        lost.repeated_probes(now + ms(60), may_hold_requests)
            .is_empty()
    );
    let probed_at = now + CRASH_SETTLE_DELAY;
    assert_eq!(lost.first_probes(probed_at).len(), 1);
    assert_eq!(lost.next_repeated_probe(|_| None), None);
    assert_eq!(
        lost.next_repeated_probe(may_hold_requests),
        Some(probed_at + PROBE_INTERVAL)
    );
    assert!(
        lost.repeated_probes(probed_at + PROBE_INTERVAL, |_| None)
            .is_empty()
    );
    assert_eq!(
        lost.repeated_probes(probed_at + PROBE_INTERVAL, may_hold_requests)
            .len(),
        1
    );
    assert!(
        lost.repeated_probes(probed_at + PROBE_INTERVAL, may_hold_requests)
            .is_empty()
    );
}

/// Guards against requests that are held for as long as an upstream is paused.
#[test]
fn attempt_expires_in_time_however_often_its_upstream_is_probed() {
    let now = Instant::now();
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    lost.first_probes(now + CRASH_SETTLE_DELAY);
    let mut at = now + CRASH_SETTLE_DELAY;
    while at < now + CONFIRMATION_TIMEOUT {
        at += PROBE_INTERVAL;
        lost.repeated_probes(at, |_| Some(Duration::ZERO));
    }
    assert!(lost.take_confirmed(at).is_empty());
    assert_eq!(reasons(&mut lost), [DiscardReason::Unconfirmed]);
}

/// Guards against an attempt that is discarded without a probe because the router itself was paused for longer than
/// the confirmation timeout.
#[test]
fn attempt_does_not_expire_before_its_upstream_could_respond() {
    let now = Instant::now();
    let late = now + CONFIRMATION_TIMEOUT * 2;
    let mut lost = LostAttempts::default();
    lost.on_lost(attempt("a", 1, now), false);
    assert_eq!(lost.first_probes(late).len(), 1);
    assert!(lost.take_confirmed(late).is_empty());
    let next = lost.next_due().unwrap();
    assert!(next > late);
    assert!(lost.take_confirmed(next).is_empty());
    assert_eq!(reasons(&mut lost), [DiscardReason::Unconfirmed]);
}
