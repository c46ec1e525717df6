//! HTTP: callers, peers and operators.

pub mod callers;
mod completions;
mod operators;
pub mod peers;
mod request;
mod services;
mod sse;

use crate::app::App;
use salvo::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state that is injected into every route.
fn app_of(depot: &Depot) -> Arc<App> {
    let found = depot.get_typed::<Arc<App>>();
    Arc::clone(found.expect("the state is injected into every route"))
}

async fn serve(listen: SocketAddr, router: Router) {
    let acceptor = TcpListener::new(listen).bind().await;
    Server::new(acceptor).serve(router).await;
}
