//! Probes silent upstreams and checks suspected ones.
//!
//! A *probe* goes to an upstream that has requests and says nothing; a *check* goes to one
//! that was declared dead, to see whether it is back. Both record what they find in the
//! table of upstreams and in [`crate::health`]; when they are sent and what an answer means
//! is decided in `cloverpier_router_policy::{liveness, suspicion}`.

use crate::beliefs::log_belief;
use crate::call_kind::CallKind;
use crate::crashes::record;
use crate::decision_log::{ms, ms_since};
use crate::health::UpstreamHealth;
use crate::http_client::HttpClient;
use crate::router::Router;
use crate::statements::Call;
use crate::successors;
use crate::upstream_limits::Permission;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::permit::QUESTION_PATIENCE;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::suspicion::{
    CHECK_PERIOD, CHECK_TIMEOUT, CheckResult, MAX_PROBES, PROBE_RETRY_DELAY, PROBE_TIMEOUT,
    check_result,
};
use std::rc::Rc;
use std::time::Instant;

/// What an upstream was declared dead by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeathCause {
    /// Its host has no process at its address: the upstream has ended.
    NoProcess,
    /// It cannot be reached or says nothing, for whatever reason.
    Unreachable,
}

/// Probes a silent upstream unless a probe is under way or it wants nothing; its answer counts as
/// activity. One that limits itself is probed once there is a permit, as a probe is a request to it.
pub(crate) fn probe(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &Rc<UpstreamHealth>,
    now: Instant,
) {
    if health.probing_since.get().is_some() || health.probe_waits.get() {
        return;
    }
    if !may_ask(router, upstream, now) {
        return;
    }
    if router.upstream_limits.is_limited(upstream) {
        health.probe_waits.set(true);
    } else {
        health.probing_since.set(Some(now));
    }
    let (router, upstream, health) = (Rc::clone(router), upstream.clone(), Rc::clone(health));
    tokio::task::spawn_local(async move {
        probe_until_clear(&router, &upstream, &health).await;
        health.probe_waits.set(false);
        health.probing_since.set(None);
    });
}

/// Whether an upstream may be asked a question now: it may want nothing.
fn may_ask(router: &Router, upstream: &Upstream, now: Instant) -> bool {
    let is_allowed = router
        .upstreams
        .borrow_mut()
        .try_start_probe(&upstream.name, now);
    if !is_allowed {
        router.metrics.probes.count("withheld");
    }
    is_allowed
}

/// Probes an upstream, and again while probes are reset: a process that is about to end closes its
/// connections before its port, so that the first probe says nothing of it.
async fn probe_until_clear(router: &Rc<Router>, upstream: &Upstream, health: &UpstreamHealth) {
    for _ in 0..MAX_PROBES {
        let permission = router.upstream_limits.acquire(upstream, QUESTION_PATIENCE);
        if permission.await != Permission::Given {
            router.metrics.probes.count("without-permit");
            return;
        }
        health.probe_waits.set(false);
        let since = health.probing_since.get().unwrap_or_else(|| router.now());
        health.probing_since.set(Some(since));
        if send_probe(router, upstream, health).await == ProbeEnd::Clear {
            return;
        }
        router.timers.sleep(PROBE_RETRY_DELAY).await;
        if !may_ask(router, upstream, router.now()) {
            return;
        }
    }
}

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeEnd {
    /// An answer, a refusal, or silence for long.
    Clear,
    /// Its connection broke.
    Broken,
}

async fn send_probe(router: &Router, upstream: &Upstream, health: &UpstreamHealth) -> ProbeEnd {
    let path = router.wire_names.paths.engine_report;
    let sent = router.now();
    let answer = health.client.get(path, PROBE_TIMEOUT).await;
    let now = router.now();
    match answer {
        Ok(answer) => {
            let call = Call {
                upstream,
                via: CallKind::Probe,
                sent,
            };
            // Runs of a former start are lost though the address answers.
            let said = router.hear(call, answer.parts()).said;
            on_probe_answer(router, upstream, health, said.name.as_ref(), sent);
        }
        Err(error) if error.is_refused() => {
            router.metrics.probes.count("refused");
            let cause = DeathCause::NoProcess;
            declare_dead(router, upstream, cause, "no process listens there", now);
        }
        Err(error) if error.is_break() => {
            router.metrics.probes.count("broken");
            return ProbeEnd::Broken;
        }
        // Without an answer the silence goes on; whoever waits gives the verdict.
        Err(_) => router.metrics.probes.count("silent"),
    }
    ProbeEnd::Clear
}

/// Records who answered a probe: the upstream, or another process that has its address.
fn on_probe_answer(
    router: &Router,
    upstream: &Upstream,
    health: &UpstreamHealth,
    answering: Option<&UpstreamName>,
    sent: Instant,
) {
    let now = router.now();
    match check_result(&upstream.name, answering) {
        CheckResult::Alive => {
            router.metrics.probes.count("alive");
            health.on_activity(now);
            record::on_alive(router, upstream, sent);
        }
        CheckResult::Replaced => {
            router.metrics.probes.count("replaced");
            let reason = "another process answers there";
            declare_dead(router, upstream, DeathCause::NoProcess, reason, now);
            successors::on_other_name(router, upstream, answering);
        }
    }
}

/// Declares an upstream dead: its runs move, and it gets nothing new until a check clears it.
pub(crate) fn declare_dead(
    router: &Router,
    upstream: &Upstream,
    cause: DeathCause,
    reason: &str,
    now: Instant,
) {
    let health = router.health.of(upstream, now);
    let last_activity = health.last_activity.get();
    match cause {
        DeathCause::NoProcess => record::on_end(router, upstream, now),
        DeathCause::Unreachable => record::on_death(router, upstream, last_activity, now),
    }
    let is_new = router.upstreams.borrow_mut().suspect(&upstream.name, now);
    router.suspicion_added.notify_one();
    router.pool.borrow_mut().close_all(&upstream.name);
    if !is_new {
        return;
    }
    let silent = now.saturating_duration_since(last_activity);
    router.metrics.failure_detection.observe(silent);
    log_belief(
        &router.log,
        "server.suspected",
        upstream,
        reason,
        ms(silent),
    );
    health.on_dead();
    router.report_to_peers(&upstream.name);
    let renewed = router.health.renew(upstream, now);
    renewed.is_of_next_start.set(cause == DeathCause::NoProcess);
    successors::await_successor(router, upstream);
}

/// Checks suspects for signs of life, until the process ends.
pub(crate) async fn check_suspects(router: Rc<Router>) {
    loop {
        if router.upstreams.borrow().may_have_suspects() {
            router.timers.sleep(CHECK_PERIOD).await;
        } else {
            router.suspicion_added.notified().await;
        }
        let now = router.now();
        let due = router.upstreams.borrow_mut().start_due_checks(now);
        for upstream in due {
            tokio::task::spawn_local(check(Rc::clone(&router), upstream));
        }
    }
}

async fn check(router: Rc<Router>, upstream: Upstream) {
    let configuration = router.store.configuration();
    let service = configuration.and_then(|c| c.service(&upstream.service).cloned());
    // A service that is not configured any more has no path to check.
    let Some(service) = service else { return };
    let permission = router.upstream_limits.acquire(&upstream, QUESTION_PATIENCE);
    if permission.await != Permission::Given {
        // It stays suspected; the next check is scheduled already.
        router.metrics.probes.count("without-permit");
        return;
    }
    let client = HttpClient::new(upstream.address, CHECK_TIMEOUT, router.timers.clone());
    let begun = router.now();
    let answer = match client.get(&service.health_path, CHECK_TIMEOUT).await {
        Ok(answer) => answer,
        // It stays suspected; the next check is scheduled already.
        Err(error) => {
            router.metrics.probes.count("suspect-silent");
            if error.is_refused() {
                record::on_end(&router, &upstream, router.now());
            }
            return;
        }
    };
    let call = Call {
        upstream: &upstream,
        via: CallKind::Check,
        sent: begun,
    };
    let said = router.hear(call, answer.parts()).said;
    match check_result(&upstream.name, said.name.as_ref()) {
        CheckResult::Replaced => {
            router.metrics.probes.count("suspect-replaced");
            successors::on_other_name(&router, &upstream, said.name.as_ref());
        }
        CheckResult::Alive => on_alive(&router, &upstream, begun),
    }
}

fn on_alive(router: &Router, upstream: &Upstream, check_begun: Instant) {
    router.metrics.probes.count("suspect-alive");
    record::on_alive(router, upstream, check_begun);
    let now = router.now();
    let suspected_for = router.upstreams.borrow_mut().on_alive(&upstream.name, now);
    if let Some(suspected_for) = suspected_for {
        let took = ms_since(check_begun, now);
        let reason = format!("answered a check in {took} ms");
        log_belief(
            &router.log,
            "server.trusted",
            upstream,
            &reason,
            ms(suspected_for),
        );
    }
}
