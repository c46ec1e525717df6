//! What the ends of upstreams mean for the contents that ran there.

use cloverpier_crashes::prelude::*;
use cloverpier_crashes::registry::{CRASH_TTL, MAX_CONTENTS, MAX_CRASHES, UNKNOWN_START};
use quickcheck::{QuickCheck, TestResult};
use std::collections::HashSet;
use std::time::{Duration, Instant};

fn content(name: &str) -> ContentKey {
    ContentKey::of(&Content {
        account: "lab",
        host: "api.example",
        method: "POST",
        target: name,
        body: b"",
    })
}

fn end(upstream: u64, start: u64) -> UpstreamEnd {
    UpstreamEnd { upstream, start }
}

fn crash(end: UpstreamEnd, at: Instant) -> Crash {
    Crash {
        end,
        at,
        ran_for: Duration::from_secs(2),
        surroundings: Surroundings::default(),
        excused: false,
    }
}

/// An end in a data centre of six upstreams of 24, with these that ended beside it there.
fn beside(ended: &[u64]) -> Surroundings {
    Surroundings {
        in_service: 23,
        in_data_centre: 5,
        ended: EndedBeside::of(ended.iter().map(|upstream| (*upstream, true))),
    }
}

fn book() -> CrashBook {
    CrashBook::new(CrashLimit(3), EndsBy::Start)
}

/// A book that knows ends of a content, one each of upstreams 1, 2 and so on.
fn book_with(name: &str, ends: u64, now: Instant) -> CrashBook {
    let mut book = book();
    for upstream in 1..=ends {
        book.record(content(name), crash(end(upstream, 5_000), now), now);
    }
    book
}

#[test]
fn the_third_end_stops_a_content_and_no_other() {
    let now = Instant::now();
    let verdicts: Vec<Verdict> = (0..5)
        .map(|ends| book_with("a", ends, now).verdict(content("a"), now))
        .collect();
    let [harmless, suspect, stopped] = [Verdict::Harmless, Verdict::Suspect, Verdict::Stopped];
    assert_eq!(verdicts, [harmless, harmless, suspect, stopped, stopped]);
    assert_eq!(book_with("a", 3, now).verdict(content("b"), now), harmless);
}

#[test]
fn the_same_end_counts_once_and_another_start_of_the_same_upstream_again() {
    let now = Instant::now();
    let mut book = book();
    let first = crash(end(1, 5_000), now);
    assert!(book.record(content("a"), first.clone(), now));
    assert!(!book.record(content("a"), first, now));
    // Its observer did not know when that upstream had started.
    book.record(content("a"), crash(end(1, UNKNOWN_START), now), now);
    assert_eq!(book.crashes(content("a"), now), 1);
    book.record(content("a"), crash(end(1, 6_000), now), now);
    assert_eq!(book.crashes(content("a"), now), 2);
}

#[test]
fn an_end_to_which_its_observers_gave_slightly_different_times_counts_once() {
    let now = Instant::now();
    let mut book = CrashBook::new(CrashLimit(3), EndsBy::TimeOfDay);
    for time in [80_000, 80_120, 79_700, 85_000, 85_400] {
        book.record(content("a"), crash(end(1, time), now), now);
    }
    assert_eq!(book.crashes(content("a"), now), 2);
}

/// Guards against a content that ends an upstream again and again which is back within a second.
#[test]
fn each_end_of_an_upstream_that_starts_again_at_once_counts() {
    let now = Instant::now();
    let mut book = book();
    for start in [80_000, 80_400, 80_900] {
        book.record(content("a"), crash(end(1, start), now), now);
    }
    assert_eq!(book.verdict(content("a"), now), Verdict::Stopped);
}

#[test]
fn ends_that_neighbours_explain_do_not_stop_a_content() {
    let now = Instant::now();
    let mut book = book();
    for upstream in 1..=10 {
        let explained = Crash {
            surroundings: beside(&[101, 102, 103, 104]),
            ..crash(end(upstream, 5_000), now)
        };
        book.record(content("a"), explained, now);
    }
    assert_eq!(book.verdict(content("a"), now), Verdict::Harmless);
}

#[test]
fn ends_of_one_content_one_after_the_other_do_not_explain_each_other() {
    let now = Instant::now();
    // Each of three routers saw one end, and that two more upstreams ended beside it.
    let seen = [(1, [2, 3]), (2, [1, 3]), (3, [1, 2])];
    let mut books: Vec<CrashBook> = seen.iter().map(|_| book()).collect();
    for (book, (upstream, others)) in books.iter_mut().zip(seen) {
        let crash = Crash {
            surroundings: beside(&others),
            ran_for: Duration::from_millis(15),
            ..crash(end_of(upstream), now + Duration::from_millis(30 * upstream))
        };
        book.record(content("a"), crash, now);
        assert!(book.evidence(content("a"), now) < Weight::FULL.thousandths() / 2);
    }
    let told: Vec<_> = books
        .iter()
        .map(|b| b.reports(&[content("a")], now + Duration::from_millis(100)))
        .collect();
    for reports in &told {
        books[0].merge(reports, now + Duration::from_millis(100));
    }
    assert_eq!(books[0].verdict(content("a"), now), Verdict::Stopped);
}

/// Guards against peers that go on sending a request which its own router has stopped, as one of the reports
/// took longer than the others.
#[test]
fn runs_in_turn_stay_so_at_a_peer_whatever_time_each_report_took() {
    let began = Instant::now();
    let ms = Duration::from_millis;
    // Each run began two milliseconds after the end of the one before.
    let lost = [
        (1, ms(0), ms(1_150)),
        (2, ms(60), ms(58)),
        (3, ms(118), ms(56)),
    ];
    for delay in [0, 3, 30, 700] {
        let (mut own, mut peer) = (book(), book());
        let mut now = began;
        for (turn, (upstream, at, ran_for)) in [lost[1], lost[2], lost[0]].into_iter().enumerate() {
            let others: Vec<u64> = (1..=3).filter(|other| *other != upstream).collect();
            let crash = Crash {
                surroundings: beside(&others),
                ran_for,
                ..crash(end_of(upstream), began + at)
            };
            now = began + ms(200) + ms(50) * turn as u32;
            own.record(content("a"), crash, now);
            // The last report is the slow one.
            let took = if turn == 2 { ms(delay) } else { ms(1) };
            peer.merge(&own.reports(&[content("a")], now), now + took);
        }
        let later = now + ms(1_000);
        assert_eq!(own.verdict(content("a"), later), Verdict::Stopped);
        assert_eq!(
            peer.verdict(content("a"), later),
            Verdict::Stopped,
            "{delay} ms"
        );
    }
}

#[test]
fn equal_requests_that_ran_in_a_data_centre_until_it_died_are_not_stopped() {
    let now = Instant::now();
    let together = |others: &[u64]| Surroundings {
        in_service: 11,
        in_data_centre: 3,
        ended: EndedBeside::of(others.iter().map(|upstream| (*upstream, true))),
    };
    let mut book = book();
    for upstream in 1..=4 {
        let others: Vec<u64> = (1..=4).filter(|other| *other != upstream).collect();
        let crash = Crash {
            surroundings: together(&others),
            ..crash(end(upstream, 5_000), now)
        };
        book.record(content("a"), crash, now);
    }
    assert_eq!(book.evidence(content("a"), now), 0);
    // A request that runs at one engine after the other within as short a time is.
    for upstream in 1..=4 {
        let others: Vec<u64> = (1..=4).filter(|other| *other != upstream).collect();
        let at = now + Duration::from_millis(20 * upstream);
        let crash = Crash {
            surroundings: together(&others),
            ran_for: Duration::from_millis(15),
            ..crash(end(upstream, 5_000), at)
        };
        book.record(content("b"), crash, at);
    }
    assert_eq!(book.verdict(content("b"), now), Verdict::Stopped);
}

#[test]
fn a_content_that_runs_to_its_end_is_acquitted_of_what_is_known_and_no_more() {
    let now = Instant::now();
    let mut book = book_with("a", 3, now);
    assert!(book.on_completed(content("a")));
    assert!(!book.on_completed(content("a")));
    assert_eq!(book.verdict(content("a"), now), Verdict::Harmless);
    // The same end, told late by a peer that does not know.
    let told = book_with("a", 3, now).reports(&[content("a")], now);
    assert!(book.merge(&told, now).is_empty());
    assert_eq!(book.verdict(content("a"), now), Verdict::Harmless);
    for upstream in 11..=13 {
        book.record(content("a"), crash(end(upstream, 5_000), now), now);
    }
    assert_eq!(book.verdict(content("a"), now), Verdict::Stopped);
}

/// Of six contents that crash 24 engines each came to 4.4 ends where an end counted only against the
/// content of those there that had ended the most, and to 2.9 where it counts against each (`cargo
/// measure --scenario crashes`, simulated time, 30 seeds); no more others were stopped.
#[test]
fn an_end_counts_against_each_content_that_ran_there() {
    let now = Instant::now();
    let mut book = book_with("crashing", 4, now);
    for upstream in 1..=2 {
        book.record(content("beside"), crash(end_of(upstream), now), now);
    }
    assert_eq!(book.verdict(content("beside"), now), Verdict::Suspect);
    book.record(content("beside"), crash(end_of(9), now), now);
    assert_eq!(book.verdict(content("beside"), now), Verdict::Stopped);
    assert_eq!(book.verdict(content("crashing"), now), Verdict::Stopped);
}

/// One chance end beside the ends of a content must not cost one more engine.
#[test]
fn evidence_is_rounded_to_whole_ends() {
    let now = Instant::now();
    let mut book = book_with("a", 2, now);
    let beside_one = Crash {
        surroundings: beside(&[101]),
        ..crash(end_of(3), now)
    };
    book.record(content("a"), beside_one, now);
    let evidence = book.evidence(content("a"), now);
    assert!((2_500..3_000).contains(&evidence), "{evidence}");
    assert_eq!(book.verdict(content("a"), now), Verdict::Stopped);
}

#[test]
fn what_is_known_lapses_and_one_more_end_stops_the_content_again() {
    let now = Instant::now();
    let mut book = book_with("a", 2, now);
    let half = now + CRASH_TTL / 2;
    book.record(content("a"), crash(end(9, 5_000), half), half);
    assert_eq!(book.verdict(content("a"), half), Verdict::Stopped);
    let later = now + CRASH_TTL;
    assert_eq!(book.verdict(content("a"), later), Verdict::Harmless);
    for upstream in 11..=12 {
        book.record(content("a"), crash(end(upstream, 5_000), later), later);
    }
    assert_eq!(book.verdict(content("a"), later), Verdict::Stopped);
    let end = later + CRASH_TTL * 2;
    assert!(book.record(content("b"), crash(end_of(1), end), end));
    assert!(!book.knows(content("a")));
}

fn end_of(upstream: u64) -> UpstreamEnd {
    end(upstream, 5_000)
}

#[test]
fn an_end_under_a_content_that_ran_well_just_before_counts_nothing() {
    let now = Instant::now();
    let mut book = book();
    for upstream in 1..=4 {
        let excused = Crash {
            excused: true,
            ..crash(end(upstream, 5_000), now)
        };
        book.record(content("a"), excused, now);
    }
    assert_eq!(book.verdict(content("a"), now), Verdict::Harmless);
    // A router that did not see it run hears of that, too.
    let mut other = book_with("a", 4, now);
    other.merge(&book.reports(&[content("a")], now), now);
    assert_eq!(other.verdict(content("a"), now), Verdict::Harmless);
}

#[test]
fn operators_clear_a_content_or_all_of_them() {
    let now = Instant::now();
    let mut book = book_with("a", 4, now);
    assert_eq!(book.changed_stops(now).stopped, [content("a")]);
    book.set_bounds(CrashLimit(3), HashSet::from([content("a")]));
    assert_eq!(book.verdict(content("a"), now), Verdict::Suspect);
    assert_eq!(book.changed_stops(now).lifted, [content("a")]);
    book.set_bounds(CrashLimit(5), HashSet::new());
    assert_eq!(book.verdict(content("a"), now), Verdict::Suspect);
    book.set_bounds(CrashLimit(0), HashSet::new());
    assert_eq!(book.verdict(content("a"), now), Verdict::Suspect);
}

#[test]
fn a_stop_is_reported_as_a_change_once() {
    let now = Instant::now();
    let mut book = book_with("a", 2, now);
    assert_eq!(book.changed_stops(now), Default::default());
    book.record(content("a"), crash(end(3, 5_000), now), now);
    assert_eq!(book.changed_stops(now).stopped, [content("a")]);
    assert_eq!(book.changed_stops(now), Default::default());
}

#[test]
fn what_is_kept_is_bounded_and_those_with_the_most_against_them_stay() {
    let now = Instant::now();
    let mut book = book_with("a", 3, now);
    for n in 0..MAX_CONTENTS + 50 {
        let at = now + Duration::from_millis(n as u64);
        book.record(
            content(&format!("new-{n}")),
            crash(end(100 + n as u64, 5_000), at),
            at,
        );
    }
    let newest = content(&format!("new-{}", MAX_CONTENTS + 49));
    assert!(book.knows(content("a")) && book.knows(newest));
    assert!(!book.knows(content("new-0")));
    let mut book = self::book();
    for upstream in 0..MAX_CRASHES as u64 * 2 {
        book.record(content("a"), crash(end(upstream, 5_000), now), now);
    }
    assert_eq!(book.crashes(content("a"), now), MAX_CRASHES);
}

#[test]
fn excuses_of_before_make_room_for_later_ends() {
    let now = Instant::now();
    let mut book = book_with("a", MAX_CRASHES as u64, now);
    book.on_completed(content("a"));
    for upstream in 101..=103 {
        book.record(content("a"), crash(end(upstream, 5_000), now), now);
    }
    assert_eq!(book.verdict(content("a"), now), Verdict::Stopped);
}

/// One thing that a router learns, drawn from few contents and ends so that they meet.
fn draw_event(rng: &mut fastrand::Rng, now: Instant) -> (ContentKey, Crash, bool) {
    let crash = Crash {
        surroundings: beside([&[][..], &[1, 9], &[8]][rng.usize(..3)]),
        ..crash(end(rng.u64(1..6), rng.u64(0..3) * 5_000), now)
    };
    (
        content(["a", "b", "c"][rng.usize(..3)]),
        crash,
        rng.u8(..8) == 0,
    )
}

fn verdicts(book: &CrashBook, now: Instant) -> Vec<(Verdict, usize)> {
    let of = |name| {
        (
            book.verdict(content(name), now),
            book.crashes(content(name), now),
        )
    };
    ["a", "b", "c"].map(of).to_vec()
}

/// Routers that each saw a part, and told each other all in any order, some of it twice, judge alike.
#[test]
fn routers_that_know_the_same_ends_judge_alike_whatever_the_order() {
    fn check(seed: u64) -> TestResult {
        let now = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut books = vec![book(), book(), book()];
        for _ in 0..rng.usize(1..30) {
            let (content, crash, completes) = draw_event(&mut rng, now);
            let seen_by = rng.usize(..books.len());
            books[seen_by].record(content, crash, now);
            if completes {
                books[seen_by].on_completed(content);
            }
        }
        let all = ["a", "b", "c"].map(content);
        let reports: Vec<_> = books.iter().map(|book| book.reports(&all, now)).collect();
        for book in &mut books {
            let mut order: Vec<usize> = (0..reports.len()).chain(0..2).collect();
            rng.shuffle(&mut order);
            for index in order {
                book.merge(&reports[index], now);
            }
        }
        let first = verdicts(&books[0], now);
        TestResult::from_bool(books.iter().all(|book| verdicts(book, now) == first))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(check as fn(u64) -> TestResult);
}
