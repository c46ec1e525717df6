//! The table of contents that completed recently.

use cloverpier_crashes::{RecentCompletions, RequestContent};
use std::time::{Duration, Instant};

fn content(target: &str) -> RequestContent<'_> {
    RequestContent {
        account: "lab",
        host: "api.example",
        method: "GET",
        target,
        body: b"",
    }
}

#[test]
fn content_is_recent_for_ten_seconds_after_its_completion() {
    let now = Instant::now();
    let mut recent = RecentCompletions::default();
    assert!(!recent.completed_recently(&content("/status/17"), now));
    recent.on_completed(&content("/status/17"), now);
    let later = now + Duration::from_secs(9);
    assert!(recent.completed_recently(&content("/status/17"), later));
    assert!(!recent.completed_recently(&content("/status/18"), later));
    assert!(!recent.completed_recently(&content("/status/17"), now + Duration::from_secs(11)));
}

#[test]
fn newer_contents_replace_older_ones_and_no_other_content_is_found() {
    let now = Instant::now();
    let mut recent = RecentCompletions::default();
    let targets: Vec<String> = (0..5_000).map(|n| format!("/status/{n}")).collect();
    for target in &targets {
        recent.on_completed(&content(target), now);
    }
    let kept = targets
        .iter()
        .filter(|t| recent.completed_recently(&content(t), now));
    assert!((500..=1_024).contains(&kept.count()));
    assert!(!recent.completed_recently(&content("/other"), now));
}
