//! Small helpers for the stand-ins' HTTP.

use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

const MAX_BODY: usize = 8 << 20;

/// Reads a JSON body, or answers with 400.
pub(crate) async fn body<T: DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let bytes = req.payload_with_max_size(MAX_BODY).await;
    let parsed = bytes.ok().map(|b| serde_json::from_slice(b));
    match parsed {
        Some(Ok(value)) => Some(value),
        _ => {
            res.status_code(StatusCode::BAD_REQUEST);
            None
        }
    }
}

/// Answers with JSON.
pub(crate) fn json<T: Serialize + Send>(res: &mut Response, status: StatusCode, value: T) {
    res.status_code(status);
    res.render(Json(value));
}

/// Serves a router until the process ends.
pub(crate) async fn serve(listen: SocketAddr, router: Router) {
    let acceptor = TcpListener::new(listen).bind().await;
    Server::new(acceptor).serve(router).await;
}
