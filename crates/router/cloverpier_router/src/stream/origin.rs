//! Records which software version began a stream, once its first event has arrived.
//!
//! These are methods of [`StreamRelay`], which owns the state. [`crate::stream_origins`] sends the record to other routers,
//! from which a router at which the caller resumes the stream gets it.

use super::StreamRelay;
use crate::decision_log::StreamBegan;
use crate::singleton;
use crate::stream_origins::RelayedStreamGuard;
use crate::stream_origins::write::{needs_record, secure_record};
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// The first event of a request, which has not been passed on yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstEvent {
    /// Whether other routers need a record of the version that wrote it.
    needs_record: bool,
}

impl StreamRelay {
    /// Handles the arrival of the first event of this request: meters the request, and determines how the stream began
    /// if the event is also the first one of the stream.
    pub(super) fn on_first_event(&mut self, now: Instant) {
        // Later attempts continue the same request, which is metered once.
        singleton::on_request_started(&self.router, &self.request, now);
        let is_new = self.origin.is_none();
        if is_new {
            self.origin = self.current_origin();
        }
        let record = self.record();
        let needs_record = record
            .as_ref()
            .is_some_and(|record| is_new && needs_record(&self.router, &record.origin));
        self.first_event = Some(FirstEvent { needs_record });
        self.origin_guard =
            record.map(|record| RelayedStreamGuard::begin(&self.router.stream_origins, record));
    }

    /// The record of the stream's origin; `None` before its first event, and for a stream that cannot be named.
    fn record(&self) -> Option<OriginRecord> {
        let (stream, origin) = (self.request.stream.key?, self.origin.clone()?);
        Some(OriginRecord { stream, origin })
    }

    /// The origin of a stream whose first event comes from the current upstream.
    fn current_origin(&self) -> Option<StreamOrigin> {
        let upstream = &self.current.as_ref()?.upstream;
        let table = self.router.upstreams.borrow();
        let state = table.get(&upstream.name);
        let service = &self.request.service.name;
        Some(StreamOrigin::of_first_event(service, upstream, state))
    }

    /// Checks that an attempt of a stream in progress has reached an upstream of the stream's version, before the first
    /// events of the attempt are passed on. The upstream may have restarted since it was chosen.
    pub(super) fn check_version(&self) -> Result<(), AttemptFailure> {
        let current = self.current.as_ref().filter(|c| !c.has_events);
        let (Some(_), Some(current)) = (&self.origin, current) else {
            return Ok(());
        };
        let chosen = &current.upstream;
        let table = self.router.upstreams.borrow();
        if StreamVersion::is_kept(chosen, table.get(&chosen.name)) {
            Ok(())
        } else {
            Err(AttemptFailure::VersionNotConfirmed)
        }
    }

    /// Logs how the stream began, before its first event is passed on. If a record of that is needed, first sends it to the
    /// routers that hold it and waits a moment for them. Does nothing before later events.
    pub(super) async fn before_first_event(&mut self) {
        let Some(first) = self.first_event.take() else {
            return;
        };
        let mut recorded_by = None;
        if first.needs_record {
            recorded_by = self.send_record().await;
        }
        self.log_began(recorded_by);
    }

    async fn send_record(&self) -> Option<usize> {
        let acks = secure_record(&self.router, self.record()?).await;
        let kind = if acks > 0 {
            "recorded"
        } else {
            "unacknowledged"
        };
        self.router.metrics.stream_origins.count(kind);
        Some(acks)
    }

    fn log_began(&self, recorded_by: Option<usize>) {
        let Some(current) = &self.current else {
            return;
        };
        let version = self
            .origin
            .as_ref()
            .and_then(|origin| origin.version.as_ref());
        self.router.log.info(
            "stream.began",
            &StreamBegan {
                request: &self.request.id,
                upstream: current.upstream.name.as_str(),
                version: version.map(StreamVersion::as_str),
                resumes: self.request.stream.resumes.as_deref(),
                recorded_by,
            },
        );
    }
}
