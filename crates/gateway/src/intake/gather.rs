//! Gathers short answers, so that a cut one becomes a refusal instead of a cut answer.

use super::answer::AnswerBody;
use crate::{
    decide::AttemptOutcome,
    dispatch::ExchangeError,
    in_flight::InFlightGuard,
    refusal::{Cause, Refusal},
    relay::{Framing, RelayBody, Settling},
};
use bytes::{Bytes, BytesMut};
use carobwheel_core::retry::Failure;
use carobwheel_wire::openai::Usage;
use serde::Deserialize;
use tokio::sync::mpsc;

/// Longest answer of a known length that is gathered before it is passed on, in bytes.
const MAX_GATHERED_BYTES: u64 = 1_024 * 1_024;
/// Longest answer of an unknown length, in bytes. The server ends a chunked body in the same way
/// whether it is whole or cut, so an answer has to be in hand or its length has to be known.
const MAX_UNKNOWN_LENGTH_BYTES: usize = 16 * 1_024 * 1_024;

#[derive(Deserialize)]
struct Answered {
    usage: Option<Usage>,
}

/// Gathers an answer. One that is long is relayed as it arrives.
pub(super) async fn gather(
    mut chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
    framing: Framing,
    mut settling: Settling,
    running: InFlightGuard,
) -> Result<AnswerBody, Refusal> {
    if let Framing::Length(length_bytes) = framing {
        if length_bytes > MAX_GATHERED_BYTES {
            let relayed = RelayBody::new(chunks, framing, settling, running, None);
            return Ok(AnswerBody::Long(Box::new(relayed), length_bytes));
        }
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.recv().await {
        match chunk {
            Ok(chunk) => {
                settling.byte_arrived();
                running.trace().record_first_byte();
                body.extend_from_slice(&chunk);
            }
            Err(err) => return Err(cut(settling, err.failure(), &err.to_string())),
        }
        if body.len() > MAX_UNKNOWN_LENGTH_BYTES {
            let detail = "an answer of over 16 MiB needs a content-length";
            return Err(cut(settling, Failure::WrongAnswer, detail));
        }
    }
    if matches!(framing, Framing::Length(length_bytes) if length_bytes != body.len() as u64) {
        let detail = "the upstream ended its answer early";
        return Err(cut(settling, Failure::ConnectionLost, detail));
    }
    settling.set_output_tokens(output_tokens(&body));
    settling.settle(AttemptOutcome::Completed);
    Ok(AnswerBody::Whole(body.freeze()))
}

fn cut(mut settling: Settling, failure: Failure, detail: &str) -> Refusal {
    settling.settle(AttemptOutcome::Failed(failure));
    Refusal::may_have_run(Cause::UpstreamFailed, detail)
}

fn output_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice::<Answered>(body)
        .ok()
        .and_then(|answered| answered.usage)
        .map_or(0, |usage| usage.completion_tokens)
}
