//! Body of a response to a caller.

use crate::dispatch::ForwardGuard;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::{
    fmt,
    future::Future as _,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{sync::mpsc::Receiver, time::Sleep};

/// Error of a response body that cannot be completed; the caller's connection is closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerBroken(pub String);

impl fmt::Display for AnswerBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for AnswerBroken {}

/// Body of a response.
pub enum AnswerBody {
    /// Complete body in memory.
    Whole(Option<Bytes>),
    /// Chunks from a task, which ends when the body is dropped.
    Chunks(Receiver<Result<Bytes, AnswerBroken>>),
    /// Body of another instance, relayed as it arrives until the deadline of the request.
    Passthrough(Incoming, Pin<Box<Sleep>>, ForwardGuard),
}

impl AnswerBody {
    /// Complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Chunks(chunks) => {
                let chunk = std::task::ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
            Self::Passthrough(incoming, deadline, _) => {
                if deadline.as_mut().poll(cx).is_ready() {
                    let reason = "the deadline of the request has passed".to_owned();
                    return Poll::Ready(Some(Err(AnswerBroken(reason))));
                }
                let frame = std::task::ready!(Pin::new(incoming).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(|err| AnswerBroken(err.to_string()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Chunks(_) => false,
            Self::Passthrough(incoming, ..) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
            Self::Passthrough(incoming, ..) => incoming.size_hint(),
        }
    }
}
