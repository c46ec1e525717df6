//! Which contents ran well a moment ago.

use cloverpier_crashes::{Content, RecentContents};
use std::time::{Duration, Instant};

fn content(target: &str) -> Content<'_> {
    Content {
        account: "lab",
        host: "api.example",
        method: "GET",
        target,
        body: b"",
    }
}

#[test]
fn a_content_ran_well_for_a_while_after_its_end_and_no_other_did() {
    let now = Instant::now();
    let mut recent = RecentContents::default();
    assert!(!recent.ran_well(&content("/status/17"), now));
    recent.on_completed(&content("/status/17"), now);
    let later = now + Duration::from_secs(9);
    assert!(recent.ran_well(&content("/status/17"), later));
    assert!(!recent.ran_well(&content("/status/18"), later));
    assert!(!recent.ran_well(&content("/status/17"), now + Duration::from_secs(11)));
}

#[test]
fn many_contents_take_the_place_of_older_ones_and_none_is_taken_for_another() {
    let now = Instant::now();
    let mut recent = RecentContents::default();
    let targets: Vec<String> = (0..5_000).map(|n| format!("/status/{n}")).collect();
    for target in &targets {
        recent.on_completed(&content(target), now);
    }
    let kept = targets.iter().filter(|t| recent.ran_well(&content(t), now));
    assert!((500..=1_024).contains(&kept.count()));
    assert!(!recent.ran_well(&content("/other"), now));
}
