//! Applies what upstreams state about themselves in answers, of whatever kind of call.
//!
//! Modules that receive answers pass them to [`Router::hear`] and do not depend on the effects. The
//! platform's adapter decodes a statement; `cloverpier_router_policy::statement` decides which
//! upstream it is about. Owns no state.

use crate::beliefs::log_wait;
use crate::leaving_news;
use crate::restart::on_named_start;
use crate::router::Router;
use crate::store_view::log_dependency;
use crate::via::Via;
use crate::wire_names::AnswerParts;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::statement::{Sender, sender_of_answer, sender_of_reply};
use hyper::http::response::Parts;

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
    pub(crate) fn hear(&self, asked: &Upstream, answer: AnswerParts<'_>, via: Via<'_>) -> Heard {
        let said = (self.wire_names.statement)(&answer);
        let sender = sender_of_answer(&asked.name, &said);
        let start = take(self, asked, &said, sender, via);
        Heard { said, start }
    }

    /// Applies what the head of the answer to a request states about its sender, given whether the
    /// answer counts.
    pub(crate) fn hear_reply(
        &self,
        asked: &Upstream,
        head: &Parts,
        verdict: &Result<(), AttemptFailure>,
        via: Via<'_>,
    ) -> UpstreamStatement {
        let said = (self.wire_names.statement)(&AnswerParts {
            status: head.status,
            headers: &head.headers,
            body: None,
        });
        let sender = sender_of_reply(&asked.name, &said, verdict);
        take(self, asked, &said, sender, via);
        said
    }
}

/// Applies a statement to the upstream that made it.
fn take(
    router: &Router,
    asked: &Upstream,
    said: &UpstreamStatement,
    sender: Sender,
    via: Via<'_>,
) -> StartOrder {
    let upstream = match sender {
        Sender::Asked => asked.clone(),
        Sender::Other(name) => {
            let table = router.upstreams.borrow();
            // Nothing can be concluded of one that is not known.
            let Some(state) = table.get(&name) else {
                return StartOrder::Same;
            };
            state.upstream.clone()
        }
        Sender::Unknown => return StartOrder::Same,
    };
    let now = router.now();
    let order = on_named_start(router, &upstream, said.born_ms, now);
    if order == StartOrder::Older {
        return order;
    }
    if said.is_leaving {
        leaving_news::on_leaving(router, &upstream, said.born_ms, via, now);
    }
    if let Some(time) = said.wait {
        let mut table = router.upstreams.borrow_mut();
        if table.on_wait(&upstream.name, time, now) {
            drop(table);
            router.metrics.waits.inc();
            log_wait(&router.log, &upstream, time, via);
        }
    }
    if let Some(reason) = &said.unreadable {
        log_dependency(router, "server.unreadable", upstream.name.as_str(), reason);
    }
    order
}
