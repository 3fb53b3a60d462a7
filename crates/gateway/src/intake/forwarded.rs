//! Receiving side of forwarding: requests that another instance has forwarded to this one.
//!
//! They run on a thread with its own event loop. A forwarded request passes the same stages as one
//! from a caller, but is identified by its credential instead of a key.

use super::{
    answer::{Answer, AnswerBody},
    attempt::ClassifiedRequest,
    body,
    forward::{ForwardedAnswerHead, ForwardedHead},
    pipeline, IntakeState,
};
use crate::{
    caller_memory::held_bytes,
    in_flight::InFlightGuard,
    peers::{BodyChunk, IncomingForward, ReplyBody},
    refusal::{Cause, Refusal},
    relay::RelayBody,
    report::Trace,
    ring::AsyncReceiver,
};
use anyhow::Context as _;
use bytes::{Bytes, BytesMut};
use carobwheel_core::{
    identity::{Caller, Credential},
    memory::Use,
};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use std::{sync::Arc, thread};
use tokio::{io::AsyncReadExt as _, runtime, sync::mpsc};
use tokio_util::sync::CancellationToken;

/// Maximum number of forwarded requests that wait for their thread.
pub(crate) const MAX_QUEUED_FORWARDS: usize = 1_024;
/// Maximum size of an answer part, in bytes.
const MAX_PART_BYTES: usize = 16 * 1_024;

/// Starts the thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread or its event loop cannot be set up.
pub(crate) fn start(
    shared: Arc<IntakeState>,
    mut incoming: AsyncReceiver<IncomingForward>,
    cancel: CancellationToken,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot set up an event loop")?;
    thread::Builder::new()
        .name("forwarded".to_owned())
        .spawn(move || {
            event_loop.block_on(async move {
                loop {
                    let forward = tokio::select! {
                        forward = incoming.recv() => forward,
                        () = cancel.cancelled() => return,
                    };
                    tokio::spawn(serve(Arc::clone(&shared), forward));
                }
            });
        })
        .context("cannot start the thread for forwarded requests")
}

async fn serve(shared: Arc<IntakeState>, forward: IncomingForward) {
    let IncomingForward {
        head,
        body,
        reply,
        cancelled,
        ..
    } = forward;
    let trace = Trace::begin(shared.clock, shared.report.clone());
    let answering = async {
        let running = shared
            .in_flight
            .begin(trace.clone())
            .ok_or_else(|| overloaded("too many requests in flight on this instance"))?;
        handle(&shared, &head, body, running).await
    };
    let answer = tokio::select! {
        answer = answering => answer,
        () = cancelled.cancelled() => return,
    };
    let answer = answer.unwrap_or_else(|refusal| {
        trace.record_refusal(refusal.cause);
        Answer::refusal(&refusal)
    });
    let Ok(head) = postcard::to_stdvec(&head_of(&answer)) else {
        return;
    };
    let parts = reply.send_head(head);
    tokio::select! {
        () = send_body(answer.body, parts) => {}
        () = cancelled.cancelled() => {}
    }
}

fn overloaded(message: &str) -> Refusal {
    Refusal::not_run(Cause::Overloaded, message).retry_after(1_000)
}

fn malformed() -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, "the forwarded request is malformed")
}

async fn handle(
    shared: &Arc<IntakeState>,
    head: &[u8],
    parts: mpsc::Receiver<BodyChunk>,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let head: ForwardedHead = postcard::from_bytes(head).map_err(|_| malformed())?;
    let hops = head
        .hops
        .clone()
        .arrive(&shared.instance)
        .map_err(|fault| Refusal::not_run(Cause::InvalidRequest, fault.to_string()))?;
    let in_force = pipeline::in_force(shared)?;
    let caller = caller_of(&head);
    if !in_force.keys.is_valid(&caller) {
        let message = "the key is unknown or withdrawn";
        return Err(Refusal::not_run(Cause::InvalidKey, message));
    }
    let max_body_bytes = in_force.document.policy.max_body_bytes;
    if head.body_bytes > max_body_bytes {
        return Err(Refusal::not_run(Cause::TooLarge, "the body is too long"));
    }
    let owner = pipeline::owner_of(&caller, None);
    let body_bytes = usize::try_from(head.body_bytes).unwrap_or(usize::MAX);
    let guard = shared
        .memory
        .reserve(Use::Forwards, &owner, body_bytes, body_bytes)
        .map_err(|_| body::no_memory())?;
    let body = read_body(parts, head.body_bytes)
        .await
        .ok_or_else(malformed)?;
    let body = held_bytes(body, guard);
    let method = head.method.parse().map_err(|_| malformed())?;
    let classification = pipeline::classify_forwarded(shared, &in_force, &head, &caller, &body)?;
    let classified = ClassifiedRequest {
        request_id: head.request,
        method,
        path_and_query: head.path_and_query,
        headers: header_map(&head.headers),
        body,
        idempotency_key: head.idempotency_key,
        caller,
        deadline: shared.clock.now().plus(classification.deadline_ms),
        classification,
        hops,
        engine_ends: Arc::default(),
        cancel: CancellationToken::new(),
        owner,
    };
    pipeline::serve(shared, classified, running).await
}

fn caller_of(head: &ForwardedHead) -> Caller {
    match &head.credential {
        Some(credential) => Caller::Account(Credential {
            account: credential.account.clone(),
            key: credential.key.clone(),
            digest: credential.sha256,
        }),
        None => Caller::Open,
    }
}

/// Reads the body; returns `None` if it is truncated or not as long as announced.
async fn read_body(mut parts: mpsc::Receiver<BodyChunk>, body_bytes: u64) -> Option<Bytes> {
    let mut body = BytesMut::new();
    loop {
        match parts.recv().await? {
            BodyChunk::Data(bytes) => body.extend_from_slice(&bytes),
            BodyChunk::End => break,
        }
        if body.len() as u64 > body_bytes {
            return None;
        }
    }
    (body.len() as u64 == body_bytes).then(|| body.freeze())
}

fn header_map(pairs: &[(String, String)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers
}

fn head_of(answer: &Answer) -> ForwardedAnswerHead {
    let mut headers: Vec<(String, String)> = answer
        .headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), value.clone()))
        .collect();
    let length_bytes = match &answer.body {
        AnswerBody::Buffered(bytes) => Some(bytes.len() as u64),
        AnswerBody::Sized(_, length_bytes) => Some(*length_bytes),
        AnswerBody::Events(_) => None,
    };
    if let Some(length_bytes) = length_bytes {
        headers.push(("content-length".to_owned(), length_bytes.to_string()));
    }
    ForwardedAnswerHead {
        status: answer.status,
        headers,
        run: answer.run.into(),
    }
}

async fn send_body(body: AnswerBody, parts: ReplyBody) {
    let is_whole = match body {
        AnswerBody::Buffered(bytes) => parts.send(BodyChunk::Data(bytes)).await.is_ok(),
        AnswerBody::Events(body) | AnswerBody::Sized(body, _) => send_stream(*body, &parts).await,
    };
    if is_whole {
        // The peer may have disconnected in the meantime.
        let _ = parts.send(BodyChunk::End).await;
    }
}

async fn send_stream(mut body: RelayBody, parts: &ReplyBody) -> bool {
    loop {
        let mut part = BytesMut::with_capacity(MAX_PART_BYTES);
        match body.read_buf(&mut part).await {
            Ok(0) => return true,
            Ok(_) => {
                if parts.send(BodyChunk::Data(part.freeze())).await.is_err() {
                    return false;
                }
            }
            Err(_) => return false,
        }
    }
}
