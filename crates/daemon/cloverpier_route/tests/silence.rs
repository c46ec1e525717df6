//! Tests of what follows when an engine sends nothing for the stall timeout.

use cloverpier_config::{Config, Service, Upstream};
use cloverpier_core::UpstreamName;
use cloverpier_route::prelude::*;
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_millis(1_000);

fn name(i: u16) -> UpstreamName {
    UpstreamName::new(format!("e{i}"))
}

fn view_of(count: u16) -> UpstreamView {
    let mut config = Config::default();
    config.services.insert("drafts".into(), Service::model("m"));
    for i in 1..=count {
        let at = ([127, 0, 0, 1], i).into();
        let upstream = Upstream::new("drafts".into(), at, "gye-sur".into());
        config.upstreams.insert(name(i), upstream);
    }
    let mut view = UpstreamView::new("gye-sur".into(), &"vm-1".into());
    view.apply(&config);
    view
}

fn silent_at(engines: &[UpstreamName]) -> SilentAnswer<'_> {
    SilentAnswer {
        engines,
        repeatable: true,
        silent_for: LIMIT,
        limit: LIMIT,
    }
}

fn step(view: &UpstreamView, silent: &SilentAnswer<'_>, now: Instant, seed: u64) -> SilenceStep {
    let mut rng = fastrand::Rng::with_seed(seed);
    let request = RouteRequest::new("drafts".into());
    view.on_silent_answer(silent, &request, now, &mut rng)
}

/// The engine that is tried besides, or why there is none.
fn tried(step: SilenceStep) -> Result<UpstreamName, KeepReason> {
    match step {
        SilenceStep::TryAlso(chosen) => Ok(chosen.upstream),
        SilenceStep::Keep(reason) => Err(reason),
        SilenceStep::End => panic!("it ended"),
    }
}

#[test]
fn a_silent_answer_is_tried_at_an_engine_that_has_it_not() {
    let view = view_of(3);
    let now = Instant::now();
    let engines = [name(2)];
    for seed in 0..50 {
        let other = tried(step(&view, &silent_at(&engines), now, seed));
        assert!(other == Ok(name(1)) || other == Ok(name(3)), "{other:?}");
    }
}

#[test]
fn a_generation_that_may_run_once_is_tried_nowhere_else() {
    let view = view_of(3);
    let engines = [name(1)];
    let silent = SilentAnswer {
        repeatable: false,
        ..silent_at(&engines)
    };
    assert_eq!(
        step(&view, &silent, Instant::now(), 1),
        SilenceStep::Keep(KeepReason::RunsOnce)
    );
}

#[test]
fn an_answer_ends_for_silence_only_after_the_time_to_continue_it() {
    let view = view_of(3);
    let now = Instant::now();
    let engines = [name(1)];
    for repeatable in [true, false] {
        let after = |silent_for| {
            let silent = SilentAnswer {
                repeatable,
                silent_for,
                ..silent_at(&engines)
            };
            step(&view, &silent, now, 1)
        };
        let end = LIMIT + CONTINUE_WITHIN;
        assert_ne!(after(end - Duration::from_millis(1)), SilenceStep::End);
        assert_eq!(after(end), SilenceStep::End);
    }
}

#[test]
fn no_more_engines_run_an_answer_than_the_bound() {
    let view = view_of(9);
    let engines: Vec<UpstreamName> = (1..).map(name).take(MAX_ATTEMPTS_AT_ONCE).collect();
    let kept = tried(step(&view, &silent_at(&engines), Instant::now(), 1));
    assert_eq!(kept, Err(KeepReason::EnoughAttempts));
}

#[test]
fn an_only_engine_keeps_its_answer() {
    let view = view_of(1);
    let engines = [name(1)];
    let kept = tried(step(&view, &silent_at(&engines), Instant::now(), 1));
    assert_eq!(kept, Err(KeepReason::NoOther));
}

#[test]
fn an_engine_whose_streams_are_all_silent_is_not_tried() {
    let mut view = view_of(2);
    let start = Instant::now();
    for engine in [name(1), name(2)] {
        view.on_streaming(&engine, start);
    }
    let engines = [name(1)];
    // The other one fell silent later.
    let now = start + LIMIT / 2;
    let kept = tried(step(&view, &silent_at(&engines), now, 1));
    assert_eq!(kept, Err(KeepReason::OthersSilent));
    // It has resumed, or its streams have ended.
    let mut resumed = view_of(2);
    resumed.on_streaming(&name(2), start);
    resumed.on_heard(&name(2), now);
    assert_eq!(
        tried(step(&resumed, &silent_at(&engines), now, 1)),
        Ok(name(2))
    );
    view.on_stream_ended(&name(2));
    assert_eq!(
        tried(step(&view, &silent_at(&engines), now, 1)),
        Ok(name(2))
    );
}

#[test]
fn an_engine_at_which_another_answer_is_silent_is_not_tried_for_a_while() {
    let mut view = view_of(2);
    let now = Instant::now();
    let engines = [name(1)];
    view.on_silent(&name(2), now);
    let kept = tried(step(&view, &silent_at(&engines), now, 1));
    assert_eq!(kept, Err(KeepReason::OthersSilent));
    let later = now + Duration::from_secs(2);
    assert_eq!(
        tried(step(&view, &silent_at(&engines), later, 1)),
        Ok(name(2))
    );
    view.on_heard(&name(2), now + Duration::from_millis(1));
    assert_eq!(
        tried(step(&view, &silent_at(&engines), now, 1)),
        Ok(name(2))
    );
}

#[test]
fn an_engine_that_leaves_load_queries_unanswered_is_not_tried() {
    let mut view = view_of(2);
    let start = Instant::now();
    let engines = [name(1)];
    view.on_load_query(&name(2), start);
    let soon = start + Duration::from_millis(100);
    assert_eq!(
        tried(step(&view, &silent_at(&engines), soon, 1)),
        Ok(name(2))
    );
    // A further query does not make the first one younger.
    let late = start + Duration::from_millis(250);
    view.on_load_query(&name(2), late);
    let kept = tried(step(&view, &silent_at(&engines), late, 1));
    assert_eq!(kept, Err(KeepReason::OthersSilent));
    view.on_load_response(&name(2));
    assert_eq!(
        tried(step(&view, &silent_at(&engines), late, 1)),
        Ok(name(2))
    );
}

#[test]
fn an_engine_that_has_just_failed_is_not_tried_and_one_that_failed_the_answer_last() {
    let mut view = view_of(3);
    let now = Instant::now();
    let engines = [name(1)];
    view.on_failure(&name(2), now);
    assert_eq!(
        tried(step(&view, &silent_at(&engines), now, 1)),
        Ok(name(3))
    );
    view.on_failure(&name(3), now);
    let kept = tried(step(&view, &silent_at(&engines), now, 1));
    assert_eq!(kept, Err(KeepReason::OthersSilent));
    let later = now + Duration::from_secs(1);
    let mut request = RouteRequest::new("drafts".into());
    request.failed = vec![name(3)];
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let step = view.on_silent_answer(&silent_at(&engines), &request, later, &mut rng);
        assert_eq!(tried(step), Ok(name(2)));
    }
}

quickcheck! {
    fn whatever_is_known_silence_neither_ends_an_answer_early_nor_doubles_its_engine(
        engines: u16, running: u16, signs: Vec<(u16, u8, u16)>, seed: u64
    ) -> bool {
        let engines = engines % 30 + 1;
        let mut view = view_of(engines);
        let start = Instant::now();
        for (engine, sign, at_ms) in signs {
            let engine = name(engine % engines + 1);
            let at = start + Duration::from_millis(u64::from(at_ms));
            match sign % 6 {
                0 => view.on_streaming(&engine, at),
                1 => view.on_stream_ended(&engine),
                2 => view.on_heard(&engine, at),
                3 => view.on_silent(&engine, at),
                4 => view.on_load_query(&engine, at),
                _ => view.on_failure(&engine, at),
            }
        }
        let running: Vec<UpstreamName> = (1..=running % engines + 1).map(name).collect();
        match step(&view, &silent_at(&running), start + Duration::from_secs(30), seed) {
            SilenceStep::TryAlso(chosen) => !running.contains(&chosen.upstream),
            SilenceStep::Keep(_) => true,
            SilenceStep::End => false,
        }
    }
}
