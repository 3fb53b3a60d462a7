//! Queue of the pieces of a body that a task relays to a caller.

use super::{AnswerBody, AnswerBroken};
use crate::memory::{Guard, RequestMemory};
use bytes::Bytes;
use carobwheel_core::memory::Use;
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::mpsc::{self, Sender},
    time::sleep,
};

/// Maximum number of pieces that are queued for a slow caller.
const MAX_QUEUED_PIECES: usize = 8;
/// Maximum size of one piece, in bytes. Bounds what the queue holds, whatever the upstream sends at
/// once.
const MAX_PIECE_BYTES: usize = 16 * 1024;

/// Interval at which a sender checks whether the queue is empty, while memory is short.
const EMPTY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Piece in the queue, and its memory; `None` for the only piece of a queue when there is too little.
pub(super) type Piece = (Result<Bytes, AnswerBroken>, Option<Guard>);

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Sender of the pieces of a body.
#[derive(Clone, Debug)]
pub struct BodySender {
    pieces: Sender<Piece>,
    memory: Rc<RequestMemory>,
}

/// Body of a response, and the sender of its pieces.
pub fn body_queue(memory: &Rc<RequestMemory>) -> (BodySender, AnswerBody) {
    let (pieces, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    let sender = BodySender {
        pieces,
        memory: Rc::clone(memory),
    };
    (sender, AnswerBody::Chunks(receiver))
}

impl BodySender {
    /// Queues bytes, and waits while the queue is full. When there is too little memory, a queue takes
    /// one piece at a time.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn send(&self, mut bytes: Bytes) -> Result<(), CallerLeft> {
        while !bytes.is_empty() {
            let is_part = bytes.len() > MAX_PIECE_BYTES;
            let mut piece = bytes.split_to(bytes.len().min(MAX_PIECE_BYTES));
            if is_part {
                // Its own copy, or a piece in the queue would keep all bytes it was split from.
                piece = Bytes::copy_from_slice(&piece);
            }
            let guard = self.memory.reserve(Use::Streams, piece.len()).ok();
            if guard.is_none() {
                self.wait_until_empty().await?;
            }
            let sent = self.pieces.send((Ok(piece), guard)).await;
            sent.map_err(|_| CallerLeft)?;
        }
        Ok(())
    }

    /// Waits until the caller's connection has taken all pieces.
    async fn wait_until_empty(&self) -> Result<(), CallerLeft> {
        while self.pieces.capacity() < self.pieces.max_capacity() {
            if self.pieces.is_closed() {
                return Err(CallerLeft);
            }
            sleep(EMPTY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Ends the body as incomplete, which closes the caller's connection.
    pub async fn break_off(&self, reason: String) {
        // The caller may have disconnected.
        let _ = self.pieces.send((Err(AnswerBroken(reason)), None)).await;
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}
