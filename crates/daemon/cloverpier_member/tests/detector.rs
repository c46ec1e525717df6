//! Failure detection over orders of silence, probes and pauses.

use cloverpier_core::{Clock, ManualClock, MemberId};
use cloverpier_member::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn list_of(count: usize) -> MemberList {
    let mut list = MemberList::default();
    for i in 0..count {
        let at = ([127, 0, 0, 1], 1).into();
        let dc = format!("dc-{}", i % 3);
        list = list.with_joined(Member::new(&format!("vm-{i}"), 1, &dc, at, at));
    }
    list
}

struct Bench {
    clock: ManualClock,
    detector: Detector,
    params: DetectorParams,
    list: MemberList,
}

impl Bench {
    fn new(count: usize) -> Self {
        let clock = ManualClock::new();
        let list = list_of(count);
        let params = DetectorParams::default();
        let mut detector = Detector::new(list.members[0].id.clone(), params);
        detector.set_members(&list, clock.now());
        Self {
            clock,
            detector,
            params,
            list,
        }
    }

    fn tick(&mut self) -> Vec<DetectorStep> {
        self.clock.advance(Duration::from_millis(100));
        self.detector.tick(self.clock.now())
    }

    /// Ticks for a time, with answers from all but some, and collects the steps.
    fn run(&mut self, time: Duration, silent: &BTreeSet<MemberId>) -> Vec<DetectorStep> {
        let mut steps = Vec::new();
        for _ in 0..time.as_millis() / 100 {
            for step in self.tick() {
                if let DetectorStep::Heartbeat { to } = &step {
                    if !silent.contains(to) {
                        self.detector.on_heard(to, self.clock.now());
                    }
                } else {
                    steps.push(step);
                }
            }
        }
        steps
    }

    fn watched(&mut self) -> Vec<MemberId> {
        let steps = self.tick();
        let targets = steps.into_iter().filter_map(|step| match step {
            DetectorStep::Heartbeat { to } => Some(to),
            _ => None,
        });
        targets.collect()
    }
}

fn one(id: &MemberId) -> BTreeSet<MemberId> {
    BTreeSet::from([id.clone()])
}

#[test]
fn heartbeats_are_bounded_however_many_members_there_are() {
    for count in [9, 60, 390] {
        let mut bench = Bench::new(count);
        assert_eq!(bench.watched().len(), bench.params.fan_out);
    }
}

#[test]
fn every_member_is_watched_by_as_many_as_each_watches() {
    let list = list_of(60);
    let clock = ManualClock::new();
    let mut watchers = std::collections::BTreeMap::<MemberId, usize>::new();
    for member in &list.members {
        let mut detector = Detector::new(member.id.clone(), DetectorParams::default());
        detector.set_members(&list, clock.now());
        for step in detector.tick(clock.now()) {
            if let DetectorStep::Heartbeat { to } = step {
                *watchers.entry(to).or_default() += 1;
            }
        }
    }
    assert_eq!(watchers.len(), 60);
    assert!(
        watchers
            .values()
            .all(|n| *n == DetectorParams::default().fan_out)
    );
}

#[test]
fn a_silent_member_is_probed_by_others_before_it_is_removed() {
    let mut bench = Bench::new(9);
    let dead = bench.watched()[0].clone();
    let steps = bench.run(Duration::from_millis(3_000), &one(&dead));
    let [DetectorStep::Probe { about, helpers }] = steps.as_slice() else {
        panic!("expected one probe, not {steps:?}");
    };
    assert_eq!(*about, dead);
    assert_eq!(helpers.len(), bench.params.helpers);
    bench
        .detector
        .on_probe(&dead, ProbeResult::NotReached, bench.clock.now());
    let steps = bench.run(Duration::from_millis(600), &one(&dead));
    let removal = DetectorStep::Remove {
        members: one(&dead),
    };
    assert_eq!(steps, vec![removal]);
}

#[test]
fn without_a_second_observer_nobody_is_removed() {
    let mut bench = Bench::new(9);
    let dead = bench.watched()[0].clone();
    let steps = bench.run(Duration::from_secs(20), &one(&dead));
    let removes = |s: &DetectorStep| matches!(s, DetectorStep::Remove { .. });
    assert!(!steps.iter().any(removes), "{steps:?}");
}

#[test]
fn a_member_that_a_helper_reaches_is_not_removed_over_a_broken_link() {
    let mut bench = Bench::new(9);
    let cut = bench.watched()[0].clone();
    for _ in 0..10 {
        bench.run(Duration::from_millis(2_500), &one(&cut));
        let now = bench.clock.now();
        bench.detector.on_probe(&cut, ProbeResult::NotReached, now);
        bench.detector.on_probe(&cut, ProbeResult::Reached, now);
        assert!(!bench.detector.suspected(now).contains(&cut));
    }
}

#[test]
fn a_process_that_slept_suspects_nobody_when_it_wakes() {
    let mut bench = Bench::new(9);
    bench.watched();
    bench.clock.advance(Duration::from_secs(30));
    let steps = bench.detector.tick(bench.clock.now());
    assert!(matches!(steps.as_slice(), [DetectorStep::Paused { .. }]));
    assert!(bench.detector.suspected(bench.clock.now()).is_empty());
}

#[test]
fn a_data_centre_lost_at_once_is_removed_in_one_step_by_each_watcher() {
    let mut bench = Bench::new(9);
    let watched: BTreeSet<MemberId> = bench.watched().into_iter().collect();
    let lost: BTreeSet<MemberId> = bench
        .list
        .members
        .iter()
        .filter(|m| m.data_centre.as_str() == "dc-1" && watched.contains(&m.id))
        .map(|m| m.id.clone())
        .collect();
    assert!(!lost.is_empty());
    bench.run(Duration::from_millis(3_000), &lost);
    for id in &lost {
        bench
            .detector
            .on_probe(id, ProbeResult::NotReached, bench.clock.now());
    }
    let steps = bench.run(Duration::from_millis(600), &lost);
    assert_eq!(steps, vec![DetectorStep::Remove { members: lost }]);
}

#[test]
fn a_probe_result_that_comes_after_the_member_was_heard_counts_for_nothing() {
    let mut bench = Bench::new(9);
    let slow = bench.watched()[0].clone();
    bench.run(Duration::from_millis(3_000), &one(&slow));
    let now = bench.clock.now();
    bench.detector.on_heard(&slow, now);
    bench.detector.on_probe(&slow, ProbeResult::NotReached, now);
    let steps = bench.run(Duration::from_millis(1_000), &BTreeSet::new());
    assert_eq!(steps, Vec::new());
}

#[test]
fn a_restarted_process_is_another_member_and_its_earlier_run_leaves() {
    let list = list_of(3);
    let at = ([127, 0, 0, 1], 1).into();
    let again = list.with_joined(Member::new("vm-1", 2, "dc-1", at, at));
    assert_eq!(again.members.len(), 3);
    assert!(!again.contains(&list.members[1].id));
    assert_eq!(again.epoch, list.epoch + 1);
    assert_eq!(again.previous(), Some(list.members.clone()));
}

#[test]
fn earlier_lists_are_worked_out_from_the_history() {
    let list = list_of(5);
    let lists = list.since(2).unwrap_or_default();
    let sizes: Vec<(u64, usize)> = lists.iter().map(|l| (l.epoch, l.members.len())).collect();
    assert_eq!(sizes, vec![(2, 2), (3, 3), (4, 4), (5, 5)]);
    let mut long = list_of(2);
    for _ in 0..MemberList::HISTORY_KEPT {
        long = long.with_stopping(&long.members[0].id);
    }
    assert!(long.since(1).is_none());
}

#[test]
fn a_member_that_others_cannot_reach_joins_less_and_less_often() {
    let clock = ManualClock::new();
    let mut rejoin = Rejoin::new();
    let mut waits = Vec::new();
    for _ in 0..10 {
        assert!(rejoin.may_join(clock.now()));
        rejoin.on_member(clock.now());
        clock.advance(Duration::from_secs(3));
        // It was removed.
        let removed = clock.now();
        while !rejoin.may_join(clock.now()) {
            clock.advance(Duration::from_millis(500));
        }
        waits.push((clock.now() - removed).as_secs());
    }
    assert_eq!(waits, vec![1, 2, 4, 8, 16, 32, 60, 60, 60, 60]);
    rejoin.on_member(clock.now());
    clock.advance(Duration::from_secs(100));
    assert!(!rejoin.may_join(clock.now()));
    clock.advance(Duration::from_millis(500));
    assert!(rejoin.may_join(clock.now()));
}

#[test]
fn a_data_centre_that_comes_back_is_one_change_of_epoch() {
    let list = list_of(9);
    let at = ([127, 0, 0, 1], 1).into();
    let back = [1, 4, 7].map(|i| Member::new(&format!("vm-{i}"), 2, "dc-1", at, at));
    let again = list.with_all_joined(back.to_vec());
    assert_eq!((again.epoch, again.members.len()), (list.epoch + 1, 9));
    assert_eq!(again.previous(), Some(list.members));
}
