//! The limits that upstreams name in their answers, as far as this router has learned them.
//!
//! What an answer changes is decided in `cloverpier_router_policy::limit`. [`UpstreamLimits`] owns the
//! limits; it takes the log and a counter and knows nothing of the router.

use crate::decision_log::LimitLearned;
use crate::metrics::ByKind;
use crate::via::Via;
use cloverpier_observe::Log;
use cloverpier_router_policy::limit::{
    LimitChange, LimitStatement, Rate, StatedLimits, WrittenBetween,
};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey};
use std::cell::RefCell;
use std::time::Instant;

/// An answer of an upstream, as far as its limit is concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitAnswer<'a> {
    /// The upstream.
    pub upstream: &'a Upstream,
    /// What it says.
    pub said: LimitStatement,
    /// Whether it would name a limit if there were one: only answers to requests have to.
    pub would_name: bool,
    /// When it was written.
    pub written: WrittenBetween,
    /// The call.
    pub via: Via<'a>,
}

/// The limits that are known.
#[derive(Debug)]
pub(crate) struct UpstreamLimits {
    stated: RefCell<StatedLimits>,
    log: Log,
    counts: ByKind,
}

impl UpstreamLimits {
    /// Knows of no limit yet.
    pub fn new(log: Log, counts: ByKind) -> Self {
        Self {
            stated: RefCell::default(),
            log,
            counts,
        }
    }

    /// Applies what an answer says of its sender's limit.
    pub fn on_answer(&self, answer: &LimitAnswer<'_>) {
        let key = UpstreamKey::of(&answer.upstream.name);
        let mut stated = self.stated.borrow_mut();
        let change = match answer.said {
            LimitStatement::Named(rate) => {
                stated.on_named(key, rate, answer.written, answer.written.heard)
            }
            LimitStatement::Unnamed if answer.would_name => {
                stated.on_unnamed(key, answer.written, answer.written.heard)
            }
            LimitStatement::Unnamed | LimitStatement::Unreadable => LimitChange::Nothing,
        };
        drop(stated);
        self.note(answer, change);
    }

    /// Forgets the limit of an upstream that has started again.
    pub fn forget(&self, upstream: &Upstream) {
        let key = UpstreamKey::of(&upstream.name);
        self.stated.borrow_mut().forget(key);
    }

    /// Forgets the limits of upstreams that are not known any more.
    pub fn retain(&self, is_known: impl Fn(UpstreamKey) -> bool, now: Instant) {
        self.stated.borrow_mut().retain(is_known, now);
    }

    fn note(&self, answer: &LimitAnswer<'_>, change: LimitChange) {
        let (kind, from, to) = match change {
            LimitChange::Nothing => return,
            LimitChange::Begun(rate) => ("begun", None, Some(rate)),
            LimitChange::Changed { from, to } => ("changed", Some(from), Some(to)),
            LimitChange::Ended(rate) => ("ended", Some(rate), None),
        };
        self.counts.count(kind);
        let line = LimitLearned {
            upstream: answer.upstream.name.as_str(),
            rate: to.map(Rate::as_per_second),
            former_rate: from.map(Rate::as_per_second),
            via: answer.via.word(),
            request: answer.via.request(),
        };
        self.log.info("server.limits", &line);
    }
}
