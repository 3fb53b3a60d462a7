//! Requests that go to another instance, from the side that sends them.

use super::{answer::Answer, pass, work::Work, Shared};
use crate::{
    decide::NextHop,
    dispatch::{ExchangeError, Head},
    in_flight::InFlightGuard,
    peers::{ForwardAnswer, ForwardError, Part},
    refusal::{Cause, Execution, Refusal},
    relay::Settling,
};
use bytes::Bytes;
use carobwheel_core::{
    id::{AccountId, KeyId, RequestId},
    identity::{Caller, Credential},
    route::Hops,
};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::{sync::mpsc, time};

/// Parts of a body that wait between two threads.
const WAITING_PARTS: usize = 16;
/// Largest part of a body, in bytes.
const PART_BYTES: usize = 64 * 1_024;

/// Who a forwarded request runs for. The receiver checks it against its own document; the key
/// itself stays where the caller presented it.
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
    /// Headers that any upstream may see.
    pub(super) headers: Vec<(String, String)>,
    pub(super) idempotency_key: Option<String>,
    /// None on open routes.
    pub(super) credential: Option<ForwardedCredential>,
    pub(super) body_bytes: u64,
    pub(super) hops: Hops,
}

/// What an answer says about the request having run.
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
    shared: &Shared,
    work: &Work,
    to: NextHop,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let Some(peers) = &shared.peers else {
        return Err(unreachable("this instance stands alone"));
    };
    let head = postcard::to_stdvec(&head_of(work, to.hops))
        .map_err(|_| unreachable("the request cannot be forwarded"))?;
    let (parts, body) = mpsc::channel(WAITING_PARTS);
    let bytes = work.body.clone();
    let feeding = async move {
        feed(bytes, &parts).await;
        // Dropping the sender before the answer would cancel the request.
        parts.closed().await;
    };
    tokio::spawn(feeding);
    let opening = peers.open_forward(to.instance, to.addr, head, body);
    let remaining_ms = work.deadline.since(shared.clock.now());
    let answered = time::timeout(Duration::from_millis(remaining_ms), opening).await;
    match answered {
        Ok(Ok(answer)) => relay(answer, running).await,
        Ok(Err(err)) => Err(refusal_of(&err)),
        Err(_) => {
            let message = "the other instance did not answer in time";
            Err(Refusal::may_have_run(Cause::UpstreamTimeout, message))
        }
    }
}

fn head_of(work: &Work, hops: Hops) -> ForwardedHead {
    ForwardedHead {
        request: work.request_id.clone(),
        method: work.method.to_string(),
        path_and_query: work.path_and_query.clone(),
        headers: pairs(&work.headers),
        idempotency_key: work.idempotency_key.clone(),
        credential: match &work.caller {
            Caller::Account(credential) => Some(forwarded(credential)),
            Caller::Open => None,
        },
        body_bytes: work.body.len() as u64,
        hops,
    }
}

fn forwarded(credential: &Credential) -> ForwardedCredential {
    ForwardedCredential {
        account: credential.account.clone(),
        key: credential.key.clone(),
        sha256: credential.digest,
    }
}

fn pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    };
    headers.iter().filter_map(pair).collect()
}

async fn feed(mut bytes: Bytes, parts: &mpsc::Sender<Part>) {
    while !bytes.is_empty() {
        let part = bytes.split_to(bytes.len().min(PART_BYTES));
        if parts.send(Part::Data(part)).await.is_err() {
            return;
        }
    }
    // A peer that has answered early does not need the rest.
    let _ = parts.send(Part::End).await;
}

async fn relay(answer: ForwardAnswer, running: InFlightGuard) -> Result<Answer, Refusal> {
    let Ok(head) = postcard::from_bytes::<ForwardedAnswerHead>(&answer.head) else {
        let message = "the other instance sent a malformed answer";
        return Err(Refusal::may_have_run(Cause::UpstreamFailed, message));
    };
    let (chunks, received) = mpsc::channel(WAITING_PARTS);
    tokio::spawn(pump(answer.body, chunks));
    let exchanged = Head {
        status: head.status,
        headers: header_map(&head.headers),
        chunks: received,
    };
    let mut answer = pass::answer(exchanged, Settling::elsewhere(), running, None).await?;
    answer.run = head.run.into();
    Ok(answer)
}

/// Turns the parts of a body into chunks; a body that breaks off ends with an error.
async fn pump(mut parts: mpsc::Receiver<Part>, chunks: mpsc::Sender<Result<Bytes, ExchangeError>>) {
    loop {
        let chunk = match parts.recv().await {
            Some(Part::Data(bytes)) => Ok(bytes),
            Some(Part::End) => return,
            None => Err(ExchangeError::Broken(
                "the other instance broke off its answer".to_owned(),
            )),
        };
        let is_over = chunk.is_err();
        if chunks.send(chunk).await.is_err() || is_over {
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

fn unreachable(message: &str) -> Refusal {
    Refusal::not_run(Cause::WrongRegion, message).retry_after(1_000)
}

fn refusal_of(err: &ForwardError) -> Refusal {
    if err.is_not_sent() {
        return unreachable("the other instance cannot be reached");
    }
    let message = "the connection to the other instance broke";
    Refusal::may_have_run(Cause::UpstreamFailed, message)
}
