//! Failure detection with a bounded number of heartbeats and a second observer.
//!
//! Question: who gets a heartbeat now, who is suspected, who is removed? Inputs: the list, when
//! members last answered, what helpers found. Answer: [`DetectorStep`]s. The cost of a member does
//! not grow with the list, and no one observer removes anybody. Answers, records and limits hang
//! on who is a member here; the router on the platform keeps a table of peers on which nothing of
//! safety depends (`cloverpier_router_policy::peers`).

use crate::list::{Member, MemberList};
use cloverpier_core::{MemberId, hash_of};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The detector's parameters.
#[derive(Clone, Copy, Debug)]
pub struct DetectorParams {
    /// Time between two heartbeats to the same member.
    pub period: Duration,
    /// Silence after which a second observer is asked.
    pub suspect_after: Duration,
    /// Members that each member sends heartbeats to.
    pub fan_out: usize,
    /// Members that are asked to probe a silent one.
    pub helpers: usize,
    /// Time for which removals are collected, so that a lost data centre is one epoch.
    pub settle: Duration,
}

const PERIOD: Duration = Duration::from_millis(400);
const SUSPECT_AFTER: Duration = Duration::from_millis(2_400);
/// Members that each one sends heartbeats to, however many there are.
const FAN_OUT: usize = 4;
/// Members that are asked to probe a silent one.
const HELPERS: usize = 3;
/// Time for which removals are collected, so that a dead data centre is one epoch.
const SETTLE: Duration = Duration::from_millis(400);

impl Default for DetectorParams {
    fn default() -> Self {
        Self {
            period: PERIOD,
            suspect_after: SUSPECT_AFTER,
            fan_out: FAN_OUT,
            helpers: HELPERS,
            settle: SETTLE,
        }
    }
}

/// What a helper found when it probed a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The member answered.
    Reached,
    /// It did not answer in time.
    NotReached,
}

/// What the detector wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DetectorStep {
    /// Send a heartbeat.
    Heartbeat {
        /// To whom.
        to: MemberId,
    },
    /// Ask helpers whether they reach a member.
    Probe {
        /// The silent member.
        about: MemberId,
        /// Whom to ask.
        helpers: Vec<MemberId>,
    },
    /// Remove members by an update of the list, conditional on its epoch.
    Remove {
        /// Those that two observers could not reach.
        members: BTreeSet<MemberId>,
    },
    /// The process stood still for longer than the suspicion time: what it holds is
    /// uncertain until its epoch is confirmed.
    Paused {
        /// How long it stood still.
        gap: Duration,
    },
}

#[derive(Clone, Debug)]
struct Watch {
    heard: Instant,
    sent: Option<Instant>,
    probed: Option<Instant>,
    not_reached: bool,
}

/// Watches some of the members on behalf of all.
#[derive(Debug)]
pub struct Detector {
    me: MemberId,
    params: DetectorParams,
    members: Vec<Member>,
    watched: BTreeMap<MemberId, Watch>,
    confirmed: BTreeMap<MemberId, Instant>,
    last_tick: Option<Instant>,
}

impl Detector {
    /// A detector that watches nobody yet.
    pub fn new(me: MemberId, params: DetectorParams) -> Self {
        Self {
            me,
            params,
            members: Vec::new(),
            watched: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            last_tick: None,
        }
    }

    /// Takes a new list of members.
    ///
    /// Each member watches those that follow it on a ring ordered by hash, so
    /// every member has `fan_out` watchers, and a change moves few of them.
    pub fn set_members(&mut self, list: &MemberList, now: Instant) {
        self.members = list.members.clone();
        let targets = ring_after(&list.members, &self.me, self.params.fan_out);
        self.watched.retain(|id, _| targets.contains(id));
        for id in targets {
            self.watched.entry(id).or_insert(Watch {
                heard: now,
                sent: None,
                probed: None,
                not_reached: false,
            });
        }
        self.confirmed.retain(|id, _| list.contains(id));
    }

    /// Notes that a message of a member arrived, whatever it says.
    pub fn on_heard(&mut self, from: &MemberId, now: Instant) {
        if let Some(watch) = self.watched.get_mut(from) {
            watch.heard = now;
            watch.probed = None;
            watch.not_reached = false;
        }
        self.confirmed.remove(from);
    }

    /// Notes what a helper found.
    ///
    /// One helper that reaches the member ends the suspicion: the link from
    /// here is what fails, not the member.
    pub fn on_probe(&mut self, about: &MemberId, result: ProbeResult, now: Instant) {
        if result == ProbeResult::Reached {
            self.on_heard(about, now);
            return;
        }
        let Some(watch) = self.watched.get_mut(about) else {
            return;
        };
        let still_silent = now.saturating_duration_since(watch.heard) >= self.params.suspect_after;
        if watch.probed.is_some() && still_silent {
            watch.not_reached = true;
            self.confirmed.entry(about.clone()).or_insert(now);
        }
    }

    /// Members that this one suspects on its own or with a second observer.
    pub fn suspected(&self, now: Instant) -> BTreeSet<MemberId> {
        let silent =
            |w: &Watch| now.saturating_duration_since(w.heard) >= self.params.suspect_after;
        let own = self.watched.iter().filter(|(_, w)| silent(w));
        own.map(|(id, _)| id.clone()).collect()
    }

    /// Lets time pass and says what to do next.
    pub fn tick(&mut self, now: Instant) -> Vec<DetectorStep> {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        self.last_tick = Some(now);
        if gap >= self.params.suspect_after {
            self.forget_silence(now);
            return vec![DetectorStep::Paused { gap }];
        }
        let mut steps = self.heartbeats(now);
        steps.extend(self.probes(now));
        steps.extend(self.removal(now));
        steps
    }

    /// After a pause the silence of others says nothing: it was this process that slept.
    fn forget_silence(&mut self, now: Instant) {
        for watch in self.watched.values_mut() {
            watch.heard = now;
            watch.probed = None;
            watch.not_reached = false;
        }
        self.confirmed.clear();
    }

    fn heartbeats(&mut self, now: Instant) -> Vec<DetectorStep> {
        let period = self.params.period;
        let due = |w: &Watch| {
            w.sent
                .is_none_or(|at| now.saturating_duration_since(at) >= period)
        };
        let mut steps = Vec::new();
        for (id, watch) in self.watched.iter_mut().filter(|(_, w)| due(w)) {
            watch.sent = Some(now);
            steps.push(DetectorStep::Heartbeat { to: id.clone() });
        }
        steps
    }

    fn probes(&mut self, now: Instant) -> Vec<DetectorStep> {
        let suspected = self.suspected(now);
        let again_after = self.params.suspect_after;
        let mut steps = Vec::new();
        for id in &suspected {
            let helpers = self.helpers_for(id, &suspected);
            let Some(watch) = self.watched.get_mut(id) else {
                continue;
            };
            let due = watch
                .probed
                .is_none_or(|at| now.saturating_duration_since(at) >= again_after);
            if due && !watch.not_reached && !helpers.is_empty() {
                watch.probed = Some(now);
                steps.push(DetectorStep::Probe {
                    about: id.clone(),
                    helpers,
                });
            }
        }
        steps
    }

    /// Helpers for a probe: by hash, other data centres than the silent member's first.
    fn helpers_for(&self, about: &MemberId, suspected: &BTreeSet<MemberId>) -> Vec<MemberId> {
        let home = self.members.iter().find(|m| m.id == *about);
        let home = home.map(|m| m.data_centre.clone());
        let able = |m: &&Member| m.id != self.me && m.id != *about && !suspected.contains(&m.id);
        let mut helpers: Vec<&Member> = self.members.iter().filter(able).collect();
        let salt = format!("{}/{about}", self.me);
        helpers.sort_by_key(|m| {
            let same = Some(&m.data_centre) == home.as_ref();
            (same, hash_of(&format!("{salt}/{}", m.id)))
        });
        let ids = helpers.into_iter().map(|m| m.id.clone());
        ids.take(self.params.helpers).collect()
    }

    fn removal(&mut self, now: Instant) -> Option<DetectorStep> {
        let first = self.confirmed.values().min().copied()?;
        if now.saturating_duration_since(first) < self.params.settle {
            return None;
        }
        let members = std::mem::take(&mut self.confirmed).into_keys().collect();
        for watch in self.watched.values_mut() {
            watch.not_reached = false;
        }
        Some(DetectorStep::Remove { members })
    }
}

/// The members that follow one on the ring.
fn ring_after(members: &[Member], me: &MemberId, count: usize) -> Vec<MemberId> {
    let mut ring: Vec<(u64, &MemberId)> = members
        .iter()
        .filter(|m| m.id != *me)
        .map(|m| (hash_of(m.id.as_str()), &m.id))
        .collect();
    ring.sort();
    let from = hash_of(me.as_str());
    let start = ring.partition_point(|(at, _)| *at <= from);
    ring.rotate_left(start);
    let ids = ring.into_iter().map(|(_, id)| id.clone());
    ids.take(count).collect()
}
