//! Gets permits for this router's own requests.
//!
//! A request that is to go to a limited upstream asks the upstream's limiter by a datagram and waits for
//! the answer, some milliseconds. One that is not answered in time counts as refused.

use super::{UpstreamLimits, place_of};
use crate::peer_messages::{LimiterReply, LimiterRequest, PeerMessage};
use cloverpier_router_policy::permit::{ANSWER_TIMEOUT, PermitRequest, Want, is_usable};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// It may be sent now.
    Given,
    /// It may not.
    Refused {
        /// After what time its caller should retry.
        retry: Duration,
    },
}

/// An ask that waits for its answer.
#[derive(Debug)]
pub(super) struct PendingAsk {
    limiter: SocketAddr,
    asked: Instant,
    answer: oneshot::Sender<LimiterReply>,
}

/// Takes an ask off the list when its request goes on, or is given up as its caller has left.
struct Asked<'a> {
    limits: &'a UpstreamLimits,
    number: u64,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.limits.pending.borrow_mut().remove(&self.number);
    }
}

impl UpstreamLimits {
    /// Gets a permit for a request, which may wait this long for it; whoever is not limited needs none.
    pub async fn acquire(&self, upstream: &Upstream, max_wait: Duration) -> Permission {
        let now = self.parts.timers.now();
        if self.permits.borrow().limits().is_empty() {
            return Permission::Given;
        }
        let place = place_of(upstream);
        let want = self.permits.borrow_mut().want(place, max_wait, now);
        let want = match want {
            Want::Ask(limiter) => self.ask(upstream, limiter, max_wait).await,
            want => want,
        };
        match want {
            Want::Unlimited => Permission::Given,
            Want::Granted(wait) => self.wait_for_turn(wait).await,
            Want::Refused { retry } => {
                self.parts.permits.count("refused");
                Permission::Refused { retry }
            }
            // The answer to an ask is none.
            Want::Ask(_) => Permission::Refused {
                retry: ANSWER_TIMEOUT,
            },
        }
    }

    async fn wait_for_turn(&self, wait: Duration) -> Permission {
        let timers = &self.parts.timers;
        let due = timers.now() + wait;
        if !wait.is_zero() {
            timers.sleep_until(due).await;
        }
        if is_usable(due, timers.now()) {
            self.parts.permits.count("granted");
            return Permission::Given;
        }
        self.parts.permits.count("late");
        Permission::Refused {
            retry: Duration::ZERO,
        }
    }

    async fn ask(&self, upstream: &Upstream, limiter: SocketAddr, max_wait: Duration) -> Want {
        let place = place_of(upstream);
        let now = self.parts.timers.now();
        let limit = self.report(upstream, now);
        let request = PermitRequest {
            number: self.next_number(),
            upstream: place.key,
            count: 1,
            max_wait,
            limit,
        };
        match self.answer_to(request, limiter).await {
            Some(reply) => {
                let now = self.parts.timers.now();
                let mut rng = self.rng.borrow_mut();
                let mut permits = self.permits.borrow_mut();
                permits.on_reply(limiter, &reply.reply, place.born_ms, &mut rng, now)
            }
            None => self.on_unanswered(place.key, limiter),
        }
    }

    fn on_unanswered(&self, upstream: UpstreamKey, limiter: SocketAddr) -> Want {
        self.parts.permits.count("unanswered");
        let now = self.parts.timers.now();
        let mut permits = self.permits.borrow_mut();
        let is_silent = permits.on_unanswered(upstream, limiter, now);
        drop(permits);
        if is_silent {
            self.note_passed_over(limiter);
        }
        Want::Refused {
            retry: ANSWER_TIMEOUT,
        }
    }

    /// Sends an ask and waits for its answer; `None` where none came in time.
    async fn answer_to(&self, request: PermitRequest, limiter: SocketAddr) -> Option<LimiterReply> {
        let number = request.number;
        let (tx, rx) = oneshot::channel();
        let asked = self.parts.timers.now();
        let pending = PendingAsk {
            limiter,
            asked,
            answer: tx,
        };
        self.pending.borrow_mut().insert(number, pending);
        let _asked = Asked {
            limits: self,
            number,
        };
        let ask = LimiterRequest {
            sender: self.parts.own,
            request,
        };
        let message = PeerMessage::LimiterRequest(ask);
        self.parts.datagrams.send(&message, &[limiter]);
        let answer = self.parts.timers.timeout(ANSWER_TIMEOUT, rx).await;
        // A sender that is gone without an answer is none either.
        answer.ok()?.ok()
    }

    /// Takes a limiter's answer to an ask. One that comes late, as when this process stood still, is none.
    pub fn on_reply(&self, reply: LimiterReply) {
        let now = self.parts.timers.now();
        let pending = self.pending.borrow_mut().remove(&reply.reply.number);
        let Some(pending) = pending else { return };
        let is_late = now.saturating_duration_since(pending.asked) > ANSWER_TIMEOUT;
        if !is_late && pending.limiter == reply.sender {
            // Whoever has given the request up needs no answer.
            let _ = pending.answer.send(reply);
        }
    }

    /// Asks a limiter that is passed over, or that another router should have asked, whether it answers.
    pub(super) async fn ask_whether_it_answers(&self, limiter: SocketAddr) {
        let request = PermitRequest {
            number: self.next_number(),
            upstream: UpstreamKey(0),
            count: 0,
            max_wait: Duration::ZERO,
            limit: None,
        };
        let answer = self.answer_to(request, limiter).await;
        let now = self.parts.timers.now();
        let mut permits = self.permits.borrow_mut();
        if answer.is_some() {
            permits.on_speaking(limiter);
        } else if permits.on_silence(limiter, now) {
            drop(permits);
            self.note_passed_over(limiter);
        }
    }

    fn next_number(&self) -> u64 {
        let next = self.last_number.get().wrapping_add(1);
        self.last_number.set(next);
        next
    }
}
