//! Random claims against random changes of the members: no key is dispatched twice.
//!
//! Members enter epochs late, die, come back without memory, and are taken
//! for dead while they live. Replies and releases are lost. A claimant that
//! slept goes on with what it had.

use cloverpier_core::{MemberId, RequestKey};
use cloverpier_member::{Member, MemberList};
use cloverpier_record::prelude::*;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const WORLDS: u64 = 30;
const STEPS: u32 = 400;
const KEYS: u64 = 8;
const VMS: u64 = 4;

fn key(number: u64) -> RequestKey {
    RequestKey::new(format!("lab/{number}"))
}

struct Asking {
    key: RequestKey,
    id: ClaimId,
    epoch: u64,
    claim: Claim,
    step: ClaimStep,
}

struct World {
    rng: Rng,
    now: Instant,
    /// The list as the platform holds it.
    list: MemberList,
    /// All lists so far, for members that enter late.
    lists: Vec<MemberList>,
    processes: BTreeMap<MemberId, Records>,
    asking: Vec<Asking>,
    releases: Vec<(MemberId, RequestKey, ClaimId)>,
    dispatched: BTreeMap<RequestKey, u32>,
    numbers: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: Rng::with_seed(seed),
            now: Instant::now(),
            list: MemberList::default(),
            lists: Vec::new(),
            processes: BTreeMap::new(),
            asking: Vec::new(),
            releases: Vec::new(),
            dispatched: BTreeMap::new(),
            numbers: 0,
        };
        for vm in 0..3 {
            world.join(vm);
        }
        for _ in 0..2 {
            world.all_enter();
            world.all_learn();
        }
        world
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn set_list(&mut self, list: MemberList) {
        self.lists.push(list.clone());
        self.list = list;
    }

    fn join(&mut self, vm: u64) {
        let port = u16::try_from(1_000 + vm).unwrap_or(1);
        let at = ([127, 0, 0, 1], port).into();
        let dc = format!("dc-{}", vm % 3);
        let member = Member::new(&format!("vm-{vm}"), self.number(), &dc, at, at);
        let id = member.id.clone();
        self.set_list(self.list.with_joined(member));
        let records = Records::new(id.clone(), Horizon::default());
        self.processes.insert(id, records);
    }

    fn any_process(&mut self) -> Option<MemberId> {
        let ids: Vec<MemberId> = self.processes.keys().cloned().collect();
        self.rng.choice(ids)
    }

    fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..12 => self.begin_claim(),
            12..60 => self.advance_claim(),
            60..72 => self.one_enters(),
            72..88 => self.one_learns(),
            88..93 => self.one_release(),
            93..95 => {
                let vm = self.rng.u64(0..VMS);
                self.join(vm);
            }
            95 => self.one_is_removed(),
            96 => self.one_dies(),
            _ => {}
        }
        for (key, times) in &self.dispatched {
            assert!(*times <= 1, "{key} dispatched {times} times");
        }
    }

    fn begin_claim(&mut self) {
        let Some(router) = self.any_process() else {
            return;
        };
        let key = key(self.rng.u64(0..KEYS));
        let number = self.number();
        let Some(records) = self.processes.get(&router) else {
            return;
        };
        let claim = Claim::new(records.map().holders(Slot::of(key.as_str())));
        self.asking.push(Asking {
            key,
            id: ClaimId { router, number },
            epoch: records.epoch(),
            step: claim.start(),
            claim,
        });
    }

    fn advance_claim(&mut self) {
        if self.asking.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.asking.len());
        let mut asking = self.asking.swap_remove(i);
        match asking.step.clone() {
            ClaimStep::Dispatch => {
                *self.dispatched.entry(asking.key).or_default() += 1;
            }
            ClaimStep::Refuse { take_back, .. } => {
                let back = take_back.into_iter();
                self.releases
                    .extend(back.map(|h| (h, asking.key.clone(), asking.id.clone())));
            }
            ClaimStep::Ask(holder) => {
                let now = self.now;
                let reply = self
                    .processes
                    .get_mut(&holder)
                    .map(|records| records.on_claim(asking.epoch, &asking.key, 1, &asking.id, now));
                let lost = self.rng.u8(0..12) == 0;
                asking.step = asking.claim.on_reply(reply.filter(|_| !lost));
                self.asking.push(asking);
            }
        }
    }

    fn one_release(&mut self) {
        if self.releases.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.releases.len());
        let (holder, key, id) = self.releases.swap_remove(i);
        if let Some(records) = self.processes.get_mut(&holder) {
            records.on_release(&key, &id);
        }
    }

    fn one_enters(&mut self) {
        let Some(id) = self.any_process() else {
            return;
        };
        // Mostly the newest list, at times an older one that was on its way.
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

    fn all_enter(&mut self) {
        let list = self.list.clone();
        for records in self.processes.values_mut() {
            records.enter(&list);
        }
    }

    fn one_learns(&mut self) {
        let Some(id) = self.any_process() else {
            return;
        };
        let some = self.rng.usize(0..3);
        self.learn(&id, some);
    }

    fn all_learn(&mut self) {
        let ids: Vec<MemberId> = self.processes.keys().cloned().collect();
        for id in ids {
            self.learn(&id, usize::MAX);
        }
    }

    fn learn(&mut self, id: &MemberId, most: usize) {
        let Some(mut records) = self.processes.remove(id) else {
            return;
        };
        let epoch = records.epoch();
        let mut steps = records.to_learn(self.now);
        // The other slots have no keys.
        let used: BTreeSet<Slot> = (0..KEYS).map(|n| Slot::of(key(n).as_str())).collect();
        steps.retain(|step| used.contains(&step.slot));
        self.rng.shuffle(&mut steps);
        for step in steps.into_iter().take(most) {
            let source = self.rng.choice(step.sources.clone());
            let Some(source) = source else {
                continue;
            };
            let Some(other) = self.processes.get(&source) else {
                continue;
            };
            let reply = other.on_sync(step.slot, step.level, epoch, self.now);
            records.on_sync_reply(&step, epoch, &source, reply, self.now);
        }
        self.processes.insert(id.clone(), records);
    }

    /// Off the list, whether dead or only taken for it.
    fn one_is_removed(&mut self) {
        let ids: Vec<MemberId> = self.list.members.iter().map(|m| m.id.clone()).collect();
        if let Some(id) = self.rng.choice(ids) {
            let gone = BTreeSet::from([id]);
            self.set_list(self.list.without(&gone));
        }
    }

    fn one_dies(&mut self) {
        if let Some(id) = self.any_process() {
            self.processes.remove(&id);
        }
    }
}

#[test]
fn no_key_is_dispatched_twice_whatever_happens_to_the_members() {
    let mut dispatched = 0;
    for seed in 0..WORLDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        dispatched += world.dispatched.len();
    }
    // Most keys get through before the members are too much in motion.
    assert!(dispatched as u64 >= WORLDS, "only {dispatched} dispatched");
}
