//! An HTTP exchange with an upstream, from the first byte sent to the last byte received.

use super::{client::Clients, upload, AnswerHead, ExchangeError, UpstreamCall};
use crate::caller_memory::{held_bytes, CallerMemory};
use bytes::Bytes;
use carobwheel_core::{
    memory::{Owner, Use},
    status::is_final,
    time::Clock,
};
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Uri};
use reqwest::Response;
use std::{io, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::sync::CancellationToken;

/// Maximum number of chunks queued for a slow caller.
const CHUNK_QUEUE_LENGTH: usize = 16;
/// Maximum bytes of an answer that are queued for a slow caller, beside its last chunk.
const MAX_QUEUED_BYTES: usize = 64 * 1_024;
/// Timeout between two chunks of an answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs `call`. Every early return drops the response, which closes its connection, so that a late
/// answer cannot be mistaken for that of another request.
pub(super) async fn run(clients: Clients, clock: Clock, call: UpstreamCall) {
    if clock.now() >= call.send_before {
        let error = ExchangeError::NotSent("the decision to send is too old");
        // The receiver may have been dropped.
        let _ = call.reply.send(Err(error));
        return;
    }
    let sent = send(
        &clients,
        call.method,
        &call.url,
        call.headers,
        call.body,
        call.fresh_connection,
    );
    let answer = tokio::select! {
        answer = time::timeout(call.head_timeout, sent) => answer,
        () = call.cancel.cancelled() => {
            // The receiver may have been dropped.
            let _ = call.reply.send(Err(ExchangeError::Cancelled));
            return;
        }
    };
    let response = match answer {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            let _ = call.reply.send(Err(error));
            return;
        }
        Err(_) => {
            let _ = call.reply.send(Err(ExchangeError::Timeout));
            return;
        }
    };
    let status = response.status().as_u16();
    if !is_final(status) {
        let error = ExchangeError::Broken(format!("the status {status} is out of range"));
        let _ = call.reply.send(Err(error));
        return;
    }
    let (sender, chunks) = mpsc::channel(CHUNK_QUEUE_LENGTH);
    let head = AnswerHead {
        status,
        headers: response.headers().clone(),
        chunks,
    };
    if call.reply.send(Ok(head)).is_ok() {
        let queue = ChunkQueue {
            sender,
            room: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)),
            memory: call.memory,
            owner: call.owner,
        };
        relay_chunks(response, queue, call.cancel).await;
    }
}

/// Sends a request and waits for the head of the response.
async fn send(
    clients: &Clients,
    method: Method,
    url: &str,
    headers: HeaderMap,
    body: Bytes,
    fresh_connection: bool,
) -> Result<Response, ExchangeError> {
    let body_bytes = body.len();
    let uri = url.parse::<Uri>().ok();
    if let Some(uri) = uri.filter(|uri| upload::is_upload(uri, body_bytes)) {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        return upload::send(request).await;
    }
    let client = clients.get(body_bytes, fresh_connection);
    let request = client.request(method, url).headers(headers).body(body);
    request.send().await.map_err(|err| client_error(&err))
}

/// Queue of the chunks of one answer, bounded in number and bytes.
struct ChunkQueue {
    sender: mpsc::Sender<Result<Bytes, ExchangeError>>,
    room: Arc<Semaphore>,
    memory: Arc<CallerMemory>,
    owner: Owner,
}

/// A chunk that takes room in its queue until it has been written.
struct QueuedChunk {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for QueuedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ChunkQueue {
    /// Waits for room and queues `chunk`. Returns whether the receiver still exists.
    async fn send(&self, chunk: Result<Bytes, ExchangeError>) -> bool {
        let Ok(bytes) = chunk else {
            return self.sender.send(chunk).await.is_ok();
        };
        let guard = self.memory.charge(Use::Streams, &self.owner, bytes.len());
        let units = u32::try_from(bytes.len().min(MAX_QUEUED_BYTES)).unwrap_or(u32::MAX);
        let room = tokio::select! {
            room = Arc::clone(&self.room).acquire_many_owned(units) => room.ok(),
            () = self.sender.closed() => return false,
        };
        let queued = QueuedChunk { bytes, _room: room };
        self.sender
            .send(Ok(held_bytes(queued, guard)))
            .await
            .is_ok()
    }
}

/// Queues the chunks of an answer until it ends or nobody receives it.
async fn relay_chunks(mut response: Response, queue: ChunkQueue, cancel: CancellationToken) {
    loop {
        let received = tokio::select! {
            received = time::timeout(IDLE_TIMEOUT, response.chunk()) => received,
            () = cancel.cancelled() => return,
            () = queue.sender.closed() => return,
        };
        let chunk = match received {
            Ok(Ok(Some(chunk))) => Ok(chunk),
            Ok(Ok(None)) => return,
            Ok(Err(err)) => Err(client_error(&err)),
            Err(_) => Err(ExchangeError::Timeout),
        };
        let is_last = chunk.is_err();
        if !queue.send(chunk).await || is_last {
            return;
        }
    }
}

fn client_error(err: &reqwest::Error) -> ExchangeError {
    if !err.is_connect() {
        return error_of(err);
    }
    let cause = root_cause(err);
    match cause.downcast_ref::<io::Error>().map(io::Error::kind) {
        Some(io::ErrorKind::ConnectionRefused) => ExchangeError::ConnectionRefused,
        _ => ExchangeError::NotConnected(cause.to_string()),
    }
}

/// Error of an exchange on an open connection.
pub(super) fn error_of(err: &(dyn std::error::Error + 'static)) -> ExchangeError {
    let cause = root_cause(err);
    match cause.downcast_ref::<io::Error>().map(io::Error::kind) {
        // The path is lost, which says nothing about the upstream's process.
        Some(
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable,
        ) => ExchangeError::Timeout,
        _ => ExchangeError::Broken(cause.to_string()),
    }
}

// The outer errors contain the upstream's URL, which must not be disclosed to callers.
fn root_cause<'a>(
    err: &'a (dyn std::error::Error + 'static),
) -> &'a (dyn std::error::Error + 'static) {
    let mut cause = err;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause
}
