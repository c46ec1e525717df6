//! Receives events from the upstream of the current attempt, and ends the attempt.
//!
//! These are methods of [`StreamRelay`], which owns the state. Relies on [`crate::wait`], which ends the wait for
//! an upstream that fails.

use super::{StreamRelay, UpstreamStream};
use crate::connection::describe_error;
use crate::crashes::resolution;
use crate::health::{self, StreamGuard};
use crate::probe;
use crate::send::return_to_pool;
use crate::wait::{AttemptWatches, AwaitedUpstream, wait_while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_router_policy::prelude::*;
use http_body_util::BodyExt;
use std::time::Instant;

/// The most bytes of a stream that are passed on after the request's deadline. What has arrived takes precedence over a
/// deadline that has passed during a pause of this process, but a stream without an end has something ready always.
const MAX_LATE_BYTES: usize = 64 * 1024;

/// The result of a wait for bytes.
pub(super) enum Received {
    /// Bytes arrived and were added to the splitter; they may not complete an event.
    Bytes,
    /// The upstream's response ended after a complete event.
    End,
}

impl StreamRelay {
    /// Takes all complete events out of the splitter, in order, as one chunk. Events that the caller has received
    /// from an earlier attempt are dropped by their ids; an event without an id is never dropped. `None` if no
    /// event is left.
    pub(super) fn take_complete_events(&mut self) -> Option<Bytes> {
        let mut chunk = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                if self.last_event.is_some_and(|last| id <= last) {
                    // The caller has received this event from an earlier attempt.
                    continue;
                }
                self.last_event = Some(id);
            }
            count += 1;
            chunk.extend_from_slice(&event.bytes);
        }
        if chunk.is_empty() {
            return None;
        }
        let now = self.router.now();
        self.observe_first_event(now);
        if self.progress.events == 0 {
            self.on_first_event(now);
        }
        self.progress.on_events(count, now);
        self.on_progress(now);
        self.measure_events(count);
        Some(chunk.freeze())
    }

    /// Updates the state of the current attempt when events have arrived that the caller does not have yet.
    fn on_progress(&mut self, now: Instant) {
        if let Some(since) = self.interrupted_since.take() {
            let pause = now.saturating_duration_since(since);
            self.router.metrics.resume_pause.observe(pause);
        }
        self.settle_attempt();
        let bounds = self.event_gap_bounds();
        if self.current.as_ref().is_some_and(|c| !c.has_events) {
            self.on_first_progress();
        }
        if let Some(current) = &mut self.current {
            current.load.on_prompt_read();
            current.liveness.set_bounds(bounds);
            current.liveness.on_event(now);
            current.last_event_at = now;
            current.has_events = true;
            current.first_event = None;
            current.silence.was_kept.set(false);
        }
    }

    /// Updates what would follow the current attempt, whose first events have arrived: the stream has a software version
    /// now, and does not wait for its turn any more.
    fn on_first_progress(&mut self) {
        let versions = self.context().ok().map(|context| context.versions);
        if let Some(current) = &mut self.current {
            let next = &current.silence.next;
            next.versions.replace(versions);
            next.may_queue.set(false);
            current.stream_guard = Some(StreamGuard::begin(&current.health));
        }
    }

    /// Waits for bytes from the upstream of the current attempt.
    pub(super) async fn receive(&mut self) -> Result<Received, AttemptFailure> {
        let Some(current) = &mut self.current else {
            return Err(AttemptFailure::NoCurrentUpstream);
        };
        let awaited = AwaitedUpstream {
            router: &self.router,
            upstream: &current.upstream,
            health: &current.health,
            deadline: self.request.deadline,
            stop: (!current.has_events).then_some(&self.request.cancel),
            watches: AttemptWatches {
                silence: &current.silence,
                first_event: current.first_event.as_ref(),
            },
        };
        let frame = wait_while_alive(&awaited, &mut current.liveness, current.body.frame()).await?;
        match frame {
            Some(Ok(frame)) => {
                let (name, now) = (&current.upstream.name, self.router.now());
                health::on_own_response(&self.router, name, &current.health, now);
                // A frame without data holds trailers, which are not passed on.
                let data = frame.into_data().unwrap_or_default();
                self.add_to_events(&data, now)?;
                self.check_version()?;
                Ok(Received::Bytes)
            }
            Some(Err(error)) => Err(self.on_stream_broken(&error)),
            None => {
                let ends_with_connection = current.ends_with_connection;
                self.at_end(ends_with_connection)
            }
        }
    }

    /// Adds received bytes to the event splitter, and reserves memory for incomplete events.
    fn add_to_events(&mut self, data: &[u8], now: Instant) -> Result<(), AttemptFailure> {
        if now >= self.request.deadline {
            self.late_bytes += data.len();
        }
        if self.late_bytes > MAX_LATE_BYTES {
            return Err(AttemptFailure::DeadlinePassedSent);
        }
        let pushed = self.splitter.push(data);
        pushed.map_err(|EventError::TooLong| AttemptFailure::EventTooLong)?;
        // A faulty upstream can send endless events to many streams at once.
        if !self.event_reservation.try_resize(self.splitter.memory()) {
            return Err(AttemptFailure::EventTooLong);
        }
        Ok(())
    }

    /// Checks the regular end of a response. Nothing tells a whole response that ends with its connection from one that was
    /// cut, so a stream that ends so before its first event counts as cut.
    fn at_end(&self, ends_with_connection: bool) -> Result<Received, AttemptFailure> {
        if self.splitter.has_partial() {
            return Err(AttemptFailure::EndedInsideEvent);
        }
        let has_no_event = self.progress.events == 0 && self.last_event.is_none();
        if ends_with_connection && has_no_event {
            return Err(AttemptFailure::EndedBeforeEvent);
        }
        Ok(Received::End)
    }

    /// Probes the upstream of a stream that broke, as its process may have ended.
    fn on_stream_broken(&self, error: &hyper::Error) -> AttemptFailure {
        let failure = AttemptFailure::StreamBroken {
            error: describe_error(error),
        };
        let Some(current) = &self.current else {
            return failure;
        };
        let now = self.router.now();
        probe::probe(&self.router, &current.upstream, &current.health, now);
        failure
    }

    /// Ends an attempt whose response was received completely; its connection can be reused.
    pub(super) fn finish_current(&mut self) {
        let Some(current) = self.current.take() else {
            return;
        };
        self.settle_attempt();
        let mut table = self.router.upstreams.borrow_mut();
        table.on_result(&current.upstream.name, false);
        drop(table);
        resolution::on_completed(&self.router, &self.request);
        return_to_pool(&self.router, &current.upstream, current.connection);
    }

    /// Ends an attempt that failed. Dropping its connection cancels the request at the upstream.
    pub(super) fn abandon_current(&mut self, failure: &AttemptFailure) {
        self.splitter = EventSplitter::default();
        // Less memory can always be reserved.
        self.event_reservation.try_resize(0);
        let Some(current) = self.current.take() else {
            return;
        };
        let UpstreamStream {
            upstream,
            replica,
            last_event_at,
            has_events,
            ..
        } = current;
        self.interrupted_since.get_or_insert(last_event_at);
        self.tried.on_failure(&upstream.name, failure);
        // An engine that was left before it began to answer has copied nothing worth resuming from.
        let was_moved_unread = *failure == AttemptFailure::Stalled && !has_events;
        let replica = replica.filter(|_| !was_moved_unread);
        self.replica = replica.map(|(engine, _load)| engine);
    }
}
