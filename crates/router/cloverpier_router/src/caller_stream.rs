//! A caller's TCP connection whose end is detected as soon as all data before the end has been read.
//!
//! After a read that does not fill the buffer, tokio's `TcpStream` assumes that the socket is empty and waits for the
//! next readiness event of the operating system before it reads again. So it would detect a closed connection only
//! with a later event, and a process that was paused would until then run requests whose callers have left. This
//! type takes the socket for empty only when a read would block.
//!
//! It also ends the count of requests as in flight once their responses are handed to the operating system, which sends
//! them on after this process has exited. Owns the `TcpStream`.

use crate::body::Unsent;
use cloverpier_core::lock;
use cloverpier_net::TcpStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A caller's TCP connection; wraps tokio's stream and differs from it only in how it reads and in what it counts.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    unsent: Unsent,
}

impl CallerStream {
    /// Wraps a connection. `unsent` holds the requests whose responses are not sent yet.
    pub fn new(stream: TcpStream, unsent: Unsent) -> Self {
        Self { stream, unsent }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it holds.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        lock(&self.unsent).clear();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
