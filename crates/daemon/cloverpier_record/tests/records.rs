//! Tests of single sequences of claims, epochs and replies.

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

/// The records of a member that was the first one on the list, and that list.
fn founder(name: &str) -> (Records, MemberList) {
    let list = list_of(&[name]);
    let mut records = Records::new(member(name, "dc-0").id, RecordRetention::default());
    records.enter(&list);
    (records, list)
}

#[test]
fn a_key_is_claimed_once_and_other_claims_get_its_record() {
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
fn a_holder_in_a_newer_epoch_refuses_claims_of_the_previous_epoch() {
    let now = Instant::now();
    let (mut records, list) = founder("vm-a");
    records.enter(&list.with_joined(member("vm-b", "dc-1")));
    let reply = records.on_claim(1, &key(), 7, &claim(1), now);
    assert_eq!(reply, ClaimReply::OtherEpoch { epoch: 2 });
}

#[test]
fn a_new_holder_refuses_claims_until_it_has_the_slots_records() {
    let now = Instant::now();
    let (mut old, list) = founder("vm-a");
    old.on_claim(1, &key(), 7, &claim(1), now);
    let list = list.with_joined(member("vm-b", "dc-1"));
    let mut new = Records::new(member("vm-b", "dc-1").id, RecordRetention::default());
    new.enter(&list);
    let before_sync = new.on_claim(2, &key(), 7, &claim(2), now);
    assert!(matches!(before_sync, ClaimReply::NotReady { .. }));

    let slot = Slot::of(key().as_str());
    // The source must have entered the new epoch itself; otherwise it could still accept claims of
    // the previous one.
    let step = new.sync_steps(now).into_iter().find(|s| s.slot == slot);
    let step = step.expect("the slot has to be learned");
    assert_eq!(
        old.on_sync(slot, step.past_epoch, 2, now),
        SyncReply::Behind
    );
    old.enter(&list);
    let reply = old.on_sync(slot, step.past_epoch, 2, now);
    new.on_sync_reply(&step, 2, &member("vm-a", "dc-0").id, reply, now);
    let after_sync = new.on_claim(2, &key(), 7, &claim(2), now);
    assert!(matches!(after_sync, ClaimReply::Taken(_)));
}

#[test]
fn a_slot_that_lost_all_holders_is_closed_for_the_retention_period() {
    let start = Instant::now();
    let (_, list) = founder("vm-a");
    let gone = BTreeSet::from([member("vm-a", "dc-0").id]);
    let list = list.without(&gone).with_joined(member("vm-b", "dc-1"));
    let mut records = Records::new(member("vm-b", "dc-1").id, RecordRetention::default());
    records.enter(&list);
    assert!(records.sync_steps(start).is_empty());
    let soon = start + Duration::from_secs(599);
    let closed = records.on_claim(list.epoch, &key(), 7, &claim(1), soon);
    assert_eq!(closed, ClaimReply::NotReady { retry_ms: 1_000 });
    let later = start + Duration::from_secs(600);
    let open = records.on_claim(list.epoch, &key(), 7, &claim(1), later);
    assert_eq!(open, ClaimReply::Written);
}

#[test]
fn only_the_claim_of_a_record_can_set_its_outcome_or_release_its_key() {
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
fn a_request_is_dispatched_only_after_every_holder_stored_the_claim() {
    let holders: Vec<MemberId> = ["a", "b", "c"].map(MemberId::new).to_vec();
    let mut claim = Claim::new(&holders);
    assert_eq!(claim.start(), ClaimStep::SendTo(holders[0].clone()));
    let second = claim.on_reply(Some(ClaimReply::Written));
    assert_eq!(second, ClaimStep::SendTo(holders[1].clone()));
    let lost = claim.on_reply(None);
    let ClaimStep::Refuse { release_from, .. } = lost else {
        panic!("expected a refusal, not {lost:?}");
    };
    // The holder whose reply was lost may have stored the claim.
    assert_eq!(release_from, holders[..2].to_vec());
}

#[test]
fn removing_a_member_moves_only_its_slots_and_holders_span_data_centres() {
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
        assert_eq!(old.len(), HOLDERS_PER_SLOT);
        let data_centre = |id| list.get(id).map(|m| m.data_centre.clone());
        let spread: BTreeSet<_> = old.iter().filter_map(data_centre).collect();
        assert_eq!(spread.len(), 3);
        let moved = old.iter().filter(|id| !new.contains(id)).count();
        assert_eq!(moved, usize::from(old.contains(&lost)));
    }
}

#[test]
fn a_stopping_member_holds_no_slots() {
    let list = list_of(&["vm-a", "vm-b", "vm-c", "vm-d"]);
    let stopping = list.with_stopping(&list.members[0].id);
    let map = SlotMap::of(&stopping);
    let holds = Slot::all().any(|s| map.holds(s, &list.members[0].id));
    assert!(!holds);
    // A member that joins later derives the same earlier holders from the history.
    let previous = stopping.previous_members().unwrap_or_default();
    assert!(previous.iter().all(|m| !m.stopping));
    let mut records = Records::new(list.members[0].id.clone(), RecordRetention::default());
    records.enter(&stopping);
    assert_eq!(records.slots_not_ready(), 0);
}

/// Exchanges records among all members, often enough that nothing is left to fetch.
fn sync_all(all: &mut [Records], ids: &[MemberId], now: Instant) {
    for _ in 0..20 {
        for i in 0..all.len() {
            let epoch = all[i].epoch();
            for step in all[i].sync_steps(now) {
                let source = ids.iter().position(|id| *id == step.sources[0]);
                let source = source.expect("the source is a member");
                let reply = all[source].on_sync(step.slot, step.past_epoch, epoch, now);
                all[i].on_sync_reply(&step, epoch, &ids[source], reply, now);
            }
        }
    }
}

#[test]
fn members_that_join_before_earlier_ones_have_synced_close_no_slot() {
    let now = Instant::now();
    let mut list = MemberList::default();
    let mut all: Vec<Records> = Vec::new();
    let mut ids = Vec::new();
    for i in 0..5 {
        let joining = member(&format!("vm-{i}"), &format!("dc-{i}"));
        ids.push(joining.id.clone());
        list = list.with_joined(joining.clone());
        all.push(Records::new(joining.id, RecordRetention::default()));
        for records in &mut all {
            records.enter(&list);
        }
    }
    sync_all(&mut all, &ids, now);
    let not_ready: Vec<usize> = all.iter().map(Records::slots_not_ready).collect();
    assert_eq!(not_ready, vec![0; 5]);
}

#[test]
fn a_record_is_found_across_epochs_without_claims() {
    let now = Instant::now();
    let (mut founder, mut list) = founder("vm-a");
    founder.on_claim(1, &key(), 7, &claim(1), now);
    let mut all = vec![founder];
    let mut ids = vec![list.members[0].id.clone()];
    for name in ["vm-b", "vm-c", "vm-d"] {
        let joining = member(name, name);
        ids.push(joining.id.clone());
        list = list.with_joined(joining.clone());
        all.push(Records::new(joining.id, RecordRetention::default()));
    }
    for records in &mut all {
        records.enter(&list);
    }
    sync_all(&mut all, &ids, now);
    let slot = Slot::of(key().as_str());
    let holders = SlotMap::of(&list).holders(slot).to_vec();
    for holder in holders {
        let at = ids.iter().position(|id| *id == holder).unwrap();
        let reply = all[at].on_claim(list.epoch, &key(), 7, &claim(2), now);
        assert!(matches!(reply, ClaimReply::Taken(_)), "{holder}: {reply:?}");
    }
}

#[test]
fn a_member_that_joined_later_has_no_records_of_an_earlier_epoch() {
    let now = Instant::now();
    let list = list_of(&["vm-a", "vm-b"]);
    let mut newcomer = Records::new(member("vm-b", "dc-1").id, RecordRetention::default());
    newcomer.enter(&list);
    for slot in Slot::all() {
        let reply = newcomer.on_sync(slot, 1, list.epoch, now);
        assert_eq!(reply, SyncReply::Unknown);
    }
}
