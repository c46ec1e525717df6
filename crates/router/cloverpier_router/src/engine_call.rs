//! Questions to engines beside the requests that they run.
//!
//! Questions use the connections of the pool, one at a time each; a stream that is sent to the
//! engine next uses the same connection. The caller bounds the wait and ends the call by dropping
//! it.

use crate::call_kind::CallKind;
use crate::connection::{Connection, describe_error};
use crate::http_client::{CallError, HttpResponse, get_request};
use crate::router::Router;
use crate::send::return_to_pool;
use crate::statements::Call;
use cloverpier_router_policy::connection_reuse::{CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT};
use cloverpier_router_policy::prelude::*;
use http_body_util::BodyExt;
use std::rc::Rc;

/// An engine's answer, and what it says of the engine's start.
#[derive(Debug)]
pub(crate) struct EngineAnswer {
    /// The answer.
    pub answer: HttpResponse,
    /// Whether it is of a former start, and so out of date.
    pub is_outdated: bool,
}

/// Asks an engine; its answer counts as a sign of life.
///
/// # Errors
///
/// [`CallError::Connect`] where no connection came up, [`CallError::Broken`] where one broke.
pub(crate) async fn ask_engine(
    router: &Rc<Router>,
    engine: &Upstream,
    path: &str,
    via: CallKind<'_>,
) -> Result<EngineAnswer, CallError> {
    loop {
        let mut connection = connect(router, engine).await?;
        let is_kept = connection.requests > 0;
        let question = get_request(path, engine.address)?;
        let sent = router.now();
        let response = match connection.send(question).await {
            Ok(response) => response,
            // A kept connection that the engine had closed meanwhile costs nothing.
            Err(broke) if broke.was_unsent && is_kept => continue,
            Err(broke) => return Err(broken(&broke.error)),
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| broken(&e))?;
        return_to_pool(router, engine, connection);
        let now = router.now();
        router.health.of(engine, now).on_activity(now);
        let answer = HttpResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        };
        let call = Call {
            upstream: engine,
            via,
            sent,
        };
        let start = router.hear(call, answer.parts()).start;
        return Ok(EngineAnswer {
            answer,
            is_outdated: start == StartOrder::Older,
        });
    }
}

async fn connect(router: &Rc<Router>, engine: &Upstream) -> Result<Connection, CallError> {
    let kept = router.pool.borrow_mut().take(&engine.name, router.now());
    if let Some(connection) = kept {
        return Ok(connection);
    }
    router.metrics.connections.inc();
    let opened = Connection::open(
        engine.address,
        CONNECT_TIMEOUT,
        DEFAULT_IDLE_TIMEOUT,
        &router.timers,
    )
    .await;
    opened.map_err(|source| CallError::Connect { source })
}

fn broken(error: &dyn std::error::Error) -> CallError {
    CallError::Broken {
        reason: describe_error(error),
    }
}
