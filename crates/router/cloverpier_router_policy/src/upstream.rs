//! One upstream: as the platform lists it, and what a router knows of it.
//!
//! [`Upstream`] and [`UpstreamChange`] travel between routers, so the order of their fields
//! and the names of variants are on the wire. [`UpstreamState`] is this router's own; it is
//! changed only through [`crate::upstream_table::UpstreamTable`]. Relies on
//! [`crate::suspicion`] for how long what it records counts.

use crate::leaving::LAST_RESORT_FOR;
use crate::load::Load;
use crate::suspicion::{PEER_SUSPICION_TTL, RETURN_WINDOW, Suspicion};
use cloverpier_core::{DataCentre, ServiceName, SoftwareVersion, UpstreamName, Wait, hash_of};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One upstream, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Names this start of the process; a restarted upstream has another name.
    pub name: UpstreamName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it announced that it is about to leave.
    pub draining: bool,
    /// What it says of its present start; `None` where a router of a release that does not hand
    /// that on listed it. Written only if known, so that such routers read what they expect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<UpstreamStart>,
}

/// What an upstream says of its present start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStart {
    /// The version of its software.
    pub version: SoftwareVersion,
    /// When it started, as a Unix time in milliseconds; `None` where it does not say.
    pub born_ms: Option<u64>,
}

impl UpstreamStart {
    /// The start of the process that has taken an upstream's place: it runs the same version, as
    /// far as its entry does not say otherwise, and began later.
    pub fn of_successor(former: &Upstream) -> Option<Self> {
        let version = former.version()?.clone();
        Some(Self {
            version,
            born_ms: None,
        })
    }
}

impl Upstream {
    /// The version of its software, if known.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        self.start.as_ref().map(|start| &start.version)
    }

    /// When it started, as a Unix time in milliseconds, if known.
    pub fn born_ms(&self) -> Option<u64> {
        self.start.as_ref()?.born_ms
    }

    /// The entry as routers of a release without [`UpstreamStart`] read it.
    #[must_use]
    pub fn without_start(self) -> Self {
        Self {
            start: None,
            ..self
        }
    }
}

/// An upstream's name as a hash of eight bytes, for messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(pub u64);

impl UpstreamKey {
    /// The key of an upstream's name.
    pub fn of(name: &UpstreamName) -> Self {
        Self(hash_of(name.as_str()))
    }
}

/// A change of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// The upstream is new in the list, or its entry changed.
    Listed(Upstream),
    /// The upstream's entry is gone.
    Gone(UpstreamName),
}

impl UpstreamChange {
    /// The upstream that is listed, if any.
    pub fn listed(&self) -> Option<&Upstream> {
        match self {
            Self::Listed(upstream) => Some(upstream),
            Self::Gone(_) => None,
        }
    }
}

/// An upstream that the platform's list has not named yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Unlisted {
    /// When a version of the list arrived first that did not name it: the store can be reached.
    missing_since: Option<Instant>,
}

impl Unlisted {
    /// Records that a version of the list did not name it; returns whether it is to be taken as gone:
    /// a living upstream enters itself within [`RETURN_WINDOW`] of the store's return.
    pub fn on_reports(&mut self, now: Instant) -> bool {
        let since = *self.missing_since.get_or_insert(now);
        now.saturating_duration_since(since) > RETURN_WINDOW
    }
}

/// An upstream and what this router knows of it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// As listed last.
    pub upstream: Upstream,
    /// Its key.
    pub key: UpstreamKey,
    /// This router's own load there.
    pub own_load: Load,
    /// Smoothed share of requests that failed there, 0 to 1.
    pub failure_rate: f64,
    /// Smoothed time of a plain request there, in milliseconds; 0 before the first sample.
    pub pace_ms: f64,
    /// Set while the platform's list has not named it ([`crate::successor`]).
    pub(crate) unlisted: Option<Unlisted>,
    /// When its entry vanished.
    pub(crate) gone: Option<Instant>,
    /// Whether another start of it was seen at its address.
    pub(crate) replaced: bool,
    /// This router's own suspicion.
    pub(crate) suspicion: Option<Suspicion>,
    /// When a peer last reported that it suspects the upstream.
    pub(crate) suspected_by_peer: Option<Instant>,
    /// For how long it wants nothing from this VM.
    pub(crate) wait: Option<Wait>,
    /// Since when it is known that its newest known start leaves, as it has said in an answer
    /// ([`crate::leaving`]).
    pub(crate) leaving: Option<Instant>,
    /// When its newest known start was, as a Unix time in milliseconds.
    born_ms: Option<u64>,
    start: StartNumber,
}

/// The starts of an upstream under one name that this router has seen, counted. What is kept of
/// an upstream from one of them says nothing of the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartNumber(u32);

/// How a start that an upstream names compares with the newest that is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrder {
    /// It is that one, or nothing says otherwise.
    Same,
    /// It is a later one: the upstream holds and knows nothing of before.
    Newer,
    /// It is an earlier one: what comes with it is out of date.
    Older,
}

impl UpstreamState {
    pub(crate) fn new(upstream: Upstream) -> Self {
        Self {
            key: UpstreamKey::of(&upstream.name),
            born_ms: upstream.born_ms(),
            start: StartNumber::default(),
            upstream,
            own_load: Load::default(),
            failure_rate: 0.0,
            pace_ms: 0.0,
            unlisted: None,
            gone: None,
            replaced: false,
            suspicion: None,
            suspected_by_peer: None,
            leaving: None,
            wait: None,
        }
    }

    /// When its newest known start was, as a Unix time in milliseconds, if known.
    pub fn born_ms(&self) -> Option<u64> {
        self.born_ms
    }

    /// Its start, as counted by this router.
    pub fn start(&self) -> StartNumber {
        self.start
    }

    /// How a start compares with the newest that is known; `None` where nothing was said of it.
    pub fn compare_start(&self, born_ms: Option<u64>) -> StartOrder {
        match (born_ms, self.born_ms) {
            (Some(named), Some(known)) if named > known => StartOrder::Newer,
            (Some(named), Some(known)) if named < known => StartOrder::Older,
            _ => StartOrder::Same,
        }
    }

    /// Records a start that the upstream named; after a later one, what was observed before
    /// counts no more.
    pub(crate) fn on_start(&mut self, born_ms: Option<u64>) -> StartOrder {
        let order = self.compare_start(born_ms);
        if order == StartOrder::Newer {
            self.forget_former_start();
        }
        if order != StartOrder::Older {
            self.born_ms = born_ms.or(self.born_ms);
        }
        order
    }

    /// Whether an entry says something else than the one that is known.
    pub(crate) fn differs_from(&self, listed: &Upstream) -> bool {
        match self.compare_start(listed.born_ms()) {
            StartOrder::Newer => true,
            StartOrder::Older => false,
            StartOrder::Same => self.with_known_start(listed.clone()) != self.upstream,
        }
    }

    /// Takes a new entry.
    pub(crate) fn set_listed(&mut self, listed: Upstream) {
        self.upstream = self.with_known_start(listed);
        self.gone = None;
        self.unlisted = None;
    }

    /// An entry that says nothing of the start, with what is known of it.
    fn with_known_start(&self, listed: Upstream) -> Upstream {
        Upstream {
            start: listed.start.or_else(|| self.upstream.start.clone()),
            ..listed
        }
    }

    /// Own load stays: it ends with the requests, which are lost and end at once.
    fn forget_former_start(&mut self) {
        self.start = StartNumber(self.start.0.wrapping_add(1));
        self.failure_rate = 0.0;
        self.pace_ms = 0.0;
        self.replaced = false;
        self.suspicion = None;
        self.suspected_by_peer = None;
        self.wait = None;
    }

    /// Whether it is listed, takes new requests and is not suspected by this router.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_listed() && !self.is_suspected() && !self.wants_nothing(now)
    }

    /// Whether it has turned a request of this router away and wants nothing yet.
    pub fn wants_nothing(&self, now: Instant) -> bool {
        self.wait.is_some_and(|wait| wait.binds(now))
    }

    /// Whether it is listed, or known before the list names it, and may still serve.
    pub fn is_listed(&self) -> bool {
        self.gone.is_none() && self.may_still_serve()
    }

    /// Whether the platform's list named it no more at a moment.
    pub fn had_lost_its_entry(&self, at: Instant) -> bool {
        self.gone.is_some_and(|gone| gone <= at)
    }

    /// True unless the upstream leaves or another start took its address; a missing store entry
    /// alone does not count.
    pub fn may_still_serve(&self) -> bool {
        !self.is_leaving() && !self.replaced
    }

    /// Whether it has announced that it leaves, in its entry or in an answer.
    pub fn is_leaving(&self) -> bool {
        self.upstream.draining || self.leaving.is_some()
    }

    /// Whether it has said so recently that it gets what nobody else could serve. Of one whose entry
    /// says that it drains, it is not known how long ago that was said.
    pub(crate) fn is_last_resort(&self, now: Instant) -> bool {
        let is_new = |at| now.saturating_duration_since(at) < LAST_RESORT_FOR;
        let says_so = self.leaving.is_some_and(is_new) && !self.upstream.draining;
        says_so && self.gone.is_none() && !self.replaced
    }

    /// Whether it has been gone for this long. One that the list never named is gone when
    /// another process has its address, or from when it was declared dead.
    pub(crate) fn is_over(&self, now: Instant, kept_for: Duration) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) > kept_for;
        let is_dead = self.suspicion.is_some_and(|s| is_old(s.since));
        self.gone.is_some_and(is_old) || (self.unlisted.is_some() && (self.replaced || is_dead))
    }

    /// Whether its entry vanished so recently that an outage of the store may be the reason.
    pub fn vanished_recently(&self, now: Instant) -> bool {
        self.gone
            .is_some_and(|at| now.saturating_duration_since(at) <= RETURN_WINDOW)
    }

    /// Whether this router suspects it to be dead.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Whether a peer suspects it to be dead.
    pub fn is_suspected_by_peer(&self, now: Instant) -> bool {
        self.suspected_by_peer
            .is_some_and(|at| now.saturating_duration_since(at) <= PEER_SUSPICION_TTL)
    }
}
