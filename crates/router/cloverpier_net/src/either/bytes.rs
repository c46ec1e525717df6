//! Reading and writing of connections and their halves, passed on to the kind of socket that each is.

use super::{OwnedReadHalf, OwnedWriteHalf, ReadHalf, TcpStream, WriteHalf};
use crate::simulated::Half;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Implements [`AsyncRead`] for an enum by its two variants.
macro_rules! impl_read {
    ($type:ty, $half:expr) => {
        impl AsyncRead for $type {
            fn poll_read(
                self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                buf: &mut ReadBuf<'_>,
            ) -> Poll<io::Result<()>> {
                match self.get_mut() {
                    Self::Runtime(socket) => Pin::new(socket).poll_read(cx, buf),
                    Self::Simulated(socket) => Pin::new($half(socket)).poll_read(cx, buf),
                }
            }
        }
    };
}

/// Implements [`AsyncWrite`] for an enum by its two variants.
macro_rules! impl_write {
    ($type:ty, $half:expr) => {
        impl AsyncWrite for $type {
            fn poll_write(
                self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                buf: &[u8],
            ) -> Poll<io::Result<usize>> {
                match self.get_mut() {
                    Self::Runtime(socket) => Pin::new(socket).poll_write(cx, buf),
                    Self::Simulated(socket) => Pin::new($half(socket)).poll_write(cx, buf),
                }
            }

            fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                match self.get_mut() {
                    Self::Runtime(socket) => Pin::new(socket).poll_flush(cx),
                    Self::Simulated(socket) => Pin::new($half(socket)).poll_flush(cx),
                }
            }

            fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                match self.get_mut() {
                    Self::Runtime(socket) => Pin::new(socket).poll_shutdown(cx),
                    Self::Simulated(socket) => Pin::new($half(socket)).poll_shutdown(cx),
                }
            }

            fn poll_write_vectored(
                self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                buffers: &[io::IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                match self.get_mut() {
                    Self::Runtime(socket) => Pin::new(socket).poll_write_vectored(cx, buffers),
                    Self::Simulated(socket) => {
                        Pin::new($half(socket)).poll_write_vectored(cx, buffers)
                    }
                }
            }

            fn is_write_vectored(&self) -> bool {
                match self {
                    Self::Runtime(socket) => socket.is_write_vectored(),
                    Self::Simulated(_) => false,
                }
            }
        }
    };
}

fn itself(half: &mut Half) -> &mut Half {
    half
}

impl_read!(TcpStream, crate::simulated::Stream::half_mut);
impl_write!(TcpStream, crate::simulated::Stream::half_mut);
impl_read!(ReadHalf<'_>, itself);
impl_write!(WriteHalf<'_>, itself);
impl_read!(OwnedReadHalf, itself);
impl_write!(OwnedWriteHalf, super::SimulatedWriteHalf::half_mut);
