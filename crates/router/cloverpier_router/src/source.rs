//! Where configuration and upstreams come from, as an interface.
//!
//! The adapter of a platform implements [`ConfigurationSource`] and translates the
//! platform's objects at that edge; [`crate::store_sync`] calls it. An implementation decides
//! nothing: it makes one call and returns the outcome.

use cloverpier_core::{ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use snafu::Snafu;
use std::future::Future;
use std::time::Duration;

/// The store gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SourceError {
    /// It does not remember the revision; everything has to be read again.
    #[snafu(display("the store has forgotten the history"))]
    HistoryLost,
    /// It cannot be reached, or turns this router away.
    #[snafu(display("{reason}"))]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// The call was given up before the store began to answer.
    #[snafu(display("given up"))]
    GivenUp,
    /// Its answer cannot be read.
    #[snafu(display("{reason}"))]
    Malformed {
        /// What is wrong, with the field's name.
        reason: String,
    },
}

/// An upstream's entry that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// The entry's name; `None` where it has none that can be read.
    pub name: Option<UpstreamName>,
    /// What is wrong with it.
    pub reason: String,
}

/// All upstreams at a revision.
#[derive(Debug)]
pub struct UpstreamList {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Entries that could not be read.
    pub unreadable: Vec<UnreadableEntry>,
    /// The store's revision.
    pub revision: u64,
}

/// Where a page of the list begins, in the store's own terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PagePosition(pub String);

/// Some upstreams of the list.
#[derive(Debug)]
pub struct UpstreamPage {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Entries that could not be read.
    pub unreadable: Vec<UnreadableEntry>,
    /// The store's revision.
    pub revision: u64,
    /// Where the next page begins; `None` after the last one.
    pub next: Option<PagePosition>,
}

/// A change of an entry, read or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadChange {
    /// The change.
    Readable(UpstreamChange),
    /// The entry is as it cannot be read.
    Unreadable(UnreadableEntry),
}

/// Changes of upstreams up to a revision.
#[derive(Debug)]
pub struct UpstreamChanges {
    /// The changes, in order.
    pub changes: Vec<ReadChange>,
    /// The store's revision.
    pub revision: u64,
}

/// The newest configuration up to a revision.
#[derive(Debug)]
pub struct ConfigurationChange {
    /// The configuration; `None` when there is none, or no new one.
    pub configuration: Option<Configuration>,
    /// The store's revision.
    pub revision: u64,
}

/// What the store says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// It is under way.
    Running,
    /// All requests go to the new version.
    Completed,
    /// None does.
    RolledBack,
}

/// An order as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRollout {
    /// Its name there.
    pub name: String,
    /// Of its last change, its status among them.
    pub revision: u64,
    /// The service.
    pub service: ServiceName,
    /// The order.
    pub order: RolloutOrder,
    /// What was written of this order; `None` before anything was.
    pub status: Option<RolloutStatus>,
}

/// A change of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutChange {
    /// It is new, or changed.
    Stored(StoredRollout),
    /// It was taken back, by its name in the store.
    Gone(String),
    /// It cannot be read: it orders nothing any more.
    Unreadable {
        /// Its name; `None` where it has none that can be read.
        name: Option<String>,
        /// What is wrong with it.
        reason: String,
    },
}

/// Orders, or changes of them, up to a revision.
#[derive(Debug)]
pub struct RolloutChanges {
    /// In order; where all were read, each that is there.
    pub changes: Vec<RolloutChange>,
    /// The store's revision.
    pub revision: u64,
}

/// The result of writing a status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusWritten {
    /// The order as it is now.
    Done(RolloutChange),
    /// The order has changed meanwhile: this is how it is.
    Conflict(RolloutChange),
    /// It was taken back.
    Gone,
}

/// How new a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As new as the store is.
    Newest,
    /// It may be seconds old. Its revision is that of its entries, so a watch from that revision
    /// returns all later changes.
    MayBeOld,
}

/// Where configuration and upstreams come from.
pub trait ConfigurationSource {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// [`SourceError`], as for each call.
    fn read_configuration(&self) -> impl Future<Output = Result<ConfigurationChange, SourceError>>;

    /// Waits up to `wait` for a configuration after a revision, or until `given_up` completes
    /// before the store has begun to answer: an answer on its way is read to its end.
    fn poll_configuration(
        &self,
        revision: u64,
        wait: Duration,
        given_up: impl Future<Output = ()>,
    ) -> impl Future<Output = Result<ConfigurationChange, SourceError>>;

    /// Checks that the store answers, as cheaply as it allows.
    fn ping(&self, timeout: Duration) -> impl Future<Output = Result<(), SourceError>>;

    /// Reads the first page of the list of upstreams, or the one at a position.
    fn read_upstreams(
        &self,
        freshness: Freshness,
        at: Option<&PagePosition>,
    ) -> impl Future<Output = Result<UpstreamPage, SourceError>>;

    /// Waits up to `wait` for changes of upstreams after a revision.
    fn poll_upstreams(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<UpstreamChanges, SourceError>>;

    /// Reads all orders of roll-outs.
    fn read_rollouts(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<RolloutChanges, SourceError>>;

    /// Waits up to `wait` for changes of orders after a revision.
    fn poll_rollouts(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<RolloutChanges, SourceError>>;

    /// Writes the status of an order, if the store holds it as it is known here.
    fn write_rollout_status(
        &self,
        known: &StoredRollout,
        status: RolloutStatus,
    ) -> impl Future<Output = Result<StatusWritten, SourceError>>;
}
