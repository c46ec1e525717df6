//! HTTP: callers, peers and operators.
//!
//! Owns how a port is served; each port has a file, and what callers send is checked in two.

pub mod callers;
mod completion_body;
mod completions;
mod operators;
pub mod peers;
mod request;
mod services;
mod sse;

use crate::app::App;
use salvo::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause before a port that is taken is tried again.
const PORT_RETRY: Duration = Duration::from_millis(250);

/// The state that is injected into every route.
fn app_of(depot: &Depot) -> Arc<App> {
    let found = depot.get_typed::<Arc<App>>();
    Arc::clone(found.expect("the state is injected into every route"))
}

#[derive(Serialize)]
struct Taken {
    listen: SocketAddr,
    why: String,
}

/// Serves a port, waiting for it while another process still has it: an earlier run may
/// be about to end.
async fn serve(app: Arc<App>, listen: SocketAddr, router: Router) {
    loop {
        match TcpListener::new(listen).try_bind().await {
            Ok(acceptor) => return Server::new(acceptor).serve(router).await,
            Err(e) => {
                let why = e.to_string();
                app.log.warn("port.taken", &Taken { listen, why });
                app.timers.sleep(PORT_RETRY).await;
            }
        }
    }
}
