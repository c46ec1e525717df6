//! Bodies of the responses that this router sends: buffered or streamed.
//!
//! If a body can't be completed, its stream ends with [`IncompleteResponse`]. `hyper` then closes the connection
//! before the end of the response, so that the caller can't mistake a truncated response for a complete one.

use crate::buffer_reservation::BufferReservation;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use hyper::body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
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

/// The body of a response.
pub(crate) enum ResponseBody {
    /// The whole body is in memory.
    Buffered(BufferedBody),
    /// The body arrives in chunks while it is sent.
    Streamed(ChunkStream),
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
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.rest.is_empty(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.rest.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
