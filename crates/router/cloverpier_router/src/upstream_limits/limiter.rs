//! Hands out permits to other routers, for the upstreams whose limiter this router is.
//!
//! How many, and whether it is the limiter, is decided in `cloverpier_router_policy::permit`. Relies on
//! [`UpstreamLimits::on_period`] being called once a period. Owns no state of its own.

use super::{UpstreamLimits, place_of};
use crate::peer_messages::{LimiterReply, LimiterRequest, PeerMessage};
use cloverpier_router_policy::permit::{LimitedUpstream, LimiterMap, PermitReply};
use cloverpier_router_policy::prelude::{UpstreamKey, UpstreamState, UpstreamTable};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

impl UpstreamLimits {
    /// Answers another router's ask. One that this router is not the limiter for leads to the question
    /// whether the limiter answers: the other router may have found that it does not.
    pub fn on_ask(self: &Rc<Self>, ask: &LimiterRequest, state: Option<&UpstreamState>) {
        if let Some(report) = &ask.request.limit {
            self.on_report(report, state, ask.sender);
        }
        let now = self.parts.timers.now();
        let place = state.map(|state| LimitedUpstream {
            born_ms: state.start_time_ms(),
            ..place_of(&state.upstream)
        });
        let mut permits = self.permits.borrow_mut();
        let reply = permits.on_request(ask.sender, &ask.request, place, now);
        let limiter = place.and_then(|place| permits.limiter_of(place, now));
        drop(permits);
        self.count_handed_out(&reply);
        let is_for_another = reply.handed_out.is_none() && ask.request.count > 0;
        let reply = LimiterReply {
            sender: self.parts.own,
            reply,
        };
        let message = PeerMessage::LimiterReply(reply);
        self.parts.datagrams.send(&message, &[ask.sender]);
        if let Some(limiter) = limiter.filter(|l| is_for_another && *l != self.parts.own) {
            self.ask_in_background(limiter);
        }
    }

    fn count_handed_out(&self, reply: &PermitReply) {
        let Some(handed_out) = &reply.handed_out else {
            return;
        };
        let count = handed_out.waits.len() as u64;
        self.parts.permits.add("handed-out", count);
        if handed_out.refusal.is_some() {
            self.parts.permits.count("turned-down");
        }
    }

    /// Takes account of the routers that live, once a period; no map means that they are the same as
    /// before.
    pub fn on_period(
        self: &Rc<Self>,
        map: Option<LimiterMap>,
        hold: Duration,
        table: &UpstreamTable,
    ) {
        let now = self.parts.timers.now();
        let mut permits = self.permits.borrow_mut();
        permits.on_period(map, hold, now);
        if permits.limits().is_empty() {
            return;
        }
        let find = |key: UpstreamKey| {
            let state = table.by_key(key)?;
            Some(place_of(&state.upstream))
        };
        permits.give_up_old(find, now);
        let silent = permits.silent_limiters(now);
        drop(permits);
        for limiter in silent {
            self.ask_in_background(limiter);
        }
    }

    fn ask_in_background(self: &Rc<Self>, limiter: SocketAddr) {
        let limits = Rc::clone(self);
        tokio::task::spawn_local(async move { limits.ask_whether_it_answers(limiter).await });
    }
}
