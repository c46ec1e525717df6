//! Bodies of replies to callers: whole, or piece by piece.
//!
//! A body that cannot be completed ends with [`AnswerBroken`], on which `hyper` breaks the
//! connection off: a caller must never take a torn answer for a whole one.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::Full;
use hyper::body::Frame;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// An answer could not be completed; its connection is broken off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerBroken;

impl fmt::Display for AnswerBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer could not be completed")
    }
}

impl std::error::Error for AnswerBroken {}

type LocalStream = Pin<Box<dyn Stream<Item = Result<Bytes, AnswerBroken>>>>;

/// The body of a reply.
pub(crate) enum ReplyBody {
    /// All of it is at hand.
    Whole(Full<Bytes>),
    /// It arrives piece by piece.
    Pieces(LocalStream),
}

impl ReplyBody {
    /// A body that is at hand.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// A body that arrives piece by piece.
    pub fn pieces(stream: impl Stream<Item = Result<Bytes, AnswerBroken>> + 'static) -> Self {
        Self::Pieces(Box::pin(stream))
    }
}

impl hyper::body::Body for ReplyBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let frame = Pin::new(body).poll_frame(cx);
                frame.map_err(|never: Infallible| match never {})
            }
            Self::Pieces(stream) => {
                let piece = stream.poll_next_unpin(cx);
                piece.map(|p| p.map(|r| r.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Pieces(_) => hyper::body::SizeHint::default(),
        }
    }
}
