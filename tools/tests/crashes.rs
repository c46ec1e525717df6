//! Requests that crash engines, played on the decisions: engines that end, late arrivals, false alarms.
//!
//! The sizes are those of the users' sheets; a data centre dies each 6.5 s. `cargo measure --scenario
//! crashes` plays more seeds, and the ways of counting that lost.

use cloverpier_tools::crash_play::{CrashOutcome, CrashSpec, Pauses, Trouble, Waiting, play};
use std::time::Duration;

/// Routers, engines, and seeds; `cargo measure --scenario crashes` plays the largest, too.
const SIZES: [(usize, usize, u64); 2] = [(8, 24, 4), (60, 280, 1)];
/// Times that a content may reach an engine too late: the users' bound.
const MOST_LATE: usize = 3;

fn plays(change: impl Fn(CrashSpec) -> CrashSpec) -> Vec<(CrashSpec, CrashOutcome)> {
    let runs = SIZES.iter().flat_map(|(routers, engines, seeds)| {
        (1..=*seeds).map(|seed| CrashSpec::new(seed, *routers, *engines))
    });
    let specs = runs.map(|spec| {
        let spec = change(spec);
        (spec, play(spec))
    });
    specs.collect()
}

#[track_caller]
fn assert_within_bounds(spec: &CrashSpec, outcome: &CrashOutcome, most_ends: usize) {
    let told = format!("{spec:?}: {outcome:?}");
    assert!(outcome.late.iter().all(|late| *late <= MOST_LATE), "{told}");
    assert!(outcome.ends.iter().all(|ends| *ends <= most_ends), "{told}");
}

#[test]
fn a_content_that_is_repeated_each_second_ends_three_engines_or_little_more() {
    for (spec, outcome) in plays(|spec| spec) {
        assert_within_bounds(&spec, &outcome, 5);
        assert_eq!(outcome.stopped, 0, "{spec:?}: {outcome:?}");
    }
}

#[test]
fn contents_that_crash_an_engine_at_once_are_stopped_however_fast_they_come() {
    let fast = |spec: CrashSpec| CrashSpec {
        repeat_each: Duration::from_millis(200),
        are_cached: true,
        ..spec
    };
    for (spec, outcome) in plays(fast) {
        assert_within_bounds(&spec, &outcome, 8);
        assert_eq!(outcome.stopped, 0, "{spec:?}: {outcome:?}");
    }
}

#[test]
fn six_such_contents_at_once_are_stopped_each() {
    let many = |spec: CrashSpec| CrashSpec {
        contents: 6,
        deaths: false,
        ..spec
    };
    for (spec, outcome) in plays(many) {
        assert_within_bounds(&spec, &outcome, 7);
    }
}

#[test]
fn routers_that_are_replaced_in_turn_keep_what_is_known() {
    let trouble = Trouble::RolledOut;
    for (spec, outcome) in plays(|spec| CrashSpec { trouble, ..spec }) {
        assert_within_bounds(&spec, &outcome, 5);
        assert_eq!(outcome.stopped, 0, "{spec:?}: {outcome:?}");
    }
}

#[test]
fn a_crash_that_died_with_its_router_costs_one_engine_more() {
    let trouble = Trouble::KilledAtCrash;
    for (spec, outcome) in plays(|spec| CrashSpec { trouble, ..spec }) {
        // Two of the crashes are seen by routers that are killed.
        assert_within_bounds(&spec, &outcome, 7);
    }
}

#[test]
fn routers_that_were_cut_off_know_what_is_known_once_they_are_back() {
    let trouble = Trouble::CutOff;
    for (spec, outcome) in plays(|spec| CrashSpec { trouble, ..spec }) {
        assert_within_bounds(&spec, &outcome, 16);
    }
}

#[test]
fn without_such_contents_no_request_is_stopped_and_hardly_anything_is_told() {
    let calm = |spec: CrashSpec| CrashSpec {
        contents: 0,
        ..spec
    };
    for (spec, outcome) in plays(calm) {
        assert_eq!(outcome.stopped, 0, "{spec:?}: {outcome:?}");
        assert!(outcome.most_bytes < 20_000, "{spec:?}: {outcome:?}");
    }
}

fn pausing(spec: CrashSpec) -> CrashSpec {
    CrashSpec {
        pauses: Pauses::Engines,
        deaths: false,
        ..spec
    }
}

/// Guards against engines that end by a request which was given up for their silence.
#[test]
fn a_content_ends_hardly_more_engines_where_they_pause() {
    for (spec, outcome) in plays(pausing) {
        assert_within_bounds(&spec, &outcome, 5);
        assert_eq!(outcome.stopped, 0, "{spec:?}: {outcome:?}");
    }
}

#[test]
fn a_content_ends_more_engines_where_requests_go_on_before_it_is_known_what_ended() {
    let ends = |waiting| -> usize {
        let outcomes = plays(|spec| CrashSpec {
            waiting,
            pauses: Pauses::BeforeCrashes,
            ..spec
        });
        outcomes.iter().flat_map(|(_, outcome)| &outcome.ends).sum()
    };
    assert!(ends(Waiting::UntilSettled) < ends(Waiting::Briefly));
}

/// Guards against copies that wait for a judgement and then end an engine each.
#[test]
fn copies_that_come_faster_than_ends_are_known_end_fewer_engines_one_at_a_time() {
    let outcomes = |waiting| {
        plays(|spec| CrashSpec {
            waiting,
            repeat_each: Duration::from_millis(50),
            are_cached: true,
            ..spec
        })
    };
    let ends = |outcomes: &[(CrashSpec, CrashOutcome)]| -> usize {
        outcomes.iter().flat_map(|(_, o)| &o.ends).sum()
    };
    let in_turn = outcomes(Waiting::UntilSettled);
    for (spec, outcome) in &in_turn {
        assert_eq!(outcome.stopped, 0, "{spec:?}: {outcome:?}");
    }
    let (in_turn, side_by_side) = (ends(&in_turn), ends(&outcomes(Waiting::SideBySide)));
    assert!(in_turn < side_by_side, "{in_turn}, {side_by_side}");
}

/// Guards against requests that are stopped or held up as their data centre stands still.
#[test]
fn copies_of_a_request_in_a_data_centre_that_pauses_are_not_stopped() {
    let copies = |spec: CrashSpec| CrashSpec {
        contents: 0,
        copies: 8,
        pauses: Pauses::DataCentres,
        ..spec
    };
    for (spec, outcome) in plays(copies) {
        assert_eq!(outcome.stopped, 0, "{spec:?}: {outcome:?}");
    }
}
