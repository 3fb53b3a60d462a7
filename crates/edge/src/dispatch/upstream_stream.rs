//! Byte stream to an upstream.

use socket2::SockRef;
use std::{
    io,
    pin::Pin,
    task::{ready, Context, Poll, Waker},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes of a request that the kernel takes beyond those that the upstream's window allows. What the
/// upstream does not take stays with the HTTP client, which so knows whether the request was written.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// TCP connection to an upstream, which reports that the upstream has ended its side only after the request
/// was written.
///
/// An answer without a length ends with its connection. If the upstream has not taken the request by then,
/// the connection may still be reset, and what has arrived may be a part of the answer. The HTTP client
/// stops writing once it has read the end, and would not notice.
pub struct UpstreamStream {
    stream: TcpStream,
    /// Whether bytes were written since the last flush, which the HTTP client does when none are left.
    is_writing: bool,
    /// Whether the upstream has ended its side.
    has_ended: bool,
    /// Task that reads, and waits for the end of the request.
    reader: Option<Waker>,
}

impl UpstreamStream {
    /// Stream on which nothing was written yet.
    pub fn new(stream: TcpStream) -> Self {
        // Where the option is missing the kernel takes more, and only the end of larger requests is known.
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self {
            stream,
            is_writing: false,
            has_ended: false,
            reader: None,
        }
    }

    /// Records that no part of a request is left to be written.
    fn request_written(&mut self) {
        self.is_writing = false;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.has_ended {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
            self.has_ended = buffer.filled().len() == before && buffer.remaining() > 0;
        }
        if self.has_ended && self.is_writing {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.request_written();
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
