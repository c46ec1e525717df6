//! A link between two addresses that can be cut, one way or both, and delayed.
//!
//! A process of its own, switched over HTTP, as all of this crate's stand-ins are. The link of
//! `cloverpier_router_standin` runs inside a test.

use crate::web::{body, serve};
use cloverpier_core::lock;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const BUF: usize = 16 << 10;
const CHECK: Duration = Duration::from_millis(5);

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Nothing passes towards the target; connections stay open, as in a partition.
    pub cut_there: bool,
    /// Nothing passes back.
    pub cut_back: bool,
    /// One-way delay, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: Mutex<LinkFaults>,
}

/// Relays TCP until the process ends.
///
/// # Errors
///
/// The error of the listening socket.
pub async fn run(listen: SocketAddr, to: SocketAddr, control: SocketAddr) -> std::io::Result<()> {
    let state = Arc::new(State::default());
    let router = Router::new()
        .hoop(salvo::affix_state::inject(Arc::clone(&state)))
        .push(Router::with_path("faults").post(set_faults));
    tokio::spawn(serve(control, router));
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (near, _) = listener.accept().await?;
        tokio::spawn(relay(near, to, Arc::clone(&state)));
    }
}

#[handler]
async fn set_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let found = depot.get_typed::<Arc<State>>();
    let state = Arc::clone(found.expect("the state is injected into every route"));
    if let Some(faults) = body::<LinkFaults>(req, res).await {
        *lock(&state.faults) = faults;
    }
}

async fn relay(near: TcpStream, to: SocketAddr, state: Arc<State>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let there = pump(near_rx, far_tx, Arc::clone(&state), |f| f.cut_there);
    let back = pump(far_rx, near_tx, state, |f| f.cut_back);
    tokio::join!(there, back);
}

async fn pump(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    state: Arc<State>,
    is_cut: fn(&LinkFaults) -> bool,
) {
    let mut buf = vec![0; BUF];
    while let Ok(n) = rx.read(&mut buf).await {
        if n == 0 {
            break;
        }
        let delay = lock(&state.faults).delay_ms;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        while is_cut(&lock(&state.faults)) {
            tokio::time::sleep(CHECK).await;
        }
        if tx.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = tx.shutdown().await;
}
