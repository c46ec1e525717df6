//! Probes silent upstreams, and declares upstreams dead.
//!
//! A *probe* is a request to an upstream that has requests of this router and is silent. If it remains without a
//! response, the upstream is probed over another path: it may be alive, and only the path lost. The results are
//! recorded in the table of upstreams and in [`crate::health`]; [`crate::suspect_checks`] checks upstreams that were
//! declared dead. `cloverpier_router_policy::{liveness, suspicion}` decide when probes are sent and what a response
//! means. Owns no state.

use crate::call_kind::CallKind;
use crate::connection::Via;
use crate::crashes::record;
use crate::decision_log::ms;
use crate::health::{self, LossSign, UpstreamHealth};
use crate::http_client::CallError;
use crate::reachability;
use crate::reachability::probing::{end_path_if_reached_otherwise, get_for_probe, probe_otherwise};
use crate::reachability::query::PathResponse;
use crate::router::Router;
use crate::statements::Call;
use crate::successors;
use crate::upstream_limits::Permission;
use crate::upstream_log::log_upstream_change;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::permit::PROBE_PERMIT_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::silence::SilenceSign;
use cloverpier_router_policy::suspicion::{
    CheckResult, MAX_PROBES, PROBE_RETRY_DELAY, PROBE_TIMEOUT, check_result,
};
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

/// The evidence by which an upstream is declared dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureEvidence {
    /// The host refused the connection because no process listens at the upstream's address, or another process
    /// responded there: the upstream's process has ended.
    NoProcess,
    /// The upstream cannot be reached or does not respond, which does not show that its process has ended.
    Unreachable,
}

/// Starts a probe of a silent upstream, unless a probe is in flight or the upstream's wait period allows none. A
/// response counts as activity. If the upstream limits its request rate, the probe waits for a permit, because a
/// probe counts against the limit.
pub(crate) fn probe(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &Rc<UpstreamHealth>,
    now: Instant,
) {
    if health.probing_since.get().is_some() || health.probe_awaits_permit.get() {
        return;
    }
    if !try_begin_probe(router, upstream, now) {
        return;
    }
    if router.upstream_limits.is_limited(upstream) {
        health.probe_awaits_permit.set(true);
    } else {
        health.probing_since.set(Some(now));
        health.is_probe_unanswered.set(true);
        router
            .upstreams
            .borrow_mut()
            .on_probe_sent(&upstream.name, now);
    }
    let (router, upstream, health) = (Rc::clone(router), upstream.clone(), Rc::clone(health));
    tokio::task::spawn_local(async move {
        probe_with_retries(&router, &upstream, &health).await;
        health.probe_awaits_permit.set(false);
        health.probing_since.set(None);
    });
}

/// Records a probe that is about to be sent. Returns false, and counts the probe as withheld, if the upstream has
/// requested a wait period and the one probe that the period allows was sent already.
fn try_begin_probe(router: &Router, upstream: &Upstream, now: Instant) -> bool {
    let is_allowed = router
        .upstreams
        .borrow_mut()
        .try_start_probe(&upstream.name, now);
    if !is_allowed {
        router.metrics.probes.count("withheld");
    }
    is_allowed
}

/// Probes an upstream, and repeats the probe while its connection breaks: a process that is exiting closes its
/// connections before its listening socket, so a broken connection does not show whether the process has ended.
async fn probe_with_retries(router: &Rc<Router>, upstream: &Upstream, health: &Rc<UpstreamHealth>) {
    for attempt in 0..MAX_PROBES {
        if !acquire_probe_permit(router, upstream).await {
            return;
        }
        health.probe_awaits_permit.set(false);
        let since = health.probing_since.get().unwrap_or_else(|| router.now());
        health.probing_since.set(Some(since));
        if send_probe(router, upstream, health).await == ProbeOutcome::Finished {
            return;
        }
        let is_second = attempt == 1;
        if is_second && end_path_if_reached_otherwise(router, upstream, health, since).await {
            return;
        }
        router.timers.sleep(PROBE_RETRY_DELAY).await;
        if !try_begin_probe(router, upstream, router.now()) {
            return;
        }
    }
}

/// Acquires a permit for a probe or check if the upstream limits its request rate. Returns false, and counts the probe,
/// if there is none in time.
pub(crate) async fn acquire_probe_permit(router: &Router, upstream: &Upstream) -> bool {
    let permission = router
        .upstream_limits
        .acquire(upstream, PROBE_PERMIT_TIMEOUT);
    let is_granted = permission.await == Permission::Granted;
    if !is_granted {
        router.metrics.probes.count("without-permit");
    }
    is_granted
}

/// Whether a probe has to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    /// The upstream or another process responded, the connection was refused, or the probe failed for another
    /// reason, such as a timeout. The probe is not repeated.
    Finished,
    /// The connection broke before a response. The probe is repeated.
    ConnectionBroken,
}

/// Sends a probe over the path of `health`, and over another one if nothing arrives soon.
async fn send_probe(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &Rc<UpstreamHealth>,
) -> ProbeOutcome {
    let sent = router.now();
    let responding = router
        .timers
        .timeout(PROBE_TIMEOUT, get_for_probe(router, upstream, health));
    let mut responding = pin!(responding);
    let result = tokio::select! {
        biased;
        result = &mut responding => result,
        () = probe_otherwise(router, upstream, health) => responding.await,
    };
    // A timeout is the only error that is not one of the call itself.
    let result = result.unwrap_or(Err(CallError::TimedOut));
    on_probe_result(router, upstream, health, sent, result).await
}

/// Handles the result of a probe that was sent at `sent` over the path of `health`.
async fn on_probe_result(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &Rc<UpstreamHealth>,
    sent: Instant,
    result: Result<PathResponse, CallError>,
) -> ProbeOutcome {
    match result {
        Ok(probed) => {
            let call = Call {
                upstream,
                via: CallKind::Probe,
                sent,
                connection: &probed.connection,
            };
            // If the response is from a newer incarnation, the attempts at the previous one fail here, although
            // the address responds.
            let said = router
                .apply_query_statement(call, probed.response.parts())
                .statement;
            *health.probe_connection.borrow_mut() = Some(probed.connection);
            on_probe_response(router, upstream, health, said.name.as_ref(), sent);
        }
        Err(error) if error.is_refused() => {
            router.metrics.probes.count("refused");
            if !end_path_if_reached_otherwise(router, upstream, health, sent).await {
                on_no_process(router, upstream);
            }
        }
        Err(error) if error.is_break() => {
            router.metrics.probes.count("broken");
            return ProbeOutcome::ConnectionBroken;
        }
        // After a timeout, or if the host cannot be reached, the requests that wait for the upstream declare it
        // dead by their own timeouts.
        Err(_) => router.metrics.probes.count("silent"),
    }
    ProbeOutcome::Finished
}

/// Declares an upstream dead because its host refused a connection.
pub(crate) fn on_no_process(router: &Router, upstream: &Upstream) {
    let evidence = FailureEvidence::NoProcess;
    let reason = "no process listens at its address";
    declare_dead(router, upstream, evidence, reason, router.now());
}

/// Handles a probe that nothing has answered in time: the path of `health` is lost if the upstream was reached over
/// another one, else the upstream is declared dead. Marks the attempts that wait accordingly, those with an entry that is
/// not in the table any more, too, and returns the sign of their loss.
pub(crate) fn on_unanswered_probe(
    router: &Router,
    upstream: &Upstream,
    health: &UpstreamHealth,
    now: Instant,
) -> SilenceSign {
    if let Some(reached) = health.other_path() {
        // The entry has another path only while a probe is in flight.
        let probed_at = health.probing_since.get().unwrap_or(now);
        reachability::end_silent_path(router, upstream, health.via, reached, probed_at);
        health.on_lost(LossSign::PathLost, now);
        return SilenceSign::PathLost;
    }
    let evidence = FailureEvidence::Unreachable;
    declare_dead(router, upstream, evidence, "no response to a probe", now);
    health.on_lost(LossSign::Unreachable, now);
    SilenceSign::Unreachable
}

/// Handles the response to a probe. `responder` is the upstream's name in the response; if the name is another one,
/// another process has the upstream's address. `None` counts as the upstream's own.
pub(crate) fn on_probe_response(
    router: &Router,
    upstream: &Upstream,
    health: &UpstreamHealth,
    responder: Option<&UpstreamName>,
    sent: Instant,
) {
    let now = router.now();
    match check_result(&upstream.name, responder) {
        CheckResult::Alive => {
            router.metrics.probes.count("alive");
            health::on_heard(router, &upstream.name, health, now);
            record::on_probe_response(router, upstream, sent);
        }
        CheckResult::Replaced => {
            router.metrics.probes.count("replaced");
            let reason = "another process responds at its address";
            declare_dead(router, upstream, FailureEvidence::NoProcess, reason, now);
            successors::on_name_mismatch(router, upstream, responder);
        }
    }
}

/// Declares an upstream dead: it gets no new requests until a check clears it. If its process has ended, its attempts
/// fail; else they are marked as possibly lost, and [`crate::silence`] decides on each. Further calls for an upstream that
/// is suspected already only record `evidence`. `reason` is for the log line.
pub(crate) fn declare_dead(
    router: &Router,
    upstream: &Upstream,
    evidence: FailureEvidence,
    reason: &str,
    now: Instant,
) {
    reachability::on_failure(router, upstream);
    // Without an entry, nothing was sent to the upstream before the connection that has just failed.
    let last_activity = router.health.last_activity(&upstream.name).unwrap_or(now);
    match evidence {
        FailureEvidence::NoProcess => record::on_process_gone(router, upstream, now),
        FailureEvidence::Unreachable => record::on_suspicion(router, upstream, last_activity, now),
    }
    let is_new = router.upstreams.borrow_mut().suspect(&upstream.name, now);
    match evidence {
        FailureEvidence::NoProcess => end_attempts(router, upstream, is_new, now),
        FailureEvidence::Unreachable => router.health.on_unreachable(&upstream.name, now),
    }
    router.suspicion_added.notify_one();
    router.pool.borrow_mut().close_all(&upstream.name);
    if !is_new {
        return;
    }
    let silence = now.saturating_duration_since(last_activity);
    router.metrics.failure_detection.observe(silence);
    log_upstream_change(
        &router.log,
        "server.suspected",
        upstream,
        reason,
        ms(silence),
    );
    router.report_to_peers(&upstream.name);
    successors::schedule_successor_checks(router, upstream);
}

/// Handles a check that shows that the process of a suspected upstream has ended.
pub(crate) fn on_suspect_gone(router: &Router, upstream: &Upstream, now: Instant) {
    record::on_process_gone(router, upstream, now);
    end_attempts(router, upstream, false, now);
}

/// Ends the attempts at an upstream whose process has ended. `is_new` is whether it was not suspected before; later calls
/// do not end requests that were sent to its next incarnation since.
fn end_attempts(router: &Router, upstream: &Upstream, is_new: bool, now: Instant) {
    let health = router.health.of(upstream, Via::Direct, now);
    if is_new || !health.is_for_next_incarnation.get() {
        let new_health = router.health.end_all(upstream, LossSign::ProcessGone, now);
        new_health.is_for_next_incarnation.set(true);
    }
}
