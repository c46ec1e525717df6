//! Waits for something from an upstream while the upstream seems alive.
//!
//! Carries out what [`Liveness`] decides: waits, has the upstream probed, or ends the wait.
//! Relies on [`crate::health`] for the upstream's last activity on any connection.

use crate::cancel_signal::CancelSignal;
use crate::health::UpstreamHealth;
use crate::probe::{self, DeathCause};
use crate::router::Router;
use cloverpier_router_policy::prelude::*;
use futures_util::future::poll_immediate;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often it is looked whether a probe that waits for a permit was sent.
const PROBE_WAIT_STEP: Duration = Duration::from_millis(100);

/// An upstream that is waited for.
pub(crate) struct Awaited<'a> {
    pub router: &'a Rc<Router>,
    pub upstream: &'a Upstream,
    pub health: &'a Rc<UpstreamHealth>,
    /// When the request's time is over.
    pub deadline: Instant,
    /// Calls the attempt back; `None` once the upstream has proved that it survives the request.
    pub stop: Option<&'a CancelSignal>,
}

/// What a wait does next.
enum WaitStep {
    /// Go on until this moment.
    Until(Instant),
    /// Decide again.
    Again,
}

/// Waits for `answer`.
///
/// # Errors
///
/// [`AttemptFailure::UpstreamDead`], [`AttemptFailure::Stalled`], [`AttemptFailure::Stopped`] or
/// [`AttemptFailure::DeadlinePassedSent`] when the wait ended without it.
pub(crate) async fn while_alive<T>(
    awaited: &Awaited<'_>,
    liveness: &mut Liveness,
    answer: impl Future<Output = T>,
) -> Result<T, AttemptFailure> {
    let mut answer = pin!(answer);
    let (router, health) = (awaited.router, awaited.health);
    loop {
        let declared_dead = health.declared_dead.notified();
        let now = router.now();
        // What has arrived already counts, also after a pause of this process.
        if let Some(value) = poll_immediate(&mut answer).await {
            health.on_activity(now);
            return Ok(value);
        }
        let wake_at = match next_step(awaited, liveness, now)? {
            WaitStep::Until(at) => at,
            WaitStep::Again => continue,
        };
        tokio::select! {
            biased;
            value = &mut answer => {
                health.on_activity(router.now());
                return Ok(value);
            }
            () = declared_dead => {}
            () = stopped(awaited.stop) => {}
            () = router.timers.sleep_until(wake_at) => {}
        }
    }
}

/// Waits for a call back; for ever where none can come.
async fn stopped(stop: Option<&CancelSignal>) {
    match stop {
        Some(stop) => stop.cancelled().await,
        None => std::future::pending().await,
    }
}

/// From when on an upstream may be probed, if that is not now: it wants nothing for a while, or a probe
/// waits for a permit already.
fn probed_again_at(
    router: &Router,
    upstream: &Upstream,
    health: &UpstreamHealth,
    now: Instant,
) -> Option<Instant> {
    if health.probe_waits.get() {
        return Some(now + PROBE_WAIT_STEP);
    }
    router
        .upstreams
        .borrow()
        .next_probe_time(&upstream.name, now)
}

/// Decides about an upstream from which nothing has arrived.
fn next_step(
    awaited: &Awaited<'_>,
    liveness: &mut Liveness,
    now: Instant,
) -> Result<WaitStep, AttemptFailure> {
    let Awaited {
        router,
        upstream,
        health,
        deadline,
        stop,
    } = awaited;
    if stop.is_some_and(CancelSignal::is_cancelled) {
        return Err(AttemptFailure::Stopped);
    }
    if health.is_dead() {
        return Err(AttemptFailure::UpstreamDead);
    }
    if now >= *deadline {
        return Err(AttemptFailure::DeadlinePassedSent);
    }
    let probing_since = health.probing_since.get();
    liveness.hold_probes_until(probed_again_at(router, upstream, health, now));
    match liveness.step(health.last_activity.get(), probing_since, now) {
        LivenessStep::WaitUntil(at) => Ok(WaitStep::Until(at.min(*deadline))),
        LivenessStep::Probe => {
            probe::probe(router, upstream, health, now);
            Ok(WaitStep::Again)
        }
        LivenessStep::UpstreamDead => {
            let cause = DeathCause::Unreachable;
            probe::declare_dead(router, upstream, cause, "no answer to a question", now);
            Err(AttemptFailure::UpstreamDead)
        }
        LivenessStep::Stalled => Err(AttemptFailure::Stalled),
    }
}
