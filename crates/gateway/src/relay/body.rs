//! Body of a relayed answer as a byte stream.

use super::{sse::EventSplitter, ChargeGuard, PlacementGuard};
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

/// Framing of an answer, by which its end is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Server-sent events that end with `data: [DONE]`.
    Events,
    /// A body of this many bytes.
    Length(u64),
    /// A body of unknown length.
    Unknown,
}

/// Continuation of a stream by another engine.
pub struct ResumedStream {
    /// Chunks, beginning after the tokens already relayed.
    pub chunks: Chunks,
    /// Guard of the placement at the other engine.
    pub placement_guard: PlacementGuard,
}

/// State of a stream that broke.
pub struct BrokenStream {
    /// Tokens already relayed to the caller.
    pub relayed_tokens: u64,
    /// Cause of the break.
    pub failure: Failure,
    /// Charge of the request.
    pub charge_guard: Option<ChargeGuard>,
}

/// Function that looks for another engine to continue a broken stream; it sends `None` if there is
/// none.
pub type Resumer = Box<dyn FnMut(BrokenStream) -> oneshot::Receiver<Option<ResumedStream>> + Send>;

enum AnswerSource {
    Chunks(Chunks),
    Resuming(oneshot::Receiver<Option<ResumedStream>>, ExchangeError),
    Ended,
}

/// Body of a relayed answer.
pub struct RelayBody {
    source: AnswerSource,
    unread: Bytes,
    framing: Framing,
    events: EventSplitter,
    received_bytes: u64,
    /// Tokens relayed before the current engine took over.
    tokens_before: u64,
    heartbeat: Interval,
    resumer: Option<Resumer>,
    placement_guard: PlacementGuard,
    running: InFlightGuard,
}

impl RelayBody {
    /// Creates a body that relays `chunks` and settles its placement at the end. `resumer`, if
    /// there is one, continues a stream of events that breaks.
    pub fn new(
        chunks: Chunks,
        framing: Framing,
        placement_guard: PlacementGuard,
        running: InFlightGuard,
        resumer: Option<Resumer>,
    ) -> Self {
        Self {
            source: AnswerSource::Chunks(chunks),
            unread: Bytes::new(),
            framing,
            events: EventSplitter::default(),
            received_bytes: 0,
            tokens_before: 0,
            heartbeat: interval_at(Instant::now() + HEARTBEAT_PERIOD, HEARTBEAT_PERIOD),
            resumer,
            placement_guard,
            running,
        }
    }

    fn receive(&mut self, chunk: Bytes) -> io::Result<()> {
        self.placement_guard.record_first_byte();
        self.running.trace().record_first_byte();
        self.received_bytes += chunk.len() as u64;
        if self.framing != Framing::Events {
            self.placement_guard.record_first_output();
            self.unread = chunk;
            return Ok(());
        }
        match self.events.push(&chunk) {
            Ok(complete) => {
                self.placement_guard.set_output_tokens(self.events.tokens());
                // Comments and events without text also come before an engine writes its answer.
                if self.events.tokens() > self.tokens_before {
                    self.placement_guard.record_first_output();
                }
                self.unread = complete;
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

    /// Handles the end of the chunks; `broken` is the error that ended them, if any.
    fn end(&mut self, broken: Option<ExchangeError>) -> io::Result<()> {
        if self.is_complete() && (broken.is_none() || self.framing == Framing::Events) {
            self.source = AnswerSource::Ended;
            self.placement_guard.settle(AttemptOutcome::Completed);
            return Ok(());
        }
        let err = broken.unwrap_or_else(|| {
            ExchangeError::Broken("the upstream ended its answer early".to_owned())
        });
        let failure = err.failure();
        let charge_guard = self.placement_guard.take_charge();
        match &mut self.resumer {
            Some(resume) => {
                self.placement_guard.settle(AttemptOutcome::Failed(failure));
                self.events.discard_incomplete();
                let resuming = resume(BrokenStream {
                    relayed_tokens: self.events.tokens(),
                    failure,
                    charge_guard,
                });
                self.source = AnswerSource::Resuming(resuming, err);
                Ok(())
            }
            None => {
                self.placement_guard.restore_charge(charge_guard);
                self.placement_guard.settle(AttemptOutcome::Failed(failure));
                self.fail(&err)
            }
        }
    }

    /// Ends the body so that the caller cannot mistake it for complete: a stream of events ends
    /// with an error event, any other body with an I/O error.
    fn fail(&mut self, err: &ExchangeError) -> io::Result<()> {
        self.source = AnswerSource::Ended;
        self.running.trace().record_refusal(Cause::UpstreamFailed);
        log::warn!(received_bytes = self.received_bytes; "answer cut short: {err}");
        if self.framing == Framing::Events {
            self.unread = error_event(&err.to_string());
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            err.to_string(),
        ))
    }

    fn continue_from(&mut self, resumed: Option<ResumedStream>) -> io::Result<()> {
        match resumed {
            Some(ResumedStream {
                chunks,
                placement_guard,
            }) => {
                log::info!(relayed_tokens = self.events.tokens(); "stream continued on another engine");
                self.source = AnswerSource::Chunks(chunks);
                self.placement_guard = placement_guard;
                self.tokens_before = self.events.tokens();
                Ok(())
            }
            None => {
                let err = match std::mem::replace(&mut self.source, AnswerSource::Ended) {
                    AnswerSource::Resuming(_, err) => err,
                    AnswerSource::Chunks(_) | AnswerSource::Ended => ExchangeError::Cancelled,
                };
                self.fail(&err)
            }
        }
    }

    fn is_complete(&self) -> bool {
        match self.framing {
            Framing::Events => self.events.is_done(),
            Framing::Length(length_bytes) => self.received_bytes == length_bytes,
            Framing::Unknown => true,
        }
    }

    /// Polls for the next bytes, the end, or the continuation of a broken stream.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.source {
            AnswerSource::Chunks(chunks) => match ready!(chunks.poll_recv(cx)) {
                Some(Ok(chunk)) => Poll::Ready(self.receive(chunk)),
                Some(Err(err)) => Poll::Ready(self.end(Some(err))),
                None => Poll::Ready(self.end(None)),
            },
            AnswerSource::Resuming(resuming, _) => {
                let resumed = ready!(Pin::new(resuming).poll(cx));
                Poll::Ready(self.continue_from(resumed.unwrap_or(None)))
            }
            AnswerSource::Ended => Poll::Ready(Ok(())),
        }
    }

    // Without periodic writes, a disconnected caller of an idle stream would not be detected.
    fn poll_heartbeat(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.framing != Framing::Events {
            return Poll::Pending;
        }
        ready!(self.heartbeat.poll_tick(cx));
        self.unread = Bytes::from_static(HEARTBEAT);
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
        while this.unread.is_empty() {
            // An empty remainder would keep the room of its chunk in the upstream's queue.
            this.unread = Bytes::new();
            if matches!(this.source, AnswerSource::Ended) {
                return Poll::Ready(Ok(()));
            }
            match this.poll_source(cx) {
                Poll::Ready(received) => received?,
                Poll::Pending => ready!(this.poll_heartbeat(cx)),
            }
        }
        let length = this.unread.len().min(buf.remaining());
        buf.put_slice(&this.unread[..length]);
        this.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}
