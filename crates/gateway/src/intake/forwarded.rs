//! Requests that another instance has forwarded here.
//!
//! One thread with an event loop of its own. A forwarded request passes the same filters as one
//! of a caller, but is identified by its credential instead of a key.

use super::{
    answer::{Answer, AnswerBody},
    body,
    forward::{ForwardedAnswerHead, ForwardedHead},
    pass,
    work::Work,
    Shared,
};
use crate::{
    in_flight::InFlightGuard,
    peers::{IncomingForward, Part, ReplyBody},
    refusal::{Cause, Refusal},
    relay::RelayBody,
    report::Trace,
    ring::AsyncReceiver,
};
use anyhow::Context as _;
use bytes::{Bytes, BytesMut};
use carobwheel_core::identity::{Caller, Credential};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use std::{sync::Arc, thread};
use tokio::{io::AsyncReadExt as _, runtime, sync::mpsc};
use tokio_util::sync::CancellationToken;

/// Forwarded requests that wait for their thread at most.
pub(crate) const RING_FORWARDED: usize = 1_024;
/// Largest part of an answer, in bytes.
const PART_BYTES: usize = 16 * 1_024;

/// Starts the thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread or its event loop cannot be set up.
pub(crate) fn start(
    shared: Arc<Shared>,
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

async fn serve(shared: Arc<Shared>, forward: IncomingForward) {
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
        run(&shared, &head, body, running).await
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

async fn run(
    shared: &Arc<Shared>,
    head: &[u8],
    parts: mpsc::Receiver<Part>,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let head: ForwardedHead = postcard::from_bytes(head).map_err(|_| malformed())?;
    let hops = head
        .hops
        .clone()
        .arrive(&shared.instance)
        .map_err(|fault| Refusal::not_run(Cause::InvalidRequest, fault.to_string()))?;
    let in_force = pass::in_force(shared)?;
    let caller = caller_of(&head);
    if !in_force.keys.is_valid(&caller) {
        let message = "the key is unknown or withdrawn";
        return Err(Refusal::not_run(Cause::InvalidKey, message));
    }
    let max_body_bytes = in_force.document.policy.max_body_bytes;
    if head.body_bytes > max_body_bytes {
        return Err(Refusal::not_run(Cause::TooLarge, "the body is too long"));
    }
    let room = body::take_room(shared, head.body_bytes)?;
    let body = gather(parts, head.body_bytes).await.ok_or_else(malformed)?;
    let method = head.method.parse().map_err(|_| malformed())?;
    let call = pass::classify_again(&in_force, &head, &caller, &body)?;
    let work = Work {
        request_id: head.request,
        method,
        path_and_query: head.path_and_query,
        headers: header_map(&head.headers),
        body,
        idempotency_key: head.idempotency_key,
        caller,
        deadline: shared.clock.now().plus(call.deadline_ms),
        call,
        hops,
        cancel: CancellationToken::new(),
        _room: Arc::new(room),
    };
    pass::serve(shared, work, running).await
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

/// The whole body, or none if it broke off or is not as long as announced.
async fn gather(mut parts: mpsc::Receiver<Part>, body_bytes: u64) -> Option<Bytes> {
    let mut body = BytesMut::new();
    loop {
        match parts.recv().await? {
            Part::Data(bytes) => body.extend_from_slice(&bytes),
            Part::End => break,
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
        AnswerBody::Whole(bytes) => Some(bytes.len() as u64),
        AnswerBody::Long(_, length_bytes) => Some(*length_bytes),
        AnswerBody::Stream(_) => None,
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
        AnswerBody::Whole(bytes) => parts.send(Part::Data(bytes)).await.is_ok(),
        AnswerBody::Stream(body) | AnswerBody::Long(body, _) => send_stream(*body, &parts).await,
    };
    if is_whole {
        // The peer may have gone away at the very end.
        let _ = parts.send(Part::End).await;
    }
}

async fn send_stream(mut body: RelayBody, parts: &ReplyBody) -> bool {
    loop {
        let mut part = BytesMut::with_capacity(PART_BYTES);
        match body.read_buf(&mut part).await {
            Ok(0) => return true,
            Ok(_) => {
                if parts.send(Part::Data(part.freeze())).await.is_err() {
                    return false;
                }
            }
            Err(_) => return false,
        }
    }
}
