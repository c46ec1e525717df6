//! Asks upstreams for their load.
//!
//! One loop; the reports go into the view of upstreams, which decides how long they count.

use crate::app::App;
use crate::statements;
use cloverpier_config::ServiceKind;
use cloverpier_core::{UpstreamName, jitter, lock};
use cloverpier_route::LoadReport;
use cloverpier_upstream::EngineLoad;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The least time between two questions.
const BETWEEN_REPORTS: Duration = Duration::from_millis(50);

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(run(Arc::clone(app)));
}

/// Asks the engines in turn, evenly spread, so that the cost stays bounded however many there
/// are: with many, each one's report is older.
async fn run(app: Arc<App>) {
    loop {
        let engines = engines(&app);
        let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
        let pause = app.settings.load_period / count.max(1);
        let pause = pause.max(BETWEEN_REPORTS);
        for (name, address) in engines {
            tokio::spawn(ask(Arc::clone(&app), name, address));
            let wait = jitter(&mut lock(&app.rng), pause * 4 / 3);
            app.timers.sleep(wait).await;
        }
        if count == 0 {
            app.timers.sleep(app.settings.load_period).await;
        }
    }
}

fn engines(app: &App) -> Vec<(UpstreamName, SocketAddr)> {
    let config = app.config();
    let is_model = |name| {
        let service = config.services.get(name);
        service.is_some_and(|s| matches!(s.kind, ServiceKind::Model { .. }))
    };
    let close = lock(&app.view).tracked();
    config
        .upstreams
        .iter()
        .filter(|(name, u)| is_model(&u.service) && close.contains(name))
        .map(|(name, u)| (name.clone(), u.address))
        .collect()
}

async fn ask(app: Arc<App>, name: UpstreamName, address: SocketAddr) {
    lock(&app.view).on_load_query(&name, app.now());
    let Ok(EngineLoad { load, statement }) = app.engines.engine(address).load().await else {
        return;
    };
    lock(&app.view).on_load_response(&name);
    let now = app.now();
    let age = Duration::from_millis(load.age_ms);
    let report = LoadReport {
        running: load.running,
        waiting: load.waiting,
        // An age from before this machine started counts as none.
        measured_at: now.checked_sub(age).unwrap_or(now),
    };
    lock(&app.view).on_load_report(&name, report);
    statements::hear(&app, &name, &statement);
    app.admission.pump(&app);
}
