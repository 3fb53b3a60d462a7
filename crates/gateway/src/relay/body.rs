//! The body of a relayed answer as a byte stream.

use super::{sse::EventStream, Charged, Settling};
use crate::{
    decide::AttemptOutcome, dispatch::ExchangeError, in_flight::InFlightGuard, refusal::Cause,
};
use bytes::{Buf as _, Bytes};
use carobwheel_core::retry::Failure;
use std::{
    future::Future as _,
    io,
    pin::Pin,
    task::{ready, Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, ReadBuf},
    sync::{mpsc, oneshot},
    time::{interval_at, Instant, Interval},
};

const HEARTBEAT_PERIOD: Duration = Duration::from_secs(10);
const HEARTBEAT: &[u8] = b": heartbeat\n\n";

/// Chunks of an answer as they arrive.
pub type Chunks = mpsc::Receiver<Result<Bytes, ExchangeError>>;

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

/// A stream that goes on from another engine.
pub struct Resumed {
    /// Its chunks, beginning behind the tokens that were relayed.
    pub chunks: Chunks,
    /// Its place.
    pub settling: Settling,
}

/// A stream that broke.
pub struct Broken {
    /// Tokens that the caller has.
    pub relayed_tokens: u64,
    /// How the stream broke.
    pub failure: Failure,
    /// The charge of the request.
    pub charged: Option<Charged>,
}

/// Looks for another engine that continues a broken stream; none if there is none.
pub type Resumer = Box<dyn FnMut(Broken) -> oneshot::Receiver<Option<Resumed>> + Send>;

enum Source {
    Chunks(Chunks),
    Resuming(oneshot::Receiver<Option<Resumed>>, ExchangeError),
    Over,
}

/// The body of a relayed answer.
pub struct RelayBody {
    source: Source,
    current: Bytes,
    framing: Framing,
    events: EventStream,
    received_bytes: u64,
    heartbeat: Interval,
    resumer: Option<Resumer>,
    settling: Settling,
    running: InFlightGuard,
}

impl RelayBody {
    /// A body that relays `chunks` and settles its placement at the end. A stream of events that
    /// breaks is continued by `resumer`, if there is one.
    pub fn new(
        chunks: Chunks,
        framing: Framing,
        settling: Settling,
        running: InFlightGuard,
        resumer: Option<Resumer>,
    ) -> Self {
        Self {
            source: Source::Chunks(chunks),
            current: Bytes::new(),
            framing,
            events: EventStream::default(),
            received_bytes: 0,
            heartbeat: interval_at(Instant::now() + HEARTBEAT_PERIOD, HEARTBEAT_PERIOD),
            resumer,
            settling,
            running,
        }
    }

    fn receive(&mut self, chunk: Bytes) -> io::Result<()> {
        self.settling.byte_arrived();
        self.running.trace().record_first_byte();
        self.received_bytes += chunk.len() as u64;
        if self.framing != Framing::Events {
            self.current = chunk;
            return Ok(());
        }
        match self.events.feed(&chunk) {
            Ok(whole) => {
                self.settling.set_output_tokens(self.events.tokens());
                self.current = whole;
                Ok(())
            }
            Err(_) => {
                self.resumer = None;
                self.end(Some(ExchangeError::Broken(
                    "an event is too long".to_owned(),
                )))
            }
        }
    }

    /// The chunks have ended, by the upstream or by an error.
    fn end(&mut self, broken: Option<ExchangeError>) -> io::Result<()> {
        if self.is_whole() && (broken.is_none() || self.framing == Framing::Events) {
            self.source = Source::Over;
            self.settling.settle(AttemptOutcome::Completed);
            return Ok(());
        }
        let err = broken.unwrap_or_else(|| {
            ExchangeError::Broken("the upstream ended its answer early".to_owned())
        });
        let failure = err.failure();
        let charged = self.settling.take_charge();
        match &mut self.resumer {
            Some(resume) => {
                self.settling.settle(AttemptOutcome::Failed(failure));
                self.events.drop_rest();
                let resuming = resume(Broken {
                    relayed_tokens: self.events.tokens(),
                    failure,
                    charged,
                });
                self.source = Source::Resuming(resuming, err);
                Ok(())
            }
            None => {
                self.settling.put_charge(charged);
                self.settling.settle(AttemptOutcome::Failed(failure));
                self.give_up(&err)
            }
        }
    }

    /// Ends the body so that the caller never takes it for whole: a stream of events gets an error
    /// event, other bodies an I/O error.
    fn give_up(&mut self, err: &ExchangeError) -> io::Result<()> {
        self.source = Source::Over;
        self.running.trace().record_refusal(Cause::UpstreamFailed);
        log::warn!(received_bytes = self.received_bytes; "answer cut short: {err}");
        if self.framing == Framing::Events {
            self.current = error_event(&err.to_string());
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            err.to_string(),
        ))
    }

    fn go_on(&mut self, resumed: Option<Resumed>) -> io::Result<()> {
        match resumed {
            Some(Resumed { chunks, settling }) => {
                log::info!(relayed_tokens = self.events.tokens(); "stream continued elsewhere");
                self.source = Source::Chunks(chunks);
                self.settling = settling;
                Ok(())
            }
            None => {
                let err = match std::mem::replace(&mut self.source, Source::Over) {
                    Source::Resuming(_, err) => err,
                    Source::Chunks(_) | Source::Over => ExchangeError::Cancelled,
                };
                self.give_up(&err)
            }
        }
    }

    fn is_whole(&self) -> bool {
        match self.framing {
            Framing::Events => self.events.is_done(),
            Framing::Length(length_bytes) => self.received_bytes == length_bytes,
            Framing::Unknown => true,
        }
    }

    /// Waits for the next bytes, an end, or a stream that continues this one.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.source {
            Source::Chunks(chunks) => match ready!(chunks.poll_recv(cx)) {
                Some(Ok(chunk)) => Poll::Ready(self.receive(chunk)),
                Some(Err(err)) => Poll::Ready(self.end(Some(err))),
                None => Poll::Ready(self.end(None)),
            },
            Source::Resuming(resuming, _) => {
                let resumed = ready!(Pin::new(resuming).poll(cx));
                Poll::Ready(self.go_on(resumed.unwrap_or(None)))
            }
            Source::Over => Poll::Ready(Ok(())),
        }
    }

    // A stream without traffic notices that its caller left only when something is written.
    fn poll_heartbeat(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.framing != Framing::Events {
            return Poll::Pending;
        }
        ready!(self.heartbeat.poll_tick(cx));
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
    Bytes::from(format!("data: {error}\n\n"))
}

impl AsyncRead for RelayBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.current.is_empty() {
            if matches!(this.source, Source::Over) {
                return Poll::Ready(Ok(()));
            }
            match this.poll_source(cx) {
                Poll::Ready(received) => received?,
                Poll::Pending => ready!(this.poll_heartbeat(cx)),
            }
        }
        let length = this.current.len().min(buf.remaining());
        buf.put_slice(&this.current[..length]);
        this.current.advance(length);
        Poll::Ready(Ok(()))
    }
}
