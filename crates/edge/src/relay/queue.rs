//! Queue of the pieces of a body that a task relays to a caller.

use super::{AnswerBody, AnswerBroken};
use bytes::Bytes;
use tokio::sync::mpsc::{self, Sender};

/// Maximum number of pieces that are queued for a slow caller.
const MAX_QUEUED_PIECES: usize = 8;
/// Maximum size of one piece, in bytes. Bounds what the queue holds, whatever the upstream sends at
/// once.
const MAX_PIECE_BYTES: usize = 16 * 1024;

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Sender of the pieces of a body.
#[derive(Clone, Debug)]
pub struct BodySender(Sender<Result<Bytes, AnswerBroken>>);

/// Body of a response, and the sender of its pieces.
pub fn body_queue() -> (BodySender, AnswerBody) {
    let (pieces, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    (BodySender(pieces), AnswerBody::Chunks(receiver))
}

impl BodySender {
    /// Queues bytes, and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn send(&self, mut bytes: Bytes) -> Result<(), CallerLeft> {
        while !bytes.is_empty() {
            let piece = bytes.split_to(bytes.len().min(MAX_PIECE_BYTES));
            self.0.send(Ok(piece)).await.map_err(|_| CallerLeft)?;
        }
        Ok(())
    }

    /// Ends the body as incomplete, which closes the caller's connection.
    pub async fn break_off(&self, reason: String) {
        // The caller may have disconnected.
        let _ = self.0.send(Err(AnswerBroken(reason))).await;
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}
