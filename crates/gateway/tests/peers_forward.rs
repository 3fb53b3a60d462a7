//! Tests of requests forwarded between instances and of documents fetched from peers.

mod peers_support;

use bytes::Bytes;
use carobwheel_gateway::peers::{
    BodyChunk, ForwardAnswer, ForwardError, Inbound, IncomingForward, ReplyBody,
};
use peers_support::{authority, id, wait, Peer, Relay};
use std::future::Future;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(future)
}

/// Starts a forwarded request to `b` on a task of its own.
fn open(
    from: &Peer,
    addr: SocketAddr,
    body: mpsc::Receiver<BodyChunk>,
) -> oneshot::Receiver<Result<ForwardAnswer, ForwardError>> {
    let (answer, answered) = oneshot::channel();
    let handle = from.handle.clone();
    tokio::spawn(async move {
        let head = b"question".to_vec();
        let opened = handle.open_forward(id("b"), addr, head, body).await;
        let _ = answer.send(opened);
    });
    answered
}

fn next_forward(peer: &Peer) -> IncomingForward {
    let timeout = std::time::Duration::from_secs(30);
    tokio::task::block_in_place(|| peer.forwards.recv_timeout(timeout)).expect("a forward")
}

async fn read_all(body: &mut mpsc::Receiver<BodyChunk>) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    while let Some(part) = body.recv().await {
        match part {
            BodyChunk::Data(data) => bytes.extend_from_slice(&data),
            BodyChunk::End => return (bytes, true),
        }
    }
    (bytes, false)
}

async fn write(body: &mpsc::Sender<BodyChunk>, data: &'static [u8]) -> bool {
    body.send(BodyChunk::Data(Bytes::from_static(data)))
        .await
        .is_ok()
}

/// An accepted forwarded request with both ends of both bodies.
struct Exchange {
    request: mpsc::Sender<BodyChunk>,
    incoming_body: mpsc::Receiver<BodyChunk>,
    cancelled: tokio_util::sync::CancellationToken,
    reply: ReplyBody,
    answer: ForwardAnswer,
}

async fn exchange(a: &Peer, b: &Peer, addr: SocketAddr) -> Exchange {
    let (request, body) = mpsc::channel(4);
    let answered = open(a, addr, body);
    let incoming = next_forward(b);
    assert_eq!(incoming.from, a.id);
    assert_eq!(incoming.head, b"question");
    let reply = incoming.reply.send_head(b"answer".to_vec());
    let answer = answered.await.expect("no panic").expect("an answer");
    assert_eq!(answer.head, b"answer");
    Exchange {
        request,
        incoming_body: incoming.body,
        cancelled: incoming.cancelled,
        reply,
        answer,
    }
}

fn pair() -> (Peer, Peer) {
    let authority = authority();
    (Peer::start(&authority, "a"), Peer::start(&authority, "b"))
}

#[test]
fn a_request_and_its_answer_stream_through() {
    let (a, b) = pair();
    block_on(async {
        let mut exchange = exchange(&a, &b, b.addr()).await;
        assert!(write(&exchange.request, b"one ").await);
        assert!(write(&exchange.request, b"two").await);
        exchange.request.send(BodyChunk::End).await.unwrap();
        let received = read_all(&mut exchange.incoming_body).await;
        assert_eq!(received, (b"one two".to_vec(), true));
        assert!(write(&exchange.reply, b"three").await);
        exchange.reply.send(BodyChunk::End).await.unwrap();
        let received = read_all(&mut exchange.answer.body).await;
        assert_eq!(received, (b"three".to_vec(), true));
    });
}

#[test]
fn a_caller_that_disconnects_cancels_the_request_at_the_peer() {
    let (a, b) = pair();
    block_on(async {
        let exchange = exchange(&a, &b, b.addr()).await;
        drop(exchange.answer);
        exchange.cancelled.cancelled().await;
        exchange.reply.closed().await;
    });
}

#[test]
fn a_truncated_request_body_is_received_as_truncated() {
    let (a, b) = pair();
    block_on(async {
        let mut exchange = exchange(&a, &b, b.addr()).await;
        assert!(write(&exchange.request, b"half").await);
        drop(exchange.request);
        let (_, is_complete) = read_all(&mut exchange.incoming_body).await;
        assert!(!is_complete);
    });
}

#[test]
fn a_truncated_answer_is_received_as_truncated() {
    let (a, b) = pair();
    block_on(async {
        let mut exchange = exchange(&a, &b, b.addr()).await;
        assert!(write(&exchange.reply, b"half").await);
        drop(exchange.reply);
        let (_, is_complete) = read_all(&mut exchange.answer.body).await;
        assert!(!is_complete);
    });
}

#[test]
fn a_refused_request_may_have_run() {
    let (a, b) = pair();
    block_on(async {
        let (_request, body) = mpsc::channel(1);
        let answered = open(&a, b.addr(), body);
        drop(next_forward(&b));
        let error = answered.await.unwrap().unwrap_err();
        assert!(!error.is_not_sent());
    });
}

#[test]
fn a_request_to_an_absent_peer_is_reported_as_not_sent() {
    let (a, b) = pair();
    let addr = b.addr();
    drop(b);
    block_on(async {
        let (_request, body) = mpsc::channel(1);
        let error = open(&a, addr, body).await.unwrap().unwrap_err();
        assert!(error.is_not_sent());
    });
}

#[test]
fn a_forward_over_a_lost_flow_fails_on_both_sides() {
    let (a, b) = pair();
    let relay = Relay::start(b.addr());
    block_on(async {
        let mut exchange = exchange(&a, &b, relay.addr).await;
        relay.lose_flows();
        let (_, is_complete) = read_all(&mut exchange.answer.body).await;
        assert!(!is_complete);
        exchange.cancelled.cancelled().await;
        // The next request uses a new flow.
        let (request, body) = mpsc::channel(1);
        let answered = open(&a, relay.addr, body);
        let incoming = next_forward(&b);
        let reply = incoming.reply.send_head(Vec::new());
        reply.send(BodyChunk::End).await.unwrap();
        answered.await.unwrap().unwrap();
        drop(request);
    });
    assert_eq!(relay.flows(), 2);
}

#[test]
fn a_document_is_fetched_from_a_peer_with_a_higher_revision() {
    let (a, b) = pair();
    let bytes = Bytes::from(vec![b'x'; 900_000]);
    let fetch = |above| {
        a.handle.fetch_document(id("b"), b.addr(), above).unwrap();
        a.next()
    };
    let failed = Inbound::DocumentFailed { from: id("b") };
    assert_eq!(fetch(0), failed);
    b.handle.serve_document(7, bytes.clone());
    let document = Inbound::Document {
        from: id("b"),
        revision: 7,
        bytes,
    };
    assert_eq!(fetch(6), document);
    assert_eq!(fetch(7), failed);
}

/// Returns a document in which only the 100 bytes of one line depend on the revision.
fn document(line: u8) -> Bytes {
    let mut bytes = vec![b'x'; 900_000];
    bytes[500_000..500_100].fill(line);
    bytes.into()
}

#[test]
fn a_peer_with_an_earlier_revision_receives_only_the_difference() {
    let (a, b) = pair();
    a.handle.serve_document(7, document(7));
    b.handle.serve_document(7, document(7));
    b.handle.serve_document(8, document(8));
    a.handle.fetch_document(id("b"), b.addr(), 7).unwrap();
    let expected = Inbound::Document {
        from: id("b"),
        revision: 8,
        bytes: document(8),
    };
    assert_eq!(a.next(), expected);
    a.wait_stats("traffic is counted", |stats| stats.received_udp_bytes > 0);
    assert!(a.handle.stats().received_udp_bytes < 20_000);
}

#[test]
fn a_base_with_other_content_is_detected_and_the_document_sent_in_full() {
    let (a, b) = pair();
    let mut other = document(7).to_vec();
    other[0] = 0;
    a.handle.serve_document(7, other.into());
    b.handle.serve_document(7, document(7));
    b.handle.serve_document(8, document(8));
    a.handle.fetch_document(id("b"), b.addr(), 7).unwrap();
    let expected = Inbound::Document {
        from: id("b"),
        revision: 8,
        bytes: document(8),
    };
    assert_eq!(a.next(), expected);
}

#[test]
fn links_close_when_the_thread_of_the_peer_ends() {
    let (a, b) = pair();
    a.handle.fetch_document(id("b"), b.addr(), 0).unwrap();
    a.next();
    drop(b);
    wait("no link", || a.handle.stats().links == 0);
}
