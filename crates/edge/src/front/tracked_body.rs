//! Body of an answer that records its end.

use super::connections::ConnectionActivity;
use crate::{
    pipeline::Answer,
    relay::{AnswerBody, AnswerBroken},
};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::{header::CONTENT_LENGTH, HeaderMap, Method, Response, StatusCode};
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// Body that records its end in the [`ConnectionActivity`] of the caller's connection.
pub(super) struct TrackedBody {
    body: AnswerBody,
    /// Bytes that are left of the length stated in the head; `None` if there is none.
    bytes_left: Option<u64>,
    activity: Rc<ConnectionActivity>,
}

impl TrackedBody {
    /// Tracks the body of an answer to a request with the given method.
    pub(super) fn track(
        answer: Answer,
        method: &Method,
        activity: &Rc<ConnectionActivity>,
    ) -> Response<Self> {
        let has_no_body = *method == Method::HEAD
            || matches!(
                answer.status(),
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if has_no_body || answer.body().is_end_stream() {
            activity.body_ended();
        }
        let bytes_left = stated_length(answer.headers());
        answer.map(|body| Self {
            body,
            bytes_left,
            activity: Rc::clone(activity),
        })
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let has_ended = match &polled {
            Poll::Ready(None) => true,
            // The connection does not ask for more after the last byte of the stated length.
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(bytes));
                self.bytes_left == Some(0) || self.body.is_end_stream()
            }
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if has_ended {
            self.activity.body_ended();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Length of the body that the head states, in bytes.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    let length = headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
