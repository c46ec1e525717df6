//! What the reading of placement makes of log lines.

use cloverpier_tools::placement::{Objectives, read_placement};

const OBJECTIVES: Objectives = Objectives {
    first_event_ms: 4_500,
    pause_ms: 700,
};

fn chosen(ts_ms: u64, request: &str, engine: &str, reported: u32) -> String {
    format!(
        r#"{{"ts_ms":{ts_ms},"level":"info","vm":"front-1","event":"server.chosen","request":"{request}","server":"{engine}","prompt":7,"own_requests":0,"peer_requests":0,"reported_requests":{reported}}}"#
    )
}

fn ended(ts_ms: u64, request: &str, first_event_ms: u64) -> String {
    format!(
        r#"{{"ts_ms":{ts_ms},"level":"info","vm":"front-1","event":"request.ended","request":"{request}","first_event_ms":{first_event_ms},"longest_pause_ms":30}}"#
    )
}

#[test]
fn choices_are_set_against_what_really_ran_there() {
    let lines = [
        format!("  -1.0 front-1 {}", chosen(1_000, "a", "engine-1", 0)),
        chosen(1_500, "b", "engine-2", 0),
        // Both run: the third meets one although the router was told of none.
        chosen(2_000, "c", "engine-1", 0),
        ended(6_000, "a", 1_200),
        "no object at all".to_owned(),
        ended(6_500, "b", 9_000),
        // Nothing runs at the second engine any more.
        chosen(8_000, "d", "engine-1", 1),
        ended(9_000, "c", 2_000),
        ended(9_500, "d", 1_000),
    ];
    let placement = read_placement(&lines.join("\n"), 5, OBJECTIVES);
    assert_eq!(placement.unreadable, 1);
    let first = &placement.slices[&0];
    assert_eq!((first.choices, first.most), (3, 1));
    assert_eq!(first.reported, Some(0.0));
    assert!((first.real - 1.0 / 3.0).abs() < 1e-9);
    let second = &placement.slices[&5];
    assert_eq!((second.choices, second.most), (1, 1));
    assert!((second.heavier - 1.0).abs() < 1e-9);
    assert!((second.idle - 0.5).abs() < 1e-9);
    assert_eq!(placement.first_event_at(0.99), Some(9_000));
    assert_eq!(placement.late["no attempt failed"], 1);
}

#[test]
fn dead_engines_and_the_streams_of_dead_routers_do_not_count() {
    let line = |ts_ms: u64, event: &str, server: &str| {
        format!(
            r#"{{"ts_ms":{ts_ms},"level":"info","vm":"front-1","event":"{event}","server":"{server}"}}"#
        )
    };
    let lines = [
        chosen(1_000, "a", "engine-1", 0),
        chosen(1_100, "b", "engine-2", 0),
        line(2_000, "server.suspected", "engine-2"),
        // The only living one is as light as any, whatever runs there.
        chosen(3_000, "c", "engine-1", 1),
        line(4_000, "process.started", ""),
        // What ran there was this router's, which has lost it.
        chosen(6_000, "d", "engine-1", 0),
    ];
    let placement = read_placement(&lines.join("\n"), 2, OBJECTIVES);
    let (before, after) = (&placement.slices[&2], &placement.slices[&4]);
    assert_eq!((before.most, before.idle), (1, 0.0));
    assert!(before.heavier < 1e-9);
    assert_eq!((after.most, after.idle), (0, 1.0));
}

#[test]
fn a_log_without_streams_has_no_rows() {
    let placement = read_placement("", 5, OBJECTIVES);
    assert!(placement.slices.is_empty());
    assert_eq!(placement.first_event_at(0.5), None);
}
