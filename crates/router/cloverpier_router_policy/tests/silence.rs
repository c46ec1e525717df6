//! What is silent, and what becomes of an attempt meanwhile.

use cloverpier_router_policy::path_evidence::HEARD_TTL;
use cloverpier_router_policy::silence::{
    NextUpstream, QUIET_AFTER, SilenceEvidence, SilenceScope, SilenceSign, SilenceStep,
    SilentAttempt,
};
use std::time::Duration;

/// An attempt that has made no progress for 1 s, at an upstream that has sent nothing since, beside three others that
/// have requests.
const SILENT: SilenceEvidence = SilenceEvidence {
    without_progress: Duration::from_millis(1_000),
    upstream_silent: Some(Duration::from_millis(1_000)),
    upstream_responding: Some(Duration::from_secs(60)),
    others_awaited: 3,
    others_heard: 3,
};

#[test]
fn an_attempt_alone_is_silent_where_its_upstream_responds_to_others() {
    let evidence = SilenceEvidence {
        upstream_silent: Some(Duration::from_millis(20)),
        others_heard: 0,
        ..SILENT
    };
    assert_eq!(evidence.scope(), SilenceScope::Attempt);
}

#[test]
fn an_upstream_is_silent_where_others_respond() {
    assert_eq!(SILENT.scope(), SilenceScope::Upstream);
    let never_heard = SilenceEvidence {
        upstream_silent: None,
        ..SILENT
    };
    assert_eq!(never_heard.scope(), SilenceScope::Upstream);
}

#[test]
fn a_service_is_silent_where_none_of_its_upstreams_responds() {
    let evidence = SilenceEvidence {
        others_heard: 0,
        ..SILENT
    };
    assert_eq!(evidence.scope(), SilenceScope::Service);
}

#[test]
fn the_silence_of_the_only_upstream_with_requests_says_nothing_of_the_service() {
    let evidence = SilenceEvidence {
        others_awaited: 0,
        others_heard: 0,
        ..SILENT
    };
    assert_eq!(evidence.scope(), SilenceScope::Upstream);
}

/// An attempt between two events that counts as stalled, whose request another engine could take on in 1 s.
const STALLED: SilentAttempt = SilentAttempt {
    sign: SilenceSign::Stalled,
    evidence: SILENT,
    next: Some(NextUpstream {
        predicted: Some(Duration::from_millis(1_000)),
        has_responded: true,
        has_progressed: true,
    }),
    stall_after: Duration::from_millis(1_000),
    late_after: Some(Duration::from_millis(700)),
    moves: 0,
    is_stream: true,
};

/// The evidence of a silence of the whole service.
const SHARED: SilenceEvidence = SilenceEvidence {
    others_heard: 0,
    ..SILENT
};

fn next_after(ms: u64, has_responded: bool) -> Option<NextUpstream> {
    Some(NextUpstream {
        predicted: Some(Duration::from_millis(ms)),
        has_responded,
        has_progressed: has_responded,
    })
}

/// The silence in milliseconds after which an attempt moves, asked as often as the decision wants; `None` if it stays.
fn moves_after(attempt: SilentAttempt) -> Option<u64> {
    let mut silent = Duration::from_millis(350);
    while silent < Duration::from_secs(25) {
        let evidence = SilenceEvidence {
            without_progress: silent,
            upstream_silent: attempt.evidence.upstream_silent.map(|of| {
                let is_whole_upstream = of >= attempt.evidence.without_progress;
                if is_whole_upstream { silent } else { of }
            }),
            ..attempt.evidence
        };
        match (SilentAttempt {
            evidence,
            ..attempt
        })
        .step()
        {
            SilenceStep::Move => return Some(u64::try_from(silent.as_millis()).unwrap()),
            SilenceStep::WaitFor(time) | SilenceStep::ProbeNext(time) => silent += time,
        }
    }
    None
}

#[test]
fn no_silence_ends_an_attempt_whose_request_nothing_else_can_take_on() {
    for sign in [
        SilenceSign::Stalled,
        SilenceSign::Unreachable,
        SilenceSign::PathLost,
    ] {
        let attempt = SilentAttempt {
            sign,
            next: None,
            ..STALLED
        };
        assert_eq!(moves_after(attempt), None, "{sign:?}");
    }
}

#[test]
fn a_silent_service_keeps_its_attempts_until_another_upstream_responds() {
    let unreachable = SilentAttempt {
        sign: SilenceSign::Unreachable,
        evidence: SHARED,
        next: next_after(1_000, false),
        ..STALLED
    };
    let step = unreachable.step();
    assert!(matches!(step, SilenceStep::ProbeNext(_)), "{step:?}");
    let responds = SilentAttempt {
        next: next_after(1_000, true),
        ..unreachable
    };
    assert_eq!(responds.step(), SilenceStep::Move);
}

#[test]
fn a_mass_death_that_looks_like_a_pause_is_left_within_5_s() {
    let attempt = SilentAttempt {
        sign: SilenceSign::Unreachable,
        evidence: SHARED,
        next: next_after(1_000, false),
        ..STALLED
    };
    let moved_after = moves_after(attempt).expect("the upstreams are dead");
    assert!((2_600..5_000).contains(&moved_after), "{moved_after}");
}

#[test]
fn an_upstream_that_dies_is_left_as_soon_as_the_next_one_responds() {
    let unproven = SilentAttempt {
        sign: SilenceSign::Unreachable,
        next: next_after(1_000, false),
        ..STALLED
    };
    let step = unproven.step();
    assert!(matches!(step, SilenceStep::ProbeNext(_)), "{step:?}");
    let responds = SilentAttempt {
        next: next_after(1_000, true),
        ..unproven
    };
    assert_eq!(responds.step(), SilenceStep::Move);
}

#[test]
fn a_pause_of_all_engines_is_outlasted() {
    let attempt = SilentAttempt {
        evidence: SHARED,
        next: Some(NextUpstream {
            has_progressed: false,
            ..STALLED.next.unwrap()
        }),
        ..STALLED
    };
    let moved_after = moves_after(attempt).expect("the engines hang");
    assert!(moved_after >= 2_600, "{moved_after}");
}

#[test]
fn a_pause_of_one_engine_is_left_for_a_replica_while_the_caller_is_in_time() {
    let attempt = SilentAttempt {
        next: next_after(50, true),
        ..STALLED
    };
    let moved_after = moves_after(attempt).expect("a replica is sooner");
    assert!(moved_after < 700, "{moved_after}");
}

#[test]
fn a_pause_of_one_engine_is_left_for_a_prompt_read_anew_only_where_that_is_sooner() {
    assert_eq!(moves_after(STALLED), Some(2_000));
}

#[test]
fn a_response_that_hangs_at_an_engine_that_serves_others_is_left_once_it_is_stalled() {
    let attempt = SilentAttempt {
        evidence: SilenceEvidence {
            upstream_silent: Some(Duration::from_millis(20)),
            ..SHARED
        },
        ..STALLED
    };
    assert_eq!(moves_after(attempt), Some(1_000));
}

#[test]
fn a_request_leaves_living_upstreams_twice_at_most() {
    let attempt = SilentAttempt {
        moves: 2,
        ..STALLED
    };
    assert_eq!(moves_after(attempt), None);
}

#[test]
fn a_connection_that_does_not_come_up_ends_no_attempt_at_an_upstream_that_has_just_responded() {
    let attempt = SilentAttempt {
        sign: SilenceSign::Unreachable,
        evidence: SilenceEvidence {
            upstream_silent: Some(Duration::from_millis(30)),
            ..SILENT
        },
        ..STALLED
    };
    let step = attempt.step();
    assert!(matches!(step, SilenceStep::WaitFor(_)), "{step:?}");
}

#[test]
fn signs_of_life_before_a_pause_of_all_engines_do_not_count() {
    let evidence = SilenceEvidence {
        upstream_silent: Some(QUIET_AFTER - Duration::from_millis(1)),
        others_heard: 0,
        ..SILENT
    };
    assert_eq!(evidence.scope(), SilenceScope::Service);
    assert!(
        HEARD_TTL < QUIET_AFTER,
        "decisions begin before old signs expire"
    );
}

#[test]
fn a_plain_request_leaves_a_silent_server_for_one_that_responds() {
    let plain = SilentAttempt {
        next: next_after(0, true),
        late_after: None,
        is_stream: false,
        ..STALLED
    };
    assert_eq!(plain.step(), SilenceStep::Move);
    let unproven = SilentAttempt {
        next: next_after(0, false),
        ..plain
    };
    let step = unproven.step();
    assert!(matches!(step, SilenceStep::ProbeNext(_)), "{step:?}");
}

#[test]
fn a_response_that_paused_with_its_engine_stays_when_others_there_go_on_first() {
    let resumed = |ms| SilentAttempt {
        evidence: SilenceEvidence {
            upstream_silent: Some(Duration::from_millis(1)),
            upstream_responding: Some(Duration::from_millis(ms)),
            ..SILENT
        },
        ..STALLED
    };
    assert!(matches!(resumed(1).step(), SilenceStep::WaitFor(_)));
    assert_eq!(resumed(1_000).step(), SilenceStep::Move);
}
