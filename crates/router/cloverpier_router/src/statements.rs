//! Applies what upstreams state about themselves in answers, of whatever kind of call.
//!
//! Modules that receive answers pass them to [`Router::hear`] and do not depend on the effects. The
//! platform's adapter decodes a statement; `cloverpier_router_policy::statement` decides which
//! upstream it is about. Owns no state.

use crate::beliefs::log_wait;
use crate::call_kind::CallKind;
use crate::decision_log::log_named_event;
use crate::leaving_reports;
use crate::limit_reports;
use crate::restart::on_named_start;
use crate::router::Router;
use crate::upstream_limits::LimitAnswer;
use crate::wire_names::ResponseParts;
use cloverpier_router_policy::limit::WrittenBetween;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::statement::{
    Sender, sender_of_query_response, sender_of_request_response,
};
use hyper::http::response::Parts;
use std::time::{Duration, Instant};

/// A call to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    /// The upstream.
    pub upstream: &'a Upstream,
    /// What kind of call.
    pub via: CallKind<'a>,
    /// When it was sent.
    pub sent: Instant,
}

/// What an answer to a question said.
#[derive(Debug)]
pub(crate) struct Heard {
    /// The statement.
    pub said: UpstreamStatement,
    /// How the start that it names compares with the newest that is known.
    pub start: StartOrder,
}

impl Router {
    /// Applies what the answer to a question states about its sender.
    pub(crate) fn hear(&self, call: Call<'_>, answer: ResponseParts<'_>) -> Heard {
        let said = (self.wire_names.statement)(&answer);
        let sender = sender_of_query_response(&call.upstream.name, &said);
        let start = take(self, call, &said, sender, false);
        Heard { said, start }
    }

    /// Applies what the head of the answer to a request states about its sender, given whether the
    /// answer counts.
    pub(crate) fn hear_reply(
        &self,
        call: Call<'_>,
        head: &Parts,
        verdict: &Result<(), AttemptFailure>,
    ) -> UpstreamStatement {
        let said = (self.wire_names.statement)(&ResponseParts {
            status: head.status,
            headers: &head.headers,
            body: None,
        });
        let sender = sender_of_request_response(&call.upstream.name, &said, verdict);
        take(self, call, &said, sender, verdict.is_ok());
        said
    }
}

/// Applies a statement to the upstream that made it, given whether it ran a request.
fn take(
    router: &Router,
    call: Call<'_>,
    said: &UpstreamStatement,
    sender: Sender,
    has_run: bool,
) -> StartOrder {
    let Some(upstream) = known_sender(router, call, sender) else {
        return StartOrder::Same;
    };
    let now = router.now();
    let order = on_named_start(router, &upstream, said.start_time_ms, now);
    if order == StartOrder::Older {
        return order;
    }
    if said.is_leaving {
        leaving_reports::on_leaving(router, &upstream, said.start_time_ms, call.via, now);
    }
    if let Some(time) = said.wait {
        take_wait(router, call.via, &upstream, time);
    }
    take_limit(router, call, &upstream, said, has_run);
    if let Some(reason) = &said.unreadable {
        let name = upstream.name.as_str();
        log_named_event(&router.log, "server.unreadable", name, reason);
    }
    order
}

/// The upstream that made a statement; `None` where nothing can be concluded from it, as its sender is
/// not known.
fn known_sender(router: &Router, call: Call<'_>, sender: Sender) -> Option<Upstream> {
    match sender {
        Sender::Addressee => Some(call.upstream.clone()),
        Sender::Other(name) => {
            let table = router.upstreams.borrow();
            table.get(&name).map(|state| state.upstream.clone())
        }
        Sender::Unknown => None,
    }
}

fn take_wait(router: &Router, via: CallKind<'_>, upstream: &Upstream, time: Duration) {
    let is_new = router
        .upstreams
        .borrow_mut()
        .on_wait(&upstream.name, time, router.now());
    if is_new {
        router.metrics.pause_requests.inc();
        log_wait(&router.log, upstream, time, via);
    }
}

fn take_limit(
    router: &Router,
    call: Call<'_>,
    upstream: &Upstream,
    said: &UpstreamStatement,
    has_run: bool,
) {
    let told = router.upstream_limits.on_answer(&LimitAnswer {
        upstream,
        said: said.limit,
        would_name: has_run,
        written: WrittenBetween {
            sent: call.sent,
            heard: router.now(),
        },
        via: call.via,
    });
    if let Some(report) = told {
        limit_reports::send_to_all(router, report);
    }
}
