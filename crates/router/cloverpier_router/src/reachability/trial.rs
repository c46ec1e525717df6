//! Which calls may try a tunnel for an upstream that does not respond over this router's own connections.
//!
//! `cloverpier_router_policy::path_evidence` decides. While one call tries a tunnel, others to the same service wait for
//! its result. [`PathTrials`] owns the results.

use super::own_contact;
use crate::decision_log::UpstreamsTakenForDead;
use crate::router::Router;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::path_evidence::{
    OwnContact, PathEvidence, PathVerdict, TRIAL_PATIENCE,
};
use cloverpier_router_policy::prelude::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// The results of trials, and the signal that one has ended.
#[derive(Debug, Default)]
pub(crate) struct PathTrials {
    evidence: RefCell<PathEvidence>,
    trial_ended: Notify,
}

impl PathTrials {
    /// Records that a peer reached an upstream of a service that this router does not reach.
    pub fn on_reached(&self, service: &ServiceName, now: Instant) {
        self.evidence.borrow_mut().on_reached(service, now);
    }
}

/// The permission to try a tunnel to an upstream that does not respond.
#[derive(Debug)]
pub(crate) struct PathTrial {
    router: Rc<Router>,
    upstream: Upstream,
    /// Number of peers that have to agree that the upstream is dead; `None` if other calls may try tunnels as well.
    witnesses: Option<usize>,
    agreed: Cell<usize>,
}

impl PathTrial {
    /// Whether the result of this call decides for others.
    pub fn is_decisive(&self) -> bool {
        self.witnesses.is_some()
    }

    /// Records that a peer does not reach the upstream either. Returns whether the upstream counts as dead, so that no
    /// other peer is asked.
    pub fn on_peer_agreed(&self) -> bool {
        self.agreed.set(self.agreed.get() + 1);
        self.witnesses.is_some_and(|n| self.agreed.get() >= n) && self.conclude()
    }

    /// Records that no peer opened a tunnel and no further one can be asked. Those that agreed are enough then.
    pub fn on_search_ended(&self) {
        let witnesses = self.witnesses.unwrap_or(0);
        if (1..witnesses).contains(&self.agreed.get()) {
            self.conclude();
        }
    }

    /// Records that a peer opened the tunnel, and that the upstream is silent in it.
    pub fn on_silent(&self) {
        if self.is_decisive() {
            self.record(PathEvidence::on_silent);
        }
    }

    /// Takes the upstream for dead, unless the router has stopped hearing its service. Returns whether it does.
    fn conclude(&self) -> bool {
        self.record(PathEvidence::on_agreed)
    }

    /// Records a result of the trial, and logs whether the upstream counts as dead by it.
    fn record(
        &self,
        result: impl Fn(&mut PathEvidence, &ServiceName, OwnContact, Instant) -> bool,
    ) -> bool {
        let (router, service) = (&self.router, &self.upstream.service);
        let contact = own_contact(router, service);
        let mut evidence = router.path_trials.evidence.borrow_mut();
        let is_dead = result(&mut evidence, service, contact, router.now());
        drop(evidence);
        if is_dead {
            router.metrics.tunnels.count("upstreams-dead");
            let line = UpstreamsTakenForDead {
                service: service.as_str(),
                upstream: self.upstream.name.as_str(),
                peers: self.agreed.get().max(1),
            };
            router.log.info("path.upstreams-dead", &line);
        }
        is_dead
    }
}

impl Drop for PathTrial {
    fn drop(&mut self) {
        if self.is_decisive() {
            let trials = &self.router.path_trials;
            let mut evidence = trials.evidence.borrow_mut();
            evidence.on_trial_ended(&self.upstream.service);
            trials.trial_ended.notify_waiters();
        }
    }
}

/// Whether a suspected upstream of a service is tried through a peer once more.
pub(crate) fn is_second_trial_due(router: &Router, service: &ServiceName) -> bool {
    let contact = own_contact(router, service);
    let evidence = router.path_trials.evidence.borrow();
    evidence.is_second_trial_due(service, contact, router.now())
}

fn decide(router: &Router, service: &ServiceName) -> PathVerdict {
    let contact = own_contact(router, service);
    let mut evidence = router.path_trials.evidence.borrow_mut();
    evidence.decide(service, contact, router.now())
}

/// Begins a trial of a tunnel to an upstream that does not respond over own connections, once no other trial for its
/// service is in progress. `None` if the upstream counts as dead, or the other trial takes long.
pub(crate) async fn begin_trial(router: &Rc<Router>, upstream: &Upstream) -> Option<PathTrial> {
    loop {
        let ended = router.path_trials.trial_ended.notified();
        let witnesses = match decide(router, &upstream.service) {
            PathVerdict::UpstreamDead => {
                router.metrics.tunnels.count("withheld");
                return None;
            }
            PathVerdict::AwaitTrial => {
                router.timers.timeout(TRIAL_PATIENCE, ended).await.ok()?;
                continue;
            }
            PathVerdict::PathSuspected => None,
            PathVerdict::Trial { witnesses } => Some(witnesses),
        };
        return Some(PathTrial {
            router: Rc::clone(router),
            upstream: upstream.clone(),
            witnesses,
            agreed: Cell::new(0),
        });
    }
}
