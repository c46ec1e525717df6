//! Reports of store watchers, which gossip carries to all routers of a large fleet.
//!
//! - **Question.** How long ago did each watcher's last call to the store succeed?
//! - **Inputs.** The reports of watchers, as other routers forwarded them; the current time.
//! - **Result.** The age of each watcher's last successful call; the reports for the next gossip message.
//! - **Why.** Routers that don't watch the store rely on the watchers ([`crate::store_watch`]), and replace
//!   watchers that don't reach the store. In a large fleet a watcher does not send to all routers. Instead,
//!   gossip messages carry the last report of each watcher, and each router that forwards a report adds the
//!   time since it received it.
//!
//! [`WatcherReports`] owns the last report of each watcher.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A report expires this long after it was received: twice the time in which a report reaches all routers.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Maximum number of reports in one message: three chosen watchers, and as many that replace them.
const REPORTS_PER_MESSAGE: usize = 6;

/// A watcher's report of its own calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherReport {
    /// The watcher's address for peers.
    pub router: SocketAddr,
    /// Sequence number of the watcher's reports. A later process at the same address continues with higher
    /// numbers, as it starts from the wall clock.
    pub number: u64,
    /// Milliseconds since the watcher's last successful call to the store. While its calls fail, at least
    /// the age at which other routers replace it ([`crate::store_watch::reported_store_age`]).
    pub store_age_ms: u32,
}

/// A report, and when this router received it.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: WatcherReport,
    received_at: Instant,
}

impl ReceivedReport {
    fn store_age(&self, now: Instant) -> Duration {
        let age = Duration::from_millis(self.report.store_age_ms.into());
        age + now.saturating_duration_since(self.received_at)
    }
}

/// The last report of each watcher, by the watcher's address for peers.
#[derive(Clone, Debug, Default)]
pub struct WatcherReports {
    reports: HashMap<SocketAddr, ReceivedReport>,
}

impl WatcherReports {
    /// Records a report; returns whether it is newer than the recorded report of the same watcher.
    pub fn on_report(&mut self, report: WatcherReport, now: Instant) -> bool {
        let last = self.reports.get(&report.router);
        if last.is_some_and(|entry| entry.report.number >= report.number) {
            return false;
        }
        self.reports.insert(
            report.router,
            ReceivedReport {
                report,
                received_at: now,
            },
        );
        true
    }

    /// The time since a router's last successful call to the store; `None` without a recent report of it.
    pub fn store_age(&self, router: SocketAddr, now: Instant) -> Option<Duration> {
        self.recent_reports(now)
            .find(|entry| entry.report.router == router)
            .map(|entry| entry.store_age(now))
    }

    /// The routers that watch the store or try to, as their recent reports show.
    pub fn watchers(&self, now: Instant) -> Vec<SocketAddr> {
        self.recent_reports(now)
            .map(|entry| entry.report.router)
            .collect()
    }

    /// The reports for the next message, at most `REPORTS_PER_MESSAGE`. Watchers with the most recent
    /// successful calls come first, and the ages include the time since the reports arrived.
    pub fn for_message(&self, now: Instant) -> Vec<WatcherReport> {
        let mut recent: Vec<&ReceivedReport> = self.recent_reports(now).collect();
        recent.sort_by_key(|entry| (entry.store_age(now), entry.report.router));
        recent.truncate(REPORTS_PER_MESSAGE);
        let aged = recent.into_iter().map(|entry| WatcherReport {
            store_age_ms: ms(entry.store_age(now)),
            ..entry.report
        });
        aged.collect()
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_recent =
            |entry: &ReceivedReport| now.saturating_duration_since(entry.received_at) <= REPORT_TTL;
        self.reports.retain(|_, entry| is_recent(entry));
    }

    fn recent_reports(&self, now: Instant) -> impl Iterator<Item = &ReceivedReport> {
        let is_recent = move |entry: &&ReceivedReport| {
            now.saturating_duration_since(entry.received_at) <= REPORT_TTL
        };
        self.reports.values().filter(is_recent)
    }
}

fn ms(age: Duration) -> u32 {
    // u32 milliseconds hold 49 days; a longer age has the same consequences.
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
