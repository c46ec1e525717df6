//! How many requests began to run in each window of time, for each client account.
//!
//! - **Question.** What does the report of a window say, and when is it decided?
//! - **Inputs.** What each router counted, as it reported it; what the former holder of the lease wrote
//!   into the lease's record; the time of day that the routers agree on.
//! - **Answer.** The counts of a window that is decided; the windows that the record holds.
//! - **Why.** A window is reported once, whoever holds the lease. So the holder writes the counts into
//!   the record before it reports them: they are decided then, and a later holder repeats them as they
//!   are. What routers count is cumulative, so a lost report costs nothing, and the counts known so far
//!   lie in the record as well, so that those of routers that died outlast the holder.
//!
//! The size of a report grows with the requests that a router counted, not with the accounts.
//!
//! [`OwnUsage`] owns what this router counted, [`UsageBook`] what all routers reported, [`UsageJournal`]
//! what the record holds.

use super::fleet_clock::FleetMs;
use cloverpier_core::AccountName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The part of the time until a report is late that the holder waits for routers' counts; the rest is
/// for a change of the holder.
const DECIDED_AFTER: f64 = 0.4;
/// Windows that are kept at most while they cannot be reported: older ones are given up.
const MAX_WINDOWS: usize = 64;
/// Counts in one datagram at most, so that it stays within
/// [`crate::heartbeat::MAX_DATAGRAM`] with account names of 64 bytes.
pub const MAX_COUNTS: usize = 96;

/// A window's number: window 0 began with 1970.
pub type Window = u64;

/// Requests that began to run, by client account, in the order of their names: equal counts are written
/// as equal bytes.
pub type WindowCounts = BTreeMap<AccountName, u32>;

/// The operator's windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowBounds {
    /// How long a window lasts.
    pub length: Duration,
    /// How long after its end a report is in time.
    pub late_after: Duration,
}

impl WindowBounds {
    fn length_ms(self) -> u64 {
        u64::try_from(self.length.as_millis())
            .unwrap_or(u64::MAX)
            .max(1)
    }

    /// The window of a moment.
    pub fn window_at(self, at: FleetMs) -> Window {
        at / self.length_ms()
    }

    /// When the counts of a window are decided.
    fn decided_at(self, window: Window) -> FleetMs {
        let wait = self.late_after.mul_f64(DECIDED_AFTER).as_millis();
        let end = (window + 1).saturating_mul(self.length_ms());
        end.saturating_add(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    /// The first window that is not to be decided yet.
    pub fn first_undecided(self, now: FleetMs) -> Window {
        let mut window = self.window_at(now);
        while window > 0 && self.decided_at(window - 1) > now {
            window -= 1;
        }
        window
    }
}

/// What one router counted.
#[derive(Clone, Debug, Default)]
pub struct OwnUsage {
    windows: BTreeMap<Window, WindowCounts>,
    /// Whether anything was counted since the last report.
    has_updates: bool,
}

impl OwnUsage {
    /// Counts a request that began to run.
    pub fn on_begun(&mut self, account: &AccountName, window: Window) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        self.has_updates = true;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Forgets windows that are reported or given up.
    pub fn forget_before(&mut self, window: Window) {
        self.windows = self.windows.split_off(&window);
    }

    /// Whether anything was counted since this was asked last.
    pub fn take_updates(&mut self) -> bool {
        std::mem::take(&mut self.has_updates)
    }

    /// All that was counted.
    pub fn windows(&self) -> &BTreeMap<Window, WindowCounts> {
        &self.windows
    }
}

/// Counts of one window, as they travel.
pub type ReportedWindow = (Window, Vec<(AccountName, u32)>);

/// The counts of some windows, in pieces that fit into a datagram each; at least one, which may be
/// empty.
pub fn in_pieces(windows: &BTreeMap<Window, WindowCounts>) -> Vec<Vec<ReportedWindow>> {
    let counts = windows.iter().flat_map(|(window, counts)| {
        let of_window = counts.iter();
        of_window.map(|(account, count)| (*window, account.clone(), *count))
    });
    let mut pieces = vec![Vec::<ReportedWindow>::new()];
    let mut left = MAX_COUNTS;
    for (window, account, count) in counts {
        if left == 0 {
            pieces.push(Vec::new());
            left = MAX_COUNTS;
        }
        left -= 1;
        // There is always a last piece.
        let Some(piece) = pieces.last_mut() else {
            continue;
        };
        match piece.last_mut() {
            Some((last, counts)) if *last == window => counts.push((account, count)),
            _ => piece.push((window, vec![(account, count)])),
        }
    }
    pieces
}

/// One run of a router, for its counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Counter {
    /// Its address for peers.
    pub router: SocketAddr,
    /// Drawn at random at each start.
    pub incarnation: u64,
}

#[derive(Clone, Debug, Default)]
struct Counted {
    /// When the router started.
    started: FleetMs,
    windows: BTreeMap<Window, WindowCounts>,
}

/// What all routers reported.
#[derive(Clone, Debug, Default)]
pub struct UsageBook {
    routers: HashMap<Counter, Counted>,
}

impl UsageBook {
    /// Records a report, or a piece of one. Counts only grow, so reports may overtake each other.
    pub fn on_report(&mut self, from: Counter, started: FleetMs, windows: Vec<ReportedWindow>) {
        let counted = self.routers.entry(from).or_default();
        counted.started = started;
        for (window, counts) in windows {
            let known = counted.windows.entry(window).or_default();
            for (account, count) in counts {
                let known = known.entry(account).or_default();
                *known = count.max(*known);
            }
        }
    }

    /// Forgets windows before this one.
    pub fn forget_before(&mut self, window: Window) {
        for counted in self.routers.values_mut() {
            counted.windows = counted.windows.split_off(&window);
        }
        self.routers.retain(|_, c| !c.windows.is_empty());
    }

    /// The windows of which something is known.
    fn windows(&self) -> impl Iterator<Item = Window> {
        self.routers
            .values()
            .flat_map(|c| c.windows.keys().copied())
    }

    /// What is known of a window: the counts of the routers that run, or what the record holds of them
    /// where that is more, and those of routers that started after the record was written.
    fn counts(&self, window: Window, recorded: Option<&Recorded>) -> WindowCounts {
        let written = recorded.map_or(0, |r| r.written);
        let (before, after) = self.sums(window, written);
        let mut counts = before;
        for (account, count) in recorded.into_iter().flat_map(|r| &r.counts) {
            let known = counts.entry(account.clone()).or_default();
            *known = (*known).max(*count);
        }
        for (account, count) in after {
            let known = counts.entry(account).or_default();
            *known = known.saturating_add(count);
        }
        counts
    }

    /// The counts of routers that started before a moment, and of those that started later.
    fn sums(&self, window: Window, moment: FleetMs) -> (WindowCounts, WindowCounts) {
        let (mut before, mut after) = (WindowCounts::new(), WindowCounts::new());
        for counted in self.routers.values() {
            let sum = if counted.started <= moment {
                &mut before
            } else {
                &mut after
            };
            for (account, count) in counted.windows.get(&window).into_iter().flatten() {
                let known = sum.entry(account.clone()).or_default();
                *known = known.saturating_add(*count);
            }
        }
        (before, after)
    }
}

/// What the record held of a window when this router took the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Recorded {
    written: FleetMs,
    counts: WindowCounts,
}

/// What stands of the windows in the lease's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageJournal {
    /// The first window whose counts are not decided.
    pub undecided: Window,
    /// Windows whose counts are decided, and which are not known to be reported.
    pub decided: BTreeMap<Window, WindowCounts>,
    /// What is known of windows that are not decided.
    pub open: BTreeMap<Window, WindowCounts>,
    /// When this was written.
    pub written: FleetMs,
    /// The store's era when this was written.
    pub era: u64,
}

/// The windows, as the holder of the lease keeps them.
#[derive(Clone, Debug)]
pub struct HolderUsage {
    bounds: WindowBounds,
    era: u64,
    undecided: Window,
    decided: BTreeMap<Window, WindowCounts>,
    /// Decided windows that the record holds, so that they may be reported.
    recorded: Vec<Window>,
    /// What the former holder knew of windows that were not decided.
    inherited: BTreeMap<Window, Recorded>,
}

impl HolderUsage {
    /// What a router finds in the record when it takes the lease. Where there is no record, the first
    /// window is that of the moment `since`.
    ///
    /// A record of a former era is an older copy: what was decided since is not known, and may have
    /// been reported. So windows that could have been decided by now are given up.
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
            (*window, Recorded { written, counts })
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

    /// Decides the windows whose time has come; returns whether there were any.
    pub fn decide(&mut self, book: &UsageBook, now: FleetMs) -> bool {
        let end = self.bounds.first_undecided(now);
        let begin = self.undecided.max(end.saturating_sub(MAX_WINDOWS as u64));
        for window in begin..end {
            let counts = book.counts(window, self.inherited.get(&window));
            self.decided.insert(window, counts);
        }
        self.undecided = begin.max(end).max(self.undecided);
        self.inherited = self.inherited.split_off(&self.undecided);
        while self.decided.len() > MAX_WINDOWS {
            self.decided.pop_first();
        }
        begin < end
    }

    /// What is written into the record now.
    pub fn journal(&self, book: &UsageBook, now: FleetMs) -> UsageJournal {
        let known = book.windows().chain(self.inherited.keys().copied());
        let open = known.filter(|window| *window >= self.undecided);
        let open = open.map(|w| (w, book.counts(w, self.inherited.get(&w))));
        UsageJournal {
            undecided: self.undecided,
            decided: self.decided.clone(),
            open: open.collect(),
            written: now,
            era: self.era,
        }
    }

    /// Records that the record holds a journal: its decided windows may be reported.
    pub fn on_recorded(&mut self, journal: &UsageJournal) {
        self.recorded = journal.decided.keys().copied().collect();
    }

    /// The windows that may be reported and are not, the oldest first.
    pub fn to_report(&self) -> Vec<(Window, WindowCounts)> {
        let windows = self.recorded.iter();
        let with_counts = windows.filter_map(|w| Some((*w, self.decided.get(w)?.clone())));
        with_counts.collect()
    }

    /// Records that a window's report was accepted.
    pub fn on_reported(&mut self, window: Window) {
        self.decided.remove(&window);
    }

    /// The first window of which counts are still needed.
    pub fn undecided(&self) -> Window {
        self.undecided
    }
}
