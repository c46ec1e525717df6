//! Which crashes of upstreams are reported to peers, how reports are split into messages, and when facts
//! are sent to peers again.

use cloverpier_core::DataCentre;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::crash_reports::{is_reported, split_into_messages};
use cloverpier_router_policy::dissemination::{
    REPEAT_WINDOW, is_within_repeat_window, may_have_missed_facts, sends_missed_facts,
};
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// The surroundings of a crash in a data centre with five other upstreams of the service, which has 23
/// others in total. `ended` of the five crashed at the same time.
fn surroundings(ended: u64) -> CrashContext {
    CrashContext {
        others_in_service: 23,
        others_in_data_centre: 5,
        concurrent_failures: ConcurrentFailures::of((0..ended).map(|upstream| (upstream, true))),
    }
}

#[test]
fn a_first_crash_that_a_failed_data_centre_explains_is_not_reported() {
    let reported: Vec<bool> = (0..=5)
        .map(|ended| is_reported(&surroundings(ended), 1))
        .collect();
    assert_eq!(reported, [true, true, true, false, false, false]);
    // The second crash under the same content is reported in any case.
    assert!(is_reported(&surroundings(5), 2));
}

fn entry(configuration_version: u64, last_heartbeat: Instant) -> PeerEntry {
    PeerEntry {
        callers: ([127, 0, 0, 1], 7_101).into(),
        data_centre: DataCentre::new("hall-a"),
        state: PeerState::Ready,
        last_heartbeat,
        configuration_version,
        upstreams_revision: 1,
        store_age: None,
        budget_use: Vec::new(),
    }
}

#[test]
fn a_peer_that_is_new_was_silent_or_restarted_may_have_missed_facts() {
    let timeout = Duration::from_millis(1_100);
    let now = Instant::now();
    let previous = entry(9, now);
    let soon = now + Duration::from_millis(400);
    let missed = |entry: &PeerEntry| may_have_missed_facts(Some(&previous), entry, timeout);
    assert!(!missed(&entry(9, soon)));
    assert!(!missed(&entry(10, soon)));
    assert!(missed(&entry(0, soon)));
    assert!(missed(&entry(9, now + timeout * 2)));
    assert!(may_have_missed_facts(None, &entry(9, now), timeout));
}

#[test]
fn a_peer_that_restarts_before_it_has_a_configuration_may_have_missed_facts() {
    let now = Instant::now();
    let (previous, restarted) = (entry(0, now), entry(0, now + Duration::from_millis(313)));
    let timeout = Duration::from_millis(1_100);
    assert!(may_have_missed_facts(Some(&previous), &restarted, timeout));
}

#[test]
fn in_a_large_fleet_only_some_peers_send_missed_facts() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut senders = |peers: usize| {
        (0..peers)
            .filter(|_| sends_missed_facts(peers, &mut rng))
            .count()
    };
    assert_eq!(senders(7), 7);
    let sender_counts: Vec<usize> = (0..50).map(|_| senders(295)).collect();
    assert!(
        sender_counts.iter().all(|count| (4..=32).contains(count)),
        "{sender_counts:?}"
    );
}

#[test]
fn facts_are_repeated_for_a_limited_time() {
    let now = Instant::now();
    assert!(!is_within_repeat_window(None, now));
    assert!(is_within_repeat_window(Some(now), now + REPEAT_WINDOW / 2));
    assert!(!is_within_repeat_window(Some(now), now + REPEAT_WINDOW));
}

/// A report with the maximum number of crashes that are kept for one content, each of the maximum size.
fn largest_report(name: &str) -> ContentReport {
    let content = ContentKey::of(&RequestContent {
        account: "lab",
        host: "api.example",
        method: "POST",
        target: name,
        body: b"",
    });
    let crash = |upstream: u64| ReportedCrash {
        id: CrashId {
            upstream: u64::MAX - upstream,
            time_ms: 1_790_000_000_000,
        },
        age_ms: u32::MAX,
        ran_ms: u32::MAX,
        context: CrashContext {
            others_in_service: u32::MAX,
            others_in_data_centre: u32::MAX,
            concurrent_failures: ConcurrentFailures::of((0..12).map(|n| (u64::MAX - n, true))),
        },
        is_disregarded: true,
    };
    ContentReport {
        content,
        crashes: (0..16).map(crash).collect(),
    }
}

#[test]
fn reports_are_split_into_messages_without_loss() {
    let reports: Vec<ContentReport> = (0..9).map(|n| largest_report(&n.to_string())).collect();
    let messages = split_into_messages(reports.clone());
    assert_eq!(messages.len(), 5);
    assert_eq!(messages.concat(), reports);
    assert!(split_into_messages(Vec::new()).is_empty());
}
