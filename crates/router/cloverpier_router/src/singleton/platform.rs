//! The interface to the platform for singleton work: the calls on the lease's record, and the calls of its holder.
//!
//! The adapter of a platform implements [`SingletonPlatform`]. An implementation decides nothing: each method makes
//! one call and returns the outcome. Owns no state.

use crate::source::SourceError;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::singleton::autoscaling::{
    EngineOrder, EnginePlan, OrderResult, ScalingBounds,
};
use cloverpier_router_policy::singleton::lease::{LeaseWrite, RecordVersion, Tenure};
use cloverpier_router_policy::singleton::metering::{UsageJournal, Window, WindowCounts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

/// The lease's record in the store: the holder, and the state of the work that the next holder takes over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that holds the lease, with its fencing token.
    pub tenure: Tenure,
    /// Number of writes of the record, so that each write changes its content.
    pub renewals: u64,
    /// Counts of the usage windows that are not reported yet. Empty in records without this field.
    #[serde(default)]
    pub usage: UsageJournal,
    /// The numbers of engines that the platform accepted orders for, by service. Empty in records without this field.
    #[serde(default)]
    pub engines: BTreeMap<ServiceName, EnginePlan>,
}

impl LeaseRecord {
    /// The first record of a store, without any usage or ordered engines.
    pub fn initial(tenure: Tenure) -> Self {
        Self {
            tenure,
            renewals: 1,
            usage: UsageJournal::default(),
            engines: BTreeMap::new(),
        }
    }
}

/// The lease's record as the store returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The era of the store, and the store's revision of the record's last change.
    pub version: RecordVersion,
    /// The record's content; `None` if the record does not exist.
    pub record: Option<LeaseRecord>,
}

/// The result of a conditional write of the lease's record.
#[derive(Debug)]
pub enum RecordWriteResult {
    /// The write was applied, and the record has this version now.
    Done(RecordVersion),
    /// The write was not applied, as the record is in this state instead of the required one.
    Conflict(StoredRecord),
    /// The write was not applied, and the response does not contain the record.
    NotDone(SourceError),
    /// No usable response: the write may have been applied, or may still be applied later.
    Unknown(SourceError),
}

/// The identity under which the holder makes a call, sent to the platform for its own checks, and the time limit of
/// the call.
#[derive(Clone, Copy, Debug)]
pub struct HolderCall<'a> {
    /// The name of the holder's VM.
    pub holder: &'a str,
    /// The fencing token of the holder's lease.
    pub token: u64,
    /// The time after which the implementation aborts the call. It ends before the lease expires.
    pub timeout: Duration,
}

/// The operator's bounds on the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceScaling {
    /// The service that the bounds apply to.
    pub service: ServiceName,
    /// The smallest and largest numbers of engines, their start time and their prices.
    pub bounds: ScalingBounds,
}

/// The platform's store, which holds the lease's record, and the platform's API, which takes usage reports and orders
/// of engines.
pub trait SingletonPlatform {
    /// Reads the lease's record.
    ///
    /// # Errors
    ///
    /// [`SourceError`], as for each call of this trait, if the call fails or its response is unusable.
    fn read_record(&self) -> impl Future<Output = Result<StoredRecord, SourceError>>;

    /// Writes the record if the stored one meets the condition of `write`.
    fn write_record(
        &self,
        write: &LeaseWrite,
        record: &LeaseRecord,
    ) -> impl Future<Output = RecordWriteResult>;

    /// Reports the number of requests of each client account that started to run in a window.
    fn report_usage(
        &self,
        call: HolderCall<'_>,
        window: Window,
        counts: &WindowCounts,
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Sets the number of engines of one kind that a data centre should hold for a service.
    fn order_engines(
        &self,
        call: HolderCall<'_>,
        service: &ServiceName,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderResult, SourceError>>;

    /// Reads the bounds on engines of each service that the operator has set bounds for.
    fn read_scaling(&self) -> impl Future<Output = Result<Vec<ServiceScaling>, SourceError>>;
}
