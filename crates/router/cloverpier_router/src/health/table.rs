//! The observed activity of all upstreams: the entries by upstream and path.
//!
//! Owns the entries. When the process of an upstream has ended or a path is lost, the entry is replaced, so that new
//! attempts use one that is not marked.

use super::{LivenessEvidence, LossSign, UpstreamHealth};
use crate::connection::Via;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::Upstream;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// The entries of one upstream, by path.
type EntriesByPath = HashMap<Via, Rc<UpstreamHealth>>;

/// The observed activity of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct HealthTable {
    by_upstream: RefCell<HashMap<UpstreamName, EntriesByPath>>,
}

impl HealthTable {
    /// The entry of an upstream and a path. A missing entry is created, with `now` as the time of the last activity.
    pub fn of(&self, upstream: &Upstream, via: Via, now: Instant) -> Rc<UpstreamHealth> {
        let mut table = self.by_upstream.borrow_mut();
        let entries = table.entry(upstream.name.clone()).or_default();
        let health = entries.entry(via);
        Rc::clone(health.or_insert_with(|| Rc::new(UpstreamHealth::new(via, now))))
    }

    /// When a part of a valid response of the upstream itself last arrived over any path; `None` before the first.
    pub fn last_own_response(&self, upstream: &UpstreamName) -> Option<Instant> {
        let table = self.by_upstream.borrow();
        let entries = table.get(upstream)?.values();
        entries.filter_map(|h| h.last_own_response.get()).max()
    }

    /// When the latest call was sent to the upstream's present address that has a response under its own name, over any
    /// path: the upstream was running there at that time or later. `None` before the first.
    pub fn proven_alive_at(&self, upstream: &Upstream) -> Option<Instant> {
        let evidence = self.last_evidence(&upstream.name)?;
        (evidence.address == upstream.address).then_some(evidence.call_sent_at)
    }

    fn last_evidence(&self, upstream: &UpstreamName) -> Option<LivenessEvidence> {
        let table = self.by_upstream.borrow();
        let entries = table.get(upstream)?.values();
        let calls = entries.filter_map(|h| h.liveness_evidence.get());
        calls.max_by_key(|call| call.call_sent_at)
    }

    /// When a part of a valid response last arrived over this router's own path from one of the upstreams; `None`
    /// before the first.
    pub fn last_heard_directly<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamName>,
    ) -> Option<Instant> {
        let table = self.by_upstream.borrow();
        let entries = upstreams.filter_map(|name| table.get(name)?.get(&Via::Direct));
        entries.filter_map(|h| h.last_own_response.get()).max()
    }

    /// When data last arrived from the upstream over any path; `None` if it has no entry.
    pub fn last_activity(&self, upstream: &UpstreamName) -> Option<Instant> {
        let table = self.by_upstream.borrow();
        let entries = table.get(upstream)?.values();
        entries.map(|h| h.last_activity.get()).max()
    }

    /// Since when the upstream has sent parts of its own responses over a path without a long pause; the longest of all
    /// paths.
    pub fn responding_since(&self, upstream: &UpstreamName) -> Option<Instant> {
        let table = self.by_upstream.borrow();
        let entries = table.get(upstream)?.values();
        entries.filter_map(|h| h.responding_since.get()).min()
    }

    /// When data last arrived from the upstream over any path; `None` before the first.
    pub fn last_heard(&self, upstream: &UpstreamName) -> Option<Instant> {
        let table = self.by_upstream.borrow();
        let entries = table.get(upstream)?.values();
        entries.filter_map(|h| h.last_heard.get()).max()
    }

    /// Number of this router's streams that the upstream has begun to write and that have not ended.
    pub fn streams_at(&self, upstream: &UpstreamName) -> usize {
        let table = self.by_upstream.borrow();
        let entries = table.get(upstream);
        entries.map_or(0, |e| e.values().map(|h| h.streams.get()).sum())
    }

    /// Marks the attempts at an upstream that does not respond as possibly lost.
    pub fn on_unreachable(&self, upstream: &UpstreamName, now: Instant) {
        let table = self.by_upstream.borrow();
        let entries = table.get(upstream).into_iter().flat_map(HashMap::values);
        entries.for_each(|health| health.on_lost(LossSign::Unreachable, now));
    }

    /// Marks all attempts at an upstream whose process has ended, or which has restarted, and returns the new entry for
    /// this router's own path. The last own response and the evidence are kept.
    pub fn end_all(&self, upstream: &Upstream, sign: LossSign, now: Instant) -> Rc<UpstreamHealth> {
        let last_own_response = self.last_own_response(&upstream.name);
        let liveness_evidence = self.last_evidence(&upstream.name);
        let ended = self.by_upstream.borrow_mut().remove(&upstream.name);
        // An upstream without entries has no attempts to end.
        for health in ended.unwrap_or_default().values() {
            health.on_lost(sign, now);
        }
        let health = self.of(upstream, Via::Direct, now);
        health.last_own_response.set(last_own_response);
        health.liveness_evidence.set(liveness_evidence);
        health
    }

    /// Marks the attempts at an upstream over a lost path as possibly lost. The last own response and the evidence are kept.
    pub fn end_path(&self, upstream: &Upstream, via: Via, now: Instant) {
        let mut table = self.by_upstream.borrow_mut();
        let entries = table.entry(upstream.name.clone()).or_default();
        let Some(lost) = entries.remove(&via) else {
            return;
        };
        let health = UpstreamHealth::new(via, now);
        health.last_own_response.set(lost.last_own_response.get());
        health.liveness_evidence.set(lost.liveness_evidence.get());
        entries.insert(via, Rc::new(health));
        drop(table);
        lost.on_lost(LossSign::PathLost, now);
    }

    /// Removes the entries for which `is_known` returns false and that no task uses, and those of paths through peers
    /// that no task uses.
    pub fn retain(&self, is_known: impl Fn(&UpstreamName) -> bool) {
        let mut table = self.by_upstream.borrow_mut();
        table.retain(|name, entries| {
            let is_known = is_known(name);
            entries.retain(|via, health| {
                Rc::strong_count(health) > 1 || (is_known && *via == Via::Direct)
            });
            !entries.is_empty()
        });
    }
}
