//! Generation of answers.

use super::{
    completion::{CompletionRequest, RequestTracker},
    crash::crash,
    encoding,
    fault::Fault,
    output,
    pacer::TokenPacer,
    Shared,
};
use crate::{
    http::{BodyWriter, ConnectionState, Responder},
    lock,
};
use std::{io, ops::Range, time::Duration};
use tokio::time::sleep;

/// Runs a request: waits in the queue, then generates and sends the answer.
pub(super) async fn run(
    shared: &Shared,
    completion: &CompletionRequest,
    fault: Option<Fault>,
    responder: Responder,
) -> ConnectionState {
    let mut tracker = RequestTracker::new(shared, completion);
    if let Some(Fault::Delayed(ms)) = fault {
        sleep(Duration::from_millis(ms)).await;
    }
    let Some(pacer) = TokenPacer::start(shared, completion, || tracker.mark_started()).await else {
        return ConnectionState::Closed;
    };
    if let Some(prompt_crash) = &completion.crash {
        tracker.mark_failed();
        let _body = match prompt_crash.sends_head && completion.is_stream {
            true => Some(responder.start_stream("text/event-stream").await),
            false => None,
        };
        crash(shared, prompt_crash.down_ms);
        return ConnectionState::Closed;
    }
    let connection = if completion.is_stream {
        send_stream(shared, completion, fault, pacer, responder).await
    } else {
        send_whole(shared, completion, fault, pacer, responder).await
    };
    if matches!(fault, Some(Fault::CloseAfterBytes(_) | Fault::Truncated)) {
        tracker.mark_failed();
    } else if connection.is_ok() {
        tracker.mark_completed();
    }
    connection.unwrap_or(ConnectionState::Closed)
}

async fn send_whole(
    shared: &Shared,
    completion: &CompletionRequest,
    fault: Option<Fault>,
    mut pacer: TokenPacer<'_>,
    responder: Responder,
) -> io::Result<ConnectionState> {
    let tokens = completion.output_tokens - completion.resume_from_tokens;
    pacer.wait_for_tokens(tokens.saturating_sub(1)).await;
    lock(&shared.counts).tokens += tokens;
    let text = (completion.resume_from_tokens..completion.output_tokens)
        .map(|position| output::token(completion.prompt_hash, position));
    let body = encoding::whole_body(shared, completion, text.collect())?;
    let sent = match fault {
        Some(Fault::CloseAfterBytes(bytes)) => bytes,
        Some(Fault::Truncated) => body.len() - 1,
        _ => body.len(),
    };
    Ok(responder
        .send_truncated(200, "application/json", &body, sent)
        .await)
}

async fn send_stream(
    shared: &Shared,
    completion: &CompletionRequest,
    fault: Option<Fault>,
    pacer: TokenPacer<'_>,
    responder: Responder,
) -> io::Result<ConnectionState> {
    let mut body = responder.start_stream("text/event-stream").await?;
    let mut end = completion.output_tokens;
    match fault {
        Some(Fault::CloseAfterBytes(bytes)) => body.abort_after(Some(bytes)),
        Some(Fault::Truncated) => end = end.saturating_sub(1).max(completion.resume_from_tokens),
        _ => {}
    }
    send_tokens(
        shared,
        completion,
        completion.resume_from_tokens..end,
        pacer,
        &mut body,
    )
    .await?;
    if fault != Some(Fault::Truncated) {
        body.send(&encoding::last_events(shared, completion)?)
            .await?;
    }
    Ok(body.finish().await)
}

async fn send_tokens(
    shared: &Shared,
    completion: &CompletionRequest,
    positions: Range<u64>,
    mut pacer: TokenPacer<'_>,
    body: &mut BodyWriter,
) -> io::Result<()> {
    let mut pending = Vec::new();
    for position in positions {
        if position > completion.resume_from_tokens && !pacer.is_instant() {
            body.send(&std::mem::take(&mut pending)).await?;
            pacer.wait_for_tokens(1).await;
        }
        let text = output::token(completion.prompt_hash, position);
        pending.extend(encoding::token_event(shared, completion, text)?);
        lock(&shared.counts).tokens += 1;
    }
    body.send(&pending).await
}
