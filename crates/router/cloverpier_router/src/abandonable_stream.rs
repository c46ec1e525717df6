//! A TCP stream that is reset instead of closed when it is dropped after its exchange was abandoned.
//!
//! After a close, the operating system still retransmits the bytes that were written. A request that its router has abandoned,
//! and may have sent to another upstream, must not arrive later; a reset discards the bytes that are still on this host. Bytes
//! that have arrived stay readable. Owns the stream. [`crate::connection`] decides when an exchange is abandoned.

use cloverpier_net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Marks the exchange on a stream as abandoned, so that the stream is reset when it is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Abandonment(Arc<AtomicBool>);

impl Abandonment {
    /// Has the stream be reset instead of closed.
    pub fn mark(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A TCP stream, and whether its exchange was abandoned.
#[derive(Debug)]
pub(crate) struct AbandonableStream {
    stream: TcpStream,
    abandonment: Abandonment,
}

impl AbandonableStream {
    /// Wraps a stream whose exchange has not been abandoned.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            abandonment: Abandonment::default(),
        }
    }

    /// The mark by which the stream is reset when it is dropped.
    pub fn abandonment(&self) -> Abandonment {
        self.abandonment.clone()
    }
}

impl Drop for AbandonableStream {
    fn drop(&mut self) {
        if self.abandonment.0.load(Ordering::Relaxed) {
            // If the option can't be set, the connection is closed, and the written bytes may still arrive.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for AbandonableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AbandonableStream {
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
