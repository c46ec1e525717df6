//! How many requests started to run in each window of time, for each client account.
//!
//! - **Question.** Which counts does the usage report of a window contain, and when are they final?
//! - **Inputs.** The counts that each router reported; the counts that the lease's previous holder
//!   wrote into the lease's record; the fleet's time of day.
//! - **Outcome.** The counts of a decided (final) window; the windows that the record holds.
//! - **Why.** The report of a window must have the same content whichever router sends it. So the
//!   holder of the lease writes the counts into the record before it reports them: they are decided
//!   then, and a later holder repeats them unchanged. Routers report cumulative counts, so a lost
//!   report costs nothing. The record also holds the counts of undecided windows, so that the counts of
//!   routers that crashed outlast the holder.
//!
//! The size of a report grows with the accounts that a router counted requests of, not with the number
//! of all accounts.
//!
//! [`OwnUsage`] owns the counts of this router, [`FleetUsage`] the reported counts of all routers;
//! [`UsageJournal`] is the part of the lease's record that holds windows.

use super::fleet_clock::FleetMs;
use cloverpier_core::AccountName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The fraction of [`WindowBounds::report_deadline`] that the holder waits for routers' counts after the
/// end of a window; the rest is for a change of the holder.
const DECISION_DELAY_FRACTION: f64 = 0.4;
/// The largest number of windows that are kept while they cannot be reported; older ones are dropped.
const MAX_KEPT_WINDOWS: usize = 64;
/// The largest number of counts in one report, which then fits into a datagram of
/// [`crate::heartbeat::MAX_DATAGRAM`] bytes if account names have at most 64 bytes.
pub const MAX_COUNTS_PER_REPORT: usize = 96;

/// The number of a window: the time since the start of 1970 divided by the window's length.
pub type Window = u64;

/// Requests that started to run, by client account. The accounts are sorted, so that equal counts have
/// equal bytes in the record and in reports.
pub type WindowCounts = BTreeMap<AccountName, u32>;

/// The operator's settings for usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowBounds {
    /// The length of a window.
    pub length: Duration,
    /// How long after the end of a window its report is still on time.
    pub report_deadline: Duration,
}

impl WindowBounds {
    fn length_ms(self) -> u64 {
        u64::try_from(self.length.as_millis())
            .unwrap_or(u64::MAX)
            .max(1)
    }

    /// The window that contains a moment.
    pub fn window_at(self, at: FleetMs) -> Window {
        at / self.length_ms()
    }

    /// The moment at which the counts of a window become final.
    fn decided_at(self, window: Window) -> FleetMs {
        let wait = self
            .report_deadline
            .mul_f64(DECISION_DELAY_FRACTION)
            .as_millis();
        let end = (window + 1).saturating_mul(self.length_ms());
        end.saturating_add(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    /// The first window whose counts are not yet due to become final.
    pub fn first_undecided(self, now: FleetMs) -> Window {
        let mut window = self.window_at(now);
        while window > 0 && self.decided_at(window - 1) > now {
            window -= 1;
        }
        window
    }
}

/// The counts of this router, by window.
#[derive(Clone, Debug, Default)]
pub struct OwnUsage {
    windows: BTreeMap<Window, WindowCounts>,
    /// Whether any request was counted since the last call of [`Self::take_updates`].
    has_updates: bool,
}

impl OwnUsage {
    /// Counts a request of an account that started to run.
    pub fn on_request_started(&mut self, account: &AccountName, window: Window) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        self.has_updates = true;
        while self.windows.len() > MAX_KEPT_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Discards the counts of windows before this one, which are decided or dropped.
    pub fn discard_before(&mut self, window: Window) {
        self.windows = self.windows.split_off(&window);
    }

    /// Whether any request was counted since the last call; resets that.
    pub fn take_updates(&mut self) -> bool {
        std::mem::take(&mut self.has_updates)
    }

    /// The counts that this router still holds, by window.
    pub fn windows(&self) -> &BTreeMap<Window, WindowCounts> {
        &self.windows
    }
}

/// Counts of one window, as routers send them.
pub type ReportedWindow = (Window, Vec<(AccountName, u32)>);

/// Divides counts into reports that each fit into a datagram. Returns at least one report, which is
/// empty without any counts.
pub fn split_into_reports(windows: &BTreeMap<Window, WindowCounts>) -> Vec<Vec<ReportedWindow>> {
    let counts = windows.iter().flat_map(|(window, counts)| {
        let of_window = counts.iter();
        of_window.map(|(account, count)| (*window, account.clone(), *count))
    });
    let mut reports = vec![Vec::<ReportedWindow>::new()];
    let mut left = MAX_COUNTS_PER_REPORT;
    for (window, account, count) in counts {
        if left == 0 {
            reports.push(Vec::new());
            left = MAX_COUNTS_PER_REPORT;
        }
        left -= 1;
        // The list is created with one report and never shrinks, so it has a last one.
        let Some(report) = reports.last_mut() else {
            continue;
        };
        match report.last_mut() {
            Some((last, counts)) if *last == window => counts.push((account, count)),
            _ => report.push((window, vec![(account, count)])),
        }
    }
    reports
}

/// The process of a router whose counts are cumulative; a restart begins new counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct UsageReporter {
    /// The router's address for peers.
    pub router: SocketAddr,
    /// A random number that the process draws at its start.
    pub incarnation: u64,
}

#[derive(Clone, Debug, Default)]
struct ReportedUsage {
    /// The fleet's time of day at the start of the router's process.
    started: FleetMs,
    windows: BTreeMap<Window, WindowCounts>,
}

/// The reported counts of all routers.
#[derive(Clone, Debug, Default)]
pub struct FleetUsage {
    routers: HashMap<UsageReporter, ReportedUsage>,
}

impl FleetUsage {
    /// Records a report, which may hold only some of the router's counts. Counts only grow, so reports may
    /// arrive in any order.
    pub fn on_report(
        &mut self,
        from: UsageReporter,
        started: FleetMs,
        windows: Vec<ReportedWindow>,
    ) {
        let reported = self.routers.entry(from).or_default();
        reported.started = started;
        for (window, counts) in windows {
            let window_counts = reported.windows.entry(window).or_default();
            for (account, count) in counts {
                let current = window_counts.entry(account).or_default();
                *current = count.max(*current);
            }
        }
    }

    /// Discards the counts of windows before this one.
    pub fn discard_before(&mut self, window: Window) {
        for reported in self.routers.values_mut() {
            reported.windows = reported.windows.split_off(&window);
        }
        self.routers.retain(|_, c| !c.windows.is_empty());
    }

    /// The windows that any router reported counts of; a window may occur more than once.
    fn windows(&self) -> impl Iterator<Item = Window> {
        self.routers
            .values()
            .flat_map(|c| c.windows.keys().copied())
    }

    /// The counts of a window. The counts of routers that started before the record was written are
    /// summed, and each account has that sum or its count in the record, whichever is more. The counts of
    /// routers that started later are added.
    fn counts(&self, window: Window, recorded: Option<&RecordedCounts>) -> WindowCounts {
        let written = recorded.map_or(0, |r| r.written);
        let (before, after) = self.sums(window, written);
        let mut counts = before;
        for (account, count) in recorded.into_iter().flat_map(|r| &r.counts) {
            let total = counts.entry(account.clone()).or_default();
            *total = (*total).max(*count);
        }
        for (account, count) in after {
            let total = counts.entry(account).or_default();
            *total = total.saturating_add(count);
        }
        counts
    }

    /// The summed counts of routers that started up to a moment, and of those that started later.
    fn sums(&self, window: Window, moment: FleetMs) -> (WindowCounts, WindowCounts) {
        let (mut before, mut after) = (WindowCounts::new(), WindowCounts::new());
        for reported in self.routers.values() {
            let sum = if reported.started <= moment {
                &mut before
            } else {
                &mut after
            };
            for (account, count) in reported.windows.get(&window).into_iter().flatten() {
                let total = sum.entry(account.clone()).or_default();
                *total = total.saturating_add(*count);
            }
        }
        (before, after)
    }
}

/// Counts of a window in the record that this router found when it took the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordedCounts {
    written: FleetMs,
    counts: WindowCounts,
}

/// The windows of usage counts in the lease's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageJournal {
    /// The first window whose counts are not decided.
    pub undecided: Window,
    /// Decided counts of windows whose report the platform has not acknowledged.
    pub decided: BTreeMap<Window, WindowCounts>,
    /// The counts so far of windows that are not decided.
    pub open: BTreeMap<Window, WindowCounts>,
    /// The fleet's time of day at this write.
    pub written: FleetMs,
    /// The store's era at this write.
    pub era: u64,
}

/// The usage windows at the holder of the lease.
#[derive(Clone, Debug)]
pub struct HolderUsage {
    bounds: WindowBounds,
    era: u64,
    undecided: Window,
    decided: BTreeMap<Window, WindowCounts>,
    /// Decided windows that the record holds, so that they may be reported.
    recorded: Vec<Window>,
    /// Counts of undecided windows that the previous holder left in the record.
    inherited: BTreeMap<Window, RecordedCounts>,
}

impl HolderUsage {
    /// Creates the state of a new holder from the journal in the record. Without a journal, the first
    /// window is the one that contains the moment `since`.
    ///
    /// A journal of an earlier era is an older copy: windows may have been decided and reported since the
    /// copy. So all windows that could be decided by `now` are dropped.
    pub fn take_over(
        bounds: WindowBounds,
        journal: Option<&UsageJournal>,
        era: u64,
        since: FleetMs,
        now: FleetMs,
    ) -> Self {
        let mut usage = Self {
            bounds,
            era,
            undecided: bounds.window_at(since),
            decided: BTreeMap::new(),
            recorded: Vec::new(),
            inherited: BTreeMap::new(),
        };
        let Some(journal) = journal else {
            return usage;
        };
        let written = journal.written;
        let inherited = journal.open.iter().map(|(window, counts)| {
            let counts = counts.clone();
            (*window, RecordedCounts { written, counts })
        });
        usage.inherited = inherited.collect();
        if journal.era == era {
            usage.undecided = journal.undecided;
            usage.decided = journal.decided.clone();
            usage.recorded = journal.decided.keys().copied().collect();
        } else {
            usage.undecided = journal.undecided.max(bounds.first_undecided(now));
        }
        usage
    }

    /// Decides all windows that are due; returns whether there are any.
    pub fn decide(&mut self, fleet_usage: &FleetUsage, now: FleetMs) -> bool {
        let end = self.bounds.first_undecided(now);
        let begin = self
            .undecided
            .max(end.saturating_sub(MAX_KEPT_WINDOWS as u64));
        for window in begin..end {
            let counts = fleet_usage.counts(window, self.inherited.get(&window));
            self.decided.insert(window, counts);
        }
        self.undecided = begin.max(end).max(self.undecided);
        self.inherited = self.inherited.split_off(&self.undecided);
        while self.decided.len() > MAX_KEPT_WINDOWS {
            self.decided.pop_first();
        }
        begin < end
    }

    /// The journal that the next write puts into the record.
    pub fn journal(&self, fleet_usage: &FleetUsage, now: FleetMs) -> UsageJournal {
        let windows = fleet_usage.windows().chain(self.inherited.keys().copied());
        let open = windows.filter(|window| *window >= self.undecided);
        let open = open.map(|w| (w, fleet_usage.counts(w, self.inherited.get(&w))));
        UsageJournal {
            undecided: self.undecided,
            decided: self.decided.clone(),
            open: open.collect(),
            written: now,
            era: self.era,
        }
    }

    /// Records that the record holds a journal, so that its decided windows may be reported.
    pub fn on_recorded(&mut self, journal: &UsageJournal) {
        self.recorded = journal.decided.keys().copied().collect();
    }

    /// The recorded windows whose report the platform has not acknowledged, the oldest first.
    pub fn to_report(&self) -> Vec<(Window, WindowCounts)> {
        let windows = self.recorded.iter();
        let with_counts = windows.filter_map(|w| Some((*w, self.decided.get(w)?.clone())));
        with_counts.collect()
    }

    /// Records that the platform accepted the report of a window.
    pub fn on_reported(&mut self, window: Window) {
        self.decided.remove(&window);
    }

    /// The first window whose counts are not decided, so that routers still report them.
    pub fn undecided(&self) -> Window {
        self.undecided
    }
}
