//! Keeps the records of services' versions in the platform's store ([`super::marks`]).
//!
//! [`RecordKeeper`] owns what this router knows of the stored records. The versions themselves are those of
//! `cloverpier_router_policy::stream_version::history`.

use super::marks::resumable_services;
use crate::router::Router;
use crate::source::{MixedServiceMarks, SourceError, VersionRecord};
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::StreamVersion;
use std::collections::{BTreeSet, HashMap};

/// The task's knowledge of the records in the store.
#[derive(Debug, Default)]
pub(super) struct RecordKeeper {
    /// The stored records as last read or written; `None` before the first read, and after another router's write.
    stored: Option<HashMap<ServiceName, VersionRecord>>,
    /// All versions that this router has known of each service. Those that it has forgotten may leave the record.
    seen: HashMap<ServiceName, BTreeSet<StreamVersion>>,
}

impl RecordKeeper {
    /// Notes the versions that this router knows at present.
    pub fn observe(&mut self, router: &Router) {
        let history = router.version_history.borrow();
        for service in resumable_services(router) {
            let seen = self.seen.entry(service.clone()).or_default();
            seen.extend(history.versions(&service));
        }
    }

    /// Writes the records that have changed, once they have been read.
    ///
    /// # Errors
    ///
    /// [`SourceError`] if a call failed; the next write begins again.
    pub async fn write(
        &mut self,
        router: &Router,
        source: &impl MixedServiceMarks,
    ) -> Result<(), SourceError> {
        if self.stored.is_none() {
            let records = source.read_version_records().await?.into_iter();
            self.stored = Some(records.map(|r| (r.service.clone(), r)).collect());
        }
        for service in resumable_services(router) {
            let Some(record) = self.changed_record(router, &service) else {
                continue;
            };
            match source.write_version_record(&record).await? {
                Some(revision) => {
                    let revision = Some(revision);
                    let stored = self.stored.get_or_insert_default();
                    stored.insert(service, VersionRecord { revision, ..record });
                }
                None => {
                    self.stored = None;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// The record of a service as it should be; `None` if the stored one is so. It keeps versions that this router has
    /// never known, as another router may have recorded them just now.
    fn changed_record(&self, router: &Router, service: &ServiceName) -> Option<VersionRecord> {
        let current = router.version_history.borrow().versions(service);
        let stored = self.stored.as_ref()?.get(service);
        let recorded = stored.map_or_else(BTreeSet::new, |record| record.versions.clone());
        let seen = self.seen.get(service);
        let is_over =
            |v: &StreamVersion| !current.contains(v) && seen.is_some_and(|seen| seen.contains(v));
        let kept = recorded.iter().filter(|version| !is_over(version));
        let versions: BTreeSet<StreamVersion> = kept.chain(&current).cloned().collect();
        let is_changed = versions != recorded && !versions.is_empty();
        is_changed.then(|| VersionRecord {
            service: service.clone(),
            versions,
            revision: stored.and_then(|record| record.revision),
        })
    }
}
