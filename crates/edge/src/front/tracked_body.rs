//! Body of an answer that records its end.

use super::connections::ConnectionActivity;
use crate::{
    pipeline::Answer,
    relay::{AnswerBody, AnswerBroken},
};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::{Method, Response, StatusCode};
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// Body that records its end in the [`ConnectionActivity`] of the caller's connection.
pub(super) struct TrackedBody {
    body: AnswerBody,
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
        answer.map(|body| Self {
            body,
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
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
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
