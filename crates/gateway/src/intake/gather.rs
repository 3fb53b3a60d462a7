//! Gathers short answers, so that a cut one becomes a refusal instead of a cut answer.

use super::answer::AnswerBody;
use crate::{
    decide::Ending,
    dispatch::ExchangeError,
    in_flight::Running,
    refusal::{Cause, Refusal},
    relay::{Framing, RelayBody, Settling},
};
use bytes::{Bytes, BytesMut};
use carobwheel_core::retry::Failure;
use carobwheel_wire::openai::Usage;
use serde::Deserialize;
use tokio::sync::mpsc;

/// Largest answer that is gathered before it is passed on, in bytes.
const MAX_GATHERED_BYTES: usize = 1_024 * 1_024;

#[derive(Deserialize)]
struct Answered {
    usage: Option<Usage>,
}

/// Gathers an answer. One that is too long is relayed as it arrives.
pub(super) async fn gather(
    mut chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
    framing: Framing,
    mut settling: Settling,
    running: Running,
) -> Result<AnswerBody, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.recv().await {
        match chunk {
            Ok(chunk) => {
                settling.byte_arrived();
                body.extend_from_slice(&chunk);
            }
            Err(err) => return Err(cut(settling, err.failure(), &err.to_string())),
        }
        if body.len() > MAX_GATHERED_BYTES {
            let relayed = RelayBody::new(chunks, framing, settling, running);
            let relayed = relayed.beginning_with(body.freeze());
            return Ok(AnswerBody::Stream(Box::new(relayed)));
        }
    }
    if matches!(framing, Framing::Length(length_bytes) if length_bytes != body.len() as u64) {
        let detail = "the upstream ended its answer early";
        return Err(cut(settling, Failure::ConnectionLost, detail));
    }
    settling.set_output_tokens(output_tokens(&body));
    settling.settle(Ending::Whole);
    Ok(AnswerBody::Whole(body.freeze()))
}

fn cut(mut settling: Settling, failure: Failure, detail: &str) -> Refusal {
    settling.settle(Ending::Failed(failure));
    Refusal::may_have_run(Cause::UpstreamFailed, detail)
}

fn output_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice::<Answered>(body)
        .ok()
        .and_then(|answered| answered.usage)
        .map_or(0, |usage| usage.completion_tokens)
}
