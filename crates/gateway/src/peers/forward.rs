//! Requests of callers, forwarded to another instance, with a streamed answer.
//!
//! A body is a sequence of [`BodyChunk`]s that ends with [`BodyChunk::End`]. A channel that closes without
//! it says that the body broke off, on either side.

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

/// Parts of a body that wait between two threads.
const WAITING_PARTS: usize = 16;
/// Time within which a link has to be established.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// One part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyChunk {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
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

/// A request that a peer has forwarded to this instance.
#[derive(Debug)]
pub struct IncomingForward {
    /// The peer.
    pub from: InstanceId,
    /// Head of the request.
    pub head: Vec<u8>,
    /// Body of the request.
    pub body: mpsc::Receiver<BodyChunk>,
    /// Where the answer goes.
    pub reply: ForwardReply,
    /// Cancelled when the peer has given up the request or the link is lost.
    pub cancelled: CancellationToken,
}

/// Where the answer to a forwarded request goes. Dropping it breaks the request off.
#[derive(Debug)]
pub struct ForwardReply {
    answer: oneshot::Sender<(Vec<u8>, mpsc::Receiver<BodyChunk>)>,
}

/// Where the body of an answer goes. Dropping it before [`BodyChunk::End`] breaks the answer off.
pub type ReplyBody = mpsc::Sender<BodyChunk>;

impl ForwardReply {
    /// Sends the head of the answer; the body follows. Sending to the body fails once the peer
    /// has gone away.
    pub fn send_head(self, head: Vec<u8>) -> ReplyBody {
        let (body, parts) = mpsc::channel(WAITING_PARTS);
        // A peer that has gone away shows by the closed body.
        let _ = self.answer.send((head, parts));
        body
    }
}

/// A request to be forwarded, as it reaches the thread of the links.
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
        // A caller that has gone away needs no answer.
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
    link.note_sent(false);
    let body_link = Rc::clone(&link);
    let writer = tokio::task::spawn_local(async move { write_body(send, body, &body_link).await });
    let head = tokio::select! {
        head = read_head::<ForwardHead>(&mut receive) => head,
        () = answer.closed() => None,
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
        // A stream that is closed already needs no stop.
        let _ = receive.stop(CANCELLED.into());
        let _ = answer.send(Err(ForwardError::Lost));
        return;
    };
    link.note_received();
    let (parts, body) = mpsc::channel(WAITING_PARTS);
    let head = head.head;
    if answer.send(Ok(ForwardAnswer { head, body })).is_ok() {
        read_body(receive, parts, link).await;
    } else {
        let _ = receive.stop(CANCELLED.into());
    }
}

/// Serves a request that a peer has forwarded.
pub(super) async fn serve(
    shared: &Rc<Shared>,
    link: &Rc<Link>,
    head: Vec<u8>,
    mut send: quinn::SendStream,
    receive: quinn::RecvStream,
) {
    let (parts, body) = mpsc::channel(WAITING_PARTS);
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
        tokio::task::spawn_local(async move { read_body(receive, parts, &reader_link).await });
    let answered = tokio::select! {
        answered = answered => answered.ok(),
        _ = send.stopped() => None,
    };
    let is_whole = match answered {
        Some((head, parts)) => write_answer(head, parts, send, link).await,
        None => {
            let _ = send.reset(CANCELLED.into());
            false
        }
    };
    if !is_whole {
        reader.abort();
    }
}

async fn write_answer(
    head: Vec<u8>,
    parts: mpsc::Receiver<BodyChunk>,
    mut send: quinn::SendStream,
    link: &Link,
) -> bool {
    let Some(head) = encode_head(&ForwardHead { head }) else {
        return false;
    };
    if send.write_all(&head).await.is_err() {
        return false;
    }
    link.note_sent(false);
    write_body(send, parts, link).await
}
