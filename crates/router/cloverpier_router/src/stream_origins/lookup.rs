//! Finds out which software version began a stream that a caller resumes.
//!
//! This router's own records and list of upstreams come first. If they do not decide, it queries the routers that hold
//! the record and those that watch the store. `cloverpier_router_policy::stream_version::lookup` decides what their
//! replies prove. Owns no state.

use super::pending::Pending;
use super::write::ready_peers;
use crate::decision_log::{OriginSearched, ms_since};
use crate::peer_messages::{OriginQuery, PeerMessage};
use crate::router::Router;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::fresh_watchers;
use cloverpier_router_policy::stream_version::holders::HolderCandidates;
use cloverpier_router_policy::stream_version::lookup::{
    LOOKUP_TIMEOUT, Lookup, LookupReply, LookupStep, REPEAT_AFTER, UnknownOrigin,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a lookup waits for the store while this router starts; the store responds within about 10 ms.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(300);
/// How long the caller of a stream waits at most while a list that lacks the stream's version is read anew.
const LIST_READ_WAIT: Duration = Duration::from_millis(500);

/// A stream that a caller resumes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResumedStream<'a> {
    /// The id of the caller's request.
    pub request: &'a str,
    /// The id of the request that got the first event, as the caller states it.
    pub resumes: Option<&'a str>,
    /// The stream; `None` if the caller does not name it.
    pub key: Option<StreamKey>,
    /// The service that the route leads to.
    pub service: &'a ServiceName,
}

/// The origin of a stream that a caller resumes.
///
/// # Errors
///
/// [`UnknownOrigin`] if it is not certain which version began the stream.
pub(crate) async fn find_origin(
    router: &Router,
    stream: ResumedStream<'_>,
) -> Result<StreamOrigin, UnknownOrigin> {
    let began_at = router.now();
    let mut search = Search::new(router, stream);
    let result = search.run().await;
    search.log(&result, began_at);
    if let Ok(origin) = &result
        && is_list_outdated(router, stream.service, origin)
    {
        let checks = &router.list_checks;
        checks.wait_for_read(&router.timers, LIST_READ_WAIT).await;
    }
    result
}

/// Whether a stream began at a version that this router's list does not contain, and nothing shows that the list is recent.
fn is_list_outdated(router: &Router, service: &ServiceName, origin: &StreamOrigin) -> bool {
    let version = origin.version.as_ref().and_then(StreamVersion::name);
    let table = router.upstreams.borrow();
    let is_missing = version.is_some_and(|name| table.count_of_version(service, name) == 0);
    is_missing && router.trusted_confirmation(router.now()).is_none()
}

/// The record of a stream at this router, and the versions of a service that its list has contained.
pub(super) fn own_reply(
    router: &Router,
    stream: Option<StreamKey>,
    service: &ServiceName,
) -> LookupReply {
    let now = router.now();
    let records = router.stream_origins.records.borrow();
    let history = router.version_history.borrow();
    LookupReply {
        origin: stream.and_then(|key| records.get(key, now)).cloned(),
        versions: history.report(service, router.trusted_confirmation(now), now),
    }
}

/// Waits while this router, which has just started, learns from the store how recent its list is.
pub(super) async fn wait_for_confirmation(router: &Router, timeout: Duration) {
    let ended = router.store.confirmation_ended();
    // After the timeout, the reply is made without a confirmation.
    let _ = router.timers.timeout(timeout, ended).await;
}

type PendingReplies<'a> = Pending<'a, (SocketAddr, LookupReply)>;

/// The events that end a wait for replies.
struct Wait {
    until: Instant,
    /// Whether the store's confirmation of this router's list is awaited, too.
    for_store: bool,
}

/// A lookup in progress.
struct Search<'a> {
    router: &'a Router,
    stream: ResumedStream<'a>,
    queried: Vec<SocketAddr>,
    /// The router whose reply decided; `None` if this router decided, or no reply did.
    decided_by: Option<SocketAddr>,
}

impl<'a> Search<'a> {
    fn new(router: &'a Router, stream: ResumedStream<'a>) -> Self {
        Self {
            router,
            stream,
            queried: Vec::new(),
            decided_by: None,
        }
    }

    async fn run(&mut self) -> Result<StreamOrigin, UnknownOrigin> {
        wait_for_confirmation(self.router, CONFIRMATION_WAIT).await;
        let targets = self.targets();
        let mut lookup = Lookup::new(&targets, self.stream.key.is_some());
        let own = self.own_reply();
        if let Some(origin) = self.origin_after(lookup.on_reply(None, own)) {
            return Ok(origin);
        }
        self.queried = targets;
        self.query(&mut lookup)
            .await
            .ok_or_else(|| lookup.unknown_reason())
    }

    fn own_reply(&self) -> LookupReply {
        own_reply(self.router, self.stream.key, self.stream.service)
    }

    /// The origin of the stream, if a step of the lookup decides it.
    fn origin_after(&self, step: LookupStep) -> Option<StreamOrigin> {
        match step {
            LookupStep::Found(origin) => Some(origin),
            LookupStep::Single(version) => {
                Some(StreamOrigin::of_version(self.stream.service, version))
            }
            LookupStep::Wait => None,
        }
    }

    /// The routers that may hold the record, and those that can prove that the service has one version.
    fn targets(&self) -> Vec<SocketAddr> {
        let peers = ready_peers(self.router);
        let candidates = HolderCandidates::new(&peers);
        let possible = self.stream.key.map(|key| candidates.possible_holders(key));
        // The record of a stream without a key cannot be looked up.
        let mut targets = possible.unwrap_or_default();
        for watcher in fresh_watchers(&peers) {
            if !targets.contains(&watcher) {
                targets.push(watcher);
            }
        }
        targets
    }

    /// Queries other routers, and the store if they do not decide; `None` if the store does not either.
    async fn query(&mut self, lookup: &mut Lookup) -> Option<StreamOrigin> {
        let router = self.router;
        let mut pending = router.stream_origins.queries.begin();
        let message = PeerMessage::OriginQuery(OriginQuery {
            sender: router.settings().listen.peers,
            number: pending.number,
            stream: self.stream.key,
            service: self.stream.service.clone(),
        });
        let began_at = router.now();
        let send = |lookup: &Lookup| router.datagrams.send(&message, &lookup.awaited());
        send(lookup);
        let wait = Wait {
            until: began_at + REPEAT_AFTER,
            for_store: false,
        };
        let origin = self.receive(lookup, &mut pending, wait).await;
        if origin.is_some() {
            return origin;
        }
        send(lookup);
        // All routers that watch the store may be down, so this router queries the store itself.
        let for_store = lookup.may_be_proven();
        if for_store {
            router.store.request_confirmation();
        }
        let timeout = if for_store {
            CONFIRMATION_WAIT
        } else {
            LOOKUP_TIMEOUT
        };
        let until = began_at + timeout;
        let wait = Wait { until, for_store };
        self.receive(lookup, &mut pending, wait).await
    }

    /// Receives replies until one decides, all have arrived, or the time is over.
    async fn receive(
        &mut self,
        lookup: &mut Lookup,
        pending: &mut PendingReplies<'_>,
        mut wait: Wait,
    ) -> Option<StreamOrigin> {
        while wait.for_store || !lookup.is_complete() {
            let (from, reply) = tokio::select! {
                (from, reply) = pending.next() => (Some(from), reply),
                () = self.router.store.confirmation_ended(), if wait.for_store => {
                    wait.for_store = false;
                    (None, self.own_reply())
                }
                () = self.router.timers.sleep_until(wait.until) => return None,
            };
            if let Some(origin) = self.origin_after(lookup.on_reply(from, reply)) {
                self.decided_by = from;
                return Some(origin);
            }
        }
        None
    }

    fn log(&self, result: &Result<StreamOrigin, UnknownOrigin>, began_at: Instant) {
        let router = self.router;
        let kind = match result {
            Ok(origin) if origin.upstream.is_some() => "found",
            Ok(_) => "single-version",
            // `reason` says why.
            Err(_) => "unknown",
        };
        router.metrics.stream_origins.count(kind);
        let version = match result {
            Ok(origin) => origin.version.as_ref(),
            // The line contains the reason instead.
            Err(_) => None,
        };
        let line = OriginSearched {
            request: self.stream.request,
            resumes: self.stream.resumes,
            service: self.stream.service.as_str(),
            result: kind,
            version: version.map(StreamVersion::as_str),
            reason: result.as_ref().err().copied(),
            from: self.decided_by.map(|peer| peer.to_string()),
            queried: self.queried.len(),
            took_ms: ms_since(began_at, router.now()),
        };
        router.log.info("stream.origin", &line);
    }
}
