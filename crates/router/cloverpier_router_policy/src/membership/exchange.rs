//! What routers send each other that know different members.
//!
//! Owns no state: relies on [`Membership`] for when something was asked for last.

use super::{
    GossipReply, GossipSeen, Heard, MemberState, MemberUpdate, Membership, UPDATES_PER_MESSAGE,
};
use crate::peers::PeerState;
use std::time::{Duration, Instant};

/// Members in one message that answers a request for all of them.
pub const MEMBERS_PER_MESSAGE: usize = 48;
/// All members are asked for, and sent, once in this time at most: in a fleet of 1,000 they take some
/// 50 kB.
const MEMBERS_PERIOD: Duration = Duration::from_millis(200);
/// Routers that know something else for this long missed updates: one of them asks for all members.
const DIFFERS_LONG: Duration = Duration::from_secs(2);
/// A router that knows so much less than the sender of a message asks for all members.
const MUCH_LESS: f64 = 0.9;

impl Membership {
    /// Records a message of gossip; returns what its sender gets.
    pub fn on_gossip(
        &mut self,
        seen: GossipSeen<'_>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> GossipReply {
        let heard = self.on_message(seen.sender.clone(), now);
        for update in seen.updates {
            self.on_update(update.clone(), now);
        }
        let sender = seen.sender.router;
        let is_near = seen.sender.data_centre == self.own.data_centre;
        let ask_members = is_near && self.is_to_ask(seen, now);
        let is_told = heard == Heard::TakenForDead;
        let gets_sample = seen.wants_reply && seen.members < self.count();
        let starts = seen.sender.state == MemberState::Alive(PeerState::Starting);
        GossipReply {
            // Its former run may have ended before it said anything else, too.
            is_newcomer: starts || heard == Heard::Changed,
            of_itself: is_told.then(|| self.update_of(sender)).flatten(),
            message: seen.wants_reply,
            sample: if gets_sample {
                self.sample(rng)
            } else {
                Vec::new()
            },
            ask_members,
        }
    }

    /// Whether this router asks for all members: it knows much less than the sender; or for long
    /// something else than all others, although no updates are under way or it still knows fewer.
    fn is_to_ask(&mut self, seen: GossipSeen<'_>, now: Instant) -> bool {
        if seen.digest == self.digest {
            self.agreed = Some(now);
            return false;
        }
        if (self.count() as f64) < seen.members as f64 * MUCH_LESS {
            return may_again(&mut self.asked, MEMBERS_PERIOD, now);
        }
        let since = *self.agreed.get_or_insert(now);
        let differs_long = now.saturating_duration_since(since) > DIFFERS_LONG;
        let is_behind = self.count() < seen.members || self.updates.is_empty();
        differs_long && is_behind && may_again(&mut self.asked, DIFFERS_LONG, now)
    }

    /// Takes members that a router was asked for, or that came with its reply, or that end. Others ask,
    /// too, so those that were not known here, or that both know to live, are not passed on.
    pub fn on_members(&mut self, members: Vec<MemberUpdate>, now: Instant) {
        for update in members {
            let router = update.router;
            let is_alive = matches!(update.state, MemberState::Alive(_));
            let was_known = self.members.contains_key(&router);
            let heard = self.on_update(update, now);
            if !was_known || (is_alive && heard == Heard::Known) {
                self.updates.forget(router);
            }
        }
    }

    /// All members, for a router that asks; nothing where others were sent them just now.
    pub fn on_asked(&mut self, now: Instant) -> Vec<Vec<MemberUpdate>> {
        if may_again(&mut self.sent_all, MEMBERS_PERIOD, now) {
            self.all()
        } else {
            Vec::new()
        }
    }

    /// All members, also those that are known to be dead, in parts that fit into a message each.
    fn all(&self) -> Vec<Vec<MemberUpdate>> {
        let all = self.members.keys().filter_map(|r| self.update_of(*r));
        let all: Vec<MemberUpdate> = all.collect();
        let parts = all.chunks(MEMBERS_PER_MESSAGE);
        parts.map(<[MemberUpdate]>::to_vec).collect()
    }

    /// Some members at random, for a router that has just begun.
    fn sample(&self, rng: &mut fastrand::Rng) -> Vec<MemberUpdate> {
        let routers = self.ring.iter().map(|(_, router)| *router);
        let some = rng.choose_multiple(routers, UPDATES_PER_MESSAGE);
        some.into_iter().filter_map(|r| self.update_of(r)).collect()
    }
}

/// Whether something may be done again that was done last at a moment; it counts as done then.
fn may_again(last: &mut Option<Instant>, period: Duration, now: Instant) -> bool {
    let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= period);
    if is_due {
        *last = Some(now);
    }
    is_due
}
