//! Takes what upstreams say of themselves in answers, whichever call brought these.
//!
//! Those who read answers hand them to [`Router::hear`] and know nothing of what follows. The
//! platform's adapter decodes a statement; whose it is, is decided in
//! `cloverpier_router_policy::statement`. Owns no state.

use crate::decision_log::{UpstreamStated, ms};
use crate::restart::on_named_start;
use crate::router::Router;
use crate::wire_names::AnswerParts;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::statement::{Sender, sender_of_answer, sender_of_reply};
use hyper::http::response::Parts;

/// The call whose answer it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Via<'a> {
    /// A request of a caller, by its id.
    Request(&'a str),
    /// A probe of a silent upstream.
    Probe,
    /// A check of a suspected one.
    Check,
    /// A question about its load.
    LoadQuestion,
    /// A question about the prompts that it has read.
    CacheQuestion,
}

impl Via<'_> {
    /// Its word in log lines.
    fn word(&self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Probe => "probe",
            Self::Check => "check",
            Self::LoadQuestion => "load",
            Self::CacheQuestion => "cache",
        }
    }

    /// The request's id, if it was one.
    fn request(&self) -> Option<&str> {
        match self {
            Self::Request(id) => Some(id),
            _ => None,
        }
    }
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
    /// Takes what the answer to a question says of its sender.
    pub(crate) fn hear(&self, asked: &Upstream, answer: AnswerParts<'_>, via: Via<'_>) -> Heard {
        let said = (self.wire_names.statement)(&answer);
        let sender = sender_of_answer(&asked.name, &said);
        let start = take(self, asked, &said, sender, via);
        Heard { said, start }
    }

    /// Takes what the head of the answer to a request says of its sender, given whether the answer
    /// counts.
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
    let order = on_named_start(router, &upstream, said.born_ms, router.now());
    if order != StartOrder::Older {
        log_statement(router, &upstream, said, via);
    }
    order
}

fn log_statement(router: &Router, upstream: &Upstream, said: &UpstreamStatement, via: Via<'_>) {
    if !said.is_leaving && said.wait.is_none() && said.unreadable.is_none() {
        return;
    }
    let line = UpstreamStated {
        upstream: upstream.name.as_str(),
        leaving: said.is_leaving,
        wait_ms: said.wait.map(ms),
        unreadable: said.unreadable.as_deref(),
        via: via.word(),
        request: via.request(),
    };
    router.log.info("server.stated", &line);
}
