//! Fetches of newer configurations and lists of upstreams from other routers over HTTP.
//!
//! One loop fetches configurations and another one upstreams, so that neither waits for the other. Each loop
//! owns its connections to peers and the results of its last fetches.
//! `cloverpier_router_policy::version_fetch` decides from which peer to fetch, and when;
//! [`crate::peer_serve`] serves the requests, and [`crate::peer_messages`] defines the replies.

use crate::configuration_copies::{ConfigurationWithCopies, CopyEncoding};
use crate::decision_log::{FetchFailed, VersionFetched, ms};
use crate::http_client::{CallError, DownloadTimeouts, HttpClient, HttpResponse};
use crate::peer_messages::{CodecError, UpstreamsReply, decode, decompress};
use crate::peer_serve::{
    CONFIGURATION_PATH, GZIP, UPSTREAMS_PATH, UPSTREAMS_WITH_STARTS, encoding_of, retry_delay,
};
use crate::rollouts;
use crate::router::Router;
use crate::source::{EntryChange, UpstreamChanges, UpstreamList};
use crate::store_events::apply_configuration;
use crate::store_view::WatchedData;
use crate::upstream_updates::{apply_upstream_changes, apply_upstream_list};
use cloverpier_core::jitter;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::version_fetch::{
    COMPARE_PERIOD, FAILURE_PAUSE, FetchSources, FetchStep, LARGE_FLEET_COMPARE_PERIOD,
    REMOTE_FETCH_DELAY, STALL_TIMEOUT, STORE_HEAD_START, UPSTREAM_FETCH_PAUSE,
};
use hyper::StatusCode;
use hyper::header::{ACCEPT, ACCEPT_ENCODING, HeaderMap, HeaderValue};
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The fetch of a newer version from a peer failed.
#[derive(Debug, Snafu)]
enum FetchError {
    /// The HTTP call failed.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The body of the peer's reply can't be decoded.
    #[snafu(display("{source}"))]
    Codec { source: CodecError },
    /// The peer refused the request, because its link is busy with other copies, and accepts requests again
    /// after `wait`.
    #[snafu(display("the peer is busy for {wait:?}"))]
    Busy { wait: Duration },
    /// The peer replied with an unexpected status, such as 404 from a router that has no version yet.
    #[snafu(display("the peer replied with status {status}"))]
    Status { status: StatusCode },
    /// The fetched version is not newer than the version in force here.
    #[snafu(display("the version from the peer is not newer"))]
    NotNewer,
}

/// Fetches newer configurations or upstreams, as `watched` selects, from peers until the process ends.
pub(crate) async fn fetch_newer(router: Rc<Router>, watched: WatchedData) {
    let mut fetcher = Fetcher {
        router,
        watched,
        sources: match watched {
            WatchedData::Configuration => FetchSources::default(),
            WatchedData::Upstreams => FetchSources::with_remote_delay(REMOTE_FETCH_DELAY),
        },
        clients: HashMap::new(),
        is_failing: false,
    };
    loop {
        let router = &fetcher.router;
        tokio::select! {
            () = router.peers.wait_for_newer_version(watched) => {}
            () = router.timers.sleep(compare_period(router)) => {}
        }
        if router.store.role().watches() && router.store.is_serving() {
            router.timers.sleep(STORE_HEAD_START).await;
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

/// The state of the loop that fetches one kind of data.
struct Fetcher {
    router: Rc<Router>,
    /// The kind of data that this loop fetches.
    watched: WatchedData,
    /// The peers that are avoided after a failed fetch or a refusal.
    sources: FetchSources,
    /// One client for each peer, removed when a fetch from the peer fails.
    clients: HashMap<SocketAddr, Rc<HttpClient>>,
    /// Whether the last fetch failed; a refusal does not count.
    is_failing: bool,
}

impl Fetcher {
    /// Fetches until no live peer has a newer version.
    async fn fetch_until_current(&mut self) {
        loop {
            match self.next_step() {
                FetchStep::UpToDate => return,
                FetchStep::Wait(wait) => self.pause(wait).await,
                FetchStep::Fetch(peer) => {
                    self.fetch_from(peer).await;
                    self.pause_after_fetch().await;
                }
            }
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
        let mut rng = router.rng.borrow_mut();
        self.sources
            .step(self.current_version(), peers, now, &mut rng)
    }

    /// The version of the configuration, or the revision of the upstreams, in force at this router.
    fn current_version(&self) -> u64 {
        match self.watched {
            WatchedData::Configuration => self.router.store.configuration_version(),
            WatchedData::Upstreams => self.router.upstreams.borrow().revision(),
        }
    }

    /// Waits for a random time between `wait` and twice as long, because all routers that the busy peers
    /// refused wait for the same moment.
    async fn pause(&self, wait: Duration) {
        let spread = jitter(&mut self.router.rng.borrow_mut(), wait * 2);
        self.router.timers.sleep(spread).await;
    }

    async fn fetch_from(&mut self, peer: SocketAddr) {
        let began = self.router.now();
        let current_version = self.current_version();
        let fetched = match self.watched {
            WatchedData::Configuration => self.fetch_configuration(peer).await,
            WatchedData::Upstreams => self.fetch_upstreams(peer).await,
        };
        let fetched = fetched.and_then(|bytes| {
            let is_newer = self.current_version() > current_version;
            is_newer.then_some(bytes).ok_or(FetchError::NotNewer)
        });
        let now = self.router.now();
        let took = now.saturating_duration_since(began);
        match fetched {
            Ok(bytes) => self.on_fetched(peer, bytes, took),
            Err(FetchError::Busy { wait }) => {
                self.router.metrics.version_fetches.count("busy");
                self.sources.on_busy(peer, wait, now);
            }
            Err(error) => {
                self.clients.remove(&peer);
                self.sources.on_failed(peer, now);
                self.on_failed(peer, &error, took);
                self.router.timers.sleep(FAILURE_PAUSE).await;
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

    /// Fetches and applies the configuration; returns the size of the reply's body in bytes.
    async fn fetch_configuration(&mut self, peer: SocketAddr) -> Result<usize, FetchError> {
        let mut headers = HeaderMap::new();
        headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(GZIP));
        let response = self.get(peer, CONFIGURATION_PATH, headers).await?;
        let bytes = response.body.len();
        let encoding = encoding_of(&response.headers);
        let configuration = ConfigurationWithCopies::from_copy(response.body, encoding).await;
        let configuration = configuration.context(CodecSnafu)?;
        apply_configuration(&self.router, configuration, &format!("peer {peer}"));
        Ok(bytes)
    }

    /// Fetches and applies changes of upstreams, or the whole list if this router has none; returns the size
    /// of the reply's body in bytes.
    async fn fetch_upstreams(&mut self, peer: SocketAddr) -> Result<usize, FetchError> {
        let path = if self.router.store.has_upstreams() {
            format!("{UPSTREAMS_PATH}?after={}", self.current_version())
        } else {
            UPSTREAMS_PATH.to_owned()
        };
        let mut headers = HeaderMap::new();
        let form = HeaderValue::from_static(UPSTREAMS_WITH_STARTS);
        headers.insert(ACCEPT, form);
        headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(GZIP));
        let response = self.get(peer, &path, headers).await?;
        let reply = match encoding_of(&response.headers) {
            CopyEncoding::Plain => decode(&response.body),
            CopyEncoding::Compressed => decompress(&response.body).and_then(|b| decode(&b)),
        };
        let reply = reply.context(CodecSnafu)?;
        apply_upstreams_reply(&self.router, reply, &format!("peer {peer}"));
        Ok(response.body.len())
    }

    async fn get(
        &mut self,
        peer: SocketAddr,
        path: &str,
        headers: HeaderMap,
    ) -> Result<HttpResponse, FetchError> {
        let client = self.clients.entry(peer);
        let timers = self.router.timers.clone();
        let client =
            client.or_insert_with(|| Rc::new(HttpClient::new(peer, STALL_TIMEOUT, timers)));
        let bounds = DownloadTimeouts {
            head: STALL_TIMEOUT,
            stall: STALL_TIMEOUT,
        };
        let never = std::future::pending();
        let response = client.download(path, headers, bounds, never).await;
        let response = response.context(CallSnafu)?;
        match response.status {
            StatusCode::OK => Ok(response),
            StatusCode::SERVICE_UNAVAILABLE => BusySnafu {
                wait: retry_delay(&response.headers),
            }
            .fail(),
            status => StatusSnafu { status }.fail(),
        }
    }
}

fn apply_upstreams_reply(router: &Router, reply: UpstreamsReply, from: &str) {
    match reply {
        UpstreamsReply::List {
            upstreams,
            revision,
            rollouts,
        } => {
            rollouts::apply_views(router, rollouts, from, router.now());
            let list = UpstreamList {
                upstreams,
                unreadable: Vec::new(),
                revision,
            };
            apply_upstream_list(router, list, from);
        }
        UpstreamsReply::Changes {
            changes,
            revision,
            rollouts,
        } => {
            rollouts::apply_views(router, rollouts, from, router.now());
            let changes = UpstreamChanges {
                changes: changes.into_iter().map(EntryChange::Readable).collect(),
                revision,
            };
            apply_upstream_changes(router, changes, from);
        }
    }
}
