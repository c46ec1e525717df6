//! Small helpers for the stand-ins' HTTP.

use salvo::http::header::RETRY_AFTER;
use salvo::http::{HeaderValue, StatusCode};
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

/// Says in an answer that the upstream leaves.
pub(crate) fn say_that_it_leaves(res: &mut Response) {
    res.headers_mut()
        .insert("upstream-leaving", HeaderValue::from_static("1"));
}

/// Says in an answer for how many seconds the upstream wants nothing; nothing for 0.
pub(crate) fn ask_to_wait(res: &mut Response, seconds: f64) {
    let value = HeaderValue::from_str(&seconds.to_string());
    if let (true, Ok(value)) = (seconds > 0.0, value) {
        res.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// Serves a router until the process ends.
pub(crate) async fn serve(listen: SocketAddr, router: Router) {
    let acceptor = TcpListener::new(listen).bind().await;
    Server::new(acceptor).serve(router).await;
}
