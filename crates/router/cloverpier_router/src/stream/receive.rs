//! Takes events from the present run of a stream, and leaves a run that is lost.
//!
//! Owns nothing of its own: these are the steps of [`StreamRun`] from bytes to whole events.

use super::{Source, StreamRun};
use crate::connection::describe_error;
use crate::crashes::judgement;
use crate::probe;
use crate::send::return_to_pool;
use crate::singleton;
use crate::wait::{Awaited, while_alive};
use bytes::{Bytes, BytesMut};
use cloverpier_router_policy::prelude::*;
use http_body_util::BodyExt;
use std::time::Instant;

/// The result of a wait for bytes.
pub(super) enum Received {
    /// Bytes, now in the splitter.
    Bytes,
    /// The whole answer was received.
    End,
}

impl StreamRun {
    /// All whole events that were received, in order, each once.
    pub(super) fn whole_events(&mut self) -> Option<Bytes> {
        let mut piece = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                if self.last_event.is_some_and(|last| id <= last) {
                    // The caller has it from the run before.
                    continue;
                }
                self.last_event = Some(id);
            }
            count += 1;
            piece.extend_from_slice(&event.bytes);
        }
        if piece.is_empty() {
            return None;
        }
        let now = self.router.now();
        if self.progress.events == 0 {
            // Later runs go on with the same request.
            singleton::on_begun(&self.router, &self.request, now);
        }
        self.progress.on_events(count, now);
        self.on_progress(now);
        self.measure_events(count);
        Some(piece.freeze())
    }

    fn on_progress(&mut self, now: Instant) {
        if let Some(lost) = self.lost_since.take() {
            let pause = now.saturating_duration_since(lost);
            self.router.metrics.resume_pause.observe(pause);
        }
        self.settle();
        let bounds = self.running_bounds();
        if let Some(source) = &mut self.source {
            source.load.on_prompt_read();
            source.liveness.set_bounds(bounds);
            source.liveness.on_event(now);
            source.last_event_at = now;
            source.has_events = true;
        }
    }

    /// Waits for bytes of the present run.
    pub(super) async fn receive(&mut self) -> Result<Received, AttemptFailure> {
        let Some(source) = &mut self.source else {
            return Err(AttemptFailure::NoCurrentUpstream);
        };
        let awaited = Awaited {
            router: &self.router,
            upstream: &source.upstream,
            health: &source.health,
            deadline: self.request.deadline,
            stop: (!source.has_events).then_some(&self.request.cancel),
        };
        let frame = while_alive(&awaited, &mut source.liveness, source.body.frame()).await?;
        match frame {
            Some(Ok(frame)) => {
                source.health.on_own_answer(self.router.now());
                // A frame without data holds trailers, which are not passed on.
                let data = frame.into_data().unwrap_or_default();
                let pushed = self.splitter.push(&data);
                pushed.map_err(|EventError::TooLong| AttemptFailure::EventTooLong)?;
                Ok(Received::Bytes)
            }
            Some(Err(error)) => Err(self.broken_stream(&error)),
            None if self.splitter.has_partial() => Err(AttemptFailure::EndedInsideEvent),
            None => Ok(Received::End),
        }
    }

    fn broken_stream(&self, error: &hyper::Error) -> AttemptFailure {
        let failure = AttemptFailure::StreamBroken {
            error: describe_error(error),
        };
        let Some(source) = &self.source else {
            return failure;
        };
        let now = self.router.now();
        probe::probe(&self.router, &source.upstream, &source.health, now);
        failure
    }

    /// Ends a run whose whole answer was received; its connection is kept.
    pub(super) fn close_completed(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        self.settle();
        let mut table = self.router.upstreams.borrow_mut();
        table.on_result(&source.upstream.name, false);
        drop(table);
        judgement::on_completed(&self.router, &self.request);
        return_to_pool(&self.router, &source.upstream, source.connection);
    }

    /// Ends a lost run: dropping its connection cancels it at the upstream.
    pub(super) fn leave_source(&mut self) {
        self.splitter = EventSplitter::default();
        let Some(source) = self.source.take() else {
            return;
        };
        let Source {
            upstream,
            replica,
            last_event_at,
            ..
        } = source;
        self.lost_since.get_or_insert(last_event_at);
        self.tried.push(upstream.name);
        self.replica = replica.map(|(engine, _load)| engine);
    }
}
