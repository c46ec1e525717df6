//! Tests of failure detection, the member list and the rejoin delay.

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

struct Fixture {
    clock: ManualClock,
    detector: Detector,
    params: DetectorParams,
    list: MemberList,
}

impl Fixture {
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

    /// Ticks every 100 ms for `time`, with replies from all members but the silent ones. Returns
    /// all steps except heartbeats.
    fn run_for(&mut self, time: Duration, silent: &BTreeSet<MemberId>) -> Vec<DetectorStep> {
        let mut steps = Vec::new();
        for _ in 0..time.as_millis() / 100 {
            for step in self.tick() {
                if let DetectorStep::Heartbeat { to } = &step {
                    if !silent.contains(to) {
                        self.detector.on_message(to, self.clock.now());
                    }
                } else {
                    steps.push(step);
                }
            }
        }
        steps
    }

    fn heartbeat_targets(&mut self) -> Vec<MemberId> {
        let steps = self.tick();
        let targets = steps.into_iter().filter_map(|step| match step {
            DetectorStep::Heartbeat { to } => Some(to),
            _ => None,
        });
        targets.collect()
    }
}

fn set_of(id: &MemberId) -> BTreeSet<MemberId> {
    BTreeSet::from([id.clone()])
}

#[test]
fn the_number_of_watched_members_is_independent_of_the_list_size() {
    for count in [9, 60, 390] {
        let mut fixture = Fixture::new(count);
        assert_eq!(fixture.heartbeat_targets().len(), fixture.params.fan_out);
    }
}

#[test]
fn every_member_has_as_many_watchers_as_it_watches() {
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
    let mut fixture = Fixture::new(9);
    let silent_member = fixture.heartbeat_targets()[0].clone();
    let steps = fixture.run_for(Duration::from_millis(3_000), &set_of(&silent_member));
    let [DetectorStep::Probe { target, helpers }] = steps.as_slice() else {
        panic!("expected one probe, not {steps:?}");
    };
    assert_eq!(*target, silent_member);
    assert_eq!(helpers.len(), fixture.params.helper_count);
    fixture
        .detector
        .on_probe_result(&silent_member, ProbeResult::NotReached, fixture.clock.now());
    let steps = fixture.run_for(Duration::from_millis(600), &set_of(&silent_member));
    let removal = DetectorStep::Remove {
        members: set_of(&silent_member),
    };
    assert_eq!(steps, vec![removal]);
}

#[test]
fn no_member_is_removed_without_a_second_observer() {
    let mut fixture = Fixture::new(9);
    let silent_member = fixture.heartbeat_targets()[0].clone();
    let steps = fixture.run_for(Duration::from_secs(20), &set_of(&silent_member));
    let removes = |s: &DetectorStep| matches!(s, DetectorStep::Remove { .. });
    assert!(!steps.iter().any(removes), "{steps:?}");
}

#[test]
fn a_member_that_a_helper_reaches_is_not_suspected() {
    let mut fixture = Fixture::new(9);
    let unresponsive = fixture.heartbeat_targets()[0].clone();
    for _ in 0..10 {
        fixture.run_for(Duration::from_millis(2_500), &set_of(&unresponsive));
        let now = fixture.clock.now();
        fixture
            .detector
            .on_probe_result(&unresponsive, ProbeResult::NotReached, now);
        fixture
            .detector
            .on_probe_result(&unresponsive, ProbeResult::Reached, now);
        assert!(!fixture.detector.suspected(now).contains(&unresponsive));
    }
}

#[test]
fn a_suspended_process_suspects_no_member_when_it_resumes() {
    let mut fixture = Fixture::new(9);
    fixture.heartbeat_targets();
    fixture.clock.advance(Duration::from_secs(30));
    let steps = fixture.detector.tick(fixture.clock.now());
    assert!(matches!(steps.as_slice(), [DetectorStep::Paused { .. }]));
    assert!(fixture.detector.suspected(fixture.clock.now()).is_empty());
}

#[test]
fn unreachable_members_of_a_data_centre_are_removed_in_one_step() {
    let mut fixture = Fixture::new(9);
    let heartbeat_targets: BTreeSet<MemberId> = fixture.heartbeat_targets().into_iter().collect();
    let lost: BTreeSet<MemberId> = fixture
        .list
        .members
        .iter()
        .filter(|m| m.data_centre.as_str() == "dc-1" && heartbeat_targets.contains(&m.id))
        .map(|m| m.id.clone())
        .collect();
    assert!(!lost.is_empty());
    fixture.run_for(Duration::from_millis(3_000), &lost);
    for id in &lost {
        fixture
            .detector
            .on_probe_result(id, ProbeResult::NotReached, fixture.clock.now());
    }
    let steps = fixture.run_for(Duration::from_millis(600), &lost);
    assert_eq!(steps, vec![DetectorStep::Remove { members: lost }]);
}

#[test]
fn a_probe_result_is_ignored_after_a_message_from_the_member() {
    let mut fixture = Fixture::new(9);
    let slow = fixture.heartbeat_targets()[0].clone();
    fixture.run_for(Duration::from_millis(3_000), &set_of(&slow));
    let now = fixture.clock.now();
    fixture.detector.on_message(&slow, now);
    fixture
        .detector
        .on_probe_result(&slow, ProbeResult::NotReached, now);
    let steps = fixture.run_for(Duration::from_millis(1_000), &BTreeSet::new());
    assert_eq!(steps, Vec::new());
}

#[test]
fn a_restarted_process_replaces_its_previous_incarnation_on_the_list() {
    let list = list_of(3);
    let at = ([127, 0, 0, 1], 1).into();
    let again = list.with_joined(Member::new("vm-1", 2, "dc-1", at, at));
    assert_eq!(again.members.len(), 3);
    assert!(!again.contains(&list.members[1].id));
    assert_eq!(again.epoch, list.epoch + 1);
    assert_eq!(again.previous_members(), Some(list.members.clone()));
}

#[test]
fn earlier_lists_are_derived_from_the_history() {
    let list = list_of(5);
    let lists = list.lists_since(2).unwrap_or_default();
    let sizes: Vec<(u64, usize)> = lists.iter().map(|l| (l.epoch, l.members.len())).collect();
    assert_eq!(sizes, vec![(2, 2), (3, 3), (4, 4), (5, 5)]);
    let mut long = list_of(2);
    for _ in 0..MemberList::MAX_HISTORY {
        long = long.with_stopping(&long.members[0].id);
    }
    assert!(long.lists_since(1).is_none());
}

#[test]
fn repeated_removals_increase_the_rejoin_delay() {
    let clock = ManualClock::new();
    let mut rejoin = RejoinBackoff::new();
    let mut waits = Vec::new();
    for _ in 0..10 {
        assert!(rejoin.may_join(clock.now()));
        rejoin.on_listed(clock.now());
        clock.advance(Duration::from_secs(3));
        // The member is removed after 3 s on the list, too early to count as stable.
        let removed = clock.now();
        while !rejoin.may_join(clock.now()) {
            clock.advance(Duration::from_millis(500));
        }
        waits.push((clock.now() - removed).as_secs());
    }
    assert_eq!(waits, vec![1, 2, 4, 8, 16, 32, 60, 60, 60, 60]);
    rejoin.on_listed(clock.now());
    clock.advance(Duration::from_secs(100));
    assert!(!rejoin.may_join(clock.now()));
    clock.advance(Duration::from_millis(500));
    assert!(rejoin.may_join(clock.now()));
}

#[test]
fn members_of_a_returning_data_centre_join_in_one_epoch() {
    let list = list_of(9);
    let at = ([127, 0, 0, 1], 1).into();
    let back = [1, 4, 7].map(|i| Member::new(&format!("vm-{i}"), 2, "dc-1", at, at));
    let again = list.with_all_joined(back.to_vec());
    assert_eq!((again.epoch, again.members.len()), (list.epoch + 1, 9));
    assert_eq!(again.previous_members(), Some(list.members));
}
