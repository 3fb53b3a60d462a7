//! Bodies between streams and the channels of the rest of the program.

use super::forward::BodyChunk;
use super::link::Link;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Code of a stream that was given up.
pub(super) const CANCELLED: u32 = 1;
/// Largest part of a body that is read at a time, in bytes.
const MAX_PART_BYTES: usize = 32 * 1_024;

/// Writes a body to a stream. A body that breaks off without its end resets the stream. Tells
/// whether the whole body was written.
pub(super) async fn write_body(
    mut stream: quinn::SendStream,
    mut body: mpsc::Receiver<BodyChunk>,
    link: &Link,
) -> bool {
    loop {
        let part = tokio::select! {
            part = body.recv() => part,
            _ = stream.stopped() => None,
        };
        let is_written = match part {
            Some(BodyChunk::Data(bytes)) => write_part(&mut stream, bytes, link).await,
            Some(BodyChunk::End) => return stream.finish().is_ok(),
            None => false,
        };
        if !is_written {
            // A stream that is closed already needs no reset.
            let _ = stream.reset(CANCELLED.into());
            return false;
        }
    }
}

async fn write_part(stream: &mut quinn::SendStream, bytes: Bytes, link: &Link) -> bool {
    let is_written = stream.write_chunk(bytes).await.is_ok();
    if is_written {
        link.note_sent(false);
    }
    is_written
}

/// Reads a body from a stream. When the reader of `body` goes away, the stream is stopped. Tells
/// whether the whole body was read and taken.
pub(super) async fn read_body(
    mut stream: quinn::RecvStream,
    body: mpsc::Sender<BodyChunk>,
    link: &Link,
) -> bool {
    loop {
        let chunk = tokio::select! {
            chunk = stream.read_chunk(MAX_PART_BYTES, true) => chunk,
            () = body.closed() => break,
        };
        let part = match chunk {
            Ok(Some(chunk)) => BodyChunk::Data(chunk.bytes),
            Ok(None) => BodyChunk::End,
            Err(_) => return false,
        };
        link.note_received();
        let is_end = matches!(part, BodyChunk::End);
        if body.send(part).await.is_err() {
            break;
        }
        if is_end {
            return true;
        }
    }
    // A stream that is closed already needs no stop.
    let _ = stream.stop(CANCELLED.into());
    false
}
