//! Copies bodies between QUIC streams and the channels of other threads.

use super::forward::BodyChunk;
use super::link::Link;
use bytes::Bytes;
use tokio::sync::mpsc;

/// QUIC error code of a cancelled stream.
pub(super) const CANCELLED: u32 = 1;
/// Maximum size of a chunk read from a stream, in bytes.
const MAX_CHUNK_BYTES: usize = 32 * 1_024;

/// Writes a body to a stream and returns whether the peer received all of it. A truncated body
/// resets the stream.
pub(super) async fn write_body(
    mut stream: quinn::SendStream,
    mut body: mpsc::Receiver<BodyChunk>,
    link: &Link,
) -> bool {
    loop {
        let chunk = tokio::select! {
            chunk = body.recv() => chunk,
            _ = stream.stopped() => None,
        };
        let is_written = match chunk {
            Some(BodyChunk::Data(bytes)) => write_chunk_to(&mut stream, bytes, link).await,
            Some(BodyChunk::End) => return finish(stream).await,
            None => false,
        };
        if !is_written {
            // Resetting a closed stream fails and has no effect.
            let _ = stream.reset(CANCELLED.into());
            return false;
        }
    }
}

async fn finish(mut stream: quinn::SendStream) -> bool {
    stream.finish().is_ok() && matches!(stream.stopped().await, Ok(None))
}

async fn write_chunk_to(stream: &mut quinn::SendStream, bytes: Bytes, link: &Link) -> bool {
    let is_written = stream.write_chunk(bytes).await.is_ok();
    if is_written {
        link.record_sent(false);
    }
    is_written
}

/// Reads a body from a stream and returns whether all of it was read and passed on. Stops the
/// stream when the receiver of `body` is dropped.
pub(super) async fn read_body(
    mut stream: quinn::RecvStream,
    body: mpsc::Sender<BodyChunk>,
    link: &Link,
) -> bool {
    loop {
        let read = tokio::select! {
            read = stream.read_chunk(MAX_CHUNK_BYTES, true) => read,
            () = body.closed() => break,
        };
        let chunk = match read {
            Ok(Some(read)) => BodyChunk::Data(read.bytes),
            Ok(None) => BodyChunk::End,
            Err(_) => return false,
        };
        link.record_received();
        let is_end = matches!(chunk, BodyChunk::End);
        if body.send(chunk).await.is_err() {
            break;
        }
        if is_end {
            return true;
        }
    }
    // Stopping a closed stream fails and has no effect.
    let _ = stream.stop(CANCELLED.into());
    false
}
