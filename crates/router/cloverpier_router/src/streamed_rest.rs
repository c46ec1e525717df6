//! Forwards the bodies of plain responses that are too long to be buffered.
//!
//! [`StreamedRest`] owns the upstream's connection and the request's load there until the body has ended. Its timeouts
//! replace those of [`crate::wait`], which end only attempts of which the caller has no byte.

use crate::body::IncompleteResponse;
use crate::buffer_reservation::BufferReservation;
use crate::connection::Connection;
use crate::load_guard::LoadGuard;
use bytes::Bytes;
use cloverpier_timers::{Elapsed, Timers};
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use std::time::{Duration, Instant};

/// How long the next part of a long response is awaited at least, also after the request's deadline. An upstream that has
/// the rest ready sends it at once, when the caller has read the part before.
const LATE_FRAME_WAIT: Duration = Duration::from_millis(200);
/// The most bytes of a response that are still forwarded after the request's deadline.
const MAX_LATE_BYTES: u64 = 16 * 1024 * 1024;

/// A response body that does not fit into the buffer: the bytes that are buffered already, and the rest, which is
/// forwarded as it arrives.
///
/// A caller that reads slowly gets the rest also after the request's deadline, as long as the upstream has it ready. A
/// response that stands still then, or has no end in sight, ends there.
pub(crate) struct StreamedRest {
    pub timers: Timers,
    /// The request's deadline.
    pub deadline: Instant,
    /// The first part of the body; `None` once it is forwarded.
    pub buffered: Option<(Bytes, BufferReservation)>,
    /// The rest of the body.
    pub body: Incoming,
    /// The connection that carries the body, open until the body has ended.
    pub _connection: Connection,
    /// The load of the request at its upstream.
    pub _load: LoadGuard,
}

impl StreamedRest {
    /// The body as a stream of its parts.
    pub fn into_stream(
        self,
    ) -> impl futures_util::Stream<Item = Result<Bytes, IncompleteResponse>> {
        unfold(Some(self), |state| async move {
            let mut rest = state?;
            // The reservation ends here, as the caller's connection takes over the buffered bytes.
            if let Some((buffered, _reservation)) = rest.buffered.take() {
                return Some((Ok(buffered), Some(rest)));
            }
            match rest.next_frame().await? {
                Ok(frame) => {
                    // A frame without data contains trailers, which are not forwarded.
                    let bytes = frame.into_data().unwrap_or_default();
                    Some((Ok(bytes), Some(rest)))
                }
                // The response has begun, so the only way to report the failure is to close the caller's connection.
                Err(IncompleteResponse) => Some((Err(IncompleteResponse), None)),
            }
        })
    }

    /// The next part of the body; `None` at its end.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, IncompleteResponse>> {
        let now = self.timers.now();
        let is_late = now >= self.deadline;
        let rest = self.body.size_hint().exact();
        if is_late && rest.is_none_or(|bytes| bytes > MAX_LATE_BYTES) {
            return Some(Err(IncompleteResponse));
        }
        let until = self.deadline.max(now + LATE_FRAME_WAIT);
        match self.timers.timeout_at(until, self.body.frame()).await {
            Ok(frame) => frame.map(|frame| frame.map_err(|_| IncompleteResponse)),
            Err(Elapsed) => Some(Err(IncompleteResponse)),
        }
    }
}
