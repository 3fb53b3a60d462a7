//! The body of an answer to a caller.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::sync::mpsc::Receiver;

/// The answer cannot be completed; the caller's connection is broken off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken(pub String);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Broken {}

/// The body of an answer.
pub enum AnswerBody {
    /// Whole.
    Whole(Option<Bytes>),
    /// Piece by piece from a task; the task ends when the body is dropped.
    Pieces(Receiver<Result<Bytes, Broken>>),
    /// From another instance or an upstream, as it comes.
    Passed(Incoming, Box<dyn std::any::Any>),
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Pieces(pieces) => {
                let piece = std::task::ready!(pieces.poll_recv(cx));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
            Self::Passed(incoming, _) => {
                let frame = std::task::ready!(Pin::new(incoming).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(|err| Broken(err.to_string()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces(_) => false,
            Self::Passed(incoming, _) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
            Self::Passed(incoming, _) => incoming.size_hint(),
        }
    }
}
