//! Requests that crash no upstream, but run at upstreams that crash for other reasons.

mod support;

use cloverpier_crashes::lost_attempts::CRASH_SETTLE_DELAY;
use cloverpier_crashes::prelude::*;
use std::time::Instant;
use support::*;

/// Lost attempts of copies of a request that run at the engines of a data centre when the data centre freezes. The
/// engines do not respond again; at most, newer processes do.
fn tracker_with_copies_in_frozen_data_centre(now: Instant) -> CrashTracker {
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    // The router gives up on each engine 1,150 ms after its last response.
    for number in 1..=7 {
        let at = now + ms(1_150) + ms(90) * number as u32;
        tracker.on_suspected_failure(upstream(number, at), now + ms(90) * number as u32);
        let attempt = LostAttempt {
            ran_for: at - now,
            ..attempt(number, LossCause::UpstreamSilent, at)
        };
        tracker.on_lost(&content(), attempt);
    }
    tracker
}

#[test]
fn copies_in_a_frozen_data_centre_are_not_held_and_not_blocked() {
    let now = Instant::now();
    let mut tracker = tracker_with_copies_in_frozen_data_centre(now);
    assert_ne!(hold(&tracker, now + ms(1_900)), Hold::UntilResolved);
    // The crashes are proven one after the other.
    for number in 1..=7 {
        tracker.on_process_gone(upstream(number, now + ms(2_500) + ms(200) * number as u32));
    }
    let later = now + ms(5_000);
    assert_eq!(tracker.record_confirmed(later, neighbours).len(), 7);
    assert_eq!(tracker.registry.status(key(), later), ContentStatus::Normal);
}

/// Guards against a content that is blocked though it crashes nothing: the router learns late that upstreams have
/// restarted, and then gives up on attempts that were already sent to the newer processes.
#[test]
fn attempts_at_restarted_upstreams_do_not_count() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    let restart_known_at = now + ms(1_300);
    for number in 1..=3 {
        tracker.on_process_gone(upstream(number, now + ms(3) * number as u32));
    }
    for number in 1..=3 {
        tracker.on_process_replaced(upstream(number, restart_known_at));
        // Sent 19 ms before the restart is known.
        tracker.on_lost(
            &content(),
            attempt(number, LossCause::UpstreamSilent, restart_known_at + ms(1)),
        );
    }
    let recorded_at = restart_known_at + ms(1) + CRASH_SETTLE_DELAY;
    assert!(tracker.record_confirmed(recorded_at, neighbours).is_empty());
    assert_eq!(
        tracker.registry.status(key(), recorded_at),
        ContentStatus::Normal
    );
}

/// Guards against an attempt that counts for a crash before the attempt was sent: the router gives up on the attempt
/// before the newer process is known.
#[test]
fn attempts_sent_after_a_refused_connection_do_not_count_for_the_earlier_crash() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    tracker.on_process_gone(upstream(1, now));
    tracker.on_lost(
        &content(),
        attempt(1, LossCause::UpstreamSilent, now + ms(200)),
    );
    tracker.on_process_replaced(upstream(1, now + ms(300)));
    assert!(
        tracker
            .record_confirmed(now + ms(400), neighbours)
            .is_empty()
    );
    // The newer process crashes after that, and the process after it responds at once.
    tracker.on_process_replaced(upstream(1, now + ms(500)));
    assert_eq!(tracker.record_confirmed(now + ms(600), neighbours).len(), 1);
}

/// Guards against the same fault at a router that has not observed the crashes itself: peers have reported them.
#[test]
fn attempts_at_restarted_upstreams_do_not_count_if_peers_observed_the_crashes() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    let crashing = ContentKey::of(&RequestContent {
        body: b"crashes whoever runs it",
        ..content()
    });
    let restart_known_at = now + ms(1_300);
    for number in 1..=3 {
        let reported = attempt(number, LossCause::ConnectionBroken, now);
        let crash = Crash {
            id: reported.crash_id,
            at: now,
            ran_for: reported.ran_for,
            context: CrashContext::default(),
            is_disregarded: false,
        };
        tracker.registry.record(crashing, crash, now);
    }
    for number in 1..=3 {
        tracker.on_process_replaced(upstream(number, restart_known_at));
        // Sent 19 ms before the restart is known.
        let lost = attempt(number, LossCause::UpstreamSilent, restart_known_at + ms(1));
        tracker.on_lost(&content(), lost);
    }
    let recorded_at = restart_known_at + ms(1) + CRASH_SETTLE_DELAY;
    assert!(tracker.record_confirmed(recorded_at, neighbours).is_empty());
    assert_eq!(
        tracker.registry.status(crashing, recorded_at),
        ContentStatus::Blocked
    );
    // The newer process crashes after that.
    let crashed_at = recorded_at + ms(200);
    tracker.on_process_gone(upstream(1, crashed_at));
    assert_eq!(
        tracker
            .record_confirmed(crashed_at + CRASH_SETTLE_DELAY, neighbours)
            .len(),
        1
    );
}

/// Lost attempts of copies of a request that run at the engines of a data centre until the data centre fails: all
/// connections break at once. A busy host may refuse connections only much later.
fn tracker_with_copies_in_data_centre_outage(now: Instant) -> CrashTracker {
    let mut tracker = CrashTracker::new(CrashLimit(3), CrashTimestamp::ProcessStart);
    for number in 1..=5 {
        let at = now + ms(600) + ms(1) * number as u32;
        let attempt = LostAttempt {
            ran_for: ms(600),
            ..attempt(number, LossCause::ConnectionBroken, at)
        };
        tracker.on_lost(&content(), attempt);
    }
    tracker
}

/// Guards against a content that is blocked because its engines crashed together and the crashes are proven late.
#[test]
fn copies_in_a_data_centre_outage_are_not_blocked_however_late_the_proof() {
    let now = Instant::now();
    for proof_interval in [0, 90] {
        let mut tracker = tracker_with_copies_in_data_centre_outage(now);
        let mut confirmed_count = 0;
        for number in 1..=5 {
            let proven_at = now + ms(830) + ms(proof_interval) * number as u32;
            tracker.on_process_gone(upstream(number, proven_at));
            if proof_interval > 0 {
                confirmed_count += tracker.record_confirmed(proven_at, neighbours).len();
            }
        }
        let late = now + ms(2_000);
        confirmed_count += tracker.record_confirmed(late, neighbours).len();
        assert_eq!(confirmed_count, 5);
        assert_eq!(
            tracker.registry.status(key(), late),
            ContentStatus::Normal,
            "{proof_interval} ms"
        );
    }
}

#[test]
fn copies_at_engines_that_restarted_together_are_not_blocked() {
    let now = Instant::now();
    let mut tracker = tracker_with_copies_in_data_centre_outage(now);
    for number in 1..=5 {
        tracker.on_process_replaced(upstream(number, now + ms(1_700)));
    }
    let late = now + ms(2_000);
    assert_eq!(tracker.record_confirmed(late, neighbours).len(), 5);
    assert_eq!(tracker.registry.status(key(), late), ContentStatus::Normal);
}
