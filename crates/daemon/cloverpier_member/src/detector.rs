//! Failure detection with a bounded number of heartbeats per member, and indirect probes.
//!
//! From the member list, the times of received messages and the results of probes, [`Detector`]
//! decides which members get a heartbeat, which are probed by helpers and which are removed from
//! the list. The number of messages per member does not grow with the list. No member is removed by
//! a single observer: a helper must have failed to reach it, too.
//!
//! Copies of responses, request records and rate limits are assigned by the member list, so their
//! safety depends on it. The router of the platform keeps a table of peers on which no safety
//! property depends (`cloverpier_router_policy::peers`). The caller sends the messages and passes
//! in the time.

use crate::list::{Member, MemberList};
use cloverpier_core::{MemberId, hash_of};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Intervals, timeouts and counts of a [`Detector`].
#[derive(Clone, Copy, Debug)]
pub struct DetectorParams {
    /// Time between two heartbeats to the same member.
    pub heartbeat_interval: Duration,
    /// Time without a message after which a watched member is suspected and helpers probe it. Also
    /// the time after which the probe is repeated.
    pub suspicion_timeout: Duration,
    /// Number of members that each member watches and sends heartbeats to.
    pub fan_out: usize,
    /// Number of members that probe a suspected member on request.
    pub helper_count: usize,
    /// Time between the first confirmed failure and the removal, so that members of a failed data
    /// centre are removed in one epoch.
    pub removal_delay: Duration,
}

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Number of members that each member watches, for any size of the list, so that the cost of
/// heartbeats per member is bounded.
const FAN_OUT: usize = 4;
const HELPER_COUNT: usize = 3;
const REMOVAL_DELAY: Duration = Duration::from_millis(400);

impl Default for DetectorParams {
    fn default() -> Self {
        Self {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            suspicion_timeout: SUSPICION_TIMEOUT,
            fan_out: FAN_OUT,
            helper_count: HELPER_COUNT,
            removal_delay: REMOVAL_DELAY,
        }
    }
}

/// The result of a helper's probe of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The member replied to the helper.
    Reached,
    /// The member did not reply to the helper in time.
    NotReached,
}

/// An action for the caller of [`Detector::tick`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DetectorStep {
    /// Send a heartbeat.
    Heartbeat {
        /// The watched member that receives the heartbeat.
        to: MemberId,
    },
    /// Request helpers to probe a suspected member, and pass their results to
    /// [`Detector::on_probe_result`].
    Probe {
        /// The suspected member.
        target: MemberId,
        /// The members that receive the request.
        helpers: Vec<MemberId>,
    },
    /// Remove members by an update of the member list that is conditional on its epoch.
    Remove {
        /// Members that neither this member nor a helper could reach.
        members: BTreeSet<MemberId>,
    },
    /// The process was suspended for longer than the suspicion timeout. Other members may have
    /// removed the process since, so the state that it holds is uncertain until its epoch is
    /// confirmed.
    Paused {
        /// Time since the previous tick.
        gap: Duration,
    },
}

#[derive(Clone, Debug)]
struct WatchState {
    last_message_at: Instant,
    last_heartbeat_at: Option<Instant>,
    last_probe_at: Option<Instant>,
    is_unreachable: bool,
}

/// Detects failures among the members that this member watches. All members together watch the
/// whole list.
#[derive(Debug)]
pub struct Detector {
    me: MemberId,
    params: DetectorParams,
    members: Vec<Member>,
    watched: BTreeMap<MemberId, WatchState>,
    unreachable_since: BTreeMap<MemberId, Instant>,
    last_tick: Option<Instant>,
}

impl Detector {
    /// Creates a detector for the member `me` that watches no members yet.
    pub fn new(me: MemberId, params: DetectorParams) -> Self {
        Self {
            me,
            params,
            members: Vec::new(),
            watched: BTreeMap::new(),
            unreachable_since: BTreeMap::new(),
            last_tick: None,
        }
    }

    /// Replaces the member list.
    ///
    /// Each member watches its `fan_out` successors on a ring that is ordered by hash. Every member
    /// thus has `fan_out` watchers, and a change of the list affects only a few of them.
    pub fn set_members(&mut self, list: &MemberList, now: Instant) {
        self.members = list.members.clone();
        let successors = ring_successors(&list.members, &self.me, self.params.fan_out);
        self.watched.retain(|id, _| successors.contains(id));
        for id in successors {
            self.watched.entry(id).or_insert(WatchState {
                last_message_at: now,
                last_heartbeat_at: None,
                last_probe_at: None,
                is_unreachable: false,
            });
        }
        self.unreachable_since.retain(|id, _| list.contains(id));
    }

    /// Records that any message of the member `from` arrived, which ends a suspicion.
    pub fn on_message(&mut self, from: &MemberId, now: Instant) {
        if let Some(watch) = self.watched.get_mut(from) {
            watch.last_message_at = now;
            watch.last_probe_at = None;
            watch.is_unreachable = false;
        }
        self.unreachable_since.remove(from);
    }

    /// Records the result of a helper's probe of the member `target`.
    ///
    /// If one helper reaches the member, the suspicion ends: the link from this member has failed,
    /// not the member. A failed probe has no effect unless the member is still suspected.
    pub fn on_probe_result(&mut self, target: &MemberId, result: ProbeResult, now: Instant) {
        if result == ProbeResult::Reached {
            self.on_message(target, now);
            return;
        }
        let Some(watch) = self.watched.get_mut(target) else {
            return;
        };
        let still_silent =
            now.saturating_duration_since(watch.last_message_at) >= self.params.suspicion_timeout;
        if watch.last_probe_at.is_some() && still_silent {
            watch.is_unreachable = true;
            self.unreachable_since.entry(target.clone()).or_insert(now);
        }
    }

    /// Watched members from which no message has arrived for the suspicion timeout.
    pub fn suspected(&self, now: Instant) -> BTreeSet<MemberId> {
        let silent = |w: &WatchState| {
            now.saturating_duration_since(w.last_message_at) >= self.params.suspicion_timeout
        };
        let suspected = self.watched.iter().filter(|(_, w)| silent(w));
        suspected.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the actions that are due. Must be called more often than the suspicion timeout; a
    /// longer pause counts as a suspension of the process.
    pub fn tick(&mut self, now: Instant) -> Vec<DetectorStep> {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        self.last_tick = Some(now);
        if gap >= self.params.suspicion_timeout {
            self.reset_silence(now);
            return vec![DetectorStep::Paused { gap }];
        }
        let mut steps = self.heartbeat_steps(now);
        steps.extend(self.probe_steps(now));
        steps.extend(self.removal_step(now));
        steps
    }

    /// Ends all suspicions after a suspension of this process, as no messages could be received in
    /// that time.
    fn reset_silence(&mut self, now: Instant) {
        for watch in self.watched.values_mut() {
            watch.last_message_at = now;
            watch.last_probe_at = None;
            watch.is_unreachable = false;
        }
        self.unreachable_since.clear();
    }

    fn heartbeat_steps(&mut self, now: Instant) -> Vec<DetectorStep> {
        let heartbeat_interval = self.params.heartbeat_interval;
        let due = |w: &WatchState| {
            w.last_heartbeat_at
                .is_none_or(|at| now.saturating_duration_since(at) >= heartbeat_interval)
        };
        let mut steps = Vec::new();
        for (id, watch) in self.watched.iter_mut().filter(|(_, w)| due(w)) {
            watch.last_heartbeat_at = Some(now);
            steps.push(DetectorStep::Heartbeat { to: id.clone() });
        }
        steps
    }

    fn probe_steps(&mut self, now: Instant) -> Vec<DetectorStep> {
        let suspected = self.suspected(now);
        let probe_interval = self.params.suspicion_timeout;
        let mut steps = Vec::new();
        for id in &suspected {
            let helpers = self.choose_helpers(id, &suspected);
            let Some(watch) = self.watched.get_mut(id) else {
                continue;
            };
            let due = watch
                .last_probe_at
                .is_none_or(|at| now.saturating_duration_since(at) >= probe_interval);
            if due && !watch.is_unreachable && !helpers.is_empty() {
                watch.last_probe_at = Some(now);
                steps.push(DetectorStep::Probe {
                    target: id.clone(),
                    helpers,
                });
            }
        }
        steps
    }

    /// Chooses members that are not suspected, by hash. Members of other data centres than the
    /// target's come first.
    fn choose_helpers(&self, target: &MemberId, suspected: &BTreeSet<MemberId>) -> Vec<MemberId> {
        let target_data_centre = self.members.iter().find(|m| m.id == *target);
        let target_data_centre = target_data_centre.map(|m| m.data_centre.clone());
        let is_eligible =
            |m: &&Member| m.id != self.me && m.id != *target && !suspected.contains(&m.id);
        let mut helpers: Vec<&Member> = self.members.iter().filter(is_eligible).collect();
        let salt = format!("{}/{target}", self.me);
        helpers.sort_by_key(|m| {
            let same = Some(&m.data_centre) == target_data_centre.as_ref();
            (same, hash_of(&format!("{salt}/{}", m.id)))
        });
        let ids = helpers.into_iter().map(|m| m.id.clone());
        ids.take(self.params.helper_count).collect()
    }

    fn removal_step(&mut self, now: Instant) -> Option<DetectorStep> {
        let first = self.unreachable_since.values().min().copied()?;
        if now.saturating_duration_since(first) < self.params.removal_delay {
            return None;
        }
        let members = std::mem::take(&mut self.unreachable_since)
            .into_keys()
            .collect();
        for watch in self.watched.values_mut() {
            watch.is_unreachable = false;
        }
        Some(DetectorStep::Remove { members })
    }
}

/// The `count` successors of the member `me` on the ring of hashes.
fn ring_successors(members: &[Member], me: &MemberId, count: usize) -> Vec<MemberId> {
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
