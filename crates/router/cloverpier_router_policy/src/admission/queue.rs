//! The streams that wait at this router, and its turns.
//!
//! - **Question.** Which of this router's waiting streams are sent now?
//! - **Inputs.** The room of the service and the demand of the fleet.
//! - **Result.** Tickets of streams, in their order.
//! - **Why.** Each router takes its part of the room that [`super::turns::deal`] gives to each rank.
//!
//! [`WaitingQueue`] owns the waiting streams of all services, and the numbers of streams in flight by account.

use super::order::{Rank, Ticket, WaitingStream};
use super::reports::{AccountKey, AccountUse, DemandReports, ServiceDemand};
use super::shares::Shares;
use super::turns::{deal, round_at_random};
use crate::peers::ServiceKey;
use cloverpier_core::ServiceName;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// The streams that wait at this router, and those in flight by account.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    next_ticket: u64,
    waiting: BTreeMap<Ticket, WaitingStream>,
    /// Numbers of streams in flight; an account without any has no entry.
    in_flight: HashMap<(ServiceName, AccountKey), u32>,
    /// The ranks by which streams were ordered at the last turn.
    ranks: HashMap<Ticket, Rank>,
}

/// The state of a service at one turn.
#[derive(Clone, Copy, Debug)]
pub struct Deal {
    /// Number of streams that the service's engines take now.
    pub room: u32,
    /// Number of streams in flight at the engines, over all routers.
    pub in_flight: u32,
    /// The present moment.
    pub now: Instant,
}

impl WaitingQueue {
    /// Adds a stream.
    pub fn join(&mut self, stream: WaitingStream) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.waiting.insert(ticket, stream);
        ticket
    }

    /// Removes a stream, because it was sent, refused, or its caller left.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.ranks.remove(&ticket);
    }

    /// Records that no engine took a stream at its turn.
    pub fn on_failed_turn(&mut self, ticket: Ticket, now: Instant) {
        if let Some(stream) = self.waiting.get_mut(&ticket) {
            stream.on_failed_turn(now);
        }
    }

    /// Number of waiting streams of all services.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The services for which streams wait.
    pub fn services(&self) -> Vec<ServiceName> {
        let mut services: Vec<ServiceName> =
            self.waiting.values().map(|s| s.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// The stream of a service that has waited for the longest.
    pub fn first(&self, service: &ServiceName) -> Option<&WaitingStream> {
        let of_service = self.of_service(service).map(|(_, stream)| stream);
        of_service.min_by_key(|stream| stream.arrived)
    }

    /// The rank that a waiting stream had at the last turn. Before its first one, it counts as within its share.
    pub fn rank(&self, ticket: Ticket) -> Option<Rank> {
        let stream = self.waiting.get(&ticket)?;
        let known = self.ranks.get(&ticket).copied();
        Some(known.unwrap_or_else(|| stream.rank(false)))
    }

    /// Counts a stream of an account that was sent to an engine.
    pub fn on_sent(&mut self, service: &ServiceName, account: AccountKey) {
        let key = (service.clone(), account);
        *self.in_flight.entry(key).or_default() += 1;
    }

    /// Counts a stream of an account that has ended.
    pub fn on_ended(&mut self, service: &ServiceName, account: AccountKey) {
        let key = (service.clone(), account);
        if let Some(count) = self.in_flight.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&key);
            }
        }
    }

    /// The demand of this router for a service. All accounts are named; [`ServiceDemand::truncate`] leaves out those with
    /// few streams.
    pub fn demand(&self, service: &ServiceName) -> ServiceDemand {
        let mut waiting: BTreeMap<Rank, u32> = BTreeMap::new();
        let mut accounts: BTreeMap<AccountKey, AccountUse> = BTreeMap::new();
        let use_of = |account| AccountUse {
            account,
            in_flight: 0,
            waiting: 0,
        };
        for (ticket, stream) in self.of_service(service) {
            let rank = self.ranks.get(&ticket).copied();
            *waiting
                .entry(rank.unwrap_or_else(|| stream.rank(false)))
                .or_default() += 1;
            if let Some(account) = stream.account {
                accounts
                    .entry(account)
                    .or_insert_with(|| use_of(account))
                    .waiting += 1;
            }
        }
        let in_flight = self.in_flight.iter().filter(|((of, _), _)| of == service);
        for ((_, account), count) in in_flight {
            let used = accounts.entry(*account).or_insert_with(|| use_of(*account));
            used.in_flight = *count;
        }
        ServiceDemand {
            waiting: waiting.into_iter().collect(),
            accounts: accounts.into_values().collect(),
        }
    }

    /// The streams of a service that are sent now.
    pub fn turns(
        &mut self,
        service: &ServiceName,
        peers: &DemandReports,
        state: &Deal,
        rng: &mut fastrand::Rng,
    ) -> Vec<Ticket> {
        let key = ServiceKey::of(service);
        let mut own = self.demand(service);
        let fleet = peers.fleet_demand(key, &own);
        let shares = Shares::new(&fleet, state.in_flight, state.room);
        self.rank_by_shares(service, &shares, state.now, rng);
        own = self.demand(service);
        let fractions = deal(state.room, &peers.fleet_demand(key, &own).waiting);
        let mut turns = Vec::new();
        for (rank, count) in own.waiting {
            let fraction = fractions.get(&rank).copied().unwrap_or_default();
            let count = round_at_random(f64::from(count) * fraction, rng);
            turns.extend(self.first_of(service, rank, count, state.now));
        }
        turns
    }

    /// Whether a stream that has just arrived joins the queue, because others wait that go before it or have its rank.
    pub fn must_wait(
        &self,
        stream: &WaitingStream,
        peers: &DemandReports,
        state: impl FnOnce() -> Deal,
    ) -> bool {
        let key = ServiceKey::of(&stream.service);
        let waits_here = self.waiting.values().any(|s| s.service == stream.service);
        if !waits_here && !peers.any_waiting(key) {
            return false;
        }
        let fleet = peers.fleet_demand(key, &self.demand(&stream.service));
        let state = state();
        let shares = Shares::new(&fleet, state.in_flight, state.room);
        let is_beyond = shares.fraction_within(stream.account) < 1.0;
        fleet.waiting_up_to(stream.rank(is_beyond)) > 0
    }

    /// Computes the ranks of a service's streams. The streams of an account that are due first are within its share.
    fn rank_by_shares(
        &mut self,
        service: &ServiceName,
        shares: &Shares,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) {
        let mut by_account: BTreeMap<Option<AccountKey>, Vec<(Instant, Ticket)>> = BTreeMap::new();
        for (ticket, stream) in self.of_service(service) {
            let of_account = by_account.entry(stream.account).or_default();
            of_account.push((stream.due(), ticket));
        }
        for (account, mut tickets) in by_account {
            tickets.sort_unstable();
            let within = shares.fraction_within(account) * tickets.len() as f64;
            let within = round_at_random(within, rng);
            for (index, (_, ticket)) in tickets.into_iter().enumerate() {
                if let Some(stream) = self.waiting.get(&ticket) {
                    self.ranks
                        .insert(ticket, stream.rank_at(index >= within, now));
                }
            }
        }
    }

    /// The first streams of a rank that may get a turn.
    fn first_of(
        &self,
        service: &ServiceName,
        rank: Rank,
        count: usize,
        now: Instant,
    ) -> Vec<Ticket> {
        let of_rank = self.of_service(service).filter(|(ticket, stream)| {
            self.ranks.get(ticket) == Some(&rank) && stream.not_before <= now
        });
        let mut of_rank: Vec<(Instant, Ticket)> = of_rank
            .map(|(ticket, stream)| (stream.due(), ticket))
            .collect();
        of_rank.sort_unstable();
        let first = of_rank.into_iter().take(count);
        first.map(|(_, ticket)| ticket).collect()
    }

    fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = (Ticket, &WaitingStream)> {
        let streams = self
            .waiting
            .iter()
            .filter(move |(_, s)| s.service == *service);
        streams.map(|(ticket, stream)| (*ticket, stream))
    }
}
