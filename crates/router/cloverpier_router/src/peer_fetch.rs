//! Newer configurations and upstreams, fetched from other routers over HTTP.
//!
//! Two loops, one for each, so that neither waits for the other. Each owns how its fetches
//! went. Whom to ask, and when, is decided in `cloverpier_router_policy::version_fetch`; the
//! shapes are [`crate::peer_messages`]'s, and [`crate::peer_serve`] is the other side.

use crate::configuration_copies::{CopyEncoding, HeldConfiguration};
use crate::decision_log::{FetchFailed, VersionFetched, ms};
use crate::http_client::{CallError, DownloadTimeouts, HttpClient, HttpResponse};
use crate::peer_messages::{CodecError, UpstreamsReply, decode, decompress};
use crate::peer_serve::{
    CONFIGURATION_PATH, GZIP, UPSTREAMS_PATH, UPSTREAMS_WITH_STARTS, encoding_of, wait_of,
};
use crate::rollouts;
use crate::router::Router;
use crate::source::{ReadChange, UpstreamChanges, UpstreamList};
use crate::store_events::apply_configuration;
use crate::store_view::Watched;
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

/// A peer did not hand out a version.
#[derive(Debug, Snafu)]
enum FetchError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The answer cannot be read.
    #[snafu(display("{source}"))]
    Codec { source: CodecError },
    /// The peer hands out other copies at present.
    #[snafu(display("busy for {wait:?}"))]
    Busy { wait: Duration },
    /// The peer does not hand out a version.
    #[snafu(display("the peer answered {status}"))]
    Status { status: StatusCode },
    /// What came is not newer than what is in force here.
    #[snafu(display("what the peer sent is not newer"))]
    NotNewer,
}

/// Fetches newer versions of one kind from peers, until the process ends.
pub(crate) async fn fetch_newer(router: Rc<Router>, watched: Watched) {
    let mut fetcher = Fetcher {
        router,
        watched,
        sources: match watched {
            Watched::Configuration => FetchSources::default(),
            Watched::Upstreams => FetchSources::with_remote_delay(REMOTE_FETCH_DELAY),
        },
        clients: HashMap::new(),
        is_failing: false,
    };
    loop {
        let router = &fetcher.router;
        tokio::select! {
            () = router.peers.newer_version_seen(watched) => {}
            () = router.timers.sleep(compare_period(router)) => {}
        }
        if router.store.role().watches() && router.store.is_serving() {
            router.timers.sleep(STORE_HEAD_START).await;
        }
        fetcher.catch_up().await;
    }
}

/// How often versions are compared without a sign of a newer one.
fn compare_period(router: &Router) -> Duration {
    if router.peers.is_large() {
        LARGE_FLEET_COMPARE_PERIOD
    } else {
        COMPARE_PERIOD
    }
}

/// One of the two loops.
struct Fetcher {
    router: Rc<Router>,
    watched: Watched,
    sources: FetchSources,
    /// Connections to peers, one each, kept until a fetch fails.
    clients: HashMap<SocketAddr, Rc<HttpClient>>,
    /// Whether the last fetch failed.
    is_failing: bool,
}

impl Fetcher {
    /// Fetches until no live peer has a newer version.
    async fn catch_up(&mut self) {
        loop {
            match self.next_step() {
                FetchStep::UpToDate => return,
                FetchStep::Wait(wait) => self.pause(wait).await,
                FetchStep::Fetch(peer) => {
                    self.fetch_from(peer).await;
                    self.gather().await;
                }
            }
        }
    }

    /// Has the next changes of upstreams come together, in a large fleet.
    async fn gather(&self) {
        if self.watched == Watched::Upstreams && self.router.peers.is_large() {
            self.router.timers.sleep(UPSTREAM_FETCH_PAUSE).await;
        }
    }

    fn next_step(&mut self) -> FetchStep {
        let router = &self.router;
        let (now, timeout) = (router.now(), router.peer_timeout());
        let version = |peer: &PeerEntry| match self.watched {
            Watched::Configuration => peer.configuration_version,
            Watched::Upstreams => peer.upstreams_revision,
        };
        let home = &router.settings().data_centre;
        let peers = router.peers.versions(version, home, now, timeout);
        let mut rng = router.rng.borrow_mut();
        self.sources.step(self.known(), peers, now, &mut rng)
    }

    fn known(&self) -> u64 {
        match self.watched {
            Watched::Configuration => self.router.store.configuration_version(),
            Watched::Upstreams => self.router.upstreams.borrow().revision(),
        }
    }

    /// Waits as long as peers are busy, and up to as long again: whoever else was refused
    /// waits for the same moment.
    async fn pause(&self, wait: Duration) {
        let spread = jitter(&mut self.router.rng.borrow_mut(), wait * 2);
        self.router.timers.sleep(spread).await;
    }

    async fn fetch_from(&mut self, peer: SocketAddr) {
        let began = self.router.now();
        let known = self.known();
        let fetched = match self.watched {
            Watched::Configuration => self.fetch_configuration(peer).await,
            Watched::Upstreams => self.fetch_upstreams(peer).await,
        };
        let fetched = fetched.and_then(|bytes| {
            let is_newer = self.known() > known;
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

    /// Of failures in a row, as while a peer is dead and not missed yet, one is logged.
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

    /// Fetches the configuration; returns the bytes that it took.
    async fn fetch_configuration(&mut self, peer: SocketAddr) -> Result<usize, FetchError> {
        let mut headers = HeaderMap::new();
        headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(GZIP));
        let answer = self.get(peer, CONFIGURATION_PATH, headers).await?;
        let bytes = answer.body.len();
        let encoding = encoding_of(&answer.headers);
        let held = HeldConfiguration::read(answer.body, encoding).await;
        let held = held.context(CodecSnafu)?;
        apply_configuration(&self.router, held, &format!("peer {peer}"));
        Ok(bytes)
    }

    /// Fetches upstreams; returns the bytes that it took.
    async fn fetch_upstreams(&mut self, peer: SocketAddr) -> Result<usize, FetchError> {
        let path = if self.router.store.knows_upstreams() {
            format!("{UPSTREAMS_PATH}?after={}", self.known())
        } else {
            UPSTREAMS_PATH.to_owned()
        };
        let mut headers = HeaderMap::new();
        let form = HeaderValue::from_static(UPSTREAMS_WITH_STARTS);
        headers.insert(ACCEPT, form);
        headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(GZIP));
        let answer = self.get(peer, &path, headers).await?;
        let reply = match encoding_of(&answer.headers) {
            CopyEncoding::Plain => decode(&answer.body),
            CopyEncoding::Compressed => decompress(&answer.body).and_then(|b| decode(&b)),
        };
        let reply = reply.context(CodecSnafu)?;
        apply_upstreams_reply(&self.router, reply, &format!("peer {peer}"));
        Ok(answer.body.len())
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
        let answer = client.download(path, headers, bounds, never).await;
        let answer = answer.context(CallSnafu)?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            StatusCode::SERVICE_UNAVAILABLE => BusySnafu {
                wait: wait_of(&answer.headers),
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
                changes: changes.into_iter().map(ReadChange::Readable).collect(),
                revision,
            };
            apply_upstream_changes(router, changes, from);
        }
    }
}
