//! Asks upstreams for their load.

use crate::app::App;
use cloverpier_config::ServiceKind;
use cloverpier_core::{UpstreamName, jitter, lock};
use cloverpier_route::LoadReport;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(run(Arc::clone(app)));
}

async fn run(app: Arc<App>) {
    loop {
        for (name, address) in engines(&app) {
            tokio::spawn(ask(Arc::clone(&app), name, address));
        }
        let wait = jitter(&mut lock(&app.rng), app.settings.load_period * 4 / 3);
        tokio::time::sleep(wait).await;
    }
}

fn engines(app: &App) -> Vec<(UpstreamName, SocketAddr)> {
    let config = app.config();
    let is_model = |name| {
        let service = config.services.get(name);
        service.is_some_and(|s| matches!(s.kind, ServiceKind::Model { .. }))
    };
    let close = lock(&app.view).close();
    config
        .upstreams
        .iter()
        .filter(|(name, u)| is_model(&u.service) && close.contains(name))
        .map(|(name, u)| (name.clone(), u.address))
        .collect()
}

async fn ask(app: Arc<App>, name: UpstreamName, address: SocketAddr) {
    let Ok(load) = app.engines.engine(address).load().await else {
        return;
    };
    let now = app.now();
    let age = Duration::from_millis(load.age_ms);
    let report = LoadReport {
        running: load.running,
        waiting: load.waiting,
        at: now.checked_sub(age).unwrap_or(now),
    };
    {
        let mut view = lock(&app.view);
        view.on_report(&name, report);
        if load.leaving && view.takes_work(&name) {
            view.mark_leaving(&name);
            app.news.notify_one();
        }
    }
    app.admission.pump(&app);
}
