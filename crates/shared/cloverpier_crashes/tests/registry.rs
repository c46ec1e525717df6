//! Recorded crashes: merging of observations, evidence, and the contents that are blocked.

use cloverpier_crashes::prelude::*;
use cloverpier_crashes::registry::{
    CRASH_TTL, MAX_CONTENTS, MAX_CRASHES_PER_CONTENT, UNKNOWN_START_TIME,
};
use quickcheck::{QuickCheck, TestResult};
use std::collections::HashSet;
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

fn crash_id(upstream: u64, time_ms: u64) -> CrashId {
    CrashId { upstream, time_ms }
}

/// A crash without concurrent failures.
fn crash(id: CrashId, at: Instant) -> Crash {
    Crash {
        id,
        at,
        ran_for: Duration::from_secs(2),
        context: CrashContext::default(),
        is_disregarded: false,
    }
}

/// The context of a crash in a data centre that has 6 of the service's 24 upstreams, where the upstreams `failed` of
/// this data centre failed at the same time.
fn context_with(failed: &[u64]) -> CrashContext {
    CrashContext {
        others_in_service: 23,
        others_in_data_centre: 5,
        concurrent_failures: ConcurrentFailures::of(
            failed.iter().map(|upstream| (*upstream, true)),
        ),
    }
}

fn registry() -> CrashRegistry {
    CrashRegistry::new(CrashLimit(3), CrashTimestamp::ProcessStart)
}

/// A registry with crashes under one content: one crash each of the upstreams from 1 to `crashes`.
fn registry_with(name: &str, crashes: u64, now: Instant) -> CrashRegistry {
    let mut registry = registry();
    for upstream in 1..=crashes {
        registry.record(content(name), crash(crash_id(upstream, 5_000), now), now);
    }
    registry
}

#[test]
fn third_crash_blocks_a_content_and_no_other() {
    let now = Instant::now();
    let statuses: Vec<ContentStatus> = (0..5)
        .map(|crashes| registry_with("a", crashes, now).status(content("a"), now))
        .collect();
    let [normal, suspect, blocked] = [
        ContentStatus::Normal,
        ContentStatus::Suspect,
        ContentStatus::Blocked,
    ];
    assert_eq!(statuses, [normal, normal, suspect, blocked, blocked]);
    assert_eq!(registry_with("a", 3, now).status(content("b"), now), normal);
}

/// A crash in a service with three upstreams.
fn crash_of_three(upstream: u64, time_ms: u64, at: Instant) -> Crash {
    let context = CrashContext {
        others_in_service: 2,
        ..CrashContext::default()
    };
    Crash {
        context,
        ..crash(crash_id(upstream, time_ms), at)
    }
}

/// Guards against a request that is blocked for good though it crashes nothing: the three engines of a service crash
/// one after the other for other reasons, and what they were executing goes on at the engines that are left.
#[test]
fn content_that_few_crowded_engines_executed_as_they_crashed_one_by_one_is_not_blocked() {
    let now = Instant::now();
    let mut registry = registry();
    let crashes = [
        (1, 5_000, ["a", "b", "c", "d"]),
        (1, 5_003, ["a", "b", "e", "f"]),
        (2, 5_000, ["a", "c", "e", "g"]),
    ];
    for (upstream, time_ms, executed) in crashes {
        for name in executed {
            let crash = crash_of_three(upstream, time_ms, now);
            registry.record(content(name), crash, now);
        }
    }
    assert_eq!(registry.crash_count(content("a"), now), 3);
    assert_eq!(registry.status(content("a"), now), ContentStatus::Suspect);
    // By chance, less than a quarter of a content has one more crash.
    let fourth = crash_of_three(3, 5_000, now);
    registry.record(content("a"), fourth, now);
    assert_eq!(registry.status(content("a"), now), ContentStatus::Blocked);
}

#[test]
fn third_crash_blocks_a_content_of_a_small_service_with_few_requests() {
    let now = Instant::now();
    let mut registry = registry();
    for upstream in 1..=3 {
        for name in ["a", ["b", "c", "d"][upstream as usize - 1]] {
            let crash = crash_of_three(upstream, 5_000, now);
            registry.record(content(name), crash, now);
        }
    }
    assert_eq!(registry.status(content("a"), now), ContentStatus::Blocked);
}

#[test]
fn crash_limit_is_exceeded_by_two_at_most_however_crowded_the_engines_are() {
    let now = Instant::now();
    let mut registry = registry();
    for upstream in 1..=4 {
        for name in 0..100 {
            let crash = crash_of_three(upstream, 5_000, now);
            registry.record(content(&name.to_string()), crash, now);
        }
    }
    assert_eq!(registry.status(content("0"), now), ContentStatus::Suspect);
    registry.record(content("0"), crash_of_three(5, 5_000, now), now);
    assert_eq!(registry.status(content("0"), now), ContentStatus::Blocked);
}

#[test]
fn same_crash_counts_once_and_crash_of_another_process_counts_again() {
    let now = Instant::now();
    let mut registry = registry();
    let first = crash(crash_id(1, 5_000), now);
    assert!(registry.record(content("a"), first.clone(), now));
    assert!(!registry.record(content("a"), first, now));
    // The start time is unknown to the observer of this crash, so it may be the same crash.
    registry.record(
        content("a"),
        crash(crash_id(1, UNKNOWN_START_TIME), now),
        now,
    );
    assert_eq!(registry.crash_count(content("a"), now), 1);
    registry.record(content("a"), crash(crash_id(1, 6_000), now), now);
    assert_eq!(registry.crash_count(content("a"), now), 2);
}

#[test]
fn crash_with_slightly_different_observed_times_counts_once() {
    let now = Instant::now();
    let mut registry = CrashRegistry::new(CrashLimit(3), CrashTimestamp::ObservedCrash);
    for time_ms in [80_000, 80_120, 79_700, 85_000, 85_400] {
        registry.record(content("a"), crash(crash_id(1, time_ms), now), now);
    }
    assert_eq!(registry.crash_count(content("a"), now), 2);
}

/// Guards against crashes that are not counted: a content crashes the same upstream repeatedly, and the upstream
/// restarts within a second each time.
#[test]
fn each_crash_of_an_upstream_that_restarts_at_once_counts() {
    let now = Instant::now();
    let mut registry = registry();
    for start in [80_000, 80_400, 80_900] {
        registry.record(content("a"), crash(crash_id(1, start), now), now);
    }
    assert_eq!(registry.status(content("a"), now), ContentStatus::Blocked);
}

#[test]
fn crashes_in_outages_do_not_block_a_content() {
    let now = Instant::now();
    let mut registry = registry();
    for upstream in 1..=10 {
        let crash = Crash {
            context: context_with(&[101, 102, 103, 104]),
            ..crash(crash_id(upstream, 5_000), now)
        };
        registry.record(content("a"), crash, now);
    }
    assert_eq!(registry.status(content("a"), now), ContentStatus::Normal);
}

#[test]
fn sequential_crashes_of_one_content_keep_their_weight_once_reports_are_merged() {
    let now = Instant::now();
    // Each of three routers observed one crash under the content, and two concurrent failures.
    let observed = [(1, [2, 3]), (2, [1, 3]), (3, [1, 2])];
    let mut registries: Vec<CrashRegistry> = observed.iter().map(|_| registry()).collect();
    for (registry, (upstream, others)) in registries.iter_mut().zip(observed) {
        let crash = Crash {
            context: context_with(&others),
            ran_for: Duration::from_millis(15),
            ..crash(
                first_crash_of(upstream),
                now + Duration::from_millis(30 * upstream),
            )
        };
        registry.record(content("a"), crash, now);
        assert!(registry.evidence_thousandths(content("a"), now) < Weight::FULL.thousandths() / 2);
    }
    let reports: Vec<_> = registries
        .iter()
        .map(|registry| registry.reports(&[content("a")], now + Duration::from_millis(100)))
        .collect();
    for reports in &reports {
        registries[0].merge(reports, now + Duration::from_millis(100));
    }
    assert_eq!(
        registries[0].status(content("a"), now),
        ContentStatus::Blocked
    );
}

/// Guards against a content that is blocked at the router that observed its crashes but not at a peer: one of the
/// reports took longer than the others, so that sequential executions appeared to overlap.
#[test]
fn sequential_executions_stay_sequential_at_a_peer_whatever_the_transit_time() {
    let first_crash_at = Instant::now();
    let ms = Duration::from_millis;
    // Upstream, time of the crash, length of the execution. Each execution starts two milliseconds after the crash
    // before.
    let crashes = [
        (1, ms(0), ms(1_150)),
        (2, ms(60), ms(58)),
        (3, ms(118), ms(56)),
    ];
    for delay in [0, 3, 30, 700] {
        let (mut own, mut peer) = (registry(), registry());
        let mut now = first_crash_at;
        for (turn, (upstream, at, ran_for)) in
            [crashes[1], crashes[2], crashes[0]].into_iter().enumerate()
        {
            let others: Vec<u64> = (1..=3).filter(|other| *other != upstream).collect();
            let crash = Crash {
                context: context_with(&others),
                ran_for,
                ..crash(first_crash_of(upstream), first_crash_at + at)
            };
            now = first_crash_at + ms(200) + ms(50) * turn as u32;
            own.record(content("a"), crash, now);
            // Only the last report is delayed.
            let transit_time = if turn == 2 { ms(delay) } else { ms(1) };
            peer.merge(&own.reports(&[content("a")], now), now + transit_time);
        }
        let later = now + ms(1_000);
        assert_eq!(own.status(content("a"), later), ContentStatus::Blocked);
        assert_eq!(
            peer.status(content("a"), later),
            ContentStatus::Blocked,
            "{delay} ms"
        );
    }
}

#[test]
fn copies_of_a_request_in_a_data_centre_outage_are_not_blocked() {
    let now = Instant::now();
    let outage = |others: &[u64]| CrashContext {
        others_in_service: 11,
        others_in_data_centre: 3,
        concurrent_failures: ConcurrentFailures::of(
            others.iter().map(|upstream| (*upstream, true)),
        ),
    };
    let mut registry = registry();
    for upstream in 1..=4 {
        let others: Vec<u64> = (1..=4).filter(|other| *other != upstream).collect();
        let crash = Crash {
            context: outage(&others),
            ..crash(crash_id(upstream, 5_000), now)
        };
        registry.record(content("a"), crash, now);
    }
    assert_eq!(registry.evidence_thousandths(content("a"), now), 0);
    // A content that is executed at one engine after the other within a similarly short time is blocked.
    for upstream in 1..=4 {
        let others: Vec<u64> = (1..=4).filter(|other| *other != upstream).collect();
        let at = now + Duration::from_millis(20 * upstream);
        let crash = Crash {
            context: outage(&others),
            ran_for: Duration::from_millis(15),
            ..crash(crash_id(upstream, 5_000), at)
        };
        registry.record(content("b"), crash, at);
    }
    assert_eq!(registry.status(content("b"), now), ContentStatus::Blocked);
}

#[test]
fn completion_disregards_earlier_crashes_but_no_later_ones() {
    let now = Instant::now();
    let mut registry = registry_with("a", 3, now);
    assert!(registry.on_completed(content("a")));
    assert!(!registry.on_completed(content("a")));
    assert_eq!(registry.status(content("a"), now), ContentStatus::Normal);
    // A late report on the same crashes, from a peer without the completion.
    let reports = registry_with("a", 3, now).reports(&[content("a")], now);
    assert!(registry.merge(&reports, now).is_empty());
    assert_eq!(registry.status(content("a"), now), ContentStatus::Normal);
    for upstream in 11..=13 {
        registry.record(content("a"), crash(crash_id(upstream, 5_000), now), now);
    }
    assert_eq!(registry.status(content("a"), now), ContentStatus::Blocked);
}

/// Guards against contents that hide behind each other. If a crash counts only against the content with the most
/// crashes there, six contents that crash 24 engines crash 4.4 of them each before they are blocked; if a crash counts
/// against each content, 2.9, and no more other contents are blocked.
#[test]
fn crash_counts_against_each_content_that_the_upstream_executed() {
    let now = Instant::now();
    let mut registry = registry_with("crashing", 4, now);
    for upstream in 1..=2 {
        registry.record(content("beside"), crash(first_crash_of(upstream), now), now);
    }
    assert_eq!(
        registry.status(content("beside"), now),
        ContentStatus::Suspect
    );
    registry.record(content("beside"), crash(first_crash_of(9), now), now);
    assert_eq!(
        registry.status(content("beside"), now),
        ContentStatus::Blocked
    );
    assert_eq!(
        registry.status(content("crashing"), now),
        ContentStatus::Blocked
    );
}

/// Guards against one more crash before a content is blocked, because an unrelated engine failed at the same time as
/// one of its crashes.
#[test]
fn evidence_slightly_below_a_threshold_reaches_it() {
    let now = Instant::now();
    let mut registry = registry_with("a", 2, now);
    let with_other_failure = Crash {
        context: context_with(&[101]),
        ..crash(first_crash_of(3), now)
    };
    registry.record(content("a"), with_other_failure, now);
    let evidence = registry.evidence_thousandths(content("a"), now);
    assert!((2_500..3_000).contains(&evidence), "{evidence}");
    assert_eq!(registry.status(content("a"), now), ContentStatus::Blocked);
}

#[test]
fn crashes_expire_and_one_more_crash_blocks_the_content_again() {
    let now = Instant::now();
    let mut registry = registry_with("a", 2, now);
    let half = now + CRASH_TTL / 2;
    registry.record(content("a"), crash(crash_id(9, 5_000), half), half);
    assert_eq!(registry.status(content("a"), half), ContentStatus::Blocked);
    let later = now + CRASH_TTL;
    assert_eq!(registry.status(content("a"), later), ContentStatus::Normal);
    for upstream in 11..=12 {
        registry.record(content("a"), crash(crash_id(upstream, 5_000), later), later);
    }
    assert_eq!(registry.status(content("a"), later), ContentStatus::Blocked);
    let much_later = later + CRASH_TTL * 2;
    assert!(registry.record(
        content("b"),
        crash(first_crash_of(1), much_later),
        much_later
    ));
    assert!(!registry.contains(content("a")));
}

/// The crash of the first process of an upstream.
fn first_crash_of(upstream: u64) -> CrashId {
    crash_id(upstream, 5_000)
}

#[test]
fn crash_shortly_after_a_completion_of_the_content_does_not_count() {
    let now = Instant::now();
    let mut registry = registry();
    for upstream in 1..=4 {
        let disregarded = Crash {
            is_disregarded: true,
            ..crash(crash_id(upstream, 5_000), now)
        };
        registry.record(content("a"), disregarded, now);
    }
    assert_eq!(registry.status(content("a"), now), ContentStatus::Normal);
    // A router that has not observed the completion receives the mark in a report.
    let mut other = registry_with("a", 4, now);
    other.merge(&registry.reports(&[content("a")], now), now);
    assert_eq!(other.status(content("a"), now), ContentStatus::Normal);
}

#[test]
fn operator_clears_one_content_or_disables_blocking() {
    let now = Instant::now();
    let mut registry = registry_with("a", 4, now);
    assert_eq!(registry.take_block_changes(now).blocked, [content("a")]);
    registry.configure(CrashLimit(3), HashSet::from([content("a")]));
    assert_eq!(registry.status(content("a"), now), ContentStatus::Suspect);
    assert_eq!(registry.take_block_changes(now).unblocked, [content("a")]);
    registry.configure(CrashLimit(5), HashSet::new());
    assert_eq!(registry.status(content("a"), now), ContentStatus::Suspect);
    registry.configure(CrashLimit(0), HashSet::new());
    assert_eq!(registry.status(content("a"), now), ContentStatus::Suspect);
}

#[test]
fn blocked_content_is_returned_as_a_change_once() {
    let now = Instant::now();
    let mut registry = registry_with("a", 2, now);
    assert_eq!(registry.take_block_changes(now), Default::default());
    registry.record(content("a"), crash(crash_id(3, 5_000), now), now);
    assert_eq!(registry.take_block_changes(now).blocked, [content("a")]);
    assert_eq!(registry.take_block_changes(now), Default::default());
}

#[test]
fn registry_is_bounded_and_contents_with_the_most_crashes_stay() {
    let now = Instant::now();
    let mut registry = registry_with("a", 3, now);
    for n in 0..MAX_CONTENTS + 50 {
        let at = now + Duration::from_millis(n as u64);
        registry.record(
            content(&format!("new-{n}")),
            crash(crash_id(100 + n as u64, 5_000), at),
            at,
        );
    }
    let newest = content(&format!("new-{}", MAX_CONTENTS + 49));
    assert!(registry.contains(content("a")) && registry.contains(newest));
    assert!(!registry.contains(content("new-0")));
    let mut registry = self::registry();
    for upstream in 0..MAX_CRASHES_PER_CONTENT as u64 * 2 {
        registry.record(content("a"), crash(crash_id(upstream, 5_000), now), now);
    }
    assert_eq!(
        registry.crash_count(content("a"), now),
        MAX_CRASHES_PER_CONTENT
    );
}

#[test]
fn disregarded_crashes_are_evicted_before_counted_ones() {
    let now = Instant::now();
    let mut registry = registry_with("a", MAX_CRASHES_PER_CONTENT as u64, now);
    registry.on_completed(content("a"));
    for upstream in 101..=103 {
        registry.record(content("a"), crash(crash_id(upstream, 5_000), now), now);
    }
    assert_eq!(registry.status(content("a"), now), ContentStatus::Blocked);
}

/// A random crash of a content, and whether the content then completes. The contents and crashes are few, so that
/// several routers observe the same ones.
fn draw_event(rng: &mut fastrand::Rng, now: Instant) -> (ContentKey, Crash, bool) {
    let crash = Crash {
        context: context_with([&[][..], &[1, 9], &[8]][rng.usize(..3)]),
        ..crash(crash_id(rng.u64(1..6), rng.u64(0..3) * 5_000), now)
    };
    (
        content(["a", "b", "c"][rng.usize(..3)]),
        crash,
        rng.u8(..8) == 0,
    )
}

fn statuses(registry: &CrashRegistry, now: Instant) -> Vec<(ContentStatus, usize)> {
    let of = |name| {
        (
            registry.status(content(name), now),
            registry.crash_count(content(name), now),
        )
    };
    ["a", "b", "c"].map(of).to_vec()
}

/// Each router observes some of the events and receives all reports in random order, some of them twice.
#[test]
fn routers_with_the_same_crashes_derive_the_same_status_in_any_order() {
    fn check(seed: u64) -> TestResult {
        let now = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut registries = vec![registry(), registry(), registry()];
        for _ in 0..rng.usize(1..30) {
            let (content, crash, completes) = draw_event(&mut rng, now);
            let observer = rng.usize(..registries.len());
            registries[observer].record(content, crash, now);
            if completes {
                registries[observer].on_completed(content);
            }
        }
        let all = ["a", "b", "c"].map(content);
        let reports: Vec<_> = registries
            .iter()
            .map(|registry| registry.reports(&all, now))
            .collect();
        for registry in &mut registries {
            let mut order: Vec<usize> = (0..reports.len()).chain(0..2).collect();
            rng.shuffle(&mut order);
            for index in order {
                registry.merge(&reports[index], now);
            }
        }
        let first = statuses(&registries[0], now);
        TestResult::from_bool(
            registries
                .iter()
                .all(|registry| statuses(registry, now) == first),
        )
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(check as fn(u64) -> TestResult);
}
