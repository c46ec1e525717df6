//! The queue for places: by priority, then fair among accounts by weight.
//!
//! Question: which of the waiting requests gets the next free place, and is a new one worth
//! queuing at all? Inputs: priority, account, weight and cost of each; when places came free. A
//! request that would wait longer than its service allows is refused at once. Owns the order; who
//! waits behind a ticket is its caller's.

use cloverpier_core::AccountName;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Places that came free over which their rate is measured: they come in bursts, with each load
/// report.
const RATE_SAMPLES: usize = 48;

/// Names a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that waits for a place.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its account.
    pub account: AccountName,
    /// The account's weight.
    pub weight: u32,
    /// Its priority; higher goes first.
    pub priority: u8,
    /// What it is expected to use, in tokens.
    pub cost: u32,
    /// The longest wait.
    pub patience: Duration,
}

/// What came of a request that asked for a place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueStep {
    /// It waits.
    Waits,
    /// It can't get a place in time: refuse it now.
    TooLong {
        /// How long it would have waited.
        wait: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Highest priority first, so the priority is stored as what it lacks to the highest.
    lack: u8,
    /// Virtual start in thousandths of a token per unit of weight.
    start: u64,
    ticket: Ticket,
}

/// A queue of one service at one router.
///
/// Within a priority it is start-time fair queuing (Goyal, Vin and Cheng,
/// 1996): an account that asks for much gets its share and delays only itself.
#[derive(Debug, Default)]
pub struct Queue {
    order: BTreeMap<Place, Instant>,
    places: HashMap<Ticket, Place>,
    finish: HashMap<AccountName, u64>,
    virtual_now: u64,
    pops: VecDeque<Instant>,
}

impl Queue {
    /// Puts a request in line, or says that it would wait too long.
    pub fn push(&mut self, ticket: Ticket, req: &Waiting, now: Instant) -> QueueStep {
        let place = self.place_of(ticket, req);
        let wait = self.expected_wait(&place, now);
        if wait > req.patience {
            return QueueStep::TooLong { wait };
        }
        let per_weight = u64::from(req.cost.max(1)) * 1_000 / u64::from(req.weight.max(1));
        self.finish
            .insert(req.account.clone(), place.start + per_weight);
        self.order.insert(place, now + req.patience);
        self.places.insert(ticket, place);
        QueueStep::Waits
    }

    fn place_of(&self, ticket: Ticket, req: &Waiting) -> Place {
        // An account without a turn so far starts at the present virtual time.
        let finish = self.finish.get(&req.account).copied().unwrap_or(0);
        Place {
            lack: u8::MAX - req.priority,
            start: finish.max(self.virtual_now),
            ticket,
        }
    }

    /// Requests ahead, at the rate at which places came free recently.
    fn expected_wait(&self, place: &Place, now: Instant) -> Duration {
        let ahead = self.order.range(..place).count();
        let Some(first) = self.pops.front() else {
            return Duration::ZERO;
        };
        let passed = now.saturating_duration_since(*first).as_secs_f64();
        let gap_s = passed / self.pops.len() as f64;
        Duration::from_secs_f64((ahead as f64 * gap_s).min(3_600.0))
    }

    /// The next request in line, now that a place is free.
    pub fn pop(&mut self, now: Instant) -> Option<Ticket> {
        let (place, _) = self.order.pop_first()?;
        self.places.remove(&place.ticket);
        self.virtual_now = self.virtual_now.max(place.start);
        self.note_pop(now);
        if self.order.is_empty() {
            // Nobody is behind: a new busy time begins with clean accounts.
            self.finish.clear();
            self.virtual_now = 0;
        }
        Some(place.ticket)
    }

    fn note_pop(&mut self, now: Instant) {
        if self.order.is_empty() {
            // Nobody waits any more: how fast places come free isn't known from here on.
            self.pops.clear();
            return;
        }
        self.pops.push_back(now);
        if self.pops.len() > RATE_SAMPLES {
            self.pops.pop_front();
        }
    }

    /// Takes a request out of line whose caller went away.
    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(place) = self.places.remove(&ticket) {
            self.order.remove(&place);
        }
    }

    /// Takes out those that have waited as long as they can.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let late = self.order.iter().filter(|(_, until)| now >= **until);
        let late: Vec<Ticket> = late.map(|(place, _)| place.ticket).collect();
        for ticket in &late {
            self.remove(*ticket);
        }
        late
    }

    /// Requests in line.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether nobody is in line.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
