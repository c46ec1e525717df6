//! Simulates random claims during random membership changes, and checks that no key is dispatched
//! twice.
//!
//! Members enter epochs late, crash, rejoin without records, or are removed from the list while
//! they run. Replies and release messages are lost. A suspended router resumes a claim with
//! outdated state.

use cloverpier_core::{MemberId, RequestKey};
use cloverpier_member::{Member, MemberList};
use cloverpier_record::prelude::*;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const SIMULATIONS: u64 = 30;
const STEPS: u32 = 400;
const KEYS: u64 = 8;
const VMS: u64 = 4;

fn key(number: u64) -> RequestKey {
    RequestKey::new(format!("lab/{number}"))
}

struct PendingClaim {
    key: RequestKey,
    id: ClaimId,
    epoch: u64,
    claim: Claim,
    step: ClaimStep,
}

struct Simulation {
    rng: Rng,
    now: Instant,
    /// The current member list, as stored at the platform.
    list: MemberList,
    /// All member lists so far, for members that enter an epoch late.
    lists: Vec<MemberList>,
    processes: BTreeMap<MemberId, Records>,
    pending: Vec<PendingClaim>,
    releases: Vec<(MemberId, RequestKey, ClaimId)>,
    dispatched: BTreeMap<RequestKey, u32>,
    last_number: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: Rng::with_seed(seed),
            now: Instant::now(),
            list: MemberList::default(),
            lists: Vec::new(),
            processes: BTreeMap::new(),
            pending: Vec::new(),
            releases: Vec::new(),
            dispatched: BTreeMap::new(),
            last_number: 0,
        };
        for vm in 0..3 {
            simulation.join(vm);
        }
        for _ in 0..2 {
            simulation.enter_epoch_at_all();
            simulation.sync_all();
        }
        simulation
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn set_list(&mut self, list: MemberList) {
        self.lists.push(list.clone());
        self.list = list;
    }

    fn join(&mut self, vm: u64) {
        let port = u16::try_from(1_000 + vm).unwrap_or(1);
        let at = ([127, 0, 0, 1], port).into();
        let dc = format!("dc-{}", vm % 3);
        let member = Member::new(&format!("vm-{vm}"), self.next_number(), &dc, at, at);
        let id = member.id.clone();
        self.set_list(self.list.with_joined(member));
        let records = Records::new(id.clone(), RecordRetention::default());
        self.processes.insert(id, records);
    }

    fn random_process(&mut self) -> Option<MemberId> {
        let ids: Vec<MemberId> = self.processes.keys().cloned().collect();
        self.rng.choice(ids)
    }

    fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..12 => self.start_claim(),
            12..60 => self.advance_claim(),
            60..72 => self.enter_epoch_at_random_member(),
            72..88 => self.sync_random_member(),
            88..93 => self.deliver_random_release(),
            93..95 => {
                let vm = self.rng.u64(0..VMS);
                self.join(vm);
            }
            95 => self.remove_random_member(),
            96 => self.crash_random_process(),
            _ => {}
        }
        for (key, times) in &self.dispatched {
            assert!(*times <= 1, "{key} dispatched {times} times");
        }
    }

    fn start_claim(&mut self) {
        let Some(router) = self.random_process() else {
            return;
        };
        let key = key(self.rng.u64(0..KEYS));
        let number = self.next_number();
        let Some(records) = self.processes.get(&router) else {
            return;
        };
        let claim = Claim::new(records.slot_map().holders(Slot::of(key.as_str())));
        self.pending.push(PendingClaim {
            key,
            id: ClaimId { router, number },
            epoch: records.epoch(),
            step: claim.start(),
            claim,
        });
    }

    fn advance_claim(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.pending.len());
        let mut pending = self.pending.swap_remove(i);
        match pending.step.clone() {
            ClaimStep::Dispatch => {
                *self.dispatched.entry(pending.key).or_default() += 1;
            }
            ClaimStep::Refuse { release_from, .. } => {
                let holders = release_from.into_iter();
                self.releases
                    .extend(holders.map(|h| (h, pending.key.clone(), pending.id.clone())));
            }
            ClaimStep::SendTo(holder) => {
                let now = self.now;
                let reply = self.processes.get_mut(&holder).map(|records| {
                    records.on_claim(pending.epoch, &pending.key, 1, &pending.id, now)
                });
                let lost = self.rng.u8(0..12) == 0;
                pending.step = pending.claim.on_reply(reply.filter(|_| !lost));
                self.pending.push(pending);
            }
        }
    }

    fn deliver_random_release(&mut self) {
        if self.releases.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.releases.len());
        let (holder, key, id) = self.releases.swap_remove(i);
        if let Some(records) = self.processes.get_mut(&holder) {
            records.on_release(&key, &id);
        }
    }

    fn enter_epoch_at_random_member(&mut self) {
        let Some(id) = self.random_process() else {
            return;
        };
        // Half of the time the newest list, otherwise one of the last three, as if the newest had
        // not arrived yet.
        let newest = self.lists.len() - 1;
        let at = if self.rng.bool() {
            newest
        } else {
            self.rng.usize(newest.saturating_sub(2)..=newest)
        };
        let list = self.lists[at].clone();
        if let Some(records) = self.processes.get_mut(&id) {
            records.enter(&list);
        }
    }

    fn enter_epoch_at_all(&mut self) {
        let list = self.list.clone();
        for records in self.processes.values_mut() {
            records.enter(&list);
        }
    }

    fn sync_random_member(&mut self) {
        let Some(id) = self.random_process() else {
            return;
        };
        let max_steps = self.rng.usize(0..3);
        self.sync_member(&id, max_steps);
    }

    fn sync_all(&mut self) {
        let ids: Vec<MemberId> = self.processes.keys().cloned().collect();
        for id in ids {
            self.sync_member(&id, usize::MAX);
        }
    }

    fn sync_member(&mut self, id: &MemberId, max_steps: usize) {
        let Some(mut records) = self.processes.remove(id) else {
            return;
        };
        let epoch = records.epoch();
        let mut steps = records.sync_steps(self.now);
        // The test uses no keys in the other slots.
        let used: BTreeSet<Slot> = (0..KEYS).map(|n| Slot::of(key(n).as_str())).collect();
        steps.retain(|step| used.contains(&step.slot));
        self.rng.shuffle(&mut steps);
        for step in steps.into_iter().take(max_steps) {
            let source = self.rng.choice(step.sources.clone());
            let Some(source) = source else {
                continue;
            };
            let Some(other) = self.processes.get(&source) else {
                continue;
            };
            let reply = other.on_sync(step.slot, step.past_epoch, epoch, self.now);
            records.on_sync_reply(&step, epoch, &source, reply, self.now);
        }
        self.processes.insert(id.clone(), records);
    }

    /// Removes a member from the list; its process continues to run.
    fn remove_random_member(&mut self) {
        let ids: Vec<MemberId> = self.list.members.iter().map(|m| m.id.clone()).collect();
        if let Some(id) = self.rng.choice(ids) {
            let gone = BTreeSet::from([id]);
            self.set_list(self.list.without(&gone));
        }
    }

    fn crash_random_process(&mut self) {
        if let Some(id) = self.random_process() {
            self.processes.remove(&id);
        }
    }
}

#[test]
fn no_key_is_dispatched_twice_under_random_membership_changes() {
    let mut dispatched = 0;
    for seed in 0..SIMULATIONS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        dispatched += simulation.dispatched.len();
    }
    // Fails if hardly any request is dispatched, as the simulation then checks nothing.
    assert!(
        dispatched as u64 >= SIMULATIONS,
        "only {dispatched} dispatched"
    );
}
