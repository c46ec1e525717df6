//! Explores the lease exhaustively: all sequences of steps of a few routers at one store, up to a depth.
//!
//! Time advances in ticks of half of the lease's duration. In each state any router may take its next
//! step with any result of the store's call (applied; applied, but the response lost; not applied now,
//! and applied later or never), may pause, or may restart. The store may be restored from an older copy
//! under a higher era, and time may advance. In each state these invariants hold:
//!
//! - at most one router may act at a moment;
//! - a router that acts has a token at least as high as all tokens of earlier actions, and no two
//!   routers act with the same token;
//! - no holder acts again within the lease's duration after another router has acted.

use cloverpier_core::VmName;
use cloverpier_router_policy::singleton::lease::{
    Condition, HolderId, Lease, LeaseBounds, LeaseInput, LeaseStep, LeaseWrite, RecordSnapshot,
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
    /// A write without a response, which the store may still apply.
    pending: Option<LeaseWrite>,
    /// The revision and the record that a restore returns the store to.
    backup: Option<(u64, Option<Record>)>,
}

impl Store {
    fn snapshot(&self) -> RecordSnapshot {
        RecordSnapshot {
            version: RecordVersion {
                era: self.era,
                revision: self.record.as_ref().map(|r| r.revision),
            },
            tenure: self.record.as_ref().map(|r| r.tenure.clone()),
        }
    }

    /// Applies a write if the record meets its condition; the store does not check the write's era.
    fn write(&mut self, write: &LeaseWrite) -> WriteResult {
        let present = self.record.as_ref().map(|r| r.revision);
        let required = match write.condition {
            Condition::Absent => None,
            Condition::Revision(revision) => Some(revision),
        };
        if present != required {
            return WriteResult::Conflict(self.snapshot());
        }
        self.revision += 1;
        self.record = Some(Record {
            revision: self.revision,
            tenure: write.tenure.clone(),
        });
        WriteResult::Done(self.snapshot().version)
    }
}

/// An action of a holder: its tick, its router and its token.
type Action = (u32, usize, u64);

#[derive(Clone, Debug, Hash)]
struct SimulatedState {
    tick: u32,
    store: Store,
    routers: Vec<Lease>,
    starts: Vec<u64>,
    /// All actions of holders so far.
    actions: Vec<Action>,
    faults: u32,
}

/// What can happen next in a state.
#[derive(Clone, Copy, Debug)]
enum Event {
    Tick,
    Step(usize, CallOutcome),
    ApplyPending,
    Restart(usize),
    TakeBackup,
    Restore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    Completed,
    ResponseLost,
    /// The write is not applied now, and may be applied later ([`Event::ApplyPending`]).
    Delayed,
}

struct Model {
    base: Instant,
    depth: u32,
    /// The largest number of lost responses, restarts and restores in one sequence.
    faults: u32,
    /// Whether routers may restart.
    restarts: bool,
    /// Hashes of the explored states.
    explored: HashSet<u64>,
    states: u64,
    actions: u64,
}

impl Model {
    fn now(&self, state: &SimulatedState) -> Instant {
        self.base + TICK * state.tick
    }

    fn lease(router: usize, start: u64) -> Lease {
        let own = HolderId {
            vm: VmName::new(format!("vm-{router}")),
            incarnation: start,
        };
        let duration = TICK * DURATION_TICKS;
        Lease::new(own, LeaseBounds { duration })
    }

    fn initial(routers: usize) -> SimulatedState {
        SimulatedState {
            tick: 0,
            store: Store {
                era: 0,
                revision: 0,
                record: None,
                pending: None,
                backup: None,
            },
            routers: (0..routers).map(|r| Self::lease(r, 0)).collect(),
            starts: vec![0; routers],
            actions: Vec::new(),
            faults: 0,
        }
    }

    fn explore(&mut self, state: &SimulatedState, trace: &mut Vec<Event>) {
        if state.tick >= self.depth {
            return;
        }
        for event in self.events(state) {
            let mut next = state.clone();
            if !self.apply(&mut next, event) {
                continue;
            }
            trace.push(event);
            self.check(&mut next, trace);
            if self.explored.insert(self.state_hash(&next)) {
                self.states += 1;
                self.explore(&next, trace);
            }
            trace.pop();
        }
    }

    fn events(&self, state: &SimulatedState) -> Vec<Event> {
        let mut events = vec![Event::Tick];
        let may_inject_fault = state.faults < self.faults;
        for router in 0..state.routers.len() {
            events.push(Event::Step(router, CallOutcome::Completed));
            if may_inject_fault {
                events.push(Event::Step(router, CallOutcome::ResponseLost));
                if state.store.pending.is_none() {
                    events.push(Event::Step(router, CallOutcome::Delayed));
                }
                if self.restarts {
                    events.push(Event::Restart(router));
                }
            }
        }
        if state.store.pending.is_some() {
            events.push(Event::ApplyPending);
        }
        if may_inject_fault && state.store.era == 0 {
            match state.store.backup {
                None => events.push(Event::TakeBackup),
                Some(_) => events.push(Event::Restore),
            }
        }
        events
    }

    /// Applies an event to a state; returns false if the event has no effect.
    fn apply(&self, state: &mut SimulatedState, event: Event) -> bool {
        match event {
            Event::Tick => {
                state.tick += 1;
                true
            }
            Event::Step(router, outcome) => self.step(state, router, outcome),
            Event::ApplyPending => {
                let pending = state.store.pending.take();
                pending
                    .is_some_and(|write| matches!(state.store.write(&write), WriteResult::Done(_)))
            }
            Event::Restart(router) => {
                state.faults += 1;
                state.starts[router] += 1;
                state.routers[router] = Self::lease(router, state.starts[router]);
                true
            }
            Event::TakeBackup => {
                let (revision, record) = (state.store.revision, state.store.record.clone());
                state.store.backup = Some((revision, record));
                true
            }
            Event::Restore => {
                let Some((revision, record)) = state.store.backup.take() else {
                    return false;
                };
                state.faults += 1;
                state.store.era += 1;
                (state.store.revision, state.store.record) = (revision, record);
                true
            }
        }
    }

    fn step(&self, state: &mut SimulatedState, router: usize, outcome: CallOutcome) -> bool {
        let now = self.now(state);
        let input = LeaseInput {
            may_hold: true,
            has_updates: false,
        };
        if outcome != CallOutcome::Completed {
            state.faults += 1;
        }
        match state.routers[router].step(input, u64::from(state.tick), now) {
            LeaseStep::Wait(_) => false,
            LeaseStep::Read if outcome == CallOutcome::Completed => {
                let snapshot = state.store.snapshot();
                state.routers[router].on_read(&snapshot, now);
                true
            }
            LeaseStep::Read => false,
            LeaseStep::Write(write) => {
                let result = Self::write(&mut state.store, &write, outcome);
                state.routers[router].on_written(&write, &result, now, now);
                true
            }
        }
    }

    fn write(store: &mut Store, write: &LeaseWrite, outcome: CallOutcome) -> WriteResult {
        match outcome {
            CallOutcome::Completed => store.write(write),
            CallOutcome::ResponseLost => {
                store.write(write);
                WriteResult::Unknown
            }
            CallOutcome::Delayed => {
                store.pending = Some(write.clone());
                WriteResult::Unknown
            }
        }
    }

    /// Lets every router act that may act, and checks the invariants.
    fn check(&mut self, state: &mut SimulatedState, trace: &[Event]) {
        let now = self.now(state);
        let tokens = state.routers.iter().map(|lease| lease.token_at(now));
        let active: Vec<(usize, u64)> = tokens
            .enumerate()
            .filter_map(|(router, token)| Some((router, token?)))
            .collect();
        assert!(
            active.len() <= 1,
            "two routers act: {active:?} after {trace:?}\n{state:?}"
        );
        let Some((router, token)) = active.first().copied() else {
            return;
        };
        self.actions += 1;
        let highest = state.actions.iter().map(|(_, _, token)| *token).max();
        assert!(
            highest.is_none_or(|highest| token >= highest),
            "a token is lower than an earlier one after {trace:?}\n{state:?}"
        );
        let others = |action: &&Action| action.1 != router;
        assert!(
            state
                .actions
                .iter()
                .filter(others)
                .all(|action| action.2 != token),
            "two routers use one token after {trace:?}\n{state:?}"
        );
        let other = state.actions.iter().rposition(|action| action.1 != router);
        let before = other.map(|at| &state.actions[..at]).unwrap_or_default();
        let again = before.iter().rfind(|action| action.1 == router);
        assert!(
            again.is_none_or(|action| state.tick - action.0 >= DURATION_TICKS),
            "a former holder acts again too early after {trace:?}\n{state:?}"
        );
        state.actions.push((state.tick, router, token));
        state.actions.dedup();
    }

    /// A hash that identifies a state.
    fn state_hash(&self, state: &SimulatedState) -> u64 {
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        hasher.finish()
    }
}

fn explore(routers: usize, depth: u32, faults: u32, restarts: bool) -> Model {
    let mut model = Model {
        base: Instant::now(),
        depth,
        faults,
        restarts,
        explored: HashSet::new(),
        states: 0,
        actions: 0,
    };
    let mut initial = Model::initial(routers);
    model.check(&mut initial, &[]);
    model.explore(&initial, &mut Vec::new());
    println!("{} states, {} actions", model.states, model.actions);
    model
}

#[test]
fn two_routers_never_act_at_the_same_time() {
    let model = explore(2, 7, 2, false);
    assert!(model.actions > 1_000, "too few actions to test the lease");
}

#[test]
fn two_restarting_routers_never_act_at_the_same_time() {
    let model = explore(2, 8, 1, true);
    assert!(model.actions > 1_000, "too few actions to test the lease");
}

#[test]
fn three_routers_never_act_at_the_same_time() {
    let model = explore(3, 5, 1, true);
    assert!(model.actions > 1_000, "too few actions to test the lease");
}
