//! Fetches of newer configurations and lists of upstreams from other routers over HTTP, or from the store if no router
//! delivers them.
//!
//! One loop fetches configurations and another one upstreams, so that neither waits for the other. Each loop
//! owns its connections to peers and the results of its last fetches. Fetches of upstreams are hedged: while no reply
//! arrives, a further peer is queried at the same time, and the first reply counts.
//! `cloverpier_router_policy::version_fetch` decides from which peer to fetch, and when; `calls` carries out one fetch.
//! `cloverpier_router_policy::overdue_version` decides when to read the store instead; `store_reads` does.

mod calls;

use crate::decision_log::{
    FetchFailed, VersionFetched, VersionOverdue, log_named_event, ms, ms_since,
};
use crate::http_client::HttpClient;
use crate::router::Router;
use crate::source::{ConfigurationSource, SourceError};
use crate::store_reads::read_newer;
use crate::store_view::WatchedData;
use calls::{FetchError, current_version, fetch_configuration, fetch_upstreams};
use cloverpier_core::jitter;
use cloverpier_router_policy::overdue_version::{Patience, WantedVersion};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::version_fetch::{
    COMPARE_PERIOD, CONFIGURATION_HEAD_START, FAILURE_PAUSE, FetchSources, FetchStep, HEDGE_DELAY,
    LARGE_FLEET_COMPARE_PERIOD, MAX_CONCURRENT_FETCHES, REMOTE_FETCH_DELAY, REUSE_WINDOW,
    STALL_TIMEOUT, UPSTREAM_FETCH_PAUSE, UPSTREAM_HEAD_START,
};
use cloverpier_timers::Timers;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Fetches newer configurations or upstreams, as `watched` selects, from peers until the process ends.
pub(crate) async fn fetch_newer(
    router: Rc<Router>,
    source: Rc<impl ConfigurationSource + 'static>,
    watched: WatchedData,
) {
    let mut fetcher = Fetcher {
        router,
        source,
        watched,
        sources: match watched {
            WatchedData::Configuration => FetchSources::default(),
            WatchedData::Upstreams => FetchSources::with_remote_delay(REMOTE_FETCH_DELAY),
        },
        clients: HashMap::new(),
        is_failing: false,
        wanted: None,
    };
    loop {
        let router = &fetcher.router;
        tokio::select! {
            () = router.peers.wait_for_newer_version(watched) => {}
            () = router.timers.sleep(compare_period(router)) => {}
        }
        if router.store.role().watches() && router.store.is_serving() {
            let head_start = match watched {
                WatchedData::Configuration => CONFIGURATION_HEAD_START,
                WatchedData::Upstreams => UPSTREAM_HEAD_START,
            };
            router.timers.sleep(head_start).await;
        }
        fetcher.fetch_until_current().await;
    }
}

/// Interval at which versions are compared with those of peers even if no peer has reported a newer one.
fn compare_period(router: &Router) -> Duration {
    if router.peers.is_large() {
        LARGE_FLEET_COMPARE_PERIOD
    } else {
        COMPARE_PERIOD
    }
}

/// Waits until a time; forever without one.
async fn sleep_until(timers: &Timers, at: Option<Instant>) {
    match at {
        Some(at) => timers.sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// The client for fetches from one peer.
struct PeerClient {
    http: Rc<HttpClient>,
    /// When the last fetch from the peer began.
    used_at: Instant,
}

/// The result of a fetch from a peer or of a read of the store.
enum Ended {
    /// A fetch from a peer.
    Fetch(EndedFetch),
    /// A read of the store, and whether a newer version is in force after it.
    StoreRead(Result<bool, SourceError>),
}

/// A fetch from a peer that has ended.
struct EndedFetch {
    peer: SocketAddr,
    /// From the first byte of the request to the end.
    took: Duration,
    /// The size of the reply's body in bytes.
    result: Result<usize, FetchError>,
}

/// The effect of a fetch or of a read of the store.
enum FetchOutcome {
    /// A newer version, which is in force now.
    Newer,
    /// A refusal with a time, as the peer's link is busy.
    Busy,
    /// Nothing.
    Failed,
}

/// The state of the loop that fetches one kind of data.
struct Fetcher<S> {
    router: Rc<Router>,
    /// The store, from which versions are read that no peer delivers.
    source: Rc<S>,
    /// The kind of data that this loop fetches.
    watched: WatchedData,
    /// The peers that are avoided after a failed fetch or a refusal.
    sources: FetchSources,
    /// One client for each peer, removed when a fetch from the peer fails.
    clients: HashMap<SocketAddr, PeerClient>,
    /// Whether the last fetch failed; a refusal does not count.
    is_failing: bool,
    /// The newer version that peers have reported and this router does not have yet.
    wanted: Option<WantedVersion>,
}

impl<S: ConfigurationSource + 'static> Fetcher<S> {
    /// Fetches until no live peer has a newer version.
    async fn fetch_until_current(&mut self) {
        loop {
            match self.next_step() {
                FetchStep::UpToDate => {
                    self.set_wanted(None);
                    return;
                }
                FetchStep::Wait(wait) => self.pause(wait).await,
                FetchStep::Fetch(peer) => {
                    let now = self.router.now();
                    // A version that earlier fetches did not get is wanted since the first of them.
                    let wanted = self.wanted.unwrap_or(WantedVersion::since(now));
                    self.set_wanted(Some(wanted));
                    if self.fetch_from(peer).await {
                        self.set_wanted(None);
                    }
                    self.pause_after_fetch().await;
                }
            }
        }
    }

    fn set_wanted(&mut self, wanted: Option<WantedVersion>) {
        self.wanted = wanted;
        if self.watched == WatchedData::Upstreams {
            let since = wanted.map(|wanted| wanted.since);
            self.router.store.set_newer_list_known_since(since);
        }
    }

    /// Pauses after a fetch of upstreams in a large fleet, so that the next fetch returns all changes of that
    /// time.
    async fn pause_after_fetch(&self) {
        if self.watched == WatchedData::Upstreams && self.router.peers.is_large() {
            self.router.timers.sleep(UPSTREAM_FETCH_PAUSE).await;
        }
    }

    fn next_step(&mut self) -> FetchStep {
        self.next_step_beside(&[])
    }

    /// The next step while fetches from the peers in `asked` are under way.
    fn next_step_beside(&mut self, asked: &[SocketAddr]) -> FetchStep {
        let router = &self.router;
        let (now, timeout) = (router.now(), router.peer_timeout());
        let version = |peer: &PeerEntry| match self.watched {
            WatchedData::Configuration => peer.configuration_version,
            WatchedData::Upstreams => peer.upstreams_revision,
        };
        let own_data_centre = &router.settings().data_centre;
        let peers = router
            .peers
            .versions(version, own_data_centre, now, timeout);
        let others = peers.into_iter().filter(|p| !asked.contains(&p.peer));
        let mut rng = router.rng.borrow_mut();
        self.sources
            .step(self.current_version(), others, now, &mut rng)
    }

    /// The version of the configuration, or the revision of the upstreams, in force at this router.
    fn current_version(&self) -> u64 {
        current_version(&self.router, self.watched)
    }

    /// Waits for a random time between `wait` and twice as long, because all routers that the busy peers
    /// refused wait for the same moment.
    async fn pause(&self, wait: Duration) {
        let spread = jitter(&mut self.router.rng.borrow_mut(), wait * 2);
        self.router.timers.sleep(spread).await;
    }

    /// Fetches from a peer, and from further ones and the store beside it while no copy has arrived, until one has or all
    /// fetches have failed. Returns whether a newer version is in force now.
    async fn fetch_from(&mut self, peer: SocketAddr) -> bool {
        let mut asked = vec![peer];
        let mut has_failed = false;
        let mut fetches = FuturesUnordered::new();
        fetches.push(self.begin_fetch(peer));
        let timers = self.router.timers.clone();
        while !fetches.is_empty() {
            let store_read_at = self.store_read_at();
            let may_ask_another =
                self.watched == WatchedData::Upstreams && asked.len() < MAX_CONCURRENT_FETCHES;
            tokio::select! {
                Some(ended) = fetches.next() => match self.on_ended(ended) {
                    FetchOutcome::Newer => return true,
                    FetchOutcome::Busy => {}
                    FetchOutcome::Failed => has_failed = true,
                },
                () = timers.sleep(HEDGE_DELAY), if may_ask_another => {
                    if let FetchStep::Fetch(other) = self.next_step_beside(&asked) {
                        asked.push(other);
                        fetches.push(self.begin_fetch(other));
                    }
                }
                () = sleep_until(&timers, store_read_at) => {
                    fetches.push(self.begin_store_read());
                }
            }
        }
        if has_failed {
            timers.sleep(FAILURE_PAUSE).await;
        }
        false
    }

    /// When the version that is being fetched is read from the store instead; `None` while peers may deliver it, and while
    /// this router does not reach the store.
    fn store_read_at(&self) -> Option<Instant> {
        let patience = match self.watched {
            WatchedData::Configuration => Patience::UntilFailure,
            WatchedData::Upstreams => Patience::Short,
        };
        let store = &self.router.store;
        let wanted = self
            .wanted
            .filter(|_| store.is_serving() && !store.is_failing());
        wanted.and_then(|wanted| wanted.store_read_at(patience))
    }

    /// Begins a read of the store, which applies a newer version.
    fn begin_store_read(&mut self) -> LocalBoxFuture<'static, Ended> {
        let now = self.router.now();
        if let Some(wanted) = &mut self.wanted {
            wanted.on_store_read(now);
            let line = VersionOverdue {
                what: self.watched.name(),
                version: current_version(&self.router, self.watched),
                known_ms: ms_since(wanted.since, now),
            };
            self.router.log.info("version.overdue", &line);
        }
        let (router, source) = (Rc::clone(&self.router), Rc::clone(&self.source));
        let watched = self.watched;
        let read = async move {
            let known = current_version(&router, watched);
            let read = read_newer(&router, &*source, watched).await;
            Ended::StoreRead(read.map(|()| current_version(&router, watched) > known))
        };
        read.boxed_local()
    }

    /// Begins a fetch from a peer, which applies what it brings.
    fn begin_fetch(&mut self, peer: SocketAddr) -> LocalBoxFuture<'static, Ended> {
        let client = self.client(peer);
        let (router, watched) = (Rc::clone(&self.router), self.watched);
        let fetch = async move {
            let began = router.now();
            let known = current_version(&router, watched);
            let fetched = match watched {
                WatchedData::Configuration => fetch_configuration(&router, &client, peer).await,
                WatchedData::Upstreams => fetch_upstreams(&router, &client, peer).await,
            };
            let result = fetched.and_then(|bytes| {
                let is_newer = current_version(&router, watched) > known;
                is_newer.then_some(bytes).ok_or(FetchError::NotNewer)
            });
            let took = router.now().saturating_duration_since(began);
            Ended::Fetch(EndedFetch { peer, took, result })
        };
        fetch.boxed_local()
    }

    /// The client for a peer. One whose connection was not used for a while is replaced: it may have gone silent.
    fn client(&mut self, peer: SocketAddr) -> Rc<HttpClient> {
        let now = self.router.now();
        let is_fresh =
            |client: &PeerClient| now.saturating_duration_since(client.used_at) < REUSE_WINDOW;
        let kept = self
            .clients
            .get_mut(&peer)
            .filter(|client| is_fresh(client));
        if let Some(client) = kept {
            client.used_at = now;
            return Rc::clone(&client.http);
        }
        let timers = self.router.timers.clone();
        let http = Rc::new(HttpClient::new(peer, STALL_TIMEOUT, timers));
        let client = PeerClient {
            http: Rc::clone(&http),
            used_at: now,
        };
        self.clients.insert(peer, client);
        http
    }

    /// Records the end of a fetch or of a read of the store.
    fn on_ended(&mut self, ended: Ended) -> FetchOutcome {
        match ended {
            Ended::Fetch(fetch) => self.on_fetch_ended(fetch),
            Ended::StoreRead(Ok(true)) => FetchOutcome::Newer,
            // This router is up to date: revisions that peers report also count changes of other data.
            Ended::StoreRead(Ok(false)) => FetchOutcome::Failed,
            Ended::StoreRead(Err(error)) => {
                let (what, reason) = (self.watched.name(), error.to_string());
                log_named_event(&self.router.log, "version.unread", what, &reason);
                FetchOutcome::Failed
            }
        }
    }

    /// Records the end of a fetch from a peer.
    fn on_fetch_ended(&mut self, ended: EndedFetch) -> FetchOutcome {
        let EndedFetch { peer, took, result } = ended;
        match result {
            Ok(bytes) => {
                self.on_fetched(peer, bytes, took);
                FetchOutcome::Newer
            }
            Err(FetchError::Busy { wait }) => {
                self.router.metrics.version_fetches.count("busy");
                self.sources.on_busy(peer, wait, self.router.now());
                FetchOutcome::Busy
            }
            Err(error) => {
                self.clients.remove(&peer);
                self.sources.on_failed(peer, self.router.now());
                if let Some(wanted) = &mut self.wanted {
                    wanted.on_fetch_failed();
                }
                self.on_failed(peer, &error, took);
                FetchOutcome::Failed
            }
        }
    }

    fn on_fetched(&mut self, peer: SocketAddr, bytes: usize, took: Duration) {
        self.is_failing = false;
        self.router.metrics.version_fetches.count("whole");
        self.router.metrics.version_fetch.observe(took);
        let line = VersionFetched {
            what: self.watched.name(),
            from: peer,
            bytes,
            took_ms: ms(took),
        };
        self.router.log.info("version.fetched", &line);
    }

    /// Logs the first of consecutive failures. There are many, for example, until a dead peer no longer
    /// counts as alive.
    fn on_failed(&mut self, peer: SocketAddr, error: &FetchError, took: Duration) {
        self.router.metrics.version_fetches.count("failed");
        if std::mem::replace(&mut self.is_failing, true) {
            return;
        }
        let line = FetchFailed {
            name: "peers",
            reason: &error.to_string(),
            what: self.watched.name(),
            from: peer,
            took_ms: ms(took),
        };
        self.router.log.info("peer.fetch_failed", &line);
    }
}
