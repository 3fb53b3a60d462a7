//! Buffering of short answers, so that a truncated one becomes a refusal instead of a truncated
//! answer.

use super::answer::AnswerBody;
use crate::{
    caller_memory::{held_bytes, CallerMemory, Guard},
    decide::AttemptOutcome,
    dispatch::ExchangeError,
    front::DropReason,
    in_flight::InFlightGuard,
    refusal::{Cause, Refusal},
    relay::{Framing, PlacementGuard, RelayBody},
};
use bytes::Bytes;
use carobwheel_core::{
    memory::{Owner, Use},
    retry::Failure,
};
use carobwheel_wire::openai::Usage;
use serde::Deserialize;
use tokio::{
    sync::mpsc,
    time::{timeout_at, Instant},
};

/// Maximum size of an answer of known length that is buffered before it is sent on, in bytes.
const MAX_BUFFERED_BYTES: u64 = 1_024 * 1_024;
/// Maximum size of an answer of unknown length, in bytes. Rocket ends a chunked body in the same
/// way whether it is complete or truncated, so an answer is either buffered or of known length.
const MAX_UNKNOWN_LENGTH_BYTES: usize = 16 * 1_024 * 1_024;

/// Minimum number of bytes by which a buffer grows.
const MIN_GROWTH_BYTES: usize = 4 * 1_024;

#[derive(Deserialize)]
struct AnswerUsage {
    usage: Option<Usage>,
}

/// Limits of a buffered answer.
#[derive(Clone, Copy)]
pub(super) struct Buffering<'a> {
    /// Time by which the answer has to be complete.
    pub(super) deadline: Instant,
    /// Memory for callers.
    pub(super) memory: &'a CallerMemory,
    /// Owner of the answer's memory.
    pub(super) owner: &'a Owner,
}

impl Buffering<'_> {
    /// Reserves `bytes` of an answer to a request that has run.
    fn reserve(&self, bytes: usize) -> Result<Guard, Refusal> {
        let reserved = self.memory.reserve(Use::Answers, self.owner, bytes, bytes);
        reserved.map_err(|_| no_memory())
    }

    /// Makes room in `body` for `bytes` more, whose memory is reserved in `guard` first.
    fn make_room(
        &self,
        body: &mut Vec<u8>,
        guard: &mut Guard,
        bytes: usize,
    ) -> Result<(), Refusal> {
        let needed = body.len() + bytes;
        let missing = needed.saturating_sub(body.capacity());
        if missing == 0 {
            return Ok(());
        }
        let more = missing.max(body.capacity()).max(MIN_GROWTH_BYTES);
        let class = self.memory.class_of(needed);
        if guard.grow(class, more).is_err() {
            self.memory.drops().add(DropReason::Memory);
            return Err(no_memory());
        }
        body.reserve_exact(body.capacity() + more - body.len());
        Ok(())
    }
}

fn no_memory() -> Refusal {
    let message = "no memory for an answer of this size";
    Refusal::may_have_run(Cause::UpstreamFailed, message)
}

/// Buffers an answer until its deadline; one longer than [`MAX_BUFFERED_BYTES`] is relayed as it
/// arrives.
pub(super) async fn buffer_answer(
    mut chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
    framing: Framing,
    mut placement_guard: PlacementGuard,
    running: InFlightGuard,
    buffering: Buffering<'_>,
) -> Result<AnswerBody, Refusal> {
    if let Framing::Length(length_bytes) = framing {
        if length_bytes > MAX_BUFFERED_BYTES {
            let relayed = RelayBody::new(chunks, framing, placement_guard, running, None);
            return Ok(AnswerBody::Sized(Box::new(relayed), length_bytes));
        }
    }
    let mut body = Vec::new();
    let mut guard = buffering.reserve(0)?;
    loop {
        let Ok(chunk) = timeout_at(buffering.deadline, chunks.recv()).await else {
            placement_guard.settle(AttemptOutcome::Failed(Failure::TimedOut));
            let detail = "the upstream did not complete its answer in time";
            return Err(Refusal::may_have_run(Cause::UpstreamTimeout, detail));
        };
        let Some(chunk) = chunk else {
            break;
        };
        match chunk {
            Ok(chunk) => {
                placement_guard.record_first_byte();
                placement_guard.record_first_output();
                running.trace().record_first_byte();
                if let Err(refusal) = buffering.make_room(&mut body, &mut guard, chunk.len()) {
                    // The upstream has not failed.
                    placement_guard.settle(AttemptOutcome::Cancelled);
                    return Err(refusal);
                }
                body.extend_from_slice(&chunk);
            }
            Err(err) => return Err(incomplete(placement_guard, err.failure(), &err.to_string())),
        }
        if body.len() > MAX_UNKNOWN_LENGTH_BYTES {
            let detail = "an answer of over 16 MiB needs a content-length";
            return Err(incomplete(placement_guard, Failure::WrongAnswer, detail));
        }
    }
    if matches!(framing, Framing::Length(length_bytes) if length_bytes != body.len() as u64) {
        let detail = "the upstream ended its answer early";
        return Err(incomplete(placement_guard, Failure::ConnectionLost, detail));
    }
    placement_guard.set_output_tokens(output_tokens(&body));
    placement_guard.settle(AttemptOutcome::Completed);
    Ok(AnswerBody::Buffered(held_bytes(body, guard)))
}

fn incomplete(mut placement_guard: PlacementGuard, failure: Failure, detail: &str) -> Refusal {
    placement_guard.settle(AttemptOutcome::Failed(failure));
    Refusal::may_have_run(Cause::UpstreamFailed, detail)
}

fn output_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice::<AnswerUsage>(body)
        .ok()
        .and_then(|answered| answered.usage)
        .map_or(0, |usage| usage.completion_tokens)
}
