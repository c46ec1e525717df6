//! Queries engines for their load and their pace before a stream is placed.
//!
//! `cloverpier_router_policy::{load_query, pace}` decide which engines are queried, how long a query may take, and which
//! load a response stands for. The platform's adapter decodes the responses ([`crate::wire_names`]). Owns no
//! state.

use crate::call_kind::CallKind;
use crate::engine_query::{EngineResponse, query_engine};
use crate::http_client::CallError;
use crate::pace_reports::probe_path;
use crate::probe::{self, FailureEvidence};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_router_policy::load_query::QUERY_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use futures_util::future::join_all;
use std::rc::Rc;

/// Queries engines for their load, all at once. The result lacks engines that did not send a valid report within
/// [`QUERY_TIMEOUT`].
pub(crate) async fn query_load(
    router: &Rc<Router>,
    request: &RelayRequest,
    engines: &[Upstream],
) -> ReportedLoad {
    let queries = engines
        .iter()
        .map(|engine| query_engine_load(router, engine));
    let reports = join_all(queries).await;
    let mut reported = ReportedLoad::default();
    for (engine, report) in engines.iter().zip(reports) {
        if let Some(report) = report {
            let load = report.load(request.load());
            reported.insert(UpstreamKey::of(&engine.name), load);
        }
    }
    reported
}

/// Asks engines for their pace, all at once. What they state is applied as in any response.
pub(crate) async fn query_paces(router: &Rc<Router>, engines: &[Upstream]) {
    let queries = engines.iter().map(|engine| query_pace(router, engine));
    join_all(queries).await;
}

async fn query_pace(router: &Rc<Router>, engine: &Upstream) {
    let path = probe_path(router, engine);
    let response = query_engine(router, engine, &path, CallKind::LoadQuery);
    let result = router.timers.timeout(QUERY_TIMEOUT, response).await;
    // Without a response, the pace stays as it is known; if a stream is sent there, its liveness timeouts decide.
    let outcome = match result {
        Ok(Ok(_)) => "pace",
        Ok(Err(error)) if error.is_refused() => {
            on_refused(router, engine, "pace", &error);
            "pace-refused"
        }
        Ok(Err(_)) | Err(_) => "pace-silent",
    };
    router.metrics.probes.count(outcome);
}

/// Queries one engine; `None` if it did not respond in time or the response is no valid report. The counter
/// `probes` counts the cases separately, and the log line of the choice has the number of engines that reported.
async fn query_engine_load(router: &Rc<Router>, engine: &Upstream) -> Option<EngineReport> {
    let path = router.wire_names.paths.engine_report;
    let response = query_engine(router, engine, path, CallKind::LoadQuery);
    let result = router.timers.timeout(QUERY_TIMEOUT, response).await;
    let (report, outcome) = match result {
        Ok(Ok(engine)) if engine.response.status.is_success() => read_report(router, &engine),
        Ok(Err(error)) if error.is_refused() => {
            on_refused(router, engine, "load", &error);
            (None, "load-refused")
        }
        // Silence for `QUERY_TIMEOUT` does not prove that the engine is dead; if a stream is sent there, its
        // liveness timeouts decide.
        Ok(_) | Err(_) => (None, "load-silent"),
    };
    router.metrics.probes.count(outcome);
    report
}

/// Declares an engine dead at whose address no process listens.
fn on_refused(router: &Rc<Router>, engine: &Upstream, asked_for: &str, error: &CallError) {
    let reason = format!("{asked_for} query failed: {error}");
    let evidence = FailureEvidence::NoProcess;
    probe::declare_dead(router, engine, evidence, &reason, router.now());
}

/// Decodes an engine's report, and returns it with the outcome for the counter `probes`. A report by an earlier
/// incarnation of the engine is ignored.
fn read_report(router: &Router, engine: &EngineResponse) -> (Option<EngineReport>, &'static str) {
    if engine.is_of_previous_incarnation {
        return (None, "load-outdated");
    }
    match (router.wire_names.engine_load)(&engine.response.body) {
        Some(report) => (Some(report), "load"),
        // The address may belong to a process of another kind by now.
        None => (None, "load-unreadable"),
    }
}
