//! From which revision a watch continues.

use cloverpier_router_policy::watch_position::{EMPTY_RESPONSE_LAG, WatchPosition};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_millis(800);

#[test]
fn a_response_without_changes_does_not_move_the_position_at_once() {
    let now = Instant::now();
    let mut position = WatchPosition::after_content(10);
    position.on_no_changes(12, now);
    position.on_no_changes(13, now + WAIT);
    assert_eq!(position.after(), 10);
}

#[test]
fn responses_without_changes_move_the_position_later() {
    let now = Instant::now();
    let mut position = WatchPosition::after_content(10);
    position.on_no_changes(12, now);
    position.on_no_changes(20, now + EMPTY_RESPONSE_LAG);
    assert_eq!(position.after(), 12);
    position.on_no_changes(30, now + EMPTY_RESPONSE_LAG + WAIT);
    assert_eq!(position.after(), 12);
    position.on_no_changes(30, now + EMPTY_RESPONSE_LAG * 2);
    assert_eq!(position.after(), 20);
}

#[test]
fn content_moves_the_position_at_once_and_never_back() {
    let now = Instant::now();
    let mut position = WatchPosition::after_content(10);
    position.on_no_changes(20, now);
    position.on_content(15);
    assert_eq!(position.after(), 15);
    position.on_content(14);
    assert_eq!(position.after(), 15);
    position.on_no_changes(30, now + EMPTY_RESPONSE_LAG);
    assert_eq!(position.after(), 15);
}
