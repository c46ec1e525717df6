//! What the routers tell each other about the streams that wait.
//!
//! - **Question.** How many streams wait for a service at all routers, and which accounts have the most streams?
//! - **Inputs.** This router's own demand, and the last report of each peer.
//! - **Result.** A [`ServiceDemand`] of the whole fleet.
//! - **Why.** The sum over routers must keep to the room and to the accounts' shares. A report replaces the peer's
//!   former one, so a lost one needs no retransmission, and a report of a router that died expires.
//!
//! [`DemandReports`] owns the reports. Their size is bounded: the ranks are few, and each router names at most
//! [`MAX_ACCOUNTS`] accounts.

use super::order::Rank;
use crate::peers::ServiceKey;
use cloverpier_core::hash_of;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of accounts in one router's report on a service, those with the most streams.
pub const MAX_ACCOUNTS: usize = 16;
/// Maximum number of services in one report.
pub const MAX_SERVICES: usize = 12;
/// Maximum number of ranks in one router's report on a service.
pub const MAX_RANKS: usize = 24;
/// Number of sending intervals for which a report is valid without a further one.
const VALID_INTERVALS: u32 = 3;

/// A client account's name as a hash of eight bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// The key of the account with this name: a hash that is the same in all routers.
    pub fn of(name: &str) -> Self {
        Self(hash_of(name))
    }
}

/// The streams of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUse {
    /// The account.
    pub account: AccountKey,
    /// Number of its streams that were sent to an engine and have not ended.
    pub in_flight: u32,
    /// Number of its streams that wait.
    pub waiting: u32,
}

/// The streams that wait for a service, and the accounts with the most streams there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Number of waiting streams of each rank.
    pub waiting: Vec<(Rank, u32)>,
    /// The accounts that have the most streams in flight and waiting.
    pub accounts: Vec<AccountUse>,
}

impl ServiceDemand {
    /// Number of waiting streams of all ranks.
    pub fn total_waiting(&self) -> u32 {
        self.waiting.iter().map(|(_, count)| count).sum()
    }

    /// Number of waiting streams of a rank and of those that go before it.
    pub fn waiting_up_to(&self, rank: Rank) -> u32 {
        let ahead = self.waiting.iter().filter(|(other, _)| *other <= rank);
        ahead.map(|(_, count)| count).sum()
    }

    /// Reduces the demand to what fits into a report.
    pub fn truncate(&mut self) {
        self.accounts
            .sort_by_key(|a| std::cmp::Reverse(a.in_flight.saturating_add(a.waiting)));
        self.accounts.truncate(MAX_ACCOUNTS);
        self.waiting.sort_unstable();
        self.waiting.truncate(MAX_RANKS);
    }
}

/// The last report of each peer.
#[derive(Clone, Debug, Default)]
pub struct DemandReports {
    by_peer: HashMap<SocketAddr, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    services: Vec<(ServiceKey, ServiceDemand)>,
}

impl DemandReports {
    /// Replaces a peer's report.
    pub fn on_report(
        &mut self,
        peer: SocketAddr,
        services: Vec<(ServiceKey, ServiceDemand)>,
        now: Instant,
    ) {
        self.by_peer.insert(peer, Report { at: now, services });
    }

    /// Removes the reports that were not renewed for some intervals.
    pub fn remove_expired(&mut self, interval: Duration, now: Instant) {
        let max_age = interval * VALID_INTERVALS;
        self.by_peer
            .retain(|_, report| now.saturating_duration_since(report.at) <= max_age);
    }

    /// Whether a stream waits for the service at a peer.
    pub fn any_waiting(&self, service: ServiceKey) -> bool {
        self.of_service(service).any(|d| d.total_waiting() > 0)
    }

    /// The services for which streams wait at peers.
    pub fn services_with_waiting(&self) -> Vec<ServiceKey> {
        let reports = self.by_peer.values().flat_map(|report| &report.services);
        let waiting = reports.filter(|(_, demand)| demand.total_waiting() > 0);
        let mut services: Vec<ServiceKey> = waiting.map(|(service, _)| *service).collect();
        services.sort_unstable_by_key(|service| service.0);
        services.dedup();
        services
    }

    /// The age of the oldest report on a service; `None` without a report.
    pub fn oldest(&self, service: ServiceKey, now: Instant) -> Option<Duration> {
        let reports = self.by_peer.values();
        let about = reports.filter(|r| r.services.iter().any(|(key, _)| *key == service));
        about.map(|r| now.saturating_duration_since(r.at)).max()
    }

    /// The demand of the whole fleet: this router's own and that of its peers.
    pub fn fleet_demand(&self, service: ServiceKey, own: &ServiceDemand) -> ServiceDemand {
        let mut waiting: BTreeMap<Rank, u32> = BTreeMap::new();
        let mut accounts: BTreeMap<AccountKey, AccountUse> = BTreeMap::new();
        for demand in self.of_service(service).chain([own]) {
            for (rank, count) in &demand.waiting {
                let total = waiting.entry(*rank).or_default();
                *total = total.saturating_add(*count);
            }
            for reported in &demand.accounts {
                let total = accounts.entry(reported.account).or_insert(AccountUse {
                    account: reported.account,
                    in_flight: 0,
                    waiting: 0,
                });
                total.in_flight = total.in_flight.saturating_add(reported.in_flight);
                total.waiting = total.waiting.saturating_add(reported.waiting);
            }
        }
        ServiceDemand {
            waiting: waiting.into_iter().collect(),
            accounts: accounts.into_values().collect(),
        }
    }

    fn of_service(&self, service: ServiceKey) -> impl Iterator<Item = &ServiceDemand> {
        let reports = self.by_peer.values().flat_map(|report| &report.services);
        reports
            .filter(move |(key, _)| *key == service)
            .map(|(_, demand)| demand)
    }
}
