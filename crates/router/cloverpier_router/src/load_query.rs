//! Asks engines for their load before a stream is placed.
//!
//! Which engines are asked, for how long, and what an answer says is decided in
//! `cloverpier_router_policy::load_query`; the form of the answer is the platform's.

use crate::call_kind::CallKind;
use crate::engine_call::{EngineAnswer, ask_engine};
use crate::probe::{self, DeathCause};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_router_policy::load_query::QUERY_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use futures_util::future::join_all;
use std::rc::Rc;

/// Asks engines for their load, all at once; those that do not answer in time are left out.
pub(crate) async fn query_load(
    router: &Rc<Router>,
    request: &RelayRequest,
    engines: &[Upstream],
) -> ReportedLoad {
    let questions = engines.iter().map(|engine| query(router, engine));
    let reports = join_all(questions).await;
    let mut reported = ReportedLoad::default();
    for (engine, report) in engines.iter().zip(reports) {
        if let Some(report) = report {
            let load = report.load(request.load());
            reported.insert(UpstreamKey::of(&engine.name), load);
        }
    }
    reported
}

/// Asks one engine; nothing where it does not answer in time or not in the form of a report. The
/// counter of probes distinguishes these, and the choice's log line how many engines answered.
async fn query(router: &Rc<Router>, engine: &Upstream) -> Option<EngineReport> {
    let path = router.wire_names.paths.engine_report;
    let asking = ask_engine(router, engine, path, CallKind::LoadQuery);
    let answer = router.timers.timeout(QUERY_TIMEOUT, asking).await;
    let (report, outcome) = match answer {
        Ok(Ok(engine)) if engine.answer.status.is_success() => read_report(router, &engine),
        Ok(Err(error)) if error.is_refused() => {
            let reason = format!("asked for its load: {error}");
            let cause = DeathCause::NoProcess;
            probe::declare_dead(router, engine, cause, &reason, router.now());
            (None, "load-refused")
        }
        // Silence for so short a time is no proof; a stream that runs there gives the verdict.
        Ok(_) | Err(_) => (None, "load-silent"),
    };
    router.metrics.probes.count(outcome);
    report
}

/// Reads an engine's report; one of a former start does not count.
fn read_report(router: &Router, engine: &EngineAnswer) -> (Option<EngineReport>, &'static str) {
    if engine.is_outdated {
        return (None, "load-outdated");
    }
    match (router.wire_names.engine_load)(&engine.answer.body) {
        Some(report) => (Some(report), "load"),
        // Another kind of process may have the address by now.
        None => (None, "load-unreadable"),
    }
}
