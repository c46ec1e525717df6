//! Questions to upstreams that are silent or suspected.

use crate::connection::{CallError, HttpClient};
use crate::decision_log::{UpstreamBelief, ms, ms_since};
use crate::health::UpstreamHealth;
use crate::intake::text_of;
use crate::router::Router;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a silent upstream's answer is waited for in the background.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a suspect's answer is waited for.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// How often suspects are looked through.
pub(crate) const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Asks a silent upstream whether it lives; the answer arrives at its link.
pub(crate) fn ask(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &Rc<UpstreamHealth>,
    now: Instant,
) {
    if health.probing_since.get().is_some() {
        return;
    }
    health.probing_since.set(Some(now));
    let (router, upstream, health) = (Rc::clone(router), upstream.clone(), Rc::clone(health));
    tokio::task::spawn_local(async move {
        let path = router.wire_names.paths.engine_report;
        let answer = health.caller.get(path, ANSWER_TIMEOUT).await;
        let now = Instant::now();
        health.probing_since.set(None);
        match answer {
            Ok(_) => {
                router.metrics.probes.count("alive");
                health.on_heartbeat_or_activity(now);
            }
            Err(CallError::Connect { refused: true, .. }) => {
                router.metrics.probes.count("refused");
                declare_dead(&router, &upstream, "no process listens there", now);
            }
            Err(_) => router.metrics.probes.count("silent"),
        }
    });
}

/// Takes a upstream for dead: its runs go on elsewhere, and it gets nothing new until it answers.
pub(crate) fn declare_dead(router: &Router, upstream: &Upstream, reason: &str, now: Instant) {
    let health = router.health.of(upstream, now);
    let is_new = router.upstreams.borrow_mut().suspect(&upstream.name, now);
    router.pool.borrow_mut().close_all(&upstream.name);
    if !is_new {
        return;
    }
    let silent = now.saturating_duration_since(health.heard.get());
    router.metrics.detection.observe(silent);
    log_belief(router, "server.suspected", upstream, reason, ms(silent));
    health.on_dead();
    router.report_to_peers(&upstream.name);
    router.health.renew(upstream, now);
}

fn log_belief(
    router: &Router,
    event: &'static str,
    upstream: &Upstream,
    reason: &str,
    silent_ms: u64,
) {
    router.log.info(
        event,
        &UpstreamBelief {
            upstream: upstream.name.as_str(),
            address: upstream.address.to_string(),
            reason,
            silent_ms,
        },
    );
}

/// Checks suspects for signs of life, for as long as the process runs.
pub(crate) async fn check_suspects(router: Rc<Router>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let due = router
            .upstreams
            .borrow_mut()
            .take_due_probes(Instant::now());
        for upstream in due {
            tokio::task::spawn_local(check(Rc::clone(&router), upstream));
        }
    }
}

async fn check(router: Rc<Router>, upstream: Upstream) {
    let health = router.configuration().and_then(|c| {
        let service = c.service(&upstream.service)?;
        Some(service.health_path.clone())
    });
    let Some(path) = health else { return };
    let caller = HttpClient::new(upstream.address, CHECK_TIMEOUT);
    let probing_since = Instant::now();
    let Ok(answer) = caller.get(&path, CHECK_TIMEOUT).await else {
        router.metrics.probes.count("suspect-silent");
        return;
    };
    let name = text_of(
        &answer.headers,
        &router.wire_names.headers.answering_upstream,
    );
    if name.is_some_and(|name| name != upstream.name.as_str()) {
        router.metrics.probes.count("suspect-replaced");
        router.upstreams.borrow_mut().on_replaced(&upstream.name);
        log_belief(&router, "server.replaced", &upstream, "another answers", 0);
        return;
    }
    router.metrics.probes.count("suspect-alive");
    let suspected = router
        .upstreams
        .borrow_mut()
        .on_alive(&upstream.name, Instant::now());
    if let Some(suspected) = suspected {
        let took = ms_since(probing_since, Instant::now());
        let reason = format!("answered a check in {took} ms");
        log_belief(&router, "server.trusted", &upstream, &reason, ms(suspected));
    }
}
