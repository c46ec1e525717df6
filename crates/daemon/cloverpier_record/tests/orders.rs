//! Single orders of events that matter for records, one test each.

use cloverpier_core::{MemberId, RequestKey};
use cloverpier_member::{Member, MemberList};
use cloverpier_record::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

fn member(name: &str, dc: &str) -> Member {
    let at = ([127, 0, 0, 1], 1).into();
    Member::new(name, 1, dc, at, at)
}

fn key() -> RequestKey {
    RequestKey::new("lab/sign-17")
}

fn claim(number: u64) -> ClaimId {
    ClaimId {
        router: MemberId::new("vm-a~1"),
        number,
    }
}

fn list_of(names: &[&str]) -> MemberList {
    let mut list = MemberList::default();
    for (i, name) in names.iter().enumerate() {
        list = list.with_joined(member(name, &format!("dc-{i}")));
    }
    list
}

/// A member that was there from the first epoch on.
fn founder(name: &str) -> (Records, MemberList) {
    let list = list_of(&[name]);
    let mut records = Records::new(member(name, "dc-0").id, Horizon::default());
    records.enter(&list);
    (records, list)
}

#[test]
fn a_claim_is_written_once_and_told_to_others() {
    let now = Instant::now();
    let (mut records, _) = founder("vm-a");
    let first = records.on_claim(1, &key(), 7, &claim(1), now);
    assert_eq!(first, ClaimReply::Written);
    let again = records.on_claim(1, &key(), 7, &claim(1), now);
    assert_eq!(again, ClaimReply::Written);
    let other = records.on_claim(1, &key(), 7, &claim(2), now);
    assert!(matches!(other, ClaimReply::Taken(r) if r.outcome == Outcome::Claimed));
}

#[test]
fn a_holder_that_entered_the_next_epoch_refuses_claims_of_the_earlier_one() {
    let now = Instant::now();
    let (mut records, list) = founder("vm-a");
    records.enter(&list.with_joined(member("vm-b", "dc-1")));
    let late = records.on_claim(1, &key(), 7, &claim(1), now);
    assert_eq!(late, ClaimReply::OtherEpoch { epoch: 2 });
}

#[test]
fn a_new_holder_takes_no_claim_before_it_knows_the_slots_records() {
    let now = Instant::now();
    let (mut old, list) = founder("vm-a");
    old.on_claim(1, &key(), 7, &claim(1), now);
    let list = list.with_joined(member("vm-b", "dc-1"));
    let mut new = Records::new(member("vm-b", "dc-1").id, Horizon::default());
    new.enter(&list);
    let early = new.on_claim(2, &key(), 7, &claim(2), now);
    assert!(matches!(early, ClaimReply::NotReady { .. }));

    let slot = Slot::of(key().as_str());
    // The source must have entered the epoch itself, or it could take more claims.
    let step = new.to_learn(now).into_iter().find(|s| s.slot == slot);
    let step = step.expect("the slot has to be learned");
    assert_eq!(old.on_sync(slot, step.level, 2, now), SyncReply::Behind);
    old.enter(&list);
    let reply = old.on_sync(slot, step.level, 2, now);
    new.on_sync_reply(&step, 2, &member("vm-a", "dc-0").id, reply, now);
    let known = new.on_claim(2, &key(), 7, &claim(2), now);
    assert!(matches!(known, ClaimReply::Taken(_)));
}

#[test]
fn a_slot_all_of_whose_holders_are_lost_is_closed_for_the_horizon() {
    let start = Instant::now();
    let (_, list) = founder("vm-a");
    let gone = BTreeSet::from([member("vm-a", "dc-0").id]);
    let list = list.without(&gone).with_joined(member("vm-b", "dc-1"));
    let mut records = Records::new(member("vm-b", "dc-1").id, Horizon::default());
    records.enter(&list);
    assert!(records.to_learn(start).is_empty());
    let soon = start + Duration::from_secs(599);
    let closed = records.on_claim(list.epoch, &key(), 7, &claim(1), soon);
    assert_eq!(closed, ClaimReply::NotReady { retry_ms: 1_000 });
    let later = start + Duration::from_secs(600);
    let open = records.on_claim(list.epoch, &key(), 7, &claim(1), later);
    assert_eq!(open, ClaimReply::Written);
}

#[test]
fn only_the_claims_own_router_writes_its_outcome_or_gives_it_free() {
    let now = Instant::now();
    let (mut records, _) = founder("vm-a");
    records.on_claim(1, &key(), 7, &claim(1), now);
    records.on_release(&key(), &claim(2));
    records.on_outcome(&key(), &claim(2), Outcome::Unknown);
    let reply = records.on_claim(1, &key(), 7, &claim(3), now);
    assert!(matches!(reply, ClaimReply::Taken(r) if r.outcome == Outcome::Claimed));
    records.on_release(&key(), &claim(1));
    let reply = records.on_claim(1, &key(), 7, &claim(3), now);
    assert_eq!(reply, ClaimReply::Written);
}

#[test]
fn a_claim_is_dispatched_only_when_every_holder_wrote_it() {
    let holders: Vec<MemberId> = ["a", "b", "c"].map(MemberId::new).to_vec();
    let mut claim = Claim::new(&holders);
    assert_eq!(claim.start(), ClaimStep::Ask(holders[0].clone()));
    let second = claim.on_reply(Some(ClaimReply::Written));
    assert_eq!(second, ClaimStep::Ask(holders[1].clone()));
    let lost = claim.on_reply(None);
    let ClaimStep::Refuse { take_back, .. } = lost else {
        panic!("expected a refusal, not {lost:?}");
    };
    // The one whose reply was lost may have written it.
    assert_eq!(take_back, holders[..2].to_vec());
}

#[test]
fn one_members_loss_moves_only_its_own_slots_and_leaves_a_holder_elsewhere() {
    let names: Vec<String> = (0..9).map(|i| format!("vm-{i}")).collect();
    let mut list = MemberList::default();
    for (i, name) in names.iter().enumerate() {
        list = list.with_joined(member(name, &format!("dc-{}", i % 3)));
    }
    let before = SlotMap::of(&list);
    let lost = list.members[4].id.clone();
    let after = SlotMap::of(&list.without(&BTreeSet::from([lost.clone()])));
    for slot in Slot::all() {
        let (old, new) = (before.holders(slot), after.holders(slot));
        assert_eq!(old.len(), HOLDERS);
        let data_centre = |id| list.get(id).map(|m| m.data_centre.clone());
        let spread: BTreeSet<_> = old.iter().filter_map(data_centre).collect();
        assert_eq!(spread.len(), 3);
        let moved = old.iter().filter(|id| !new.contains(id)).count();
        assert_eq!(moved, usize::from(old.contains(&lost)));
    }
}

#[test]
fn a_stopping_member_hands_its_slots_over_before_it_leaves() {
    let list = list_of(&["vm-a", "vm-b", "vm-c", "vm-d"]);
    let stopping = list.with_stopping(&list.members[0].id);
    let map = SlotMap::of(&stopping);
    let holds = Slot::all().any(|s| map.holds(s, &list.members[0].id));
    assert!(!holds);
    // Whoever joins late works the earlier holders out as they were.
    let previous = stopping.previous().unwrap_or_default();
    assert!(previous.iter().all(|m| !m.stopping));
    let mut records = Records::new(list.members[0].id.clone(), Horizon::default());
    records.enter(&stopping);
    assert_eq!(records.slots_not_ready(), 0);
}

/// Lets every member learn from the others until nothing changes.
fn learn_all(all: &mut [Records], ids: &[MemberId], now: Instant) {
    for _ in 0..20 {
        for i in 0..all.len() {
            let epoch = all[i].epoch();
            for step in all[i].to_learn(now) {
                let source = ids.iter().position(|id| *id == step.sources[0]);
                let source = source.expect("the source is a member");
                let reply = all[source].on_sync(step.slot, step.level, epoch, now);
                all[i].on_sync_reply(&step, epoch, &ids[source], reply, now);
            }
        }
    }
}

#[test]
fn members_that_join_faster_than_they_learn_close_no_slot() {
    let now = Instant::now();
    let mut list = MemberList::default();
    let mut all: Vec<Records> = Vec::new();
    let mut ids = Vec::new();
    for i in 0..5 {
        let one = member(&format!("vm-{i}"), &format!("dc-{i}"));
        ids.push(one.id.clone());
        list = list.with_joined(one.clone());
        all.push(Records::new(one.id, Horizon::default()));
        for records in &mut all {
            records.enter(&list);
        }
    }
    learn_all(&mut all, &ids, now);
    let not_ready: Vec<usize> = all.iter().map(Records::slots_not_ready).collect();
    assert_eq!(not_ready, vec![0; 5]);
}

#[test]
fn a_record_is_found_again_behind_epochs_without_claims() {
    let now = Instant::now();
    let (mut founder, mut list) = founder("vm-a");
    founder.on_claim(1, &key(), 7, &claim(1), now);
    let mut all = vec![founder];
    let mut ids = vec![list.members[0].id.clone()];
    for name in ["vm-b", "vm-c", "vm-d"] {
        let one = member(name, name);
        ids.push(one.id.clone());
        list = list.with_joined(one.clone());
        all.push(Records::new(one.id, Horizon::default()));
    }
    for records in &mut all {
        records.enter(&list);
    }
    learn_all(&mut all, &ids, now);
    let slot = Slot::of(key().as_str());
    let holders = SlotMap::of(&list).holders(slot).to_vec();
    for holder in holders {
        let at = ids.iter().position(|id| *id == holder).unwrap();
        let reply = all[at].on_claim(list.epoch, &key(), 7, &claim(2), now);
        assert!(matches!(reply, ClaimReply::Taken(_)), "{holder}: {reply:?}");
    }
}

#[test]
fn a_member_that_was_not_there_does_not_vouch_for_an_epoch() {
    let now = Instant::now();
    let list = list_of(&["vm-a", "vm-b"]);
    let mut late = Records::new(member("vm-b", "dc-1").id, Horizon::default());
    late.enter(&list);
    for slot in Slot::all() {
        let reply = late.on_sync(slot, 1, list.epoch, now);
        assert_eq!(reply, SyncReply::Unknown);
    }
}
