//! Whether a failed connection to an upstream shows that the upstream is dead or that this router's path to it is lost.
//!
//! - **Question.** An upstream does not respond over this router's own connections. Is a tunnel through a peer tried?
//! - **Inputs.** For each service, when bytes last arrived over own connections, and when the newest own connection
//!   that worked was opened ([`OwnContact`]); whether peers that were asked for a tunnel reached the upstream.
//! - **Result.** A [`PathVerdict`].
//! - **Why.** A dead upstream and a lost path look alike from one router. When many upstreams die at once, a tunnel
//!   for each failed connection would cost all routers many requests to each other, in vain, while they are
//!   busiest. A router that still hears the service tries one tunnel: if the peer does not reach the upstream either,
//!   the upstream counts as dead, and so do the others that fail shortly after. A router that hears nothing from the
//!   service may be cut off itself, as may be its peers, so it tries tunnels for all.
//!
//! [`PathEvidence`] owns the results of the trials, one small entry for each service.

use cloverpier_core::ServiceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A service from which bytes arrived within this time counts as heard. The events of a stream follow each other
/// faster; a connection on which nothing arrives counts as silent after this time.
pub const HEARD_TTL: Duration = Duration::from_millis(250);
/// Time for which a new own connection that worked shows that new connections can be opened.
const WORKED_TTL: Duration = Duration::from_secs(2);
/// Time for which a peer that reached an upstream in this router's place shows that paths are lost.
const REACHED_TTL: Duration = Duration::from_secs(2);
/// Time for which no tunnel is tried after the first trial in which a peer did not reach the upstream either; doubled
/// by each further one, up to [`MAX_HOLD`]. Longer than the time for which checks of a new suspect go through peers,
/// [`crate::suspicion::RECENT_SUSPICION`].
const INITIAL_HOLD: Duration = Duration::from_millis(1_500);
/// Longest time for which no tunnel is tried.
const MAX_HOLD: Duration = Duration::from_secs(6);
/// Time without a trial after which the next one counts as the first.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Time for which an upstream may be silent in the tunnel of a trial before that is recorded.
pub const TRIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a trial without a result no longer keeps others from beginning.
pub const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which another call waits for the result of a trial: that of a peer to respond.
pub const TRIAL_PATIENCE: Duration = crate::tunnel_peers::TUNNEL_TIMEOUT;
/// Number of peers whose agreement shows that an upstream is dead, where new own connections work.
const WITNESSES: usize = 1;
/// The same for the first trial where bytes arrive only over connections that were opened earlier: new ones may be what
/// fails, here and at peers.
const WITNESSES_WITHOUT_NEW_CONNECTIONS: usize = 3;
/// Number of trials after which the verdict is not checked again for suspected upstreams.
const CONCLUSIVE_TRIALS: u32 = 2;

/// When this router last had contact with the upstreams of a service over its own connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnContact {
    /// When bytes last arrived from an upstream; `None` if none ever did.
    pub heard_at: Option<Instant>,
    /// When the newest connection on which a response arrived was opened.
    pub last_working_open: Option<Instant>,
}

impl OwnContact {
    fn is_heard(self, now: Instant) -> bool {
        is_recent(self.heard_at, HEARD_TTL, now)
    }

    fn witnesses(self, now: Instant) -> usize {
        if is_recent(self.last_working_open, WORKED_TTL, now) {
            WITNESSES
        } else {
            WITNESSES_WITHOUT_NEW_CONNECTIONS
        }
    }
}

/// What to do for an upstream that does not respond over this router's own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathVerdict {
    /// The path may be lost: a tunnel is tried, through as many peers as necessary.
    PathSuspected,
    /// A tunnel is tried, and counts as begun. If this number of peers do not reach the upstream, it is dead.
    Trial {
        /// Number of peers that have to agree.
        witnesses: usize,
    },
    /// Another call tries a tunnel to an upstream of the service. Its result decides.
    AwaitTrial,
    /// The upstream is dead: no tunnel is tried.
    UpstreamDead,
}

/// The results of the trials for one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceEvidence {
    /// When the trial in progress began.
    trial_began: Option<Instant>,
    /// When a peer last reached an upstream that this router did not reach.
    reached_at: Option<Instant>,
    /// Consecutive trials in which the peers did not reach the upstream either, and when the last one ended.
    agreed: u32,
    agreed_at: Option<Instant>,
    /// When an upstream was last silent in the tunnel of a trial that did not count.
    silent_at: Option<Instant>,
}

impl ServiceEvidence {
    fn is_held(self, now: Instant) -> bool {
        let doublings = self.agreed.saturating_sub(1).min(8);
        let hold = (INITIAL_HOLD * (1 << doublings)).min(MAX_HOLD);
        self.agreed > 0 && is_recent(self.agreed_at, hold, now)
    }

    /// Whether the last trial is recent enough for the next one to add to it.
    fn is_fresh(&self, now: Instant) -> bool {
        is_recent(self.agreed_at, FORGET_AFTER, now)
    }

    fn is_second_trial_due(&self, now: Instant) -> bool {
        let is_inconclusive = (1..CONCLUSIVE_TRIALS).contains(&self.agreed);
        is_inconclusive && !self.is_held(now) && self.is_fresh(now)
    }
}

/// The results of the trials, by service.
#[derive(Clone, Debug, Default)]
pub struct PathEvidence {
    services: HashMap<ServiceName, ServiceEvidence>,
}

impl PathEvidence {
    /// Decides for an upstream of the service that does not respond over own connections.
    pub fn decide(
        &mut self,
        service: &ServiceName,
        contact: OwnContact,
        now: Instant,
    ) -> PathVerdict {
        let evidence = self.services.entry(service.clone()).or_default();
        if !contact.is_heard(now) || is_recent(evidence.reached_at, REACHED_TTL, now) {
            return PathVerdict::PathSuspected;
        }
        if evidence.is_held(now) {
            return PathVerdict::UpstreamDead;
        }
        if is_recent(evidence.trial_began, TRIAL_TIMEOUT, now) {
            return PathVerdict::AwaitTrial;
        }
        evidence.trial_began = Some(now);
        let is_second_opinion = evidence.agreed > 0 && evidence.is_fresh(now);
        let witnesses = if is_second_opinion {
            WITNESSES
        } else {
            contact.witnesses(now)
        };
        PathVerdict::Trial { witnesses }
    }

    /// Records that the peers of a trial did not reach the upstream either. Returns whether this counts: not if
    /// this router has stopped hearing the service since, because it may be cut off together with these peers.
    pub fn on_agreed(&mut self, service: &ServiceName, contact: OwnContact, now: Instant) -> bool {
        if !contact.is_heard(now) {
            return false;
        }
        let evidence = self.services.entry(service.clone()).or_default();
        if !evidence.is_fresh(now) {
            evidence.agreed = 0;
        }
        evidence.agreed = evidence.agreed.saturating_add(1);
        evidence.agreed_at = Some(now);
        true
    }

    /// Records that a peer opened the tunnel of a trial and the upstream was silent in it. A host takes connections also
    /// for a process that has stopped, but a busy upstream may respond late, so the second such trial counts as one in
    /// which the peers did not reach the upstream. Returns whether it counts.
    pub fn on_silent(&mut self, service: &ServiceName, contact: OwnContact, now: Instant) -> bool {
        let evidence = self.services.entry(service.clone()).or_default();
        if is_recent(evidence.silent_at, FORGET_AFTER, now) {
            return self.on_agreed(service, contact, now);
        }
        evidence.silent_at = Some(now);
        false
    }

    /// Records that a peer reached an upstream of the service that this router does not reach.
    pub fn on_reached(&mut self, service: &ServiceName, now: Instant) {
        let evidence = ServiceEvidence {
            reached_at: Some(now),
            ..ServiceEvidence::default()
        };
        self.services.insert(service.clone(), evidence);
    }

    /// Records that the trial in progress has ended.
    pub fn on_trial_ended(&mut self, service: &ServiceName) {
        if let Some(evidence) = self.services.get_mut(service) {
            evidence.trial_began = None;
        }
    }

    /// Whether a suspected upstream of a service that is heard is tried through a peer once more, because the peer
    /// that was asked first may have been cut off as well.
    pub fn is_second_trial_due(
        &self,
        service: &ServiceName,
        contact: OwnContact,
        now: Instant,
    ) -> bool {
        let evidence = self.services.get(service);
        contact.is_heard(now) && evidence.is_some_and(|e| e.is_second_trial_due(now))
    }
}

/// Whether `at` was less than `ttl` ago.
fn is_recent(at: Option<Instant>, ttl: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < ttl)
}
