//! Questions to upstreams that are silent or suspected.

use crate::connection::{CallError, Caller};
use crate::decision_log::{UpstreamBelief, ms, ms_since};
use crate::front::Front;
use crate::intake::text_of;
use crate::links::Link;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a silent upstream's answer is waited for in the background.
const ANSWER_PATIENCE: Duration = Duration::from_secs(1);
/// How long a suspect's answer is waited for.
const CHECK_PATIENCE: Duration = Duration::from_millis(600);
/// How often suspects are looked through.
pub(crate) const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Asks a silent upstream whether it lives; the answer arrives at its link.
pub(crate) fn ask(front: &Rc<Front>, upstream: &Upstream, link: &Rc<Link>, now: Instant) {
    if link.asked.get().is_some() {
        return;
    }
    link.asked.set(Some(now));
    let (front, upstream, link) = (Rc::clone(front), upstream.clone(), Rc::clone(link));
    tokio::task::spawn_local(async move {
        let path = front.dialect.paths.engine_report;
        let answer = link.caller.get(path, ANSWER_PATIENCE).await;
        let now = Instant::now();
        link.asked.set(None);
        match answer {
            Ok(_) => {
                front.metrics.probes.count("alive");
                link.on_heard(now);
            }
            Err(CallError::Connect { refused: true, .. }) => {
                front.metrics.probes.count("refused");
                declare_dead(&front, &upstream, "no process listens there", now);
            }
            Err(_) => front.metrics.probes.count("silent"),
        }
    });
}

/// Takes a upstream for dead: its runs go on elsewhere, and it gets nothing new until it answers.
pub(crate) fn declare_dead(front: &Front, upstream: &Upstream, reason: &str, now: Instant) {
    let link = front.links.of(upstream, now);
    let is_new = front.upstreams.borrow_mut().suspect(&upstream.name, now);
    front.pool.borrow_mut().close_all(&upstream.name);
    if !is_new {
        return;
    }
    let silent = now.saturating_duration_since(link.heard.get());
    front.metrics.detection.observe(silent);
    log_belief(front, "server.suspected", upstream, reason, ms(silent));
    link.on_dead();
    front.tell_peers(&upstream.name);
    front.links.renew(upstream, now);
}

fn log_belief(
    front: &Front,
    event: &'static str,
    upstream: &Upstream,
    reason: &str,
    silent_ms: u64,
) {
    front.log.info(
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
pub(crate) async fn check_suspects(front: Rc<Front>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let due = front.upstreams.borrow_mut().take_due_probes(Instant::now());
        for upstream in due {
            tokio::task::spawn_local(check(Rc::clone(&front), upstream));
        }
    }
}

async fn check(front: Rc<Front>, upstream: Upstream) {
    let health = front.catalog().and_then(|c| {
        let service = c.service(&upstream.service)?;
        Some(service.health_path.clone())
    });
    let Some(path) = health else { return };
    let caller = Caller::new(upstream.address, CHECK_PATIENCE);
    let asked = Instant::now();
    let Ok(answer) = caller.get(&path, CHECK_PATIENCE).await else {
        front.metrics.probes.count("suspect-silent");
        return;
    };
    let name = text_of(&answer.headers, &front.dialect.headers.answering_upstream);
    if name.is_some_and(|name| name != upstream.name.as_str()) {
        front.metrics.probes.count("suspect-replaced");
        front.upstreams.borrow_mut().on_replaced(&upstream.name);
        log_belief(&front, "server.replaced", &upstream, "another answers", 0);
        return;
    }
    front.metrics.probes.count("suspect-alive");
    let suspected = front
        .upstreams
        .borrow_mut()
        .on_alive(&upstream.name, Instant::now());
    if let Some(suspected) = suspected {
        let took = ms_since(asked, Instant::now());
        let reason = format!("answered a check in {took} ms");
        log_belief(&front, "server.trusted", &upstream, &reason, ms(suspected));
    }
}
