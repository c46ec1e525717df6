//! The port for callers.
//!
//! Owns the routes of callers, and answers itself which addresses to use; all else goes to the modules
//! that serve completions and services.

use crate::admission::lenders;
use crate::app::App;
use crate::web::request::caller;
use crate::web::{app_of, completions, serve, services};
use cloverpier_core::lock;
use cloverpier_member::Member;
use salvo::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Tokens a second of one account that one router is expected to carry; a larger account's callers
/// are spread over more.
const TOKENS_A_ROUTER: u32 = 2_000;

#[derive(Serialize)]
struct Addresses {
    ttl_s: u64,
    /// How many of the first addresses to spread requests over.
    spread: usize,
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
    let listen = app.settings.callers_listen;
    tokio::spawn(serve(Arc::clone(app), listen, router));
}

/// Which addresses to use, in which order, and for how long to keep the answer.
///
/// A caller that shows its key is sent the lender of its account first, where
/// its requests need no loan; a large account is spread over as many routers
/// as it needs.
#[handler]
async fn which_addresses(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    let suspected = lock(&app.cluster).suspected(app.now());
    let list = app.members();
    let able = list.members.iter().filter(|m| !m.stopping);
    let able = able.filter(|m| m.id != app.me.id || !app.is_stopping());
    let able = able.filter(|m| !suspected.contains(&m.id)).cloned();
    let (ordered, spread) = in_order(&app, req, able.collect());
    let addresses = ordered.into_iter().map(|m| Address {
        vm: m.vm,
        data_centre: m.data_centre,
        address: m.callers_at,
    });
    res.render(Json(Addresses {
        ttl_s: app.settings.addresses_ttl.as_secs(),
        spread,
        addresses: addresses.collect(),
    }));
}

/// Members in the order in which a caller should use them, and over how many to spread.
fn in_order(app: &App, req: &Request, mut members: Vec<Member>) -> (Vec<Member>, usize) {
    let Ok(caller) = caller(app, req) else {
        lock(&app.rng).shuffle(&mut members);
        let all = members.len();
        return (members, all);
    };
    let ranked = lenders(&caller.name, &members);
    let mut ordered: Vec<Member> = ranked.into_iter().cloned().collect();
    let needed = 1 + caller.account.tokens_per_s / TOKENS_A_ROUTER;
    // Too many to count are all of them.
    let needed = usize::try_from(needed).unwrap_or(usize::MAX);
    let spread = needed.min(ordered.len());
    lock(&app.rng).shuffle(&mut ordered[..spread]);
    (ordered, spread)
}
