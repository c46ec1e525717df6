//! Bodies of the responses that this router sends: buffered or streamed.
//!
//! If a body can't be completed, its stream ends with [`IncompleteResponse`]. `hyper` then closes the connection
//! before the end of the response, so that the caller can't mistake a truncated response for a complete one.

use crate::buffer_reservation::BufferReservation;
use crate::lifecycle::InFlightGuard;
use bytes::Bytes;
use cloverpier_core::lock;
use futures_util::{Stream, StreamExt};
use hyper::body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

/// The error of a body that could not be completed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteResponse;

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response could not be completed")
    }
}

impl std::error::Error for IncompleteResponse {}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteResponse>>>>;

/// Length in bytes of the chunks in which a buffered body is passed to its connection. The connection takes the
/// next chunk once the caller has read most of the earlier ones.
const CHUNK_BYTES: usize = 16 * 1024;

/// A body that is completely in memory.
pub(crate) struct BufferedBody {
    rest: Bytes,
    /// The reserved buffer memory, until the whole body is passed to the connection; `None` for a body without a
    /// reservation.
    _reservation: Option<BufferReservation>,
}

impl BufferedBody {
    fn next_chunk(&mut self) -> Option<Bytes> {
        let length = self.rest.len().min(CHUNK_BYTES);
        (length > 0).then(|| self.rest.split_to(length))
    }
}

/// The requests whose responses a connection has taken and not handed to the operating system yet. The HTTP library takes
/// only connections that may be sent between threads, though this one stays in its thread.
pub(crate) type Unsent = Arc<Mutex<Vec<InFlightGuard>>>;

/// A body whose request counts as in flight until the connection has sent it.
pub(crate) struct CountedBody {
    body: ResponseBody,
    in_flight: Option<InFlightGuard>,
    /// Where the request counts once the connection has taken the whole body; `None` until the connection is known.
    unsent: Option<Unsent>,
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        if let (Some(unsent), Some(in_flight)) = (&self.unsent, self.in_flight.take()) {
            lock(unsent).push(in_flight);
        }
    }
}

/// The body of a response.
pub(crate) enum ResponseBody {
    /// The whole body is in memory.
    Buffered(BufferedBody),
    /// The body arrives in chunks while it is sent.
    Streamed(ChunkStream),
    /// Either of them, counted.
    Counted(Box<CountedBody>),
}

impl ResponseBody {
    /// Creates a body that is completely in memory, without a reservation.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(BufferedBody {
            rest: bytes.into(),
            _reservation: None,
        })
    }

    /// Reserves buffer memory for a buffered body of more than one chunk, until that body is passed to its
    /// connection. Other bodies stay as they are.
    pub fn with_reservation(self, mut reservation: BufferReservation) -> Self {
        match self {
            Self::Buffered(body) if body.rest.len() > CHUNK_BYTES => {
                // The body is in memory already, so its bytes are reserved even beyond the limit.
                reservation.grow(body.rest.len());
                Self::Buffered(BufferedBody {
                    _reservation: Some(reservation),
                    ..body
                })
            }
            other => other,
        }
    }

    /// Counts a request as in flight until its response is sent.
    pub fn counted(self, in_flight: InFlightGuard) -> Self {
        Self::Counted(Box::new(CountedBody {
            body: self,
            in_flight: Some(in_flight),
            unsent: None,
        }))
    }

    /// Sets the connection by which a counted body is sent.
    pub fn set_unsent(&mut self, unsent: &Unsent) {
        if let Self::Counted(counted) = self {
            counted.unsent = Some(Arc::clone(unsent));
        }
    }

    /// Creates a body from a stream of chunks.
    pub fn streamed(
        stream: impl Stream<Item = Result<Bytes, IncompleteResponse>> + 'static,
    ) -> Self {
        Self::Streamed(Box::pin(stream))
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            Self::Buffered(body) => Poll::Ready(body.next_chunk().map(|c| Ok(Frame::data(c)))),
            Self::Streamed(stream) => {
                let chunk = stream.poll_next_unpin(cx);
                chunk.map(|c| c.map(|r| r.map(Frame::data)))
            }
            Self::Counted(counted) => Pin::new(&mut counted.body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.rest.is_empty(),
            Self::Streamed(_) => false,
            Self::Counted(counted) => counted.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.rest.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
            Self::Counted(counted) => counted.body.size_hint(),
        }
    }
}
