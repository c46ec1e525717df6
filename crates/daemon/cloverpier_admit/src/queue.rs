//! The queue of requests that wait for a free slot of an upstream, which is capacity for one
//! concurrent request.
//!
//! [`FairQueue`] orders requests by priority, and fairly among the client accounts within a
//! priority. A request is refused immediately if the expected wait is longer than the service
//! allows. The expected wait follows from the rate at which slots became free recently. The caller
//! keeps the task that waits for each [`Ticket`] and passes in the time.

use cloverpier_core::AccountName;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Number of recent pops from which the rate of free slots is measured. Slots become free in
/// bursts, with each load report, so that fewer samples may cover a single burst.
const RATE_SAMPLES: usize = 48;

/// Identifies a request in the queue. The caller chooses unique values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The properties of a request that determine its place in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The client account of the request.
    pub account: AccountName,
    /// Weight of the account: its share of the slots relative to other accounts of the same
    /// priority.
    pub weight: u32,
    /// Priority of the request; higher values are served first.
    pub priority: u8,
    /// Expected cost of the request, in tokens.
    pub cost: u32,
    /// The longest time that the request may wait in the queue.
    pub max_wait: Duration,
}

/// Whether a request was added to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// The request waits in the queue.
    Queued,
    /// The request was not added, as its expected wait exceeds its `max_wait`.
    WaitTooLong {
        /// The expected wait.
        wait: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// `u8::MAX` minus the priority, so that the highest priority sorts first.
    inverse_priority: u8,
    /// Virtual start time, in thousandths of a token per unit of weight.
    virtual_start: u64,
    ticket: Ticket,
}

/// The waiting requests of one service at one router.
///
/// Within a priority, the queue implements start-time fair queuing (Goyal, Vin and Cheng, 1996): an
/// account with many requests delays only its own requests.
#[derive(Debug, Default)]
pub struct FairQueue {
    queued: BTreeMap<QueuePosition, Instant>,
    positions: HashMap<Ticket, QueuePosition>,
    virtual_finish: HashMap<AccountName, u64>,
    virtual_now: u64,
    recent_pops: VecDeque<Instant>,
}

impl FairQueue {
    /// Adds a request to the queue, unless its expected wait is too long.
    pub fn push(&mut self, ticket: Ticket, req: &QueuedRequest, now: Instant) -> PushResult {
        let position = self.position_for(ticket, req);
        let wait = self.expected_wait(&position, now);
        if wait > req.max_wait {
            return PushResult::WaitTooLong { wait };
        }
        let per_weight = u64::from(req.cost.max(1)) * 1_000 / u64::from(req.weight.max(1));
        self.virtual_finish
            .insert(req.account.clone(), position.virtual_start + per_weight);
        self.queued.insert(position, now + req.max_wait);
        self.positions.insert(ticket, position);
        PushResult::Queued
    }

    fn position_for(&self, ticket: Ticket, req: &QueuedRequest) -> QueuePosition {
        // An account without earlier requests starts at the current virtual time.
        let virtual_finish = self.virtual_finish.get(&req.account).copied().unwrap_or(0);
        QueuePosition {
            inverse_priority: u8::MAX - req.priority,
            virtual_start: virtual_finish.max(self.virtual_now),
            ticket,
        }
    }

    /// Number of requests ahead, times the mean time between recent pops. Zero if there are no
    /// recent pops.
    fn expected_wait(&self, position: &QueuePosition, now: Instant) -> Duration {
        let requests_ahead = self.queued.range(..position).count();
        let Some(oldest) = self.recent_pops.front() else {
            return Duration::ZERO;
        };
        let elapsed_s = now.saturating_duration_since(*oldest).as_secs_f64();
        let seconds_per_pop = elapsed_s / self.recent_pops.len() as f64;
        Duration::from_secs_f64((requests_ahead as f64 * seconds_per_pop).min(3_600.0))
    }

    /// Removes and returns the first request. Called only when a slot is free.
    pub fn pop(&mut self, now: Instant) -> Option<Ticket> {
        let (position, _) = self.queued.pop_first()?;
        self.positions.remove(&position.ticket);
        self.virtual_now = self.virtual_now.max(position.virtual_start);
        self.record_pop(now);
        if self.queued.is_empty() {
            // No request waits any more, so the accounts' past use does not count for later
            // requests.
            self.virtual_finish.clear();
            self.virtual_now = 0;
        }
        Some(position.ticket)
    }

    fn record_pop(&mut self, now: Instant) {
        if self.queued.is_empty() {
            // Once the queue is empty, pops stop although slots may become free, so the samples
            // would show too low a rate.
            self.recent_pops.clear();
            return;
        }
        self.recent_pops.push_back(now);
        if self.recent_pops.len() > RATE_SAMPLES {
            self.recent_pops.pop_front();
        }
    }

    /// Removes a request whose caller has disconnected. Does nothing if the request is not in the
    /// queue.
    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(position) = self.positions.remove(&ticket) {
            self.queued.remove(&position);
        }
    }

    /// Removes and returns the requests whose maximum wait has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let expired = self.queued.iter().filter(|(_, until)| now >= **until);
        let expired: Vec<Ticket> = expired.map(|(position, _)| position.ticket).collect();
        for ticket in &expired {
            self.remove(*ticket);
        }
        expired
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
