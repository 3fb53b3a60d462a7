//! Serving of links that other instances have dialled.

use super::{
    decode,
    exchange::READ_BYTES,
    gossip::send_gossip,
    holds, pull,
    tls::{open_windows, peer_digest},
    Links, OpenLink, HOLDS_HEADER, MAX_GOSSIP_BYTES, PULL_HEADER, REFUSED_HEADER, TICKET_HEADER,
};
use crate::{
    front::read_body,
    memory::RequestMemory,
    node::Node,
    pipeline::{self, Answer, Refusal, RequestContext, RequestMeta},
    relay::AnswerBody,
};
use carobwheel_core::memory::Owner;
use hyper::{
    body::Incoming, header::HeaderValue, server::conn::http1, service::service_fn, Request,
    StatusCode,
};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, rc::Rc, sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Number of lookups of the entry of an instance that dials.
const ENTRY_LOOKUPS: u32 = 20;
/// Pause between two such lookups.
const ENTRY_LOOKUP_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of links whose other end is not known yet. A whole fleet that starts at once dials an
/// instance less often, and dials again if it is refused.
const MAX_UNKNOWN: usize = 128;
/// `Retry-After` of forwarded requests while this instance is stopping, in milliseconds.
const STOPPING_RETRY_AFTER_MS: u64 = 100;
/// `Retry-After` of forwarded requests of a service that this instance does not reach, in milliseconds.
const CUT_OFF_RETRY_AFTER_MS: u64 = 700;

impl Links {
    /// Accepts and serves the links that other instances dial.
    pub async fn accept_all(node: Rc<Node>) {
        let unknown = Rc::new(());
        while let Some(incoming) = node.links.endpoint.accept().await {
            if Rc::strong_count(&unknown) > MAX_UNKNOWN {
                node.metrics.count_dropped("links_of_unknown");
                incoming.refuse();
                continue;
            }
            let node = Rc::clone(&node);
            let unknown = Rc::clone(&unknown);
            tokio::task::spawn_local(async move {
                // The dialling instance notices the failure itself and dials again.
                let Ok(connection) = incoming.await else {
                    return;
                };
                let name = name_by_certificate(&node, &connection).await;
                drop(unknown);
                match name {
                    Some(name) => {
                        open_windows(&connection, &node.memory);
                        serve_accepted(node, name, connection).await;
                    }
                    None => connection.close(1u8.into(), b"unknown certificate"),
                }
            });
        }
    }
}

/// Name of the instance that has presented its certificate. Waits for a moment if its entry has not
/// been replicated yet.
async fn name_by_certificate(node: &Node, connection: &quinn::Connection) -> Option<Arc<str>> {
    let digest = peer_digest(connection)?;
    for _ in 0..ENTRY_LOOKUPS {
        let name = {
            let state = node.state.borrow();
            let mut members = state.members.by_name.values();
            let member = members.find(|member| member.entry.certificate_digest == digest);
            member.map(|member| Arc::clone(&member.entry.name))
        };
        if name.is_some() {
            return name;
        }
        sleep(ENTRY_LOOKUP_PAUSE).await;
    }
    None
}

/// Serves a link that another instance has dialled. Its gossip is answered by gossip on the same link.
async fn serve_accepted(node: Rc<Node>, name: Arc<str>, connection: quinn::Connection) {
    let opened_at = node.now();
    let link = node.links.open(&name, connection);
    node.links.add_accepted(&name, &link);
    let has_gossip = CancellationToken::new();
    let answered = answer_gossip(&node, &name, &link, &has_gossip);
    let served = serve(&node, &name, &link, &has_gossip);
    tokio::join!(answered, served, link.observe());
    node.links.remove_accepted(&name, &link);
    let reason = link.connection.closed().await.to_string();
    link.log_loss(&node, &name, &reason, opened_at);
}

/// Waits for the first gossip on the link, and sends own gossip from then on while no other link takes
/// it.
async fn answer_gossip(
    node: &Node,
    name: &Arc<str>,
    link: &OpenLink,
    has_gossip: &CancellationToken,
) {
    tokio::select! {
        () = has_gossip.cancelled() => {}
        _ = link.connection.closed() => return,
    }
    let entry = {
        let state = node.state.borrow();
        let member = state.members.by_name.get(name);
        // Builds that keep links to all instances do not read what comes back.
        let member = member.filter(|member| !member.is_full_mesh);
        member.map(|member| member.entry.clone())
    };
    if let Some(entry) = entry {
        let is_wanted = || node.links.is_gossip_link(name, link);
        send_gossip(node, &entry, &link.connection, is_wanted).await;
    }
}

/// Serves a link: gossip in datagrams or unidirectional streams, and exchanges in bidirectional
/// ones. `has_gossip` is cancelled when the first gossip has been applied.
pub(super) async fn serve(
    node: &Rc<Node>,
    name: &Arc<str>,
    link: &OpenLink,
    has_gossip: &CancellationToken,
) {
    let connection = &link.connection;
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => {
                    receive_gossip(node, name, &bytes);
                    has_gossip.cancel();
                }
                Err(_) => return,
            },
            stream = connection.accept_uni() => {
                let Ok(mut stream) = stream else {
                    return;
                };
                let (node, name) = (Rc::clone(node), Arc::clone(name));
                let has_gossip = has_gossip.clone();
                tokio::task::spawn_local(async move {
                    if let Ok(bytes) = stream.read_to_end(MAX_GOSSIP_BYTES).await {
                        receive_gossip(&node, &name, &bytes);
                        has_gossip.cancel();
                    }
                });
            }
            stream = connection.accept_bi() => {
                let Ok((send, receive)) = stream else {
                    return;
                };
                let served = serve_stream(Rc::clone(node), send, receive);
                let guard = link.exchange_guard();
                tokio::task::spawn_local(async move {
                    served.await;
                    drop(guard);
                });
            }
        }
    }
}

/// Decodes and applies a gossip message.
fn receive_gossip(node: &Node, name: &Arc<str>, bytes: &[u8]) {
    node.metrics.gossip_received.add(bytes.len());
    match decode(bytes) {
        Ok(gossip) => {
            let work = &node.metrics.work;
            let apply = || node.receive_gossip(name, gossip);
            work.gossip_applied.measure(apply);
        }
        Err(err) => {
            let reason = err.0.as_str();
            node.log
                .event(crate::log::Event::EntryIgnored { key: name, reason });
        }
    }
}

/// Guard that counts an exchange as in progress until it is dropped.
struct ExchangeGuard(Rc<Node>);

impl ExchangeGuard {
    fn new(node: &Rc<Node>) -> Self {
        node.peer_exchanges.set(node.peer_exchanges.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.peer_exchanges.set(self.0.peer_exchanges.get() - 1);
    }
}

/// Serves one exchange.
async fn serve_stream(node: Rc<Node>, send: quinn::SendStream, receive: quinn::RecvStream) {
    let _guard = ExchangeGuard::new(&node);
    let io = TokioIo::new(tokio::io::join(receive, send));
    let service = service_fn(move |request| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(handle_request(&node, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(READ_BYTES)
        .auto_date_header(false)
        .keep_alive(false);
    let connection = builder.serve_connection(io, service);
    // The instance that forwarded the request notices and logs a broken exchange.
    let Ok(ended) = connection.without_shutdown().await else {
        return;
    };
    let (_receive, mut send) = ended.io.into_inner().into_inner();
    // The process may exit once no exchange is in progress, so this one lasts until its answer has
    // arrived. The connection's loss ends the wait.
    if send.finish().is_ok() {
        drop(send.stopped().await);
    }
}

/// Answers a pull, or runs a forwarded request in the own region.
async fn handle_request(node: &Rc<Node>, request: Request<Incoming>) -> Answer {
    if let Some(query) = request.headers().get(PULL_HEADER) {
        let answer = pull::answer_pull(&node.state.borrow().replica, query.as_bytes());
        return match answer {
            Some(facts) => Answer::new(AnswerBody::whole(facts)),
            None => Refusal::new(StatusCode::BAD_REQUEST, "not a question").into_answer(),
        };
    }
    if request.headers().contains_key(HOLDS_HEADER) {
        return Answer::new(AnswerBody::whole(holds::answer(node).unwrap_or_default()));
    }
    let outcome = if node.is_leaving() {
        // A long stream that starts now would be cut at the end of the grace period, and the
        // forwarding instance may be stopping too.
        let reason = "the instance is stopping";
        Err(Refusal::not_run(reason, STOPPING_RETRY_AFTER_MS))
    } else {
        match read_forwarded(node, request).await {
            Ok(ctx) => tokio::select! {
                outcome = pipeline::run_in_own_region(node, ctx) => outcome,
                () = node.grace_end.cancelled() => Err(Refusal::grace_ended()),
            },
            Err(refusal) => Err(refusal),
        }
    };
    outcome.unwrap_or_else(|refusal| {
        let mut answer = refusal.into_answer();
        answer
            .headers_mut()
            .insert(REFUSED_HEADER, HeaderValue::from_static("1"));
        answer
    })
}

/// Reads a forwarded request and its metadata.
async fn read_forwarded(
    node: &Node,
    request: Request<Incoming>,
) -> Result<RequestContext, Refusal> {
    let started_at = node.now();
    let (mut head, body) = request.into_parts();
    let meta = head.headers.remove(TICKET_HEADER);
    let meta: RequestMeta = meta
        .and_then(|meta| serde_json::from_slice(meta.as_bytes()).ok())
        .ok_or(Refusal::not_run(
            "a forwarded request without its ticket",
            500,
        ))?;
    if node.is_cut_off(&meta.service) {
        // Forwarding it once more might send it round; the instance that it came from tries another one.
        let reason = "the instance reaches no upstream";
        return Err(Refusal::not_run(reason, CUT_OFF_RETRY_AFTER_MS));
    }
    let deadline = started_at.plus(meta.left_ms);
    let account = (!meta.account.is_empty()).then(|| Arc::clone(&meta.account));
    let owner = Owner {
        account,
        address: None,
    };
    let body = read_body(node, body, deadline, &owner).await?;
    let memory = RequestMemory::new(&node.memory, owner, body.memory);
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    Ok(RequestContext::forwarded(
        node, meta, head, body.bytes, started_at, memory,
    ))
}
