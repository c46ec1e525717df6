//! The calls for work that one router at a time does, as an interface.
//!
//! The adapter of a platform implements [`SingletonPlatform`]. An implementation decides nothing: it
//! makes one call and returns the outcome.

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

/// What the store holds of the lease, and what the next holder has to know of the work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Whose lease it is.
    pub tenure: Tenure,
    /// Counts the writes of a holder, so that each of them changes the record.
    pub renewals: u64,
    /// The windows of the usage reports.
    #[serde(default)]
    pub usage: UsageJournal,
    /// The engines that were ordered, by service.
    #[serde(default)]
    pub engines: BTreeMap<ServiceName, EnginePlan>,
}

impl LeaseRecord {
    /// The record of the first holder of all.
    pub fn first(tenure: Tenure) -> Self {
        Self {
            tenure,
            renewals: 1,
            usage: UsageJournal::default(),
            engines: BTreeMap::new(),
        }
    }
}

/// The record as a read found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its version.
    pub version: RecordVersion,
    /// The record; `None` where there is none.
    pub record: Option<LeaseRecord>,
}

/// The result of a write.
#[derive(Debug)]
pub enum RecordWritten {
    /// It was done: the record has this version now.
    Done(RecordVersion),
    /// It was not done: this is the record.
    Conflict(StoredRecord),
    /// It was not done, and the answer does not say how the record is.
    NotDone(SourceError),
    /// It may have been done, or be done later.
    Unknown(SourceError),
}

/// Who makes a call, for the platform's own checks.
#[derive(Clone, Copy, Debug)]
pub struct SignedBy<'a> {
    /// The holder's VM.
    pub holder: &'a str,
    /// Its fencing token.
    pub token: u64,
    /// How long the call may take: it is given up before the lease is over.
    pub timeout: Duration,
}

/// The operator's bounds on the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceScaling {
    /// The service.
    pub service: ServiceName,
    /// The bounds.
    pub bounds: ScalingBounds,
}

/// Where the lease lies, and where the work is done.
pub trait SingletonPlatform {
    /// Reads the lease's record.
    ///
    /// # Errors
    ///
    /// [`SourceError`], as for each call.
    fn read_record(&self) -> impl Future<Output = Result<StoredRecord, SourceError>>;

    /// Writes the record, if it is as the write requires.
    fn write_record(
        &self,
        write: &LeaseWrite,
        record: &LeaseRecord,
    ) -> impl Future<Output = RecordWritten>;

    /// Reports the usage of a window.
    fn report_usage(
        &self,
        by: SignedBy<'_>,
        window: Window,
        counts: &WindowCounts,
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Orders how many engines a data centre holds.
    fn order_engines(
        &self,
        by: SignedBy<'_>,
        service: &ServiceName,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderResult, SourceError>>;

    /// Reads the bounds on the engines of all services that have some.
    fn read_scaling(&self) -> impl Future<Output = Result<Vec<ServiceScaling>, SourceError>>;
}
