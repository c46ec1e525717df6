//! The port for callers.

use crate::app::App;
use crate::web::{app_of, completions, serve, services};
use salvo::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Serialize)]
struct Addresses {
    ttl_s: u64,
    addresses: Vec<Address>,
}

#[derive(Serialize)]
struct Address {
    vm: cloverpier_core::VmName,
    data_centre: cloverpier_core::DataCentre,
    address: SocketAddr,
}

/// Starts the part.
pub fn start(app: &Arc<App>) {
    let v1 = Router::with_path("v1")
        .push(Router::with_path("addresses").get(which_addresses))
        .push(Router::with_path("models").get(completions::models))
        .push(Router::with_path("completions").post(completions::completions))
        .push(Router::with_path("chat/completions").post(completions::chat));
    let router = Router::new()
        .hoop(salvo::affix_state::inject(Arc::clone(app)))
        .push(v1)
        .push(Router::with_path("services/{service}/{**rest}").goal(services::pass_call));
    tokio::spawn(serve(app.settings.callers_listen, router));
}

/// Which addresses to use, and for how long to keep the answer.
#[handler]
async fn which_addresses(depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    let suspected = cloverpier_core::lock(&app.cluster).suspected(app.now());
    let list = app.members();
    let able = list.members.iter().filter(|m| !m.stopping);
    let able = able.filter(|m| m.id != app.me.id || !app.is_stopping());
    let mut addresses: Vec<Address> = able
        .filter(|m| !suspected.contains(&m.id))
        .map(|m| Address {
            vm: m.vm.clone(),
            data_centre: m.data_centre.clone(),
            address: m.callers_at,
        })
        .collect();
    cloverpier_core::lock(&app.rng).shuffle(&mut addresses);
    res.render(Json(Addresses {
        ttl_s: app.settings.addresses_ttl.as_secs(),
        addresses,
    }));
}
