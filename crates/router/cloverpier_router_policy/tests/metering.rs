//! Usage windows: counting, deciding, recording and repeating the counts; and the fleet's clock.

use cloverpier_core::AccountName;
use cloverpier_router_policy::singleton::fleet_clock::FleetClock;
use cloverpier_router_policy::singleton::metering::{
    FleetUsage, HolderUsage, MAX_COUNTS_PER_REPORT, OwnUsage, ReportedWindow, UsageJournal,
    UsageReporter, WindowBounds, WindowCounts, split_into_reports,
};
use std::time::{Duration, Instant};

/// Windows of 5 s with a report deadline of 10 s, which are decided 4 s after their end.
const BOUNDS: WindowBounds = WindowBounds {
    length: Duration::from_secs(5),
    report_deadline: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 5_000;
/// The window of these tests, and a moment inside it in milliseconds since 1970.
const WINDOW: u64 = 1_000;
const DURING: u64 = WINDOW * WINDOW_MS + 2_000;
/// The moment at which the window is decided.
const DECIDED: u64 = (WINDOW + 1) * WINDOW_MS + 4_000;

fn router(number: u16) -> UsageReporter {
    UsageReporter {
        router: ([10, 0, 0, 1], number).into(),
        incarnation: 1,
    }
}

fn report_with(count: u32) -> Vec<ReportedWindow> {
    vec![(WINDOW, vec![(AccountName::new("lab"), count)])]
}

fn lab_count(counts: &WindowCounts) -> u32 {
    counts.get(&AccountName::new("lab")).copied().unwrap_or(0)
}

fn holder_usage(journal: Option<&UsageJournal>, era: u64, now: u64) -> HolderUsage {
    HolderUsage::take_over(BOUNDS, journal, era, DURING, now)
}

#[test]
fn a_window_is_decided_once_and_reported_only_after_the_record_holds_it() {
    let mut fleet_usage = FleetUsage::default();
    fleet_usage.on_report(router(1), 0, report_with(3));
    fleet_usage.on_report(router(2), 0, report_with(4));
    let mut usage = holder_usage(None, 0, DURING);
    assert!(!usage.decide(&fleet_usage, DECIDED - 1));
    assert!(usage.decide(&fleet_usage, DECIDED));
    assert!(
        usage.to_report().is_empty(),
        "the record does not hold the window yet"
    );
    let journal = usage.journal(&fleet_usage, DECIDED);
    usage.on_recorded(&journal);
    // Counts that arrive after the decision have no effect.
    fleet_usage.on_report(router(1), 0, report_with(9));
    assert!(!usage.decide(&fleet_usage, DECIDED + 1));
    let due = usage.to_report();
    assert_eq!(due.len(), 1);
    assert_eq!((due[0].0, lab_count(&due[0].1)), (WINDOW, 7));
    usage.on_reported(WINDOW);
    assert!(usage.to_report().is_empty());
}

#[test]
fn the_next_holder_repeats_decided_counts_unchanged() {
    let mut fleet_usage = FleetUsage::default();
    fleet_usage.on_report(router(1), 0, report_with(3));
    let mut first = holder_usage(None, 0, DURING);
    first.decide(&fleet_usage, DECIDED);
    let journal = first.journal(&fleet_usage, DECIDED);
    // The second holder has later counts, also of another router.
    fleet_usage.on_report(router(2), 0, report_with(4));
    let mut second = holder_usage(Some(&journal), 0, DECIDED + 100);
    second.decide(&fleet_usage, DECIDED + 100);
    let due = second.to_report();
    assert_eq!((due[0].0, lab_count(&due[0].1)), (WINDOW, 3));
}

#[test]
fn reordered_and_repeated_reports_count_once() {
    let mut fleet_usage = FleetUsage::default();
    for count in [2, 5, 3, 5] {
        fleet_usage.on_report(router(1), 0, report_with(count));
    }
    let mut usage = holder_usage(None, 0, DURING);
    usage.decide(&fleet_usage, DECIDED);
    let journal = usage.journal(&fleet_usage, DECIDED);
    assert_eq!(lab_count(&journal.decided[&WINDOW]), 5);
}

#[test]
fn counts_of_crashed_routers_outlast_the_holder() {
    // Router 1 counts 10 and crashes. Router 2 counts 4 by then, and 6 later.
    let mut fleet_usage = FleetUsage::default();
    fleet_usage.on_report(router(1), 0, report_with(10));
    fleet_usage.on_report(router(2), 0, report_with(4));
    let first = holder_usage(None, 0, DURING);
    let journal = first.journal(&fleet_usage, DURING);
    assert_eq!(lab_count(&journal.open[&WINDOW]), 14);
    // The next holder has reports of router 2, and of router 3, which started after the record's write.
    let mut fleet_usage = FleetUsage::default();
    fleet_usage.on_report(router(2), 0, report_with(6));
    fleet_usage.on_report(router(3), DURING + 500, report_with(2));
    let mut second = holder_usage(Some(&journal), 0, DECIDED);
    second.decide(&fleet_usage, DECIDED);
    let decided = second.journal(&fleet_usage, DECIDED).decided;
    assert_eq!(lab_count(&decided[&WINDOW]), 16);
}

#[test]
fn no_window_is_decided_twice_after_a_restore_of_the_store() {
    let mut fleet_usage = FleetUsage::default();
    fleet_usage.on_report(router(1), 0, report_with(3));
    let mut first = holder_usage(None, 0, DURING);
    let copy = first.journal(&fleet_usage, DURING);
    // The window is decided; then the store is restored from a copy older than the decision.
    first.decide(&fleet_usage, DECIDED);
    fleet_usage.on_report(router(2), 0, report_with(4));
    let mut second = holder_usage(Some(&copy), 1, DECIDED + 1_000);
    second.decide(&fleet_usage, DECIDED + 1_000);
    let journal = second.journal(&fleet_usage, DECIDED + 1_000);
    assert!(!journal.decided.contains_key(&WINDOW), "{journal:?}");
    assert_eq!(second.undecided(), WINDOW + 1);
}

#[test]
fn windows_without_requests_are_decided_too() {
    let fleet_usage = FleetUsage::default();
    let mut usage = holder_usage(None, 0, DURING);
    usage.decide(&fleet_usage, DECIDED + 3 * WINDOW_MS);
    let journal = usage.journal(&fleet_usage, DECIDED);
    let windows: Vec<u64> = journal.decided.keys().copied().collect();
    assert_eq!(windows, [WINDOW, WINDOW + 1, WINDOW + 2, WINDOW + 3]);
}

#[test]
fn a_long_outage_leaves_a_bounded_journal() {
    let fleet_usage = FleetUsage::default();
    let mut usage = holder_usage(None, 0, DURING);
    usage.decide(&fleet_usage, DECIDED + 10_000 * WINDOW_MS);
    let journal = usage.journal(&fleet_usage, DECIDED);
    assert_eq!(journal.decided.len(), 64);
    assert!(!usage.decide(&fleet_usage, DECIDED + 10_000 * WINDOW_MS));
}

#[test]
fn counts_are_split_into_reports_that_hold_each_count_once() {
    let mut own = OwnUsage::default();
    for n in 0..250 {
        let account = AccountName::new(format!("account-{n}"));
        own.on_request_started(&account, WINDOW + n % 3);
        own.on_request_started(&account, WINDOW + n % 3);
    }
    let reports = split_into_reports(own.windows());
    let entries = |report: &Vec<ReportedWindow>| report.iter().map(|(_, c)| c.len()).sum::<usize>();
    assert!(
        reports
            .iter()
            .all(|report| entries(report) <= MAX_COUNTS_PER_REPORT)
    );
    assert_eq!(reports.iter().map(entries).sum::<usize>(), 250);
    let mut fleet_usage = FleetUsage::default();
    for report in reports {
        fleet_usage.on_report(router(1), 0, report);
    }
    let journal = holder_usage(None, 0, DURING).journal(&fleet_usage, DURING);
    let all = journal.open.values().flat_map(|counts| counts.values());
    assert_eq!(all.sum::<u32>(), 500);
    assert!(own.take_updates() && !own.take_updates());
    own.discard_before(WINDOW + 3);
    assert!(own.windows().is_empty());
    // Reports are also sent without counts, for the clocks and loads in them.
    assert_eq!(split_into_reports(own.windows()).len(), 1);
}

#[test]
fn the_time_of_day_is_the_median_of_the_routers_clocks() {
    let now = Instant::now();
    let true_ms = 1_700_000_000_000;
    // This VM's own clock is 7 s ahead.
    let mut clock = FleetClock::new(true_ms + 7_000, now);
    assert_eq!(clock.ms_at(now), true_ms + 7_000);
    let offsets: [i64; 5] = [7_000, 1, 0, -2, -4_000];
    for (n, offset) in (1u16..).zip(offsets) {
        let wall = true_ms.checked_add_signed(offset).unwrap();
        clock.on_reading(([10, 0, 0, 1], n).into(), wall, now);
    }
    clock.take_median(now);
    assert_eq!(clock.ms_at(now), true_ms);
    let later = now + Duration::from_secs(60);
    assert_eq!(clock.ms_at(later), true_ms + 60_000);
    // Old readings no longer count, and the clock continues without any.
    clock.take_median(later);
    assert_eq!(clock.ms_at(later), true_ms + 60_000);
    // Moments before the start of this clock have a time of day, too.
    assert_eq!(clock.ms_at(now - Duration::from_secs(1)), true_ms - 1_000);
    clock.adopt(true_ms + 59_000, later);
    assert_eq!(clock.ms_at(later), true_ms + 59_000);
}
