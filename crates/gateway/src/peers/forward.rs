//! Forwards callers' requests to another instance and streams the answers back.
//!
//! A body is a sequence of [`BodyChunk`]s that ends with [`BodyChunk::End`]. On both sides, a
//! channel that closes without it means that the body is truncated.

use super::dial::link_to;
use super::link::{Link, RequestGuard};
use super::pump::{read_body, write_body, CANCELLED};
use super::serve::read_head;
use super::shared::Shared;
use super::ForwardError;
use bytes::Bytes;
use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::{encode_head, ForwardHead, Request};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Chunks of a body buffered between two threads.
const BODY_CHANNEL_CHUNKS: usize = 16;
/// Timeout for obtaining a link, and for opening a stream on it.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// One element of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// End of a complete body.
    End,
}

/// The answer to a forwarded request. Dropping it cancels the request at the peer.
#[derive(Debug)]
pub struct ForwardAnswer {
    /// Head of the answer.
    pub head: Vec<u8>,
    /// Body of the answer.
    pub body: mpsc::Receiver<BodyChunk>,
}

/// A request forwarded by a peer to this instance.
#[derive(Debug)]
pub struct IncomingForward {
    /// The peer that forwarded the request.
    pub from: InstanceId,
    /// Head of the request.
    pub head: Vec<u8>,
    /// Body of the request.
    pub body: mpsc::Receiver<BodyChunk>,
    /// Sender of the answer.
    pub reply: ForwardReply,
    /// Cancelled when the peer cancels the request or the link is lost.
    pub cancelled: CancellationToken,
}

/// Sender of the answer to a forwarded request. Dropping it aborts the request.
#[derive(Debug)]
pub struct ForwardReply {
    answer: oneshot::Sender<(Vec<u8>, mpsc::Receiver<BodyChunk>)>,
}

/// Sender of the body of an answer. Dropping it before [`BodyChunk::End`] aborts the answer.
pub type ReplyBody = mpsc::Sender<BodyChunk>;

impl ForwardReply {
    /// Sends the head of the answer and returns the sender of its body, which fails once the peer
    /// has disconnected.
    pub fn send_head(self, head: Vec<u8>) -> ReplyBody {
        let (body, chunks) = mpsc::channel(BODY_CHANNEL_CHUNKS);
        // If the peer has disconnected, the closed body channel reports it.
        let _ = self.answer.send((head, chunks));
        body
    }
}

/// A request to forward, as passed to the link thread.
pub(super) struct OutgoingForward {
    pub(super) to: InstanceId,
    pub(super) addr: SocketAddr,
    pub(super) head: Vec<u8>,
    pub(super) body: mpsc::Receiver<BodyChunk>,
    pub(super) answer: oneshot::Sender<Result<ForwardAnswer, ForwardError>>,
}

/// Forwards a request to a peer and relays its answer.
pub(super) async fn forward(shared: Rc<Shared>, forward: OutgoingForward) {
    let OutgoingForward {
        to,
        addr,
        head,
        body,
        mut answer,
    } = forward;
    let request = encode_head(&Request::Forward { head });
    let link = timeout(LINK_TIMEOUT, link_to(&shared, &to, addr)).await;
    let (Some(request), Ok(Some(link))) = (request, link) else {
        // A send error means that the caller has disconnected.
        let _ = answer.send(Err(ForwardError::NotSent));
        return;
    };
    let guard = RequestGuard::new(&link);
    let opened = timeout(LINK_TIMEOUT, link.connection.open_bi()).await;
    let Ok(Ok((mut send, mut receive))) = opened else {
        let _ = answer.send(Err(ForwardError::NotSent));
        return;
    };
    if send.write_all(&request).await.is_err() {
        let _ = answer.send(Err(ForwardError::Lost));
        return;
    }
    link.record_sent(false);
    let body_link = Rc::clone(&link);
    let writer = tokio::task::spawn_local(async move { write_body(send, body, &body_link).await });
    let head = tokio::select! {
        head = read_head::<ForwardHead>(&mut receive) => head,
        () = answer.closed() => None,
        () = link.silenced() => None,
    };
    relay_answer(head, receive, answer, &link).await;
    writer.abort();
    drop(guard);
}

async fn relay_answer(
    head: Option<ForwardHead>,
    mut receive: quinn::RecvStream,
    answer: oneshot::Sender<Result<ForwardAnswer, ForwardError>>,
    link: &Link,
) {
    let Some(head) = head else {
        // Stopping a closed stream fails and has no effect.
        let _ = receive.stop(CANCELLED.into());
        let _ = answer.send(Err(ForwardError::Lost));
        return;
    };
    link.record_received();
    let (chunks, body) = mpsc::channel(BODY_CHANNEL_CHUNKS);
    let head = head.head;
    if answer.send(Ok(ForwardAnswer { head, body })).is_ok() {
        read_body(receive, chunks, link).await;
    } else {
        let _ = receive.stop(CANCELLED.into());
    }
}

/// Serves a request forwarded by a peer.
pub(super) async fn serve(
    shared: &Rc<Shared>,
    link: &Rc<Link>,
    head: Vec<u8>,
    mut send: quinn::SendStream,
    receive: quinn::RecvStream,
) {
    let (chunks, body) = mpsc::channel(BODY_CHANNEL_CHUNKS);
    let (answer, answered) = oneshot::channel();
    let cancelled = shared.cancel.child_token();
    let incoming = IncomingForward {
        from: link.peer.clone(),
        head,
        body,
        reply: ForwardReply { answer },
        cancelled: cancelled.clone(),
    };
    let _cancel_at_end = cancelled.drop_guard();
    (shared.sinks.borrow_mut().forward)(incoming);
    let reader_link = Rc::clone(link);
    let reader =
        tokio::task::spawn_local(async move { read_body(receive, chunks, &reader_link).await });
    let answered = tokio::select! {
        answered = answered => answered.ok(),
        _ = send.stopped() => None,
    };
    let is_complete = match answered {
        Some((head, chunks)) => write_answer(head, chunks, send, link).await,
        None => {
            let _ = send.reset(CANCELLED.into());
            false
        }
    };
    if !is_complete {
        reader.abort();
    }
}

async fn write_answer(
    head: Vec<u8>,
    chunks: mpsc::Receiver<BodyChunk>,
    mut send: quinn::SendStream,
    link: &Link,
) -> bool {
    let Some(head) = encode_head(&ForwardHead { head }) else {
        return false;
    };
    if send.write_all(&head).await.is_err() {
        return false;
    }
    link.record_sent(false);
    write_body(send, chunks, link).await
}
