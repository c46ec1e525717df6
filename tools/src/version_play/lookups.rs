//! Lookups of the versions that began streams, in the play.

use super::RecordTo;
use super::streams::Phase;
use super::world::{Event, World};
use cloverpier_router::peer_messages::{OriginQuery, OriginReply, PeerMessage};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::fresh_watchers;
use cloverpier_router_policy::stream_version::holders::HolderCandidates;
use cloverpier_router_policy::stream_version::lookup::{
    LOOKUP_TIMEOUT, Lookup, LookupReply, LookupStep, REPEAT_AFTER, UnknownOrigin,
};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call to the store takes, at least and at most.
const STORE_MS: (u64, u64) = (8, 14);
/// How long a lookup waits for the store.
const STORE_WAIT: Duration = Duration::from_millis(300);

/// A lookup in progress.
#[derive(Clone, Debug)]
pub(super) struct LookupRun {
    stream: usize,
    attempt: u32,
    router: usize,
    key: Option<StreamKey>,
    lookup: Lookup,
    asks_store: bool,
}

impl World {
    fn own_reply(&self, router: usize, key: Option<StreamKey>) -> LookupReply {
        let now = self.instant();
        let state = &self.routers[router];
        LookupReply {
            origin: key.and_then(|key| state.records.get(key, now)).cloned(),
            versions: state
                .history
                .report(&self.service, state.list_confirmed_at, now),
        }
    }

    /// A router looks up how a stream began.
    pub(super) fn begin_lookup(&mut self, stream: usize) {
        let (router, attempt) = (self.streams[stream].router, self.streams[stream].attempt);
        let key = self.key_of(stream);
        let peers = self.ready_peers(router);
        let candidates = HolderCandidates::new(&peers);
        let mut targets = key.map_or_else(Vec::new, |key| match self.spec.record_to {
            RecordTo::Holders | RecordTo::All => candidates.possible_holders(key),
            RecordTo::Nobody => Vec::new(),
        });
        for watcher in fresh_watchers(&peers) {
            if !targets.contains(&watcher) {
                targets.push(watcher);
            }
        }
        self.last_number += 1;
        let number = self.last_number;
        let run = LookupRun {
            stream,
            attempt,
            router,
            key,
            lookup: Lookup::new(&targets, key.is_some()),
            asks_store: false,
        };
        self.lookups.insert(number, run);
        let own = self.own_reply(router, key);
        if self.note_reply(number, None, own) {
            return;
        }
        self.send_queries(number);
        self.schedule_in(
            REPEAT_AFTER,
            Event::LookupTimer {
                number,
                is_last: false,
            },
        );
    }

    fn send_queries(&mut self, number: u64) {
        let Some(run) = self.lookups.get(&number).cloned() else {
            return;
        };
        let query = PeerMessage::OriginQuery(OriginQuery {
            sender: self.routers[run.router].address,
            number,
            stream: run.key,
            service: self.service.clone(),
        });
        let mut awaited = run.lookup.awaited();
        awaited.sort();
        self.send(run.router, &awaited, &query, None);
    }

    /// Applies a reply; returns whether the lookup is decided.
    fn note_reply(&mut self, number: u64, from: Option<SocketAddr>, reply: LookupReply) -> bool {
        let Some(run) = self.lookups.get_mut(&number) else {
            return true;
        };
        let found = match run.lookup.on_reply(from, reply) {
            LookupStep::Found(origin) => origin,
            LookupStep::Single(version) => StreamOrigin::of_version(&self.service, version),
            LookupStep::Wait => return false,
        };
        self.end_lookup(number, Some(found));
        true
    }

    fn end_lookup(&mut self, number: u64, found: Option<StreamOrigin>) {
        let Some(run) = self.lookups.remove(&number) else {
            return;
        };
        let is_current = self.is_current(run.stream, run.attempt);
        if !is_current || self.streams[run.stream].phase != Phase::LookingUp {
            return;
        }
        let reason = run.lookup.unknown_reason();
        let may_retry = matches!(reason, UnknownOrigin::NoReply | UnknownOrigin::Unproven);
        self.on_looked_up(run.stream, found, may_retry);
    }

    pub(super) fn on_lookup_timer(&mut self, number: u64, is_last: bool) {
        if is_last {
            self.end_lookup(number, None);
            return;
        }
        let Some(run) = self.lookups.get_mut(&number) else {
            return;
        };
        run.asks_store = run.lookup.may_be_proven();
        let (router, asks_store) = (run.router, run.asks_store);
        self.send_queries(number);
        let mut wait = LOOKUP_TIMEOUT;
        if asks_store {
            wait = STORE_WAIT;
            let (least, most) = STORE_MS;
            let delay = self.ms_between(least, most);
            self.outcome.store_calls += 1;
            self.schedule_in(delay, Event::StoreAnswer { router });
        }
        let last = Event::LookupTimer {
            number,
            is_last: true,
        };
        self.schedule_in(wait - REPEAT_AFTER, last);
    }

    /// Decides the lookups of a router that waited for the store.
    pub(super) fn decide_own_lookups(&mut self, router: usize) {
        let waiting = self
            .lookups
            .iter()
            .filter(|(_, run)| run.router == router && run.asks_store);
        let mut waiting: Vec<u64> = waiting.map(|(number, _)| *number).collect();
        waiting.sort_unstable();
        for number in waiting {
            let Some(key) = self.lookups.get(&number).map(|run| run.key) else {
                continue;
            };
            let own = self.own_reply(router, key);
            if !self.note_reply(number, None, own) && !self.awaits_replies(number) {
                self.end_lookup(number, None);
            }
        }
    }

    fn awaits_replies(&self, number: u64) -> bool {
        let run = self.lookups.get(&number);
        run.is_some_and(|run| !run.lookup.is_complete())
    }

    pub(super) fn on_query(&mut self, to: usize, from: usize, query: &OriginQuery) {
        let LookupReply { origin, versions } = self.own_reply(to, query.stream);
        let reply = PeerMessage::OriginReply(OriginReply {
            sender: self.routers[to].address,
            number: query.number,
            origin,
            versions,
        });
        let recipient = self.routers[from].address;
        self.send(to, &[recipient], &reply, None);
    }

    pub(super) fn on_reply(&mut self, to: usize, reply: OriginReply) {
        let OriginReply {
            sender,
            number,
            origin,
            versions,
        } = reply;
        if self.lookups.get(&number).is_none_or(|run| run.router != to) {
            return;
        }
        let is_decided = self.note_reply(number, Some(sender), LookupReply { origin, versions });
        if is_decided || self.awaits_replies(number) {
            return;
        }
        let run = self.lookups.get(&number);
        if run.is_some_and(|run| !run.lookup.may_be_proven()) {
            self.end_lookup(number, None);
        }
    }
}
