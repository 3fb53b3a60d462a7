//! Sending side of forwarding a request to another instance.

use super::{
    answer::Answer,
    attempt::{self, ClassifiedRequest},
    buffer::Buffering,
    pipeline, IntakeState,
};
use crate::{
    decide::NextHop,
    dispatch::{AnswerHead, ExchangeError},
    in_flight::InFlightGuard,
    peers::{BodyChunk, ForwardAnswer, ForwardError},
    refusal::{Cause, Execution, Refusal},
    relay::PlacementGuard,
};
use bytes::Bytes;
use carobwheel_core::{
    id::{AccountId, KeyId, RequestId},
    identity::{Caller, Credential},
    route::Hops,
    status::is_final,
};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::{sync::mpsc, time};

/// Capacity of the queue of body parts between two threads.
const PART_QUEUE_LENGTH: usize = 16;
/// Maximum size of a body part, in bytes.
const MAX_PART_BYTES: usize = 64 * 1_024;

/// Credential of a forwarded request, which the receiver checks against its own document. The key
/// itself never leaves the instance to which the caller presented it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardedCredential {
    pub(super) account: AccountId,
    pub(super) key: KeyId,
    pub(super) sha256: [u8; 32],
}

/// Head of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardedHead {
    pub(super) request: RequestId,
    pub(super) method: String,
    pub(super) path_and_query: String,
    /// Headers on the allow-list for upstreams.
    pub(super) headers: Vec<(String, String)>,
    pub(super) idempotency_key: Option<String>,
    /// `None` on open routes.
    pub(super) credential: Option<ForwardedCredential>,
    pub(super) body_bytes: u64,
    pub(super) hops: Hops,
}

/// Whether the request ran, in encoded form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ForwardedRun {
    NotRun,
    MayHaveRun,
    Ran,
}

impl From<Execution> for ForwardedRun {
    fn from(run: Execution) -> Self {
        match run {
            Execution::NotRun => Self::NotRun,
            Execution::MayHaveRun => Self::MayHaveRun,
            Execution::Ran => Self::Ran,
        }
    }
}

impl From<ForwardedRun> for Execution {
    fn from(run: ForwardedRun) -> Self {
        match run {
            ForwardedRun::NotRun => Self::NotRun,
            ForwardedRun::MayHaveRun => Self::MayHaveRun,
            ForwardedRun::Ran => Self::Ran,
        }
    }
}

/// Head of the answer to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardedAnswerHead {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
    pub(super) run: ForwardedRun,
}

/// Sends the request to another instance and relays its answer.
pub(super) async fn send(
    shared: &IntakeState,
    classified: &ClassifiedRequest,
    to: NextHop,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let Some(peers) = &shared.peers else {
        return Err(region_unreachable("this instance stands alone"));
    };
    let head = postcard::to_stdvec(&head_of(classified, to.hops))
        .map_err(|_| region_unreachable("the request cannot be forwarded"))?;
    let (parts, body) = mpsc::channel(PART_QUEUE_LENGTH);
    let bytes = classified.body.clone();
    let sending = async move {
        send_body(bytes, &parts).await;
        // Dropping the sender before the answer has arrived would cancel the request.
        parts.closed().await;
    };
    tokio::spawn(sending);
    let opening = peers.open_forward(to.instance, to.addr, head, body);
    let remaining_ms = classified.deadline.since(shared.clock.now());
    let answered = time::timeout(Duration::from_millis(remaining_ms), opening).await;
    match answered {
        Ok(Ok(answer)) => {
            let buffering = attempt::buffering(shared, classified);
            relay_answer(answer, running, buffering).await
        }
        Ok(Err(err)) => Err(refusal_of(&err)),
        Err(_) => {
            let message = "the other instance did not answer in time";
            Err(Refusal::may_have_run(Cause::UpstreamTimeout, message))
        }
    }
}

fn head_of(classified: &ClassifiedRequest, hops: Hops) -> ForwardedHead {
    ForwardedHead {
        request: classified.request_id.clone(),
        method: classified.method.to_string(),
        path_and_query: classified.path_and_query.clone(),
        headers: header_pairs(&classified.headers),
        idempotency_key: classified.idempotency_key.clone(),
        credential: match &classified.caller {
            Caller::Account(credential) => Some(forwarded_credential(credential)),
            Caller::Open => None,
        },
        body_bytes: classified.body.len() as u64,
        hops,
    }
}

fn forwarded_credential(credential: &Credential) -> ForwardedCredential {
    ForwardedCredential {
        account: credential.account.clone(),
        key: credential.key.clone(),
        sha256: credential.digest,
    }
}

fn header_pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    };
    headers.iter().filter_map(pair).collect()
}

async fn send_body(mut bytes: Bytes, parts: &mpsc::Sender<BodyChunk>) {
    while !bytes.is_empty() {
        let part = bytes.split_to(bytes.len().min(MAX_PART_BYTES));
        if parts.send(BodyChunk::Data(part)).await.is_err() {
            return;
        }
    }
    // Sending fails when the peer answered early; it does not need the rest then.
    let _ = parts.send(BodyChunk::End).await;
}

async fn relay_answer(
    answer: ForwardAnswer,
    running: InFlightGuard,
    buffering: Buffering<'_>,
) -> Result<Answer, Refusal> {
    let head = postcard::from_bytes::<ForwardedAnswerHead>(&answer.head);
    // Builds of before pass on whatever status an upstream has sent.
    let Some(head) = head.ok().filter(|head| is_final(head.status)) else {
        let message = "the other instance sent a malformed answer";
        return Err(Refusal::may_have_run(Cause::UpstreamFailed, message));
    };
    let (chunks, received) = mpsc::channel(PART_QUEUE_LENGTH);
    tokio::spawn(relay_chunks(answer.body, chunks));
    let answer_head = AnswerHead {
        status: head.status,
        headers: header_map(&head.headers),
        chunks: received,
    };
    let mut answer = pipeline::relay_answer(
        answer_head,
        PlacementGuard::placed_remotely(),
        running,
        None,
        buffering,
    )
    .await?;
    answer.run = head.run.into();
    Ok(answer)
}

/// Converts body parts into chunks; a body that ends without its last part ends with an error.
async fn relay_chunks(
    mut parts: mpsc::Receiver<BodyChunk>,
    chunks: mpsc::Sender<Result<Bytes, ExchangeError>>,
) {
    loop {
        let chunk = match parts.recv().await {
            Some(BodyChunk::Data(bytes)) => Ok(bytes),
            Some(BodyChunk::End) => return,
            None => Err(ExchangeError::Broken(
                "the other instance broke off its answer".to_owned(),
            )),
        };
        let is_last = chunk.is_err();
        if chunks.send(chunk).await.is_err() || is_last {
            return;
        }
    }
}

fn header_map(pairs: &[(String, String)]) -> HeaderMap {
    let header = |(name, value): &(String, String)| {
        let name: HeaderName = name.parse().ok()?;
        let value = HeaderValue::from_str(value).ok()?;
        Some((name, value))
    };
    pairs.iter().filter_map(header).collect()
}

fn region_unreachable(message: &str) -> Refusal {
    Refusal::not_run(Cause::WrongRegion, message).retry_after(1_000)
}

fn refusal_of(err: &ForwardError) -> Refusal {
    if err.is_not_sent() {
        return region_unreachable("the other instance cannot be reached");
    }
    let message = "the connection to the other instance broke";
    Refusal::may_have_run(Cause::UpstreamFailed, message)
}
