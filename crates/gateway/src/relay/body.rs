//! The body of a relayed answer as a byte stream.

use super::{Settling, SseScan};
use crate::{decide::Ending, dispatch::ExchangeError, in_flight::Running, refusal::Cause};
use bytes::{Buf as _, Bytes};
use carobwheel_core::retry::Failure;
use std::{
    io,
    pin::Pin,
    task::{ready, Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, ReadBuf},
    sync::mpsc,
    time::{interval_at, Instant, Interval},
};

const HEARTBEAT_PERIOD: Duration = Duration::from_secs(10);
const HEARTBEAT: &[u8] = b": heartbeat\n\n";

/// How the end of an answer is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Server-sent events that end with `data: [DONE]`.
    Events,
    /// A body of this many bytes.
    Length(u64),
    /// A body of unknown length.
    Unknown,
}

/// The body of a relayed answer.
pub struct RelayBody {
    chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
    current: Bytes,
    framing: Framing,
    scan: SseScan,
    received_bytes: u64,
    is_over: bool,
    heartbeat: Interval,
    settling: Settling,
    running: Running,
}

impl RelayBody {
    /// A body that relays `chunks` and settles its placement at the end.
    pub fn new(
        chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
        framing: Framing,
        settling: Settling,
        running: Running,
    ) -> Self {
        Self {
            chunks,
            current: Bytes::new(),
            framing,
            scan: SseScan::default(),
            received_bytes: 0,
            is_over: false,
            heartbeat: interval_at(Instant::now() + HEARTBEAT_PERIOD, HEARTBEAT_PERIOD),
            settling,
            running,
        }
    }

    fn receive(&mut self, chunk: Bytes) {
        self.settling.byte_arrived();
        self.running.trace().byte_arrived();
        self.received_bytes += chunk.len() as u64;
        if self.framing == Framing::Events {
            self.scan.feed(&chunk);
            self.settling.set_output_tokens(self.scan.data_events());
        }
        self.current = chunk;
    }

    /// Ends the body after `broken` or the upstream's own end. A stream of events gets an error
    /// event, other bodies an I/O error, so a caller never takes a cut answer for a whole one.
    fn end(&mut self, broken: Option<ExchangeError>) -> io::Result<()> {
        self.is_over = true;
        if broken.is_none() && self.is_whole() {
            self.settling.settle(Ending::Whole);
            return Ok(());
        }
        let failure = broken
            .as_ref()
            .map_or(Failure::ConnectionLost, ExchangeError::failure);
        self.settling.settle(Ending::Failed(failure));
        self.running.trace().refused(Cause::UpstreamFailed);
        let detail = broken.map_or_else(
            || "the upstream ended its answer early".to_owned(),
            |err| err.to_string(),
        );
        log::warn!(received_bytes = self.received_bytes; "answer cut short: {detail}");
        if self.framing == Framing::Events {
            self.current = error_event(&detail);
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::UnexpectedEof, detail))
    }

    fn is_whole(&self) -> bool {
        match self.framing {
            Framing::Events => self.scan.is_done(),
            Framing::Length(length_bytes) => self.received_bytes == length_bytes,
            Framing::Unknown => true,
        }
    }

    // A stream without traffic notices that its caller left only when something is written.
    fn poll_heartbeat(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.framing != Framing::Events {
            return Poll::Pending;
        }
        ready!(self.heartbeat.poll_tick(cx));
        if self.received_bytes > 0 && !self.scan.is_between_events() {
            // Registers the waker for the next period.
            return self.poll_heartbeat(cx);
        }
        self.current = Bytes::from_static(HEARTBEAT);
        Poll::Ready(())
    }
}

fn error_event(detail: &str) -> Bytes {
    let error = serde_json::json!({
        "error": {
            "message": detail,
            "type": "server_error",
            "param": null,
            "code": "upstream_failed",
        }
    });
    // The blank line ends an event that was cut in its middle.
    Bytes::from(format!("\n\ndata: {error}\n\n"))
}

impl AsyncRead for RelayBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.current.is_empty() {
            if this.is_over {
                return Poll::Ready(Ok(()));
            }
            match this.chunks.poll_recv(cx) {
                Poll::Ready(Some(Ok(chunk))) => this.receive(chunk),
                Poll::Ready(Some(Err(err))) => this.end(Some(err))?,
                Poll::Ready(None) => this.end(None)?,
                Poll::Pending => ready!(this.poll_heartbeat(cx)),
            }
        }
        let length = this.current.len().min(buf.remaining());
        buf.put_slice(&this.current[..length]);
        this.current.advance(length);
        Poll::Ready(Ok(()))
    }
}
