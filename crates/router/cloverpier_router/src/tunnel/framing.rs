//! The framing of the bytes that a peer passes on from an upstream.
//!
//! Some responses end with the end of their connection. If the bytes were passed on as they are, the death of the
//! peer would end the connection as well, and a truncated response would seem complete. So the peer sends frames, each
//! with its length, and an empty frame where the upstream closed its connection regularly. Bytes to the upstream are
//! not framed: there, any end only cancels.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Number of bytes in the header of a frame, which holds the number of bytes that follow, most significant first.
const HEADER_BYTES: usize = 4;
/// Maximum number of bytes in a frame that this release sends. Receivers accept longer ones.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Passes all bytes of `from` on to `to` in frames, and ends with an empty frame. Calls `on_bytes` when bytes have arrived.
///
/// # Errors
///
/// The error of either side; the empty frame is not sent then.
pub(super) async fn send_frames(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    on_bytes: impl Fn(),
) -> io::Result<()> {
    let mut buf = vec![0; HEADER_BYTES + MAX_FRAME_BYTES];
    loop {
        let count = from.read(&mut buf[HEADER_BYTES..]).await?;
        on_bytes();
        // The buffer is far shorter than the largest number that the header can hold.
        let header = (count as u32).to_be_bytes();
        buf[..HEADER_BYTES].copy_from_slice(&header);
        to.write_all(&buf[..HEADER_BYTES + count]).await?;
        to.flush().await?;
        if count == 0 {
            return Ok(());
        }
    }
}

/// The position in the sequence of frames.
#[derive(Clone, Copy, Debug)]
enum Position {
    /// In a header, of which this many bytes have been read.
    Header([u8; HEADER_BYTES], usize),
    /// In a frame, of which this many bytes are to be read.
    Frame(usize),
    /// After the empty frame.
    End,
}

/// A byte stream that reads frames and writes bytes as they are.
#[derive(Debug)]
pub(super) struct FramedStream<S> {
    stream: S,
    position: Position,
}

impl<S> FramedStream<S> {
    /// Wraps a stream at the beginning of its first frame.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            position: Position::Header([0; HEADER_BYTES], 0),
        }
    }
}

/// The error of a tunnel that ended without an empty frame.
fn broken_tunnel() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the tunnel broke")
}

impl<S: AsyncRead + Unpin> FramedStream<S> {
    /// Reads more of a header, and moves on once it is complete.
    fn poll_header(
        &mut self,
        cx: &mut Context<'_>,
        mut header: [u8; HEADER_BYTES],
        filled: usize,
    ) -> Poll<io::Result<()>> {
        let mut rest = ReadBuf::new(&mut header[filled..]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut rest))?;
        let count = rest.filled().len();
        if count == 0 {
            return Poll::Ready(Err(broken_tunnel()));
        }
        let filled = filled + count;
        self.position = match (filled, u32::from_be_bytes(header)) {
            (HEADER_BYTES, 0) => Position::End,
            (HEADER_BYTES, length) => Position::Frame(length as usize),
            _ => Position::Header(header, filled),
        };
        Poll::Ready(Ok(()))
    }

    /// Reads bytes of a frame into `buf`.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        left: usize,
    ) -> Poll<io::Result<()>> {
        let most = left.min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        if count == 0 && most > 0 {
            return Poll::Ready(Err(broken_tunnel()));
        }
        buf.advance(count);
        self.position = match left - count {
            0 => Position::Header([0; HEADER_BYTES], 0),
            left => Position::Frame(left),
        };
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FramedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.position {
                Position::Header(header, filled) => ready!(self.poll_header(cx, header, filled))?,
                Position::Frame(left) => return self.poll_frame(cx, buf, left),
                Position::End => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FramedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
