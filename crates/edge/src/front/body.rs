//! Reading of request bodies.

use super::min_rate::MinRate;
use crate::{
    memory::{ArrivingBody, Guard},
    node::Node,
    pipeline::Refusal,
};
use bytes::{Bytes, BytesMut};
use carobwheel_core::{
    memory::{Owner, Shortage},
    time::Millis,
};
use http_body::Body;
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

/// Smallest reservation for a body, in bytes: a body in one chunk keeps the read buffer in which it
/// arrived.
const MIN_RESERVED_BYTES: usize = 1_024;

/// Body that was read completely.
#[derive(Debug)]
pub struct ReceivedBody {
    /// Content.
    pub bytes: Bytes,
    /// Memory that it takes.
    pub memory: Option<Guard>,
}

/// Reads a complete body, up to the configured size and until `deadline`, into memory that is
/// reserved for `owner` first.
///
/// # Errors
///
/// Returns a refusal if the body is too large, too slow or malformed, or if there is too little memory.
pub async fn read_body(
    node: &Node,
    body: Incoming,
    deadline: Millis,
    owner: &Owner,
) -> Result<ReceivedBody, Refusal> {
    let max_bytes = node.config().unwrap_or_default().limits.max_body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    if body.is_end_stream() {
        return Ok(ReceivedBody {
            bytes: Bytes::new(),
            memory: None,
        });
    }
    let left = Duration::from_millis(deadline.since(node.now()).max(1));
    let arriving = node.memory.open_body(owner);
    let bytes = tokio::select! {
        collected = timeout(left, collect_body(node, body, max_bytes, &arriving)) => {
            collected.map_err(|_| too_late("the body did not arrive in time"))??
        }
        () = arriving.given_up() => {
            node.metrics.count_dropped("body_given_up");
            return Err(Refusal::out_of_memory());
        }
    };
    Ok(ReceivedBody {
        bytes,
        memory: arriving.finish(),
    })
}

/// Collects the frames of a body of at most `max_bytes`.
async fn collect_body(
    node: &Node,
    mut body: Incoming,
    max_bytes: usize,
    arriving: &ArrivingBody,
) -> Result<Bytes, Refusal> {
    let stated = body.size_hint().exact();
    let stated = stated.and_then(|bytes| usize::try_from(bytes).ok());
    let mut reserved = stated.unwrap_or_default().max(MIN_RESERVED_BYTES);
    reserve(node, arriving, reserved).await?;
    let settings = &node.settings.callers;
    let mut rate = MinRate::new(settings.body_window_ms, settings.min_body_bytes_per_s);
    let mut buffer = BodyBuffer::default();
    loop {
        let frame = match timeout(rate.left(), body.frame()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => break,
            Err(_) if rate.is_met_in_window() => continue,
            Err(_) => {
                node.metrics.count_dropped("body_too_slow");
                return Err(too_late("the body arrives too slowly"));
            }
        };
        let frame =
            frame.map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "the body is broken"))?;
        // Trailers are dropped.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let bytes = buffer.len() + chunk.len();
        if bytes > max_bytes {
            return Err(too_large());
        }
        rate.add(chunk.len());
        arriving.progress(chunk.len());
        if bytes > reserved {
            // Of unknown length: doubled, as the buffer is.
            let more = bytes.max(2 * reserved).min(max_bytes) - reserved;
            reserve(node, arriving, more).await?;
            reserved += more;
            rate.restart();
        }
        buffer.push(chunk, reserved);
    }
    Ok(buffer.into_bytes())
}

/// Buffer of the chunks of a body. Most bodies arrive in one chunk, which is not copied.
#[derive(Default)]
struct BodyBuffer {
    /// The only chunk; empty once there are more.
    first: Bytes,
    /// All chunks, if there are several.
    all: BytesMut,
}

impl BodyBuffer {
    fn len(&self) -> usize {
        self.first.len() + self.all.len()
    }

    /// Appends a chunk, with a capacity of `reserved` bytes if it has to be copied.
    fn push(&mut self, chunk: Bytes, reserved: usize) {
        if self.first.is_empty() && self.all.is_empty() {
            self.first = chunk;
            return;
        }
        if self.all.is_empty() {
            self.all.reserve(reserved);
            self.all.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.all
            .reserve((reserved - self.all.len()).max(chunk.len()));
        self.all.extend_from_slice(&chunk);
    }

    fn into_bytes(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}

/// Reserves memory for a body.
async fn reserve(node: &Node, arriving: &ArrivingBody, bytes: usize) -> Result<(), Refusal> {
    arriving.grow(bytes).await.map_err(|shortage: Shortage| {
        node.metrics.count_dropped(shortage.label());
        Refusal::out_of_memory()
    })
}

const fn too_large() -> Refusal {
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}

const fn too_late(reason: &'static str) -> Refusal {
    Refusal::new(StatusCode::REQUEST_TIMEOUT, reason)
}
