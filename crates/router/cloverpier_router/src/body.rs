//! Bodies of replies to callers: whole, or piece by piece.
//!
//! A body that cannot be completed ends with [`IncompleteResponse`], on which `hyper` breaks the
//! connection off: a caller must never take a torn answer for a whole one.

use crate::buffer_reservation::BufferReservation;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use hyper::body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// An answer could not be completed; its connection is broken off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteResponse;

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer could not be completed")
    }
}

impl std::error::Error for IncompleteResponse {}

type LocalStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteResponse>>>>;

/// A whole body is handed to its connection in pieces of this length, each when the caller has read
/// most of those before.
const PIECE: usize = 16 * 1024;

/// A body that is at hand.
pub(crate) struct WholeBody {
    rest: Bytes,
    /// What it takes of the router's memory, until it is handed to the connection.
    _held: Option<BufferReservation>,
}

impl WholeBody {
    fn next_piece(&mut self) -> Option<Bytes> {
        let length = self.rest.len().min(PIECE);
        (length > 0).then(|| self.rest.split_to(length))
    }
}

/// The body of a reply.
pub(crate) enum ResponseBody {
    /// All of it is at hand.
    Whole(WholeBody),
    /// It arrives piece by piece.
    Pieces(LocalStream),
}

impl ResponseBody {
    /// A body that is at hand.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(WholeBody {
            rest: bytes.into(),
            _held: None,
        })
    }

    /// The same body; one that is at hand counts as held until it is handed to its connection.
    pub fn counted(self, mut held: BufferReservation) -> Self {
        match self {
            Self::Whole(body) if body.rest.len() > PIECE => {
                // It is held already, so it counts whatever others hold.
                held.grow(body.rest.len());
                Self::Whole(WholeBody {
                    _held: Some(held),
                    ..body
                })
            }
            other => other,
        }
    }

    /// A body that arrives piece by piece.
    pub fn pieces(stream: impl Stream<Item = Result<Bytes, IncompleteResponse>> + 'static) -> Self {
        Self::Pieces(Box::pin(stream))
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
            Self::Whole(body) => Poll::Ready(body.next_piece().map(|p| Ok(Frame::data(p)))),
            Self::Pieces(stream) => {
                let piece = stream.poll_next_unpin(cx);
                piece.map(|p| p.map(|r| r.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.rest.is_empty(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.rest.len() as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
