//! Anti-entropy: replies to gossip messages, and exchange of member lists between routers whose records
//! differ.
//!
//! Owns no state: [`Membership`] holds when member lists were last requested and sent.

use super::{
    GossipReply, MemberState, MemberUpdate, Membership, ReceivedGossip, UPDATES_PER_MESSAGE,
    UpdateOutcome,
};
use crate::peers::PeerState;
use std::time::{Duration, Instant};

/// Maximum number of members in one message of a member list or of urgent departures.
pub const MEMBERS_PER_MESSAGE: usize = 48;
/// Minimum interval between two requests of a router for a member list, and between two lists that it sends. The
/// list of a fleet of 1,000 routers takes about 50 kB.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(200);
/// A router whose digest has differed for this long from all digests received in its data centre may have
/// missed updates and requests a member list. Such requests are also at least this far apart.
const DIGEST_MISMATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// A router with fewer members than this fraction of the sender's requests a member list at once.
const MIN_MEMBER_FRACTION: f64 = 0.9;

impl Membership {
    /// Records a gossip message, and returns what the router sends back.
    pub fn on_gossip(
        &mut self,
        gossip: ReceivedGossip<'_>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> GossipReply {
        let outcome = self.on_message(gossip.sender.clone(), now);
        for update in gossip.updates {
            self.on_update(update.clone(), now);
        }
        let sender = gossip.sender.router;
        let is_local = gossip.sender.data_centre == self.own.data_centre;
        let request_members = is_local && self.requests_members(gossip, now);
        let is_recorded_dead = outcome == UpdateOutcome::RecordedDead;
        let sends_sample = gossip.wants_reply && gossip.members < self.count();
        let starts = gossip.sender.state == MemberState::Alive(PeerState::Starting);
        GossipReply {
            // A starting sender counts as new in each message: an earlier process at its address may have
            // ended while it was starting, too.
            is_new_or_changed: starts || outcome == UpdateOutcome::Changed,
            dead_update: is_recorded_dead.then(|| self.update_of(sender)).flatten(),
            send_gossip: gossip.wants_reply,
            sample: if sends_sample {
                self.sample(rng)
            } else {
                Vec::new()
            },
            request_members,
        }
    }

    /// Whether this router requests the member list of a sender in its data centre; records the request. It
    /// requests the list if it has far fewer members than the sender. It also does if its digest has differed
    /// from all digests received in its data centre for [`DIGEST_MISMATCH_TIMEOUT`], and either no updates
    /// are queued here or it has fewer members than the sender: then updates in transit don't explain the
    /// difference.
    fn requests_members(&mut self, gossip: ReceivedGossip<'_>, now: Instant) -> bool {
        if gossip.digest == self.digest {
            self.digest_matched_at = Some(now);
            return false;
        }
        if (self.count() as f64) < gossip.members as f64 * MIN_MEMBER_FRACTION {
            return start_if_due(&mut self.members_requested_at, MEMBER_LIST_INTERVAL, now);
        }
        let since = *self.digest_matched_at.get_or_insert(now);
        let differs_long = now.saturating_duration_since(since) > DIGEST_MISMATCH_TIMEOUT;
        let is_behind = self.count() < gossip.members || self.updates.is_empty();
        differs_long
            && is_behind
            && start_if_due(&mut self.members_requested_at, DIGEST_MISMATCH_TIMEOUT, now)
    }

    /// Records the members of a list that this router requested, of a report of departures, or of a notice
    /// that this router is recorded as dead. Members that were not recorded here before, and live members
    /// with nothing new, are not queued for gossip, as other routers request lists themselves.
    pub fn on_members(&mut self, members: Vec<MemberUpdate>, now: Instant) {
        for update in members {
            let router = update.router;
            let is_alive = matches!(update.state, MemberState::Alive(_));
            let was_recorded = self.members.contains_key(&router);
            let outcome = self.on_update(update, now);
            if !was_recorded || (is_alive && outcome == UpdateOutcome::Unchanged) {
                self.updates.remove(router);
            }
        }
    }

    /// The member list for a router that requests it, in messages of [`MEMBERS_PER_MESSAGE`]. Empty if this
    /// router sent a list to any router within `MEMBER_LIST_INTERVAL`.
    pub fn on_members_request(&mut self, now: Instant) -> Vec<Vec<MemberUpdate>> {
        if start_if_due(&mut self.members_sent_at, MEMBER_LIST_INTERVAL, now) {
            self.member_list()
        } else {
            Vec::new()
        }
    }

    /// All members, dead ones included, in chunks that fit into one message each.
    fn member_list(&self) -> Vec<Vec<MemberUpdate>> {
        let members = self.members.keys().filter_map(|r| self.update_of(*r));
        let members: Vec<MemberUpdate> = members.collect();
        let chunks = members.chunks(MEMBERS_PER_MESSAGE);
        chunks.map(<[MemberUpdate]>::to_vec).collect()
    }

    /// Random live members, at most `UPDATES_PER_MESSAGE`, for a sender with fewer members than
    /// this router.
    fn sample(&self, rng: &mut fastrand::Rng) -> Vec<MemberUpdate> {
        let routers = self.ring.iter().map(|(_, router)| *router);
        let chosen = rng.choose_multiple(routers, UPDATES_PER_MESSAGE);
        chosen
            .into_iter()
            .filter_map(|r| self.update_of(r))
            .collect()
    }
}

/// Whether `period` has passed since the action last started; if so, records that the action starts now.
fn start_if_due(last: &mut Option<Instant>, period: Duration, now: Instant) -> bool {
    let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= period);
    if is_due {
        *last = Some(now);
    }
    is_due
}
