//! Waits for data from an upstream, and ends the wait if the upstream fails or another one takes the request on.
//!
//! [`Liveness`] decides whether to wait, to probe the upstream, or that the attempt seems lost; then
//! [`crate::silence`] and [`crate::first_event_watch`] decide whether it ends. Relies on [`crate::health`] for the
//! upstream's last activity on any connection. Owns no state.

use crate::cancel_signal::CancelSignal;
use crate::first_event_watch::FirstEventWatch;
use crate::health::{LossSign, UpstreamHealth};
use crate::probe;
use crate::router::Router;
use crate::silence::{SilenceOutcome, SilenceWatch};
use cloverpier_router_policy::first_event_wait::FirstEventStep;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::silence::SilenceSign;
use futures_util::future::poll_immediate;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// While a probe waits for its permit, the waiting request checks at this interval whether the probe was sent.
const PERMIT_POLL_PERIOD: Duration = Duration::from_millis(100);

/// An upstream that a request waits for, and what ends the wait.
pub(crate) struct AwaitedUpstream<'a> {
    pub router: &'a Rc<Router>,
    pub upstream: &'a Upstream,
    pub health: &'a Rc<UpstreamHealth>,
    /// The request's deadline, at which the wait ends.
    pub deadline: Instant,
    /// Cancels the attempt when the request's content is blocked; `None` once the upstream has begun to respond,
    /// which shows that it survives the request.
    pub stop: Option<&'a CancelSignal>,
    /// Decides what becomes of the attempt when it seems lost.
    pub watches: AttemptWatches<'a>,
}

/// What decides whether an attempt that seems lost goes on.
#[derive(Clone, Copy)]
pub(crate) struct AttemptWatches<'a> {
    /// Decides while the upstream is silent.
    pub silence: &'a SilenceWatch,
    /// Decides on a stalled attempt of a stream before its first event; `None` for other attempts.
    pub first_event: Option<&'a FirstEventWatch>,
}

/// The next action of a wait.
enum WaitAction {
    /// Wait until this time, then evaluate the state of the upstream again.
    WaitUntil(Instant),
    /// Evaluate the state of the upstream again at once.
    Reevaluate,
}

/// Waits for `response`, a future that completes when data from the upstream or an error of its connection arrives.
/// Either counts as activity of the upstream.
///
/// # Errors
///
/// [`AttemptFailure::UpstreamDead`], [`AttemptFailure::UpstreamSilent`], [`AttemptFailure::PathLost`],
/// [`AttemptFailure::Stalled`], [`AttemptFailure::Stopped`] or [`AttemptFailure::DeadlinePassedSent`] if the wait ends before the future completes.
pub(crate) async fn wait_while_alive<T>(
    awaited: &AwaitedUpstream<'_>,
    liveness: &mut Liveness,
    response: impl Future<Output = T>,
) -> Result<T, AttemptFailure> {
    let mut response = pin!(response);
    let (router, health) = (awaited.router, awaited.health);
    loop {
        let declared_dead = health.declared_dead.notified();
        let now = router.now();
        // Data that has already arrived takes precedence over timeouts, which may have passed while this process
        // was paused.
        if let Some(value) = poll_immediate(&mut response).await {
            health.on_activity(now);
            return Ok(value);
        }
        let wake_at = match next_step(awaited, liveness, now)? {
            WaitAction::WaitUntil(at) => at,
            WaitAction::Reevaluate => continue,
        };
        tokio::select! {
            biased;
            value = &mut response => {
                health.on_activity(router.now());
                return Ok(value);
            }
            () = declared_dead => {}
            () = stop_requested(awaited.stop) => {}
            () = router.timers.sleep_until(wake_at) => {}
        }
    }
}

/// Completes when the attempt is cancelled; never without a signal.
async fn stop_requested(stop: Option<&CancelSignal>) {
    match stop {
        Some(stop) => stop.cancelled().await,
        None => std::future::pending().await,
    }
}

/// The earliest time at which the upstream may be probed: the end of its wait period, or, while a probe waits for a
/// permit, the time of the next check whether that probe was sent. `None` if the upstream may be probed now.
fn earliest_probe(
    router: &Router,
    upstream: &Upstream,
    health: &UpstreamHealth,
    now: Instant,
) -> Option<Instant> {
    if health.probe_awaits_permit.get() {
        return Some(now + PERMIT_POLL_PERIOD);
    }
    router
        .upstreams
        .borrow()
        .next_probe_time(&upstream.name, now)
}

/// Evaluates the state of an upstream from which no data has arrived, and starts a probe if one is due.
fn next_step(
    awaited: &AwaitedUpstream<'_>,
    liveness: &mut Liveness,
    now: Instant,
) -> Result<WaitAction, AttemptFailure> {
    if awaited.stop.is_some_and(CancelSignal::is_cancelled) {
        return Err(AttemptFailure::Stopped);
    }
    liveness.on_wakeup(now);
    let sign = match awaited.health.loss_sign(liveness.last_progress(), now) {
        Some(LossSign::ProcessGone | LossSign::Restarted) => {
            return Err(AttemptFailure::UpstreamDead);
        }
        Some(LossSign::Unreachable) => Some(SilenceSign::Unreachable),
        Some(LossSign::PathLost) => Some(SilenceSign::PathLost),
        None => None,
    };
    if now >= awaited.deadline {
        return Err(AttemptFailure::DeadlinePassedSent);
    }
    match sign {
        Some(sign) => while_lost(awaited, sign, liveness, now),
        None => while_silent(awaited, liveness, now),
    }
}

/// Lets an attempt that seems lost wait on, or ends it.
fn while_lost(
    awaited: &AwaitedUpstream<'_>,
    sign: SilenceSign,
    liveness: &mut Liveness,
    now: Instant,
) -> Result<WaitAction, AttemptFailure> {
    let wait = keep_or_end(awaited.watches.silence, sign, liveness, now)?;
    let wake_at = (now + wait).min(awaited.deadline);
    Ok(WaitAction::WaitUntil(liveness.expect_wakeup_at(wake_at)))
}

/// Waits for an attempt whose upstream has not been declared dead, and probes the upstream if that is due.
fn while_silent(
    awaited: &AwaitedUpstream<'_>,
    liveness: &mut Liveness,
    now: Instant,
) -> Result<WaitAction, AttemptFailure> {
    let (router, upstream, health) = (awaited.router, awaited.upstream, awaited.health);
    let probing_since = health.probing_since.get();
    liveness.hold_probes_until(earliest_probe(router, upstream, health, now));
    match liveness.step(health.last_activity.get(), probing_since, now) {
        LivenessStep::WaitUntil(at) => Ok(WaitAction::WaitUntil(at.min(awaited.deadline))),
        LivenessStep::Probe => {
            probe::probe(router, upstream, health, now);
            Ok(WaitAction::Reevaluate)
        }
        LivenessStep::UpstreamDead => {
            let sign = probe::on_unanswered_probe(router, upstream, health, now);
            while_lost(awaited, sign, liveness, now)
        }
        LivenessStep::Stalled => {
            let further = while_stalled(awaited.watches, liveness, now)?;
            liveness.extend_stall(further, now);
            Ok(WaitAction::Reevaluate)
        }
    }
}

/// Ends a stalled attempt, or returns the time for which it waits on.
fn while_stalled(
    watches: AttemptWatches<'_>,
    liveness: &Liveness,
    now: Instant,
) -> Result<Duration, AttemptFailure> {
    let Some(watch) = watches.first_event else {
        return keep_or_end(watches.silence, SilenceSign::Stalled, liveness, now);
    };
    match watch.step(liveness.without_progress(now), now) {
        FirstEventStep::WaitFor(further) => Ok(further),
        FirstEventStep::Move(_) => Err(AttemptFailure::Stalled),
    }
}

/// Ends an attempt that seems lost, or returns the time for which it waits on.
fn keep_or_end(
    watch: &SilenceWatch,
    sign: SilenceSign,
    liveness: &Liveness,
    now: Instant,
) -> Result<Duration, AttemptFailure> {
    match watch.step(sign, liveness.last_progress(), now) {
        SilenceOutcome::KeepFor(time) => Ok(time),
        SilenceOutcome::UpstreamGone => Err(AttemptFailure::UpstreamDead),
        SilenceOutcome::Move => Err(match sign {
            SilenceSign::Stalled => AttemptFailure::Stalled,
            SilenceSign::Unreachable => AttemptFailure::UpstreamSilent,
            SilenceSign::PathLost => AttemptFailure::PathLost,
        }),
    }
}
