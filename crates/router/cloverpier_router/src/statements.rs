//! Applies the statements that upstreams make about themselves in responses to any kind of call.
//!
//! Modules that receive responses pass them to [`Router::apply_query_statement`] or
//! [`Router::apply_response_statement`], and do not depend on the effects. The platform's adapter decodes a
//! statement, and `cloverpier_router_policy::statement` decides to which upstream it is attributed. Owns no
//! state.

use crate::brittle;
use crate::call_kind::CallKind;
use crate::connection::Connection;
use crate::decision_log::log_named_event;
use crate::health::LivenessEvidence;
use crate::leaving_reports;
use crate::limit_reports;
use crate::pace_reports;
use crate::reachability;
use crate::restart::on_reported_start;
use crate::router::Router;
use crate::upstream_limits::LimitResponse;
use crate::upstream_log::log_wait_period;
use crate::wire_names::ResponseParts;
use cloverpier_router_policy::limit::ResponseInterval;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::statement::{
    Sender, sender_of_query_response, sender_of_request_response,
};
use hyper::http::response::Parts;
use std::time::{Duration, Instant};

/// A call to an upstream, whose response contains a statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    /// The upstream to which the call was sent.
    pub upstream: &'a Upstream,
    /// The kind of call, for log lines.
    pub via: CallKind<'a>,
    /// When the call was sent.
    pub sent: Instant,
    /// The connection on which the response arrived.
    pub connection: &'a Connection,
}

/// The statement in the response to a query, after it was applied.
#[derive(Debug)]
pub(crate) struct AppliedStatement {
    /// The decoded statement.
    pub statement: UpstreamStatement,
    /// How the start time in the response compares with the newest known start time of the sender. `Same` if
    /// the sender is unknown.
    pub start_order: StartOrder,
}

impl Router {
    /// Applies the statement in the response to a probe, check or query.
    pub(crate) fn apply_query_statement(
        &self,
        call: Call<'_>,
        response: ResponseParts<'_>,
    ) -> AppliedStatement {
        let statement = (self.wire_names.statement)(&response);
        let sender = sender_of_query_response(&call.upstream.name, &statement);
        // Any process at the address responds to a query.
        if statement.name.as_ref() == Some(&call.upstream.name) {
            record_liveness_evidence(self, call);
        }
        let start_order = apply_statement(self, call, &statement, sender, false);
        AppliedStatement {
            statement,
            start_order,
        }
    }

    /// Applies the statement in the head of the response to a caller's request. `validity` is whether the
    /// response counts as the response to this request.
    pub(crate) fn apply_response_statement(
        &self,
        call: Call<'_>,
        head: &Parts,
        validity: &Result<(), AttemptFailure>,
    ) -> UpstreamStatement {
        let statement = (self.wire_names.statement)(&ResponseParts {
            status: head.status,
            headers: &head.headers,
            body: None,
        });
        let sender = sender_of_request_response(&call.upstream.name, &statement, validity);
        // An upstream rejects a request that names another one, so a valid response is the addressee's.
        if validity.is_ok() {
            record_liveness_evidence(self, call);
        }
        apply_statement(self, call, &statement, sender, validity.is_ok());
        statement
    }
}

/// Records that the response to a call is from the addressed upstream.
fn record_liveness_evidence(router: &Router, call: Call<'_>) {
    let via = call.connection.via;
    let health = router.health.of(call.upstream, via, router.now());
    health.on_liveness_evidence(LivenessEvidence {
        call_sent_at: call.sent,
        address: call.upstream.address,
    });
}

/// Applies a statement to its sender. `was_executed` is whether the sender executed a request, so that its
/// response would contain a rate limit if there were one. A statement of an earlier process than the newest
/// known one is ignored.
fn apply_statement(
    router: &Router,
    call: Call<'_>,
    statement: &UpstreamStatement,
    sender: Sender,
    was_executed: bool,
) -> StartOrder {
    reachability::on_response(router, call.upstream, call.connection);
    let Some(upstream) = sender_upstream(router, call, sender) else {
        return StartOrder::Same;
    };
    let now = router.now();
    let order = on_reported_start(router, &upstream, statement.start_time_ms, now);
    if order == StartOrder::Older {
        return order;
    }
    if statement.is_leaving {
        leaving_reports::on_leaving(router, &upstream, statement.start_time_ms, call.via, now);
    }
    if let Some(time) = statement.wait {
        apply_wait_period(router, call.via, &upstream, time);
    }
    brittle::on_statement(router, &upstream, statement.brittle, call.via);
    pace_reports::on_statement(router, &upstream, &statement.load, now);
    apply_limit(router, call, &upstream, statement, was_executed);
    if let Some(reason) = &statement.unreadable {
        let name = upstream.name.as_str();
        log_named_event(&router.log, "server.unreadable", name, reason);
    }
    order
}

/// The upstream that made a statement; `None` if the sender can't be determined or is not in the table of
/// upstreams.
fn sender_upstream(router: &Router, call: Call<'_>, sender: Sender) -> Option<Upstream> {
    match sender {
        Sender::Addressee => Some(call.upstream.clone()),
        Sender::Other(name) => {
            let table = router.upstreams.borrow();
            table.get(&name).map(|state| state.upstream.clone())
        }
        Sender::Unknown => None,
    }
}

fn apply_wait_period(router: &Router, via: CallKind<'_>, upstream: &Upstream, time: Duration) {
    let is_new = router
        .upstreams
        .borrow_mut()
        .on_wait(&upstream.name, time, router.now());
    if is_new {
        router.metrics.pause_requests.inc();
        log_wait_period(&router.log, upstream, time, via);
    }
}

fn apply_limit(
    router: &Router,
    call: Call<'_>,
    upstream: &Upstream,
    statement: &UpstreamStatement,
    was_executed: bool,
) {
    let report = router.upstream_limits.on_response(&LimitResponse {
        upstream,
        statement: statement.limit,
        would_advertise: was_executed,
        interval: ResponseInterval {
            request_sent_at: call.sent,
            response_received_at: router.now(),
        },
        via: call.via,
    });
    if let Some(report) = report {
        limit_reports::send_to_all(router, report);
    }
}
