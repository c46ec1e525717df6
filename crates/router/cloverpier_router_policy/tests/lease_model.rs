//! The lease, explored: every order of steps of a few routers before a store, up to a depth.
//!
//! Time is whole ticks of half of the lease's duration. In each state any router may take its next
//! step with any result that the store may give (done; done and the answer lost; not done now and done
//! later, or never), may stand still, or may start again; the store may come back from an older
//! copy, under a higher era, and time may pass. What has to hold, in each state:
//!
//! - at most one router may act at a moment;
//! - whoever acts has a token at least as high as all that acted before, and no two routers act with the
//!   same one;
//! - no holder acts, lets another one act and acts again within the lease's duration.

use cloverpier_core::VmName;
use cloverpier_router_policy::singleton::lease::{
    Condition, HolderId, Lease, LeaseBounds, LeaseStep, LeaseWish, LeaseWrite, RecordSeen,
    RecordVersion, Tenure, WriteResult,
};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_secs(1);
const DURATION_TICKS: u32 = 2;

#[derive(Clone, Debug, Hash)]
struct Record {
    revision: u64,
    tenure: Tenure,
}

#[derive(Clone, Debug, Hash)]
struct Store {
    era: u64,
    revision: u64,
    record: Option<Record>,
    /// A write that the store may still do.
    pending: Option<LeaseWrite>,
    /// What it may come back from.
    copy: Option<(u64, Option<Record>)>,
}

impl Store {
    fn seen(&self) -> RecordSeen {
        RecordSeen {
            version: RecordVersion {
                era: self.era,
                revision: self.record.as_ref().map(|r| r.revision),
            },
            tenure: self.record.as_ref().map(|r| r.tenure.clone()),
        }
    }

    /// Does a write, if the record is as it requires; the store knows nothing of eras in it.
    fn write(&mut self, write: &LeaseWrite) -> WriteResult {
        let present = self.record.as_ref().map(|r| r.revision);
        let required = match write.condition {
            Condition::Absent => None,
            Condition::Revision(revision) => Some(revision),
        };
        if present != required {
            return WriteResult::Conflict(self.seen());
        }
        self.revision += 1;
        self.record = Some(Record {
            revision: self.revision,
            tenure: write.tenure.clone(),
        });
        WriteResult::Done(self.seen().version)
    }
}

/// Something that a holder did: at a tick, by a router, with a token.
type Act = (u32, usize, u64);

#[derive(Clone, Debug, Hash)]
struct World {
    tick: u32,
    store: Store,
    routers: Vec<Lease>,
    starts: Vec<u64>,
    /// All that holders did.
    acts: Vec<Act>,
    harms: u32,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
enum Event {
    Pass,
    Step(usize, Answer),
    DoPending,
    Restart(usize),
    Copy,
    Restore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Whole,
    Lost,
    /// Neither now nor, unless the store does it later, at all.
    Later,
}

struct Model {
    base: Instant,
    depth: u32,
    /// How many lost answers, restarts and restores one history may hold.
    harms: u32,
    /// Whether routers start again.
    restarts: bool,
    /// The hashes of the states that were explored.
    seen: HashSet<u64>,
    states: u64,
    acts: u64,
}

impl Model {
    fn now(&self, world: &World) -> Instant {
        self.base + TICK * world.tick
    }

    fn lease(router: usize, start: u64) -> Lease {
        let own = HolderId {
            vm: VmName::new(format!("vm-{router}")),
            incarnation: start,
        };
        let duration = TICK * DURATION_TICKS;
        Lease::new(own, LeaseBounds { duration })
    }

    fn first(routers: usize) -> World {
        World {
            tick: 0,
            store: Store {
                era: 0,
                revision: 0,
                record: None,
                pending: None,
                copy: None,
            },
            routers: (0..routers).map(|r| Self::lease(r, 0)).collect(),
            starts: vec![0; routers],
            acts: Vec::new(),
            harms: 0,
        }
    }

    fn explore(&mut self, world: &World, trace: &mut Vec<Event>) {
        if world.tick >= self.depth {
            return;
        }
        for event in self.events(world) {
            let mut next = world.clone();
            if !self.happen(&mut next, event) {
                continue;
            }
            trace.push(event);
            self.check(&mut next, trace);
            if self.seen.insert(self.digest(&next)) {
                self.states += 1;
                self.explore(&next, trace);
            }
            trace.pop();
        }
    }

    fn events(&self, world: &World) -> Vec<Event> {
        let mut events = vec![Event::Pass];
        let may_harm = world.harms < self.harms;
        for router in 0..world.routers.len() {
            events.push(Event::Step(router, Answer::Whole));
            if may_harm {
                events.push(Event::Step(router, Answer::Lost));
                if world.store.pending.is_none() {
                    events.push(Event::Step(router, Answer::Later));
                }
                if self.restarts {
                    events.push(Event::Restart(router));
                }
            }
        }
        if world.store.pending.is_some() {
            events.push(Event::DoPending);
        }
        if may_harm && world.store.era == 0 {
            match world.store.copy {
                None => events.push(Event::Copy),
                Some(_) => events.push(Event::Restore),
            }
        }
        events
    }

    /// Lets something happen; false where it changes nothing.
    fn happen(&self, world: &mut World, event: Event) -> bool {
        match event {
            Event::Pass => {
                world.tick += 1;
                true
            }
            Event::Step(router, answer) => self.step(world, router, answer),
            Event::DoPending => {
                let pending = world.store.pending.take();
                pending
                    .is_some_and(|write| matches!(world.store.write(&write), WriteResult::Done(_)))
            }
            Event::Restart(router) => {
                world.harms += 1;
                world.starts[router] += 1;
                world.routers[router] = Self::lease(router, world.starts[router]);
                true
            }
            Event::Copy => {
                let (revision, record) = (world.store.revision, world.store.record.clone());
                world.store.copy = Some((revision, record));
                true
            }
            Event::Restore => {
                let Some((revision, record)) = world.store.copy.take() else {
                    return false;
                };
                world.harms += 1;
                world.store.era += 1;
                (world.store.revision, world.store.record) = (revision, record);
                true
            }
        }
    }

    fn step(&self, world: &mut World, router: usize, answer: Answer) -> bool {
        let now = self.now(world);
        let wish = LeaseWish {
            may_hold: true,
            has_updates: false,
        };
        if answer != Answer::Whole {
            world.harms += 1;
        }
        match world.routers[router].step(wish, u64::from(world.tick), now) {
            LeaseStep::Wait(_) => false,
            LeaseStep::Read if answer == Answer::Whole => {
                let seen = world.store.seen();
                world.routers[router].on_read(&seen, now);
                true
            }
            LeaseStep::Read => false,
            LeaseStep::Write(write) => {
                let result = Self::write(&mut world.store, &write, answer);
                world.routers[router].on_written(&write, &result, now, now);
                true
            }
        }
    }

    fn write(store: &mut Store, write: &LeaseWrite, answer: Answer) -> WriteResult {
        match answer {
            Answer::Whole => store.write(write),
            Answer::Lost => {
                store.write(write);
                WriteResult::Unknown
            }
            Answer::Later => {
                store.pending = Some(write.clone());
                WriteResult::Unknown
            }
        }
    }

    /// Every router that may act does.
    fn check(&mut self, world: &mut World, trace: &[Event]) {
        let now = self.now(world);
        let tokens = world.routers.iter().map(|lease| lease.token_at(now));
        let acting: Vec<(usize, u64)> = tokens
            .enumerate()
            .filter_map(|(router, token)| Some((router, token?)))
            .collect();
        assert!(
            acting.len() <= 1,
            "two act: {acting:?} after {trace:?}\n{world:?}"
        );
        let Some((router, token)) = acting.first().copied() else {
            return;
        };
        self.acts += 1;
        let highest = world.acts.iter().map(|(_, _, token)| *token).max();
        assert!(
            highest.is_none_or(|highest| token >= highest),
            "a lower token after {trace:?}\n{world:?}"
        );
        let others = |act: &&Act| act.1 != router;
        assert!(
            world.acts.iter().filter(others).all(|act| act.2 != token),
            "a token twice after {trace:?}\n{world:?}"
        );
        let other = world.acts.iter().rposition(|act| act.1 != router);
        let before = other.map(|at| &world.acts[..at]).unwrap_or_default();
        let again = before.iter().rfind(|act| act.1 == router);
        assert!(
            again.is_none_or(|act| world.tick - act.0 >= DURATION_TICKS),
            "a holder came back after {trace:?}\n{world:?}"
        );
        world.acts.push((world.tick, router, token));
        world.acts.dedup();
    }

    /// What tells two states apart.
    fn digest(&self, world: &World) -> u64 {
        let mut hasher = DefaultHasher::new();
        world.hash(&mut hasher);
        hasher.finish()
    }
}

fn explore(routers: usize, depth: u32, harms: u32, restarts: bool) -> Model {
    let mut model = Model {
        base: Instant::now(),
        depth,
        harms,
        restarts,
        seen: HashSet::new(),
        states: 0,
        acts: 0,
    };
    let mut first = Model::first(routers);
    model.check(&mut first, &[]);
    model.explore(&first, &mut Vec::new());
    println!("{} states, {} acts", model.states, model.acts);
    model
}

#[test]
fn two_routers_never_act_at_the_same_time() {
    let model = explore(2, 7, 2, false);
    assert!(model.acts > 1_000, "hardly anybody acted");
}

#[test]
fn nor_do_two_that_start_again() {
    let model = explore(2, 8, 1, true);
    assert!(model.acts > 1_000, "hardly anybody acted");
}

#[test]
fn nor_do_three() {
    let model = explore(3, 5, 1, true);
    assert!(model.acts > 1_000, "hardly anybody acted");
}
