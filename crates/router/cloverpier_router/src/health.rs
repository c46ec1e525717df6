//! The observed activity of each upstream over each path, shared by all tasks that wait for the upstream there.
//!
//! A path is this router's own network path, or that through one peer. Owns, for each upstream and path, the time of
//! the last activity on any connection, the state of the probe, the number of streams under way, and the sign that the
//! attempts are lost. [`HealthTable`] has the entries of all upstreams.

mod table;

pub(crate) use table::HealthTable;

use crate::connection::{Connection, Via};
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::silence::QUIET_AFTER;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Why nothing arrives any more for the attempts that use an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossSign {
    /// The process of the upstream has ended: no attempt there can go on.
    ProcessGone,
    /// The upstream is known to have restarted. Attempts that make progress run at the new process.
    Restarted,
    /// The upstream was declared dead because it does not respond. It may go on after a pause.
    Unreachable,
    /// Nothing arrives over this path, while the upstream responds over another one.
    PathLost,
}

/// A call with a response under the upstream's own name: the upstream was running after the call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LivenessEvidence {
    /// When the call was sent.
    pub call_sent_at: Instant,
    /// The address to which it was sent.
    pub address: SocketAddr,
}

/// The observed activity of one upstream over one path.
#[derive(Debug)]
pub(crate) struct UpstreamHealth {
    /// The path of the connections that the entry is about.
    pub via: Via,
    /// When data or a connection error last arrived from the upstream's address, on any connection, or a request
    /// was last sent there; at first, when the entry was created.
    pub last_activity: Cell<Instant>,
    /// When a part of a valid response of the upstream itself last arrived; `None` before the first. Unlike
    /// `last_activity`, responses of another process at the same address do not count.
    pub last_own_response: Cell<Option<Instant>>,
    /// The latest evidence that the upstream was running; `None` before the first. The time at which data was read is no
    /// evidence, as the data may have been in a buffer for long.
    liveness_evidence: Cell<Option<LivenessEvidence>>,
    /// Since when the upstream has sent parts of its own responses without a long pause; `None` before the first.
    pub responding_since: Cell<Option<Instant>>,
    /// When the probe in flight was sent, or the first one if it is a repetition; `None` without a probe.
    pub probing_since: Cell<Option<Instant>>,
    /// Whether a probe waits for a permit, because the upstream limits its request rate.
    pub probe_awaits_permit: Cell<bool>,
    /// When and over which path the upstream last responded, while it was probed over this one; `None` before.
    pub reached_otherwise: Cell<Option<(Instant, Via)>>,
    /// When data last arrived from the upstream's address, on any connection; `None` before the first.
    last_heard: Cell<Option<Instant>>,
    /// Whether a probe was sent that nothing has followed yet.
    pub is_probe_unanswered: Cell<bool>,
    /// Number of streams of this router that the upstream has begun to write and that have not ended.
    streams: Cell<usize>,
    /// When and why the attempts were last taken for lost.
    lost: Cell<Option<(LossSign, Instant)>>,
    /// Whether the entry was created when no process listened at the upstream's address any more, and the next
    /// incarnation has not been recorded yet. All requests that use the entry go to the next incarnation, so they
    /// continue when it is recorded.
    pub is_for_next_incarnation: Cell<bool>,
    /// Notifies the waiting tasks when the attempts are taken for lost.
    pub declared_dead: Notify,
    /// Carries probes, and no requests; `None` before the first probe and while one is in flight.
    pub probe_connection: RefCell<Option<Connection>>,
}

impl UpstreamHealth {
    fn new(via: Via, now: Instant) -> Self {
        Self {
            via,
            probe_connection: RefCell::default(),
            last_activity: Cell::new(now),
            last_own_response: Cell::new(None),
            liveness_evidence: Cell::new(None),
            responding_since: Cell::new(None),
            probing_since: Cell::new(None),
            probe_awaits_permit: Cell::new(false),
            reached_otherwise: Cell::new(None),
            last_heard: Cell::new(None),
            is_probe_unanswered: Cell::new(false),
            streams: Cell::new(0),
            lost: Cell::new(None),
            is_for_next_incarnation: Cell::new(false),
            declared_dead: Notify::new(),
        }
    }

    /// Records that data arrived from the upstream's address, or that a request is sent there.
    pub fn on_activity(&self, now: Instant) {
        self.last_activity.set(now);
    }

    /// Records that a part of a valid response of the upstream itself arrived.
    fn on_own_response(&self, now: Instant) {
        let is_pause = |at| now.saturating_duration_since(at) >= QUIET_AFTER;
        let last = self.last_own_response.replace(Some(now));
        if last.is_none_or(is_pause) || self.responding_since.get().is_none() {
            self.responding_since.set(Some(now));
        }
        self.on_heard(now);
    }

    /// Records a call with a response under the upstream's own name.
    pub fn on_liveness_evidence(&self, evidence: LivenessEvidence) {
        let is_older = |last: LivenessEvidence| last.call_sent_at <= evidence.call_sent_at;
        if self.liveness_evidence.get().is_none_or(is_older) {
            self.liveness_evidence.set(Some(evidence));
        }
    }

    /// Records that data arrived from the upstream's address.
    fn on_heard(&self, now: Instant) {
        self.last_heard.set(Some(now));
        self.on_activity(now);
    }

    /// Why an attempt that last made progress at `last_progress` seems lost; `None` if it does not. The end of the
    /// process counts for all attempts; a restart, which is known some time after it, for those that are silent. Any other
    /// sign counts until the upstream is heard again, and only for attempts that were under way by then.
    pub fn loss_sign(&self, last_progress: Instant, now: Instant) -> Option<LossSign> {
        let (sign, at) = self.lost.get()?;
        let was_under_way = at >= last_progress;
        let is_current = match sign {
            LossSign::ProcessGone => true,
            LossSign::Restarted => {
                let silent = now.saturating_duration_since(last_progress);
                was_under_way && silent >= QUIET_AFTER
            }
            LossSign::Unreachable => was_under_way && self.last_heard.get() <= Some(at),
            LossSign::PathLost => was_under_way,
        };
        is_current.then_some(sign)
    }

    /// The path over which the upstream has responded since the present probe over this one was sent; `None` without
    /// such a response.
    pub fn other_path(&self) -> Option<Via> {
        let probed_at = self.probing_since.get()?;
        let (reached_at, via) = self.reached_otherwise.get()?;
        (reached_at >= probed_at).then_some(via)
    }

    /// Marks the attempts that use the entry as lost, and wakes all tasks that wait with it.
    pub fn on_lost(&self, sign: LossSign, now: Instant) {
        self.lost.set(Some((sign, now)));
        self.declared_dead.notify_waiters();
    }
}

/// Records that a part of a valid response of an upstream to a request arrived.
pub(crate) fn on_own_response(
    router: &Router,
    upstream: &UpstreamName,
    health: &UpstreamHealth,
    now: Instant,
) {
    health.on_own_response(now);
    on_probe_answered(router, upstream, health);
}

/// Records that data arrived from an upstream, a response to a probe or check included.
pub(crate) fn on_heard(
    router: &Router,
    upstream: &UpstreamName,
    health: &UpstreamHealth,
    now: Instant,
) {
    health.on_heard(now);
    on_probe_answered(router, upstream, health);
}

/// The probe may have been sent over another path, whose entry keeps its mark.
fn on_probe_answered(router: &Router, upstream: &UpstreamName, health: &UpstreamHealth) {
    if health.is_probe_unanswered.replace(false) || health.via != Via::Direct {
        router.upstreams.borrow_mut().on_probe_answered(upstream);
    }
}

/// Counts a stream that an upstream writes, until it is dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard(Rc<UpstreamHealth>);

impl StreamGuard {
    /// Counts a stream whose first event has arrived.
    pub fn begin(health: &Rc<UpstreamHealth>) -> Self {
        health.streams.update(|count| count + 1);
        Self(Rc::clone(health))
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.streams.update(|count| count - 1);
    }
}
