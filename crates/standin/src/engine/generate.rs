//! Generating answers.

use super::{
    completion::{Job, Running},
    encoding,
    fault::Fault,
    output,
    pacer::Pace,
    Shared,
};
use crate::{
    http::{BodyWriter, Ending, Responder},
    lock,
};
use std::{io, ops::Range, time::Duration};
use tokio::time::sleep;

/// Runs a request from its place in the queue to the end of its answer.
pub(super) async fn run(
    shared: &Shared,
    job: &Job,
    fault: Option<Fault>,
    responder: Responder,
) -> Ending {
    let mut running = Running::new(shared, job);
    if let Some(Fault::Delayed(ms)) = fault {
        sleep(Duration::from_millis(ms)).await;
    }
    let Some(pace) = Pace::start(shared, job, || running.start()).await else {
        return Ending::Closed;
    };
    let ending = if job.is_stream {
        send_stream(shared, job, fault, pace, responder).await
    } else {
        send_whole(shared, job, fault, pace, responder).await
    };
    if matches!(fault, Some(Fault::CloseAfterBytes(_) | Fault::Truncated)) {
        running.fail();
    } else if ending.is_ok() {
        running.complete();
    }
    ending.unwrap_or(Ending::Closed)
}

async fn send_whole(
    shared: &Shared,
    job: &Job,
    fault: Option<Fault>,
    mut pace: Pace<'_>,
    responder: Responder,
) -> io::Result<Ending> {
    let tokens = job.total - job.first;
    pace.wait(tokens.saturating_sub(1)).await;
    lock(&shared.counts).tokens += tokens;
    let text = (job.first..job.total).map(|index| output::token(job.prompt, index));
    let body = encoding::whole_body(shared, job, text.collect())?;
    let sent = match fault {
        Some(Fault::CloseAfterBytes(bytes)) => bytes,
        Some(Fault::Truncated) => body.len() - 1,
        _ => body.len(),
    };
    Ok(responder
        .cut_off(200, "application/json", &body, sent)
        .await)
}

async fn send_stream(
    shared: &Shared,
    job: &Job,
    fault: Option<Fault>,
    pace: Pace<'_>,
    responder: Responder,
) -> io::Result<Ending> {
    let mut body = responder.stream("text/event-stream").await?;
    let mut last = job.total;
    match fault {
        Some(Fault::CloseAfterBytes(bytes)) => body.cut_after(Some(bytes)),
        Some(Fault::Truncated) => last = last.saturating_sub(1).max(job.first),
        _ => {}
    }
    send_tokens(shared, job, job.first..last, pace, &mut body).await?;
    if fault != Some(Fault::Truncated) {
        body.send(&encoding::last_events(shared, job)?).await?;
    }
    Ok(body.finish().await)
}

async fn send_tokens(
    shared: &Shared,
    job: &Job,
    places: Range<u64>,
    mut pace: Pace<'_>,
    body: &mut BodyWriter,
) -> io::Result<()> {
    let mut pending = Vec::new();
    for index in places {
        if index > job.first && !pace.is_instant() {
            body.send(&std::mem::take(&mut pending)).await?;
            pace.wait(1).await;
        }
        let text = output::token(job.prompt, index);
        pending.extend(encoding::token_event(shared, job, text)?);
        lock(&shared.counts).tokens += 1;
    }
    body.send(&pending).await
}
