//! What peers are told of requests that end upstreams, and who is told again.

use cloverpier_core::DataCentre;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::crash_reports::{in_messages, is_told};
use cloverpier_router_policy::dissemination::{
    REPEAT_WINDOW, is_within_repeat_window, may_have_missed_facts, sends_missed_facts,
};
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// An end in a data centre of six upstreams of 24, of which so many ended beside it.
fn around(ended: u64) -> Surroundings {
    Surroundings {
        in_service: 23,
        in_data_centre: 5,
        ended: EndedBeside::of((0..ended).map(|upstream| (upstream, true))),
    }
}

#[test]
fn an_end_that_a_dying_data_centre_explains_is_told_to_nobody_unless_it_is_the_contents_second() {
    let told: Vec<bool> = (0..=5).map(|ended| is_told(&around(ended), 1)).collect();
    assert_eq!(told, [true, true, true, false, false, false]);
    assert!(is_told(&around(5), 2));
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
fn a_peer_that_is_new_was_silent_or_started_anew_is_told_what_it_may_have_missed() {
    let timeout = Duration::from_millis(1_100);
    let now = Instant::now();
    let former = entry(9, now);
    let soon = now + Duration::from_millis(400);
    let missed = |entry: &PeerEntry| may_have_missed_facts(Some(&former), entry, timeout);
    assert!(!missed(&entry(9, soon)));
    assert!(!missed(&entry(10, soon)));
    assert!(missed(&entry(0, soon)));
    assert!(missed(&entry(9, now + timeout * 2)));
    assert!(may_have_missed_facts(None, &entry(9, now), timeout));
}

#[test]
fn a_peer_that_starts_anew_before_its_former_run_said_a_version_is_told_what_it_may_have_missed() {
    let now = Instant::now();
    let (former, anew) = (entry(0, now), entry(0, now + Duration::from_millis(313)));
    let timeout = Duration::from_millis(1_100);
    assert!(may_have_missed_facts(Some(&former), &anew, timeout));
}

#[test]
fn of_many_peers_a_few_tell_and_of_few_all_do() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tellers = |peers: usize| {
        (0..peers)
            .filter(|_| sends_missed_facts(peers, &mut rng))
            .count()
    };
    assert_eq!(tellers(7), 7);
    let told_by: Vec<usize> = (0..50).map(|_| tellers(295)).collect();
    assert!(
        told_by.iter().all(|count| (4..=32).contains(count)),
        "{told_by:?}"
    );
}

#[test]
fn news_are_told_again_for_a_while_only() {
    let now = Instant::now();
    assert!(!is_within_repeat_window(None, now));
    assert!(is_within_repeat_window(Some(now), now + REPEAT_WINDOW / 2));
    assert!(!is_within_repeat_window(Some(now), now + REPEAT_WINDOW));
}

/// The content of a request, and as many ends as are kept of one.
fn largest_report(name: &str) -> ContentReport {
    let content = ContentKey::of(&Content {
        account: "lab",
        host: "api.example",
        method: "POST",
        target: name,
        body: b"",
    });
    let crash = |upstream: u64| ReportedCrash {
        end: UpstreamEnd {
            upstream: u64::MAX - upstream,
            start: 1_790_000_000_000,
        },
        age_ms: u32::MAX,
        ran_ms: u32::MAX,
        surroundings: Surroundings {
            in_service: u32::MAX,
            in_data_centre: u32::MAX,
            ended: EndedBeside::of((0..12).map(|n| (u64::MAX - n, true))),
        },
        excused: true,
    };
    ContentReport {
        content,
        crashes: (0..16).map(crash).collect(),
    }
}

#[test]
fn reports_are_cut_into_messages_of_a_few_ends_and_none_is_lost() {
    let reports: Vec<ContentReport> = (0..9).map(|n| largest_report(&n.to_string())).collect();
    let messages = in_messages(reports.clone());
    assert_eq!(messages.len(), 5);
    assert_eq!(messages.concat(), reports);
    assert!(in_messages(Vec::new()).is_empty());
}
