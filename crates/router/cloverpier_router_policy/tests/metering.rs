//! Usage windows: what is counted, decided, written down and repeated.

use cloverpier_core::AccountName;
use cloverpier_router_policy::singleton::fleet_clock::FleetClock;
use cloverpier_router_policy::singleton::metering::{
    Counter, HolderUsage, MAX_COUNTS, OwnUsage, ReportedWindow, UsageBook, UsageJournal,
    WindowBounds, WindowCounts, in_pieces,
};
use std::time::{Duration, Instant};

/// Windows of 5 s, reported within 10 s: decided 4 s after their end.
const BOUNDS: WindowBounds = WindowBounds {
    length: Duration::from_secs(5),
    late_after: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 5_000;
/// Some window, and a moment in it.
const WINDOW: u64 = 1_000;
const DURING: u64 = WINDOW * WINDOW_MS + 2_000;
/// When it is decided.
const DECIDED: u64 = (WINDOW + 1) * WINDOW_MS + 4_000;

fn router(number: u16) -> Counter {
    Counter {
        router: ([10, 0, 0, 1], number).into(),
        incarnation: 1,
    }
}

fn counted(count: u32) -> Vec<ReportedWindow> {
    vec![(WINDOW, vec![(AccountName::new("lab"), count)])]
}

fn lab(counts: &WindowCounts) -> u32 {
    counts.get(&AccountName::new("lab")).copied().unwrap_or(0)
}

fn holder(journal: Option<&UsageJournal>, era: u64, now: u64) -> HolderUsage {
    HolderUsage::take_over(BOUNDS, journal, era, DURING, now)
}

#[test]
fn a_window_is_decided_once_and_reported_only_when_it_is_written_down() {
    let mut book = UsageBook::default();
    book.on_report(router(1), 0, counted(3));
    book.on_report(router(2), 0, counted(4));
    let mut usage = holder(None, 0, DURING);
    assert!(!usage.decide(&book, DECIDED - 1));
    assert!(usage.decide(&book, DECIDED));
    assert!(usage.to_report().is_empty(), "it is not written down");
    let journal = usage.journal(&book, DECIDED);
    usage.on_recorded(&journal);
    // What arrives after the decision changes nothing.
    book.on_report(router(1), 0, counted(9));
    assert!(!usage.decide(&book, DECIDED + 1));
    let due = usage.to_report();
    assert_eq!(due.len(), 1);
    assert_eq!((due[0].0, lab(&due[0].1)), (WINDOW, 7));
    usage.on_reported(WINDOW);
    assert!(usage.to_report().is_empty());
}

#[test]
fn the_next_holder_repeats_what_was_decided_as_it_was() {
    let mut book = UsageBook::default();
    book.on_report(router(1), 0, counted(3));
    let mut first = holder(None, 0, DURING);
    first.decide(&book, DECIDED);
    let journal = first.journal(&book, DECIDED);
    // The second one has heard more, and of other routers.
    book.on_report(router(2), 0, counted(4));
    let mut second = holder(Some(&journal), 0, DECIDED + 100);
    second.decide(&book, DECIDED + 100);
    let due = second.to_report();
    assert_eq!((due[0].0, lab(&due[0].1)), (WINDOW, 3));
}

#[test]
fn reports_that_overtake_each_other_and_repeats_count_once() {
    let mut book = UsageBook::default();
    for count in [2, 5, 3, 5] {
        book.on_report(router(1), 0, counted(count));
    }
    let mut usage = holder(None, 0, DURING);
    usage.decide(&book, DECIDED);
    let journal = usage.journal(&book, DECIDED);
    assert_eq!(lab(&journal.decided[&WINDOW]), 5);
}

#[test]
fn counts_of_routers_that_died_outlast_the_holder() {
    // A router counted 10 and died; another one counted 4 by then, and 6 later.
    let mut book = UsageBook::default();
    book.on_report(router(1), 0, counted(10));
    book.on_report(router(2), 0, counted(4));
    let first = holder(None, 0, DURING);
    let journal = first.journal(&book, DURING);
    assert_eq!(lab(&journal.open[&WINDOW]), 14);
    // The next holder hears of the living one, and of one that started after that.
    let mut book = UsageBook::default();
    book.on_report(router(2), 0, counted(6));
    book.on_report(router(3), DURING + 500, counted(2));
    let mut second = holder(Some(&journal), 0, DECIDED);
    second.decide(&book, DECIDED);
    let decided = second.journal(&book, DECIDED).decided;
    assert_eq!(lab(&decided[&WINDOW]), 16);
}

#[test]
fn after_a_store_that_came_back_older_no_window_is_decided_twice() {
    let mut book = UsageBook::default();
    book.on_report(router(1), 0, counted(3));
    let mut first = holder(None, 0, DURING);
    let copy = first.journal(&book, DURING);
    // Decided, written, reported; then the store comes back as it was before.
    first.decide(&book, DECIDED);
    book.on_report(router(2), 0, counted(4));
    let mut second = holder(Some(&copy), 1, DECIDED + 1_000);
    second.decide(&book, DECIDED + 1_000);
    let journal = second.journal(&book, DECIDED + 1_000);
    assert!(!journal.decided.contains_key(&WINDOW), "{journal:?}");
    assert_eq!(second.undecided(), WINDOW + 1);
}

#[test]
fn every_window_is_decided_also_without_requests() {
    let book = UsageBook::default();
    let mut usage = holder(None, 0, DURING);
    usage.decide(&book, DECIDED + 3 * WINDOW_MS);
    let journal = usage.journal(&book, DECIDED);
    let windows: Vec<u64> = journal.decided.keys().copied().collect();
    assert_eq!(windows, [WINDOW, WINDOW + 1, WINDOW + 2, WINDOW + 3]);
}

#[test]
fn an_outage_of_hours_leaves_a_bounded_journal() {
    let book = UsageBook::default();
    let mut usage = holder(None, 0, DURING);
    usage.decide(&book, DECIDED + 10_000 * WINDOW_MS);
    let journal = usage.journal(&book, DECIDED);
    assert_eq!(journal.decided.len(), 64);
    assert!(!usage.decide(&book, DECIDED + 10_000 * WINDOW_MS));
}

#[test]
fn a_report_is_cut_into_pieces_that_hold_everything_once() {
    let mut own = OwnUsage::default();
    for n in 0..250 {
        let account = AccountName::new(format!("account-{n}"));
        own.on_begun(&account, WINDOW + n % 3);
        own.on_begun(&account, WINDOW + n % 3);
    }
    let pieces = in_pieces(own.windows());
    let entries = |piece: &Vec<ReportedWindow>| piece.iter().map(|(_, c)| c.len()).sum::<usize>();
    assert!(pieces.iter().all(|piece| entries(piece) <= MAX_COUNTS));
    assert_eq!(pieces.iter().map(entries).sum::<usize>(), 250);
    let mut book = UsageBook::default();
    for piece in pieces {
        book.on_report(router(1), 0, piece);
    }
    let journal = holder(None, 0, DURING).journal(&book, DURING);
    let all = journal.open.values().flat_map(|counts| counts.values());
    assert_eq!(all.sum::<u32>(), 500);
    assert!(own.take_updates() && !own.take_updates());
    own.forget_before(WINDOW + 3);
    assert!(own.windows().is_empty());
    // Clocks and loads are reported without counts, too.
    assert_eq!(in_pieces(own.windows()).len(), 1);
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
    // Old readings count no more, and the time goes on without any.
    clock.take_median(later);
    assert_eq!(clock.ms_at(later), true_ms + 60_000);
    // A moment before the start of this clock has a time, too.
    assert_eq!(clock.ms_at(now - Duration::from_secs(1)), true_ms - 1_000);
    clock.adopt(true_ms + 59_000, later);
    assert_eq!(clock.ms_at(later), true_ms + 59_000);
}
