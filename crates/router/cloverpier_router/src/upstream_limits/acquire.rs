//! Permits for this router's own requests.
//!
//! Before a request is sent to a rate-limited upstream, this router sends a permit request to the upstream's limiter
//! by datagram, and waits some milliseconds for the reply. Without a reply in time, the permit counts as refused. Owns
//! no state of its own: [`UpstreamLimits`] owns the pending permit requests.

use super::{UpstreamLimits, limited_upstream};
use crate::peer_messages::{LimiterReply, LimiterRequest, PeerMessage};
use cloverpier_router_policy::permit::{
    PermitDecision, PermitRequest, REPLY_TIMEOUT, is_permit_usable,
};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// The upstream is not limited, or the request has a permit whose time has come.
    Granted,
    /// There is no permit for the request.
    Refused {
        /// The time after which the request's caller should retry.
        retry_after: Duration,
    },
}

/// A permit request without a reply so far.
#[derive(Debug)]
pub(super) struct PendingRequest {
    limiter: SocketAddr,
    sent_at: Instant,
    reply_sender: oneshot::Sender<LimiterReply>,
}

/// Removes a permit request from the pending ones when dropped: after the reply or timeout, or when the caller's
/// request is cancelled.
struct PendingRequestGuard<'a> {
    limits: &'a UpstreamLimits,
    number: u64,
}

impl Drop for PendingRequestGuard<'_> {
    fn drop(&mut self) {
        self.limits.pending.borrow_mut().remove(&self.number);
    }
}

impl UpstreamLimits {
    /// Obtains a permit for a request to an upstream, and waits until the permit may be used, for at most `max_wait`.
    /// The exchange with the limiter takes up to [`REPLY_TIMEOUT`] in addition. An upstream without a limit needs no
    /// permit.
    pub async fn acquire(&self, upstream: &Upstream, max_wait: Duration) -> Permission {
        let now = self.deps.timers.now();
        if self.permits.borrow().limits().is_empty() {
            return Permission::Granted;
        }
        let limited = limited_upstream(upstream);
        let decision = self.permits.borrow_mut().decide(limited, max_wait, now);
        let decision = match decision {
            PermitDecision::RequestFrom(limiter) => {
                self.request_permit(upstream, limiter, max_wait).await
            }
            decision => decision,
        };
        match decision {
            PermitDecision::Unlimited => Permission::Granted,
            PermitDecision::Granted(delay) => self.wait_for_permit(delay).await,
            PermitDecision::Refused { retry: retry_after } => {
                self.deps.permit_counter.count("refused");
                Permission::Refused { retry_after }
            }
            // Unreachable: `request_permit` never returns a request to another limiter.
            PermitDecision::RequestFrom(_) => Permission::Refused {
                retry_after: REPLY_TIMEOUT,
            },
        }
    }

    /// Waits for `delay`, until a permit may be used. Refused if the wait ends too late, as when this process was
    /// paused: the limiter counted the permit for an earlier moment.
    async fn wait_for_permit(&self, delay: Duration) -> Permission {
        let timers = &self.deps.timers;
        let due = timers.now() + delay;
        if !delay.is_zero() {
            timers.sleep_until(due).await;
        }
        if is_permit_usable(due, timers.now()) {
            self.deps.permit_counter.count("granted");
            return Permission::Granted;
        }
        self.deps.permit_counter.count("late");
        Permission::Refused {
            retry_after: Duration::ZERO,
        }
    }

    /// Requests a permit from an upstream's limiter. Never returns [`PermitDecision::RequestFrom`].
    async fn request_permit(
        &self,
        upstream: &Upstream,
        limiter: SocketAddr,
        max_wait: Duration,
    ) -> PermitDecision {
        let limited = limited_upstream(upstream);
        let now = self.deps.timers.now();
        let limit = self.report(upstream, now);
        let request = PermitRequest {
            number: self.next_request_number(),
            upstream: limited.key,
            count: 1,
            max_wait,
            limit,
        };
        match self.send_and_await_reply(request, limiter).await {
            Some(reply) => {
                let now = self.deps.timers.now();
                let mut rng = self.rng.borrow_mut();
                let mut permits = self.permits.borrow_mut();
                permits.on_reply(limiter, &reply.reply, limited.start_time_ms, &mut rng, now)
            }
            None => self.on_timeout(limited.key, limiter),
        }
    }

    /// Records a permit request without a reply in time, which counts as refused.
    fn on_timeout(&self, upstream: UpstreamKey, limiter: SocketAddr) -> PermitDecision {
        self.deps.permit_counter.count("unanswered");
        let now = self.deps.timers.now();
        let mut permits = self.permits.borrow_mut();
        let is_newly_unresponsive = permits.on_request_timeout(upstream, limiter, now);
        drop(permits);
        if is_newly_unresponsive {
            self.log_unresponsive_limiter(limiter);
        }
        PermitDecision::Refused {
            retry: REPLY_TIMEOUT,
        }
    }

    /// Sends a permit request and waits for its reply; `None` if none arrives in time.
    async fn send_and_await_reply(
        &self,
        request: PermitRequest,
        limiter: SocketAddr,
    ) -> Option<LimiterReply> {
        let number = request.number;
        let (tx, rx) = oneshot::channel();
        let sent_at = self.deps.timers.now();
        let pending = PendingRequest {
            limiter,
            sent_at,
            reply_sender: tx,
        };
        self.pending.borrow_mut().insert(number, pending);
        let _guard = PendingRequestGuard {
            limits: self,
            number,
        };
        let limiter_request = LimiterRequest {
            sender: self.deps.own_address,
            request,
        };
        let message = PeerMessage::LimiterRequest(limiter_request);
        self.deps.datagrams.send(&message, &[limiter]);
        let reply = self.deps.timers.timeout(REPLY_TIMEOUT, rx).await;
        // `None` for a timeout, and for a reply that `on_reply` rejected and so dropped the channel.
        reply.ok()?.ok()
    }

    /// Passes a limiter's reply to the task that waits for it. Replies that arrive after the timeout, as when this
    /// process was paused, and replies of another router than the requested one are rejected.
    pub fn on_reply(&self, reply: LimiterReply) {
        let now = self.deps.timers.now();
        let pending = self.pending.borrow_mut().remove(&reply.reply.number);
        let Some(pending) = pending else { return };
        let is_late = now.saturating_duration_since(pending.sent_at) > REPLY_TIMEOUT;
        if !is_late && pending.limiter == reply.sender {
            // Fails if the waiting task was cancelled, and nothing is left to do then.
            let _ = pending.reply_sender.send(reply);
        }
    }

    /// Checks with an empty permit request whether a limiter replies: one that this router has recorded as
    /// unresponsive, or one that another router passed over.
    pub(super) async fn probe_limiter(&self, limiter: SocketAddr) {
        let request = PermitRequest {
            number: self.next_request_number(),
            upstream: UpstreamKey(0),
            count: 0,
            max_wait: Duration::ZERO,
            limit: None,
        };
        let reply = self.send_and_await_reply(request, limiter).await;
        let now = self.deps.timers.now();
        let mut permits = self.permits.borrow_mut();
        if reply.is_some() {
            permits.on_probe_reply(limiter);
        } else if permits.on_probe_timeout(limiter, now) {
            drop(permits);
            self.log_unresponsive_limiter(limiter);
        }
    }

    fn next_request_number(&self) -> u64 {
        let next = self.last_request_number.get().wrapping_add(1);
        self.last_request_number.set(next);
        next
    }
}
