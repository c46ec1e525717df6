//! Upstreams as the platform's list describes them, and the state that a router keeps per upstream.
//!
//! [`Upstream`] and [`UpstreamChange`] are sent between routers, so the order of their fields and
//! the outer names of fields and variants are part of the wire format. [`UpstreamState`] is local to
//! a router and is changed only through [`crate::upstream_table::UpstreamTable`]. How long recorded
//! suspicions and removed entries count is defined in [`crate::suspicion`].
//!
//! An upstream may restart under the same name. Each of its processes is an *incarnation* of the
//! upstream; the start time orders incarnations.

use crate::brittle::Brittleness;
use crate::leaving::LAST_RESORT_PERIOD;
use crate::load::Load;
use crate::pace::Pace;
use crate::silence::{UNRESPONSIVE_AFTER, UNRESPONSIVE_FOR};
use crate::suspicion::{PEER_SUSPICION_TTL, RELIST_WINDOW, Suspicion};
use crate::unlisted::NotYetListed;
use cloverpier_core::{
    DataCentre, ServiceName, SoftwareVersion, UpstreamName, WaitPeriod, hash_of,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An upstream's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifies the upstream. Where entries have no start time, each restarted process has a new
    /// name; otherwise a restarted process may keep its name.
    pub name: UpstreamName,
    /// The service whose requests the upstream serves.
    pub service: ServiceName,
    /// The address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// The zone in which the upstream runs.
    pub data_centre: DataCentre,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the entry announces that the upstream is about to leave, so that it gets no new
    /// requests.
    pub draining: bool,
    /// Software version and start time of the current process. `None` if the entry was received
    /// from a router of an older release, which does not forward them. `None` is not serialized:
    /// the older release does not expect the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<UpstreamStart>,
}

/// Software version and start time of an upstream's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStart {
    /// The software version that the process runs.
    pub version: SoftwareVersion,
    /// Unix time in milliseconds at which the process started; `None` if the upstream does not
    /// report a start time.
    #[serde(rename = "born_ms")]
    pub start_time_ms: Option<u64>,
}

impl UpstreamStart {
    /// The assumed version and start time of the process that replaced `predecessor` at its
    /// address: the predecessor's version until the successor's own entry arrives, and an unknown
    /// start time. `None` if the predecessor's version is unknown.
    pub fn of_successor(predecessor: &Upstream) -> Option<Self> {
        let version = predecessor.version()?.clone();
        Some(Self {
            version,
            start_time_ms: None,
        })
    }
}

impl Upstream {
    /// The software version of the upstream; `None` if the entry does not contain it.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        self.start.as_ref().map(|start| &start.version)
    }

    /// Unix time in milliseconds at which the listed process started; `None` if the entry does not
    /// contain it.
    pub fn start_time_ms(&self) -> Option<u64> {
        self.start.as_ref()?.start_time_ms
    }

    /// Returns the entry in the form that routers of a release without [`UpstreamStart`] can read.
    #[must_use]
    pub fn without_start(self) -> Self {
        Self {
            start: None,
            ..self
        }
    }
}

/// Eight-byte hash of an upstream's name, which identifies the upstream in messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(pub u64);

impl UpstreamKey {
    /// Hashes an upstream's name.
    pub fn of(name: &UpstreamName) -> Self {
        Self(hash_of(name.as_str()))
    }
}

/// A change to the platform's list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// An entry was added or changed.
    Listed(Upstream),
    /// The entry of the upstream with this name was removed.
    Gone(UpstreamName),
}

impl UpstreamChange {
    /// The name of the upstream.
    pub fn name(&self) -> &UpstreamName {
        match self {
            Self::Listed(upstream) => &upstream.name,
            Self::Gone(name) => name,
        }
    }

    /// The added or changed entry; `None` for a removal.
    pub fn listed(&self) -> Option<&Upstream> {
        match self {
            Self::Listed(upstream) => Some(upstream),
            Self::Gone(_) => None,
        }
    }
}

/// How an upstream stands with the platform's list and its own announcements, as logged with a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listing {
    /// It is listed, or expected to be, and has not announced that it leaves.
    Listed,
    /// Its entry was removed without an announcement.
    Vanished,
    /// It has announced that it leaves, in its entry or in a response.
    Leaving,
}

/// The state that a router keeps for one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// The most recent entry.
    pub upstream: Upstream,
    /// The hash of the upstream's name.
    pub key: UpstreamKey,
    /// Load that this router's requests put on the upstream.
    pub own_load: Load,
    /// Exponentially smoothed fraction of this router's requests to the upstream that failed, 0 to 1.
    pub failure_rate: f64,
    /// Exponentially smoothed duration of plain (non-streaming) requests to the upstream, in
    /// milliseconds; 0 before the first sample.
    pub latency_ms: f64,
    /// How long work takes at the upstream, as it and peers have stated.
    pub known_pace: Pace,
    /// `Some` until the platform's list contains an upstream that was added as a successor
    /// ([`crate::successor`]).
    pub(crate) not_yet_listed: Option<NotYetListed>,
    /// When this router learned that the upstream's entry was removed from the platform's list; `None` while it is
    /// listed.
    pub(crate) delisted_at: Option<Instant>,
    /// Whether the entry may have expired in an outage of the store, so that the upstream may be listed again.
    may_be_relisted: bool,
    /// Whether the entry says that the upstream serves, after it had said that the upstream leaves or was removed, and the
    /// upstream has not confirmed that. A write of before may have been carried out late.
    pub(crate) is_return_unconfirmed: bool,
    /// Whether another process was observed or listed at the upstream's address.
    pub(crate) replaced: bool,
    /// Set while this router suspects that the upstream is dead.
    pub(crate) suspicion: Option<Suspicion>,
    /// When the first probe was sent that nothing from the upstream has followed; `None` without one.
    pub(crate) unanswered_since: Option<Instant>,
    /// When a peer last reported that it suspects the upstream.
    pub(crate) peer_suspected_at: Option<Instant>,
    /// The latest period during which the upstream accepts no requests from this VM, from
    /// `Retry-After` in a response.
    pub(crate) wait: Option<WaitPeriod>,
    /// Whether the upstream crashes if it has to refuse too many requests, and its last refusal.
    pub brittleness: Brittleness,
    /// Since when the upstream's newest known incarnation is known to be leaving, as announced in a
    /// response ([`crate::leaving`]).
    pub(crate) leaving: Option<Instant>,
    /// Whether the entry describes the newest known incarnation, and has named only one software version for it.
    is_version_confirmed: bool,
    /// Start time of the newest known incarnation, as a Unix time in milliseconds.
    start_time_ms: Option<u64>,
    incarnation: IncarnationNumber,
}

/// Counts the incarnations of an upstream that this router has observed under one name, from 0.
///
/// Data that was recorded for one incarnation does not apply to the next. The number is local to a
/// router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IncarnationNumber(u32);

/// How a start time that was reported for an upstream compares with the newest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrder {
    /// The start times are equal, or one of them is unknown.
    Same,
    /// The upstream has restarted: the new process has no connections, requests or cache contents
    /// of the old one.
    Newer,
    /// The report is from an earlier incarnation and is out of date.
    Older,
}

impl UpstreamState {
    pub(crate) fn new(upstream: Upstream) -> Self {
        Self {
            key: UpstreamKey::of(&upstream.name),
            start_time_ms: upstream.start_time_ms(),
            incarnation: IncarnationNumber::default(),
            upstream,
            own_load: Load::default(),
            failure_rate: 0.0,
            latency_ms: 0.0,
            known_pace: Pace::default(),
            not_yet_listed: None,
            is_version_confirmed: true,
            delisted_at: None,
            may_be_relisted: false,
            is_return_unconfirmed: false,
            replaced: false,
            suspicion: None,
            unanswered_since: None,
            peer_suspected_at: None,
            leaving: None,
            wait: None,
            brittleness: Brittleness::default(),
        }
    }

    /// Start time of the upstream's newest known incarnation, as a Unix time in milliseconds; `None`
    /// if the upstream has not reported a start time.
    pub fn start_time_ms(&self) -> Option<u64> {
        self.start_time_ms
    }

    /// How long work takes at the upstream, relative to the usual time of its service: 1 where nothing is known.
    pub fn pace(&self, now: Instant) -> f64 {
        self.known_pace.factor(now)
    }

    /// The number of the upstream's newest known incarnation.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.incarnation
    }

    /// Compares a reported start time with the newest known one; `None` stands for a report without
    /// a start time.
    pub fn compare_start(&self, start_time_ms: Option<u64>) -> StartOrder {
        match (start_time_ms, self.start_time_ms) {
            (Some(reported), Some(known)) if reported > known => StartOrder::Newer,
            (Some(reported), Some(known)) if reported < known => StartOrder::Older,
            _ => StartOrder::Same,
        }
    }

    /// Records a start time that the upstream reported. If it belongs to a newer incarnation, resets
    /// the observations of the previous one.
    pub(crate) fn on_start(&mut self, start_time_ms: Option<u64>) -> StartOrder {
        let order = self.compare_start(start_time_ms);
        if order == StartOrder::Newer {
            self.reset_for_new_incarnation();
        }
        if order != StartOrder::Older {
            self.start_time_ms = start_time_ms.or(self.start_time_ms);
        }
        order
    }

    /// Whether applying an entry would change the known one. An entry of an older incarnation is
    /// ignored.
    pub(crate) fn has_new_entry(&self, listed: &Upstream) -> bool {
        match self.compare_start(listed.start_time_ms()) {
            StartOrder::Newer => true,
            StartOrder::Older => false,
            StartOrder::Same => self.with_known_start(listed.clone()) != self.upstream,
        }
    }

    /// Replaces the entry and marks the upstream as listed.
    ///
    /// A process does not change its software. If its entry names another version than before, another writer has
    /// changed the entry, and neither version is confirmed.
    pub(crate) fn set_entry(&mut self, listed: Upstream) {
        let listed = self.with_known_start(listed);
        let is_of_later_start = listed.start_time_ms() > self.upstream.start_time_ms();
        let is_first_entry = is_of_later_start || self.not_yet_listed.is_some();
        let is_same_version = listed.version() == self.upstream.version();
        self.is_return_unconfirmed |= !is_first_entry && !listed.draining && self.has_departed();
        self.is_version_confirmed =
            is_first_entry || (self.is_version_confirmed && is_same_version);
        self.upstream = listed;
        self.delisted_at = None;
        self.not_yet_listed = None;
    }

    /// Whether the entry has said that the upstream leaves, or was removed though the store was reachable.
    fn has_departed(&self) -> bool {
        let was_removed = self.delisted_at.is_some() && !self.may_be_relisted;
        self.upstream.draining || was_removed
    }

    /// Marks the upstream as no longer listed. `may_have_expired` is whether an outage of the store may be the reason.
    pub(crate) fn on_removed(&mut self, may_have_expired: bool, now: Instant) {
        if self.delisted_at.is_none() {
            self.delisted_at = Some(now);
            self.may_be_relisted = may_have_expired;
        }
    }

    /// Whether the platform's list determines the software version of the newest known incarnation. False for an upstream
    /// that is not listed yet, of which the version is assumed ([`crate::successor`]), and for one that has restarted
    /// since its entry was written.
    pub fn is_version_confirmed(&self) -> bool {
        self.is_version_confirmed && self.not_yet_listed.is_none()
    }

    /// Whether the entry of the newest known incarnation has named two software versions.
    pub fn has_two_versions(&self) -> bool {
        let is_of_newest = self.start_time_ms == self.upstream.start_time_ms();
        !self.is_version_confirmed && is_of_newest
    }

    /// Fills in the known version and start time if the entry contains none.
    fn with_known_start(&self, listed: Upstream) -> Upstream {
        Upstream {
            start: listed.start.or_else(|| self.upstream.start.clone()),
            ..listed
        }
    }

    /// Resets what was observed of the previous incarnation. Own load is kept: the requests that
    /// make it up are lost with the old process, and each removes its load when it ends.
    fn reset_for_new_incarnation(&mut self) {
        self.incarnation = IncarnationNumber(self.incarnation.0.wrapping_add(1));
        self.is_version_confirmed = false;
        self.failure_rate = 0.0;
        self.latency_ms = 0.0;
        self.known_pace = Pace::default();
        self.replaced = false;
        self.is_return_unconfirmed = false;
        self.suspicion = None;
        self.unanswered_since = None;
        self.peer_suspected_at = None;
        self.wait = None;
    }

    /// Whether new requests may be sent to the upstream: it is listed, neither leaving nor replaced,
    /// not suspected by this router, and not in a wait period.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_listed() && !self.is_suspected() && !self.in_wait_period(now)
    }

    /// Whether the upstream has rejected a request of this VM with a `Retry-After` period that has
    /// not ended yet.
    pub fn in_wait_period(&self, now: Instant) -> bool {
        self.wait.is_some_and(|wait| wait.is_active(now))
    }

    /// Whether the upstream may serve requests and its entry was not removed. A successor counts as
    /// listed before its entry arrives.
    pub fn is_listed(&self) -> bool {
        self.delisted_at.is_none() && self.may_still_serve()
    }

    /// Whether any request may be sent to the upstream at `now`, be it as a last resort: the upstream neither leaves nor is
    /// gone, its entry may have expired in an outage of the store, or it announced a moment ago that it leaves.
    pub fn may_get_requests(&self, now: Instant) -> bool {
        let may_be_back = self.may_still_serve() && self.has_expired_recently(now);
        self.is_listed() || may_be_back || self.is_last_resort(now)
    }

    /// How the upstream stands with the platform's list and its own announcements.
    pub fn listing(&self) -> Listing {
        if self.is_leaving() {
            return Listing::Leaving;
        }
        match self.delisted_at {
            Some(_) => Listing::Vanished,
            None => Listing::Listed,
        }
    }

    /// Whether the upstream's entry had already been removed from the platform's list at `at`.
    pub fn was_delisted_at(&self, at: Instant) -> bool {
        self.delisted_at.is_some_and(|removed| removed <= at)
    }

    /// False if the upstream is leaving, its entry alone says that it has returned, or another process has its address. A
    /// missing entry alone does not count, as an outage of the platform's store can cause it.
    pub fn may_still_serve(&self) -> bool {
        !self.is_leaving() && !self.is_return_unconfirmed && !self.replaced
    }

    /// Whether the upstream has announced that it leaves, in its entry or in a response.
    pub fn is_leaving(&self) -> bool {
        self.upstream.draining || self.leaving.is_some()
    }

    /// Whether the upstream announced within [`LAST_RESORT_PERIOD`] that it leaves, so that it still
    /// gets requests that no other upstream can serve. An entry that says `draining` does not
    /// contain the time of the announcement, so it disqualifies the upstream.
    pub(crate) fn is_last_resort(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < LAST_RESORT_PERIOD;
        let announced = self.leaving.is_some_and(is_recent) && !self.upstream.draining;
        let may_serve = !self.is_return_unconfirmed && !self.replaced;
        announced && self.delisted_at.is_none() && may_serve
    }

    /// Whether the state can be dropped: the entry was removed more than `retention` ago. An
    /// upstream that was never listed can be dropped once it is replaced, or `retention` after it
    /// was declared dead.
    pub(crate) fn can_be_forgotten(&self, now: Instant, retention: Duration) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) > retention;
        let is_dead = self.suspicion.is_some_and(|s| is_old(s.since));
        self.delisted_at.is_some_and(is_old)
            || (self.not_yet_listed.is_some() && (self.replaced || is_dead))
    }

    /// Whether the upstream's entry expired in an outage of the platform's store, so recently that a running upstream
    /// may register again.
    pub fn has_expired_recently(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) <= RELIST_WINDOW;
        self.may_be_relisted && self.delisted_at.is_some_and(is_recent)
    }

    /// Whether another process was observed or listed at the upstream's address.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Whether this router suspects that the upstream is dead.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Whether nothing has arrived from the upstream since a probe was sent to it a while ago. That says nothing any more
    /// after [`UNRESPONSIVE_FOR`].
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.unanswered_since.is_some_and(|at| {
            let unanswered = now.saturating_duration_since(at);
            (UNRESPONSIVE_AFTER..UNRESPONSIVE_FOR).contains(&unanswered)
        })
    }

    /// How long this router has suspected that the upstream is dead; `None` if it does not.
    pub fn suspected_for(&self, now: Instant) -> Option<Duration> {
        let suspicion = self.suspicion.as_ref()?;
        Some(now.saturating_duration_since(suspicion.since))
    }

    /// Whether a peer reported within [`PEER_SUSPICION_TTL`] that it suspects the upstream.
    pub fn is_suspected_by_peer(&self, now: Instant) -> bool {
        self.peer_suspected_at
            .is_some_and(|at| now.saturating_duration_since(at) <= PEER_SUSPICION_TTL)
    }
}
