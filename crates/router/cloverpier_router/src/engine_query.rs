//! Queries to engines about their load and their cached prompts.
//!
//! A query uses a connection of the pool alone and returns it afterwards, so that a stream which is then sent to the
//! engine needs no new connection. Owns no state. Relies on the calling module for a timeout: dropping the future
//! ends the query.

use crate::call_kind::CallKind;
use crate::connection::{Connection, describe_error};
use crate::health;
use crate::http_client::{CallError, HttpResponse, MAX_QUERY_RESPONSE, get_request, read_body};
use crate::reachability::connect as reachability;
use crate::router::Router;
use crate::send::return_to_pool;
use crate::statements::Call;
use cloverpier_router_policy::connection_reuse::CONNECT_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;

/// An engine's response to a query.
#[derive(Debug)]
pub(crate) struct EngineResponse {
    /// The HTTP response, with any status.
    pub response: HttpResponse,
    /// Whether the response was sent by an earlier incarnation of the engine than the newest known one, so that
    /// its content is out of date.
    pub is_of_previous_incarnation: bool,
}

/// Sends a GET request to an engine. A response of any status counts as activity of the engine, and the statements
/// in its headers (such as leaving or a wait period) are applied.
///
/// # Errors
///
/// [`CallError::Connect`] if no connection could be opened, [`CallError::Broken`] if the connection broke,
/// [`CallError::TooLong`] if the response does not end.
pub(crate) async fn query_engine(
    router: &Rc<Router>,
    engine: &Upstream,
    path: &str,
    via: CallKind<'_>,
) -> Result<EngineResponse, CallError> {
    loop {
        let mut connection = connect(router, engine).await?;
        let is_reused = connection.requests > 0;
        let query = get_request(path, engine.address)?;
        let sent_at = router.now();
        let response = match connection.send(query).await {
            Ok(response) => response,
            // The engine had closed the idle connection, and no byte of the query was sent: the query is repeated
            // on another connection.
            Err(send_error) if send_error.was_unsent && is_reused => continue,
            Err(send_error) => return Err(connection_broken(&send_error.error)),
        };
        let (head, body) = response.into_parts();
        let body = read_body(body, MAX_QUERY_RESPONSE).await?;
        let now = router.now();
        let health = router.health.of(engine, connection.via, now);
        health::on_heard(router, &engine.name, &health, now);
        let http_response = HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        };
        let call = Call {
            upstream: engine,
            via,
            sent: sent_at,
            connection: &connection,
        };
        let start = router
            .apply_query_statement(call, http_response.parts())
            .start_order;
        return_to_pool(router, engine, connection);
        return Ok(EngineResponse {
            response: http_response,
            is_of_previous_incarnation: start == StartOrder::Older,
        });
    }
}

/// Takes an idle connection of the pool, or opens one.
async fn connect(router: &Rc<Router>, engine: &Upstream) -> Result<Connection, CallError> {
    if let Some(connection) = reachability::take_idle(router, engine) {
        return Ok(connection);
    }
    let opened = reachability::connect(router, engine, CONNECT_TIMEOUT).await;
    opened.map_err(|source| CallError::Connect { source })
}

fn connection_broken(error: &dyn std::error::Error) -> CallError {
    CallError::Broken {
        reason: describe_error(error),
    }
}
