//! Callers' streams whose reads and writes are observed.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What happens on a stream.
#[derive(Debug)]
pub enum StreamEvent<'a> {
    /// Bytes were read.
    Read,
    /// A write was polled.
    WritePolled(&'a Poll<io::Result<usize>>),
    /// All bytes handed to the stream were written.
    Flushed,
}

/// Caller's stream whose reads and writes are observed.
pub struct TrackedStream<F> {
    stream: TcpStream,
    observe: F,
}

impl<F: Fn(StreamEvent<'_>)> TrackedStream<F> {
    /// Stream of which `observe` is told what happens.
    pub fn new(stream: TcpStream, observe: F) -> Self {
        Self { stream, observe }
    }
}

impl<F: Fn(StreamEvent<'_>) + Unpin> AsyncRead for TrackedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            (self.observe)(StreamEvent::Read);
        }
        polled
    }
}

impl<F: Fn(StreamEvent<'_>) + Unpin> AsyncWrite for TrackedStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        (self.observe)(StreamEvent::WritePolled(&polled));
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        (self.observe)(StreamEvent::WritePolled(&polled));
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            (self.observe)(StreamEvent::Flushed);
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
