//! The software versions of a service that have been listed, and the consequences for its streams.
//!
//! - **Question.** Can more than one version have begun a stream of a service? May a newly listed version begin streams?
//! - **Inputs.** The versions in each list of upstreams that this router applies; when the store last confirmed that
//!   list; the revisions of the lists that other routers report; the services that the store's marks name as mixed.
//! - **Result.** A [`VersionsReport`]; the versions that begin no streams yet.
//! - **Why.** A router may claim that the only version it knows began a stream only if no other router can have used
//!   another one. Other routers may have newer lists. So the claim holds for a list that the store confirmed within
//!   [`MAX_CONFIRMATION_AGE`], and each router lets a new version begin no streams for [`NEW_VERSION_HOLD`], which is
//!   longer, unless all routers that it knows have reported a list with that version. The claim also needs the past: no
//!   other version may have served within [`STREAM_LIFETIME`]. A router that has just started does not know the past,
//!   and learns it from other routers, or from the store, which keeps a record of the versions of each service. A version that
//!   is in the record counts as listed until recently. A service without a record has had no streams, because its record is
//!   written as soon as its upstreams are listed.
//!
//! [`VersionHistory`] owns the versions of each service with the times at which they were listed.

use super::StreamVersion;
use crate::upstream::Upstream;
use cloverpier_core::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Longer than any stream lasts, with all requests by which its caller resumes it. Routes allow 25 s.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(60);
/// How old the store's confirmation of a list may be for a claim that its service has one version. Watches confirm the list
/// each second; the rest is for outages of the store, during which streams can still be resumed.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(7_500);
/// How long a newly listed version begins no streams: longer than [`MAX_CONFIRMATION_AGE`], by more than a datagram
/// with a claim is under way.
pub const NEW_VERSION_HOLD: Duration = MAX_CONFIRMATION_AGE.saturating_add(Duration::from_secs(1));
/// How long a newly listed version begins no streams even if all routers know it: the time in which the routers that watch
/// the store record it there, with a call that fails and is repeated. If all routers die, that record is what is left.
pub const RECORD_TIME: Duration = Duration::from_secs(1);
/// How long a newly listed version without an order of a roll-out receives no requests. The store's watches return
/// within about 10 ms, and all peers have the order within three heartbeats (0.2 s each by default); the rest is for a
/// call that fails and is repeated.
pub const UNORDERED_HOLD: Duration = Duration::from_secs(2);

/// The number of upstreams of each version in the list, by service.
#[derive(Clone, Debug, Default)]
pub struct VersionCounts(BTreeMap<ServiceName, BTreeMap<StreamVersion, usize>>);

impl VersionCounts {
    /// Counts an upstream.
    pub fn add(&mut self, upstream: &Upstream) {
        let of_service = self.0.entry(upstream.service.clone()).or_default();
        *of_service
            .entry(StreamVersion::in_entry(upstream))
            .or_default() += 1;
    }

    /// Removes an upstream that was counted with this entry.
    pub fn remove(&mut self, upstream: &Upstream) {
        let version = StreamVersion::in_entry(upstream);
        let of_service = self.0.get_mut(&upstream.service);
        let Some(count) = of_service.and_then(|counts| counts.get_mut(&version)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0
                .entry(upstream.service.clone())
                .or_default()
                .remove(&version);
        }
    }
}

/// When a version was first listed, at this router.
#[derive(Clone, Copy, Debug)]
struct FirstListing {
    at: Instant,
    /// The revision of the list that first contained the version.
    revision: u64,
    /// Whether the router knew no version of the service before, so that the version may have been in use for long: in its
    /// first list, or after a time in which the list contained no upstream of the service.
    is_initial: bool,
}

/// When upstreams of one version were listed.
#[derive(Clone, Copy, Debug)]
struct VersionTimes {
    /// `None` for a version that this router's first list contained, unless that list contained others, too.
    first: Option<FirstListing>,
    /// When the version was last seen in the list.
    last: Instant,
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    versions: HashMap<StreamVersion, VersionTimes>,
    /// When this router read a mark in the store, by which upstreams of several versions had served; `None` without one.
    marked_at: Option<Instant>,
}

/// The versions of one service that a router's lists have contained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionsReport {
    /// All upstreams in the list have this version.
    Single {
        /// The only version in the list.
        version: StreamVersion,
        /// How long no other version has been listed, in milliseconds, as far as the router knows. The maximum means
        /// any time.
        single_for_ms: u64,
        /// Milliseconds since the store confirmed the list; `None` if the router does not watch the store.
        confirmed_ms_ago: Option<u64>,
    },
    /// Upstreams of several versions serve, or have served within [`STREAM_LIFETIME`].
    Several,
    /// The list contains no upstream of the service.
    Unlisted,
}

impl VersionsReport {
    /// The version that began every stream of the service, if the report proves that there is only one.
    pub fn proven_version(&self) -> Option<&StreamVersion> {
        let Self::Single {
            version,
            single_for_ms,
            confirmed_ms_ago: Some(confirmed),
        } = self
        else {
            return None;
        };
        let is_recent = Duration::from_millis(*confirmed) <= MAX_CONFIRMATION_AGE;
        let is_settled = Duration::from_millis(*single_for_ms) >= STREAM_LIFETIME;
        (is_recent && is_settled).then_some(version)
    }
}

/// The versions of each service that were listed.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: HashMap<ServiceName, ServiceVersions>,
    /// When this router applied its first list; `None` before.
    first_list_at: Option<Instant>,
    /// Whether the marks for the time before this router's first list have been read.
    knows_past: bool,
}

impl VersionHistory {
    /// Records the versions in the list. `revision` is that of the list. Called for each list that is applied, and
    /// periodically; returns whether a service has a version that it did not have before.
    pub fn on_listed(&mut self, listed: &VersionCounts, revision: u64, now: Instant) -> bool {
        let is_first = self.first_list_at.is_none();
        self.first_list_at.get_or_insert(now);
        let mut has_new = false;
        for (service, versions) in &listed.0 {
            let known = self.services.entry(service.clone()).or_default();
            let had_none = known.versions.is_empty();
            // If the first list has several versions, any of them but one may be new.
            let established = is_first.then(|| most_listed(versions)).flatten();
            for version in versions.keys() {
                let is_new = !known.versions.contains_key(version);
                let is_established = established == Some(version);
                let first = (!is_established).then_some(FirstListing {
                    at: now,
                    revision,
                    is_initial: had_none,
                });
                let times = known.versions.entry(version.clone());
                times.or_insert(VersionTimes { first, last: now }).last = now;
                has_new |= is_new;
            }
        }
        self.forget_old(now);
        has_new
    }

    /// Records the services that the store's marks name. Called once, after this router's start.
    pub fn on_marks_read(&mut self, marked: &[ServiceName], now: Instant) {
        for service in marked {
            let known = self.services.entry(service.clone()).or_default();
            known.marked_at = Some(now);
        }
        self.knows_past = true;
    }

    /// Records the versions of a service by the store's record, as if they were listed now: until recently they may have
    /// been, before this router's first list.
    pub fn on_versions_recorded(
        &mut self,
        service: &ServiceName,
        versions: impl IntoIterator<Item = StreamVersion>,
        now: Instant,
    ) {
        let known = self.services.entry(service.clone()).or_default();
        for version in versions {
            let unlisted = VersionTimes {
                first: None,
                last: now,
            };
            known.versions.entry(version).or_insert(unlisted);
        }
    }

    /// The versions of a service that are listed, or were within [`STREAM_LIFETIME`].
    pub fn versions(&self, service: &ServiceName) -> BTreeSet<StreamVersion> {
        let known = self.services.get(service);
        let versions = known.into_iter().flat_map(|known| known.versions.keys());
        versions.cloned().collect()
    }

    /// Whether the store's marks have been read.
    pub fn knows_past(&self) -> bool {
        self.knows_past
    }

    /// The report on the versions of a service. `confirmed_at` is when the store confirmed the list in force; `None` if it never
    /// did, or if that does not count any more ([`super::in_step`]).
    pub fn report(
        &self,
        service: &ServiceName,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) -> VersionsReport {
        let Some(known) = self.services.get(service) else {
            return VersionsReport::Unlisted;
        };
        let mut versions = known.versions.keys();
        match (versions.next(), versions.next()) {
            _ if known.marked_at.is_some() => VersionsReport::Several,
            (None, _) => VersionsReport::Unlisted,
            (Some(_), Some(_)) => VersionsReport::Several,
            (Some(version), None) => VersionsReport::Single {
                version: version.clone(),
                single_for_ms: self.covered_for(now).map_or(u64::MAX, ms),
                confirmed_ms_ago: confirmed_at.map(|at| ms(now.saturating_duration_since(at))),
            },
        }
    }

    /// The services that have, or have had within [`STREAM_LIFETIME`], upstreams of several versions.
    pub fn mixed_services(&self) -> impl Iterator<Item = &ServiceName> {
        let is_mixed =
            |known: &ServiceVersions| known.marked_at.is_some() || known.versions.len() > 1;
        let mixed = self
            .services
            .iter()
            .filter(move |(_, known)| is_mixed(known));
        mixed.map(|(service, _)| service)
    }

    /// Whether a service has, or has had within [`STREAM_LIFETIME`], upstreams of several versions.
    pub fn is_mixed(&self, service: &ServiceName) -> bool {
        self.mixed_services().any(|mixed| mixed == service)
    }

    /// The versions of a service that should begin no streams yet. `lowest_peer_revision` is the lowest revision among
    /// the lists that all other routers have reported; `None` if some have reported none.
    pub fn held_for_streams(
        &self,
        service: &ServiceName,
        lowest_peer_revision: Option<u64>,
        now: Instant,
    ) -> Vec<StreamVersion> {
        let is_held = |first: &FirstListing| {
            let is_recent = now.saturating_duration_since(first.at) < NEW_VERSION_HOLD;
            let is_known_to_all = lowest_peer_revision.is_some_and(|r| r >= first.revision);
            let is_recorded = now.saturating_duration_since(first.at) >= RECORD_TIME;
            is_recent && !(is_known_to_all && is_recorded)
        };
        self.first_listings(service)
            .filter(|(_, first)| is_held(first))
            .map(|(version, _)| version.clone())
            .collect()
    }

    /// The versions of a service that were first listed within [`UNORDERED_HOLD`], after others.
    pub fn newly_listed(&self, service: &ServiceName, now: Instant) -> Vec<SoftwareVersion> {
        let is_new = |first: &FirstListing| {
            let is_recent = now.saturating_duration_since(first.at) < UNORDERED_HOLD;
            is_recent && !first.is_initial
        };
        self.first_listings(service)
            .filter(|(_, first)| is_new(first))
            .filter_map(|(version, _)| version.name().cloned())
            .collect()
    }

    fn first_listings(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&StreamVersion, FirstListing)> {
        let known = self.services.get(service).into_iter();
        let versions = known.flat_map(|known| &known.versions);
        versions.filter_map(|(version, times)| Some((version, times.first?)))
    }

    /// The time before `now` for which this router has all versions that were listed; `None` for any time.
    fn covered_for(&self, now: Instant) -> Option<Duration> {
        if self.knows_past {
            return None;
        }
        let first = self.first_list_at?;
        Some(now.saturating_duration_since(first))
    }

    /// Forgets versions and marks once no stream that they began can last any more.
    fn forget_old(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STREAM_LIFETIME;
        for known in self.services.values_mut() {
            known.versions.retain(|_, times| is_recent(times.last));
            known.marked_at = known.marked_at.filter(|at| is_recent(*at));
        }
    }
}

/// The version with the most upstreams; of several such versions, any one that is the same at all routers.
fn most_listed(versions: &BTreeMap<StreamVersion, usize>) -> Option<&StreamVersion> {
    let most = versions.iter().max_by_key(|(_, count)| **count);
    most.map(|(version, _)| version)
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
