//! Answering requests.

use super::{fault::Fault, output, Shared, RESUME_HEADER};
use crate::{
    http::{BodyWriter, Ending, Request, Responder},
    lock,
};
use carobwheel_wire::{
    openai::{
        AssistantMessage, ChatAnswer, ChatChoice, ChatChunk, ChunkChoice, Completion,
        CompletionChoice, Delta, ErrorAnswer, ModelEntry, ModelList, RequestView, Usage, CHAT_PATH,
        COMPLETIONS_PATH, DONE, MODELS_PATH,
    },
    platform::LOAD_PATH,
};
use serde::Serialize;
use std::{io, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// One request on its way through the engine.
struct Job {
    is_chat: bool,
    is_stream: bool,
    wants_usage: bool,
    id: String,
    prompt: u64,
    prompt_tokens: u64,
    /// Tokens that the caller has already.
    first: u64,
    /// Tokens of the whole answer.
    total: u64,
    finish_reason: &'static str,
}

/// Counts a request as cancelled unless it comes to its end, and takes it off the load.
struct Running<'a> {
    shared: &'a Shared,
    is_waiting: bool,
    has_ended: bool,
    prompt_tokens: u64,
    remaining_tokens: u64,
}

impl<'a> Running<'a> {
    fn new(shared: &'a Shared, job: &Job) -> Self {
        let remaining_tokens = job.total - job.first;
        let prompt_tokens = job.prompt_tokens;
        lock(&shared.load).change(shared.clock.now(), |load| {
            load.waiting += 1;
            load.waiting_prefill_tokens += prompt_tokens;
            load.remaining_output_tokens += remaining_tokens;
        });
        Self {
            shared,
            is_waiting: true,
            has_ended: false,
            prompt_tokens,
            remaining_tokens,
        }
    }

    fn start(&mut self) {
        self.is_waiting = false;
        lock(&self.shared.counts).started += 1;
        let prompt_tokens = self.prompt_tokens;
        lock(&self.shared.load).change(self.shared.clock.now(), |load| {
            load.waiting -= 1;
            load.waiting_prefill_tokens -= prompt_tokens;
            load.running += 1;
        });
    }

    fn complete(&mut self) {
        self.has_ended = true;
        lock(&self.shared.counts).completed += 1;
    }

    fn fail(&mut self) {
        self.has_ended = true;
        lock(&self.shared.counts).failed += 1;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            lock(&self.shared.counts).cancelled += 1;
        }
        lock(&self.shared.load).change(self.shared.clock.now(), |load| {
            load.remaining_output_tokens -= self.remaining_tokens;
            if self.is_waiting {
                load.waiting -= 1;
                load.waiting_prefill_tokens -= self.prompt_tokens;
            } else {
                load.running -= 1;
            }
        });
    }
}

/// Answers one request.
pub(super) async fn answer(shared: Arc<Shared>, request: Request, responder: Responder) -> Ending {
    match (request.method.as_str(), request.path()) {
        ("GET", MODELS_PATH) => responder.json(200, &models(&shared)).await,
        ("GET", "/health") => responder.whole(200, "text/plain", b"ok").await,
        ("GET", LOAD_PATH) => {
            let report = lock(&shared.load).published(shared.clock.now());
            responder.json(200, &report).await
        }
        ("POST", CHAT_PATH | COMPLETIONS_PATH) => generate(&shared, request, responder).await,
        _ => refuse(responder, 404, "not_found", "no such path").await,
    }
}

fn models(shared: &Shared) -> ModelList {
    let entry = ModelEntry {
        id: shared.options.model.clone(),
        object: "model".to_owned(),
        created: 0,
        owned_by: "standin".to_owned(),
    };
    ModelList {
        object: "list".to_owned(),
        data: vec![entry],
    }
}

async fn refuse(responder: Responder, status: u16, code: &str, message: &str) -> Ending {
    let body = ErrorAnswer::new("engine_error", code, message);
    responder.json(status, &body).await
}

async fn generate(shared: &Shared, request: Request, responder: Responder) -> Ending {
    let number = count_request(shared);
    let is_authorized = is_authorized(shared, &request);
    let parsed = parse(shared, &request, number);
    record(shared, request);
    if !is_authorized {
        lock(&shared.counts).unauthorized += 1;
        return refuse(responder, 401, "invalid_credential", "wrong credential").await;
    }
    let job = match parsed {
        Ok(job) => job,
        Err((status, message)) => {
            return refuse(responder, status, "invalid_request", &message).await
        }
    };
    let running = lock(&shared.load).now().running;
    let fault = lock(&shared.faults).choose(running);
    match fault {
        Some(Fault::Status(status)) => {
            lock(&shared.counts).failed += 1;
            return refuse(responder, status, "overloaded", "fault brought about").await;
        }
        Some(Fault::DieBeforeFirstByte) => {
            lock(&shared.counts).failed += 1;
            return Ending::Closed;
        }
        _ => {}
    }
    let responder = responder
        .with_header("x-engine-request", &job.id)
        .with_header("x-model-version", &shared.options.version);
    run(shared, &job, fault, responder).await
}

fn count_request(shared: &Shared) -> u64 {
    let mut counts = lock(&shared.counts);
    counts.requests += 1;
    counts.requests
}

fn record(shared: &Shared, request: Request) {
    let mut records = lock(&shared.records);
    if records.len() < shared.options.max_records {
        records.push(request);
    }
}

fn is_authorized(shared: &Shared, request: &Request) -> bool {
    let Some(credential) = &shared.options.credential else {
        return true;
    };
    let given = request.header("authorization").unwrap_or_default();
    given.strip_prefix("Bearer ") == Some(credential)
}

fn parse(shared: &Shared, request: &Request, number: u64) -> Result<Job, (u16, String)> {
    let view = RequestView::parse(&request.body).map_err(|err| (400, err.to_string()))?;
    let options = &shared.options;
    if view.model != options.model {
        return Err((404, format!("model `{}` is not loaded", view.model)));
    }
    let longest = view.max_output_tokens().unwrap_or(options.answer_tokens);
    let total = longest.min(options.answer_tokens);
    let resume_from = request.header(RESUME_HEADER).unwrap_or("0");
    let first = resume_from
        .parse::<u64>()
        .map_err(|err| (400, format!("{RESUME_HEADER}: {err}")))?;
    Ok(Job {
        is_chat: request.path() == CHAT_PATH,
        is_stream: view.stream,
        wants_usage: view
            .stream_options
            .is_some_and(|options| options.include_usage),
        id: format!("{}-{}-{number}", options.model, options.version),
        prompt: output::prompt_hash(&view),
        prompt_tokens: view.prompt_bytes().div_ceil(BYTES_PER_TOKEN),
        first: first.min(total),
        total,
        finish_reason: if longest > total { "stop" } else { "length" },
    })
}

async fn run(shared: &Shared, job: &Job, fault: Option<Fault>, responder: Responder) -> Ending {
    let mut running = Running::new(shared, job);
    let Ok(_slot) = shared.slots.acquire().await else {
        return Ending::Closed;
    };
    running.start();
    if let Some(Fault::Late(ms)) = fault {
        sleep(Duration::from_millis(ms)).await;
    }
    wait(shared, first_token_ms(shared, job)).await;
    let ending = if job.is_stream {
        send_stream(shared, job, fault, responder).await
    } else {
        send_whole(shared, job, fault, responder).await
    };
    let is_cut = matches!(fault, Some(Fault::DieAfterBytes(_) | Fault::Short));
    match ending {
        Ok(ending) if !is_cut => {
            running.complete();
            ending
        }
        Ok(ending) => {
            running.fail();
            ending
        }
        Err(_) => {
            if is_cut {
                running.fail();
            }
            Ending::Closed
        }
    }
}

fn first_token_ms(shared: &Shared, job: &Job) -> u64 {
    let prefill_ms = (job.prompt_tokens * 1_000)
        .checked_div(shared.options.prefill_tokens_per_s)
        .unwrap_or(0);
    shared.options.first_token_ms + prefill_ms
}

async fn wait(shared: &Shared, ms: u64) {
    let ms = ms * lock(&shared.faults).slowdown_pct / 100;
    if ms > 0 {
        sleep(Duration::from_millis(ms)).await;
    }
}

async fn send_whole(
    shared: &Shared,
    job: &Job,
    fault: Option<Fault>,
    responder: Responder,
) -> io::Result<Ending> {
    let tokens = job.total - job.first;
    wait(shared, shared.options.token_ms * tokens.saturating_sub(1)).await;
    lock(&shared.counts).tokens += tokens;
    let text = (job.first..job.total).map(|index| output::token(job.prompt, index));
    let body = whole_body(shared, job, text.collect())?;
    let sent = match fault {
        Some(Fault::DieAfterBytes(bytes)) => bytes,
        Some(Fault::Short) => body.len() - 1,
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
    responder: Responder,
) -> io::Result<Ending> {
    let mut body = responder.stream("text/event-stream").await?;
    let mut last = job.total;
    match fault {
        Some(Fault::DieAfterBytes(bytes)) => body.cut_after(Some(bytes)),
        Some(Fault::Short) => last = last.saturating_sub(1).max(job.first),
        _ => {}
    }
    send_tokens(shared, job, job.first..last, &mut body).await?;
    if fault != Some(Fault::Short) {
        body.send(&last_events(shared, job)?).await?;
    }
    Ok(body.finish().await)
}

async fn send_tokens(
    shared: &Shared,
    job: &Job,
    places: std::ops::Range<u64>,
    body: &mut BodyWriter,
) -> io::Result<()> {
    let mut pending = Vec::new();
    for index in places {
        if index > job.first && shared.options.token_ms > 0 {
            body.send(&std::mem::take(&mut pending)).await?;
            wait(shared, shared.options.token_ms).await;
        }
        let text = output::token(job.prompt, index);
        push_event(&mut pending, &chunk(shared, job, Some(text), None, None))?;
        lock(&shared.counts).tokens += 1;
    }
    body.send(&pending).await
}

fn last_events(shared: &Shared, job: &Job) -> io::Result<Vec<u8>> {
    let mut events = Vec::new();
    push_event(
        &mut events,
        &chunk(shared, job, None, Some(job.finish_reason), None),
    )?;
    if job.wants_usage {
        let usage = Usage::new(job.prompt_tokens, job.total);
        push_event(&mut events, &chunk(shared, job, None, None, Some(usage)))?;
    }
    events.extend(format!("data: {DONE}\n\n").bytes());
    Ok(events)
}

/// An event of a stream in either of its forms.
#[derive(Serialize)]
#[serde(untagged)]
enum Chunk {
    Chat(ChatChunk),
    Plain(Completion),
}

fn push_event(events: &mut Vec<u8>, chunk: &Chunk) -> io::Result<()> {
    events.extend(b"data: ");
    serde_json::to_writer(&mut *events, chunk)?;
    events.extend(b"\n\n");
    Ok(())
}

fn chunk(
    shared: &Shared,
    job: &Job,
    text: Option<String>,
    finish_reason: Option<&str>,
    usage: Option<Usage>,
) -> Chunk {
    let finish_reason = finish_reason.map(str::to_owned);
    let id = job.id.clone();
    let model = shared.options.model.clone();
    if job.is_chat {
        let delta = Delta {
            role: None,
            content: text,
        };
        let choice = ChunkChoice {
            index: 0,
            delta,
            finish_reason,
        };
        return Chunk::Chat(ChatChunk {
            id,
            object: "chat.completion.chunk".to_owned(),
            created: 0,
            model,
            choices: if usage.is_some() {
                Vec::new()
            } else {
                vec![choice]
            },
            usage,
        });
    }
    let choice = CompletionChoice {
        index: 0,
        text: text.unwrap_or_default(),
        finish_reason,
    };
    Chunk::Plain(Completion {
        id,
        object: "text_completion".to_owned(),
        created: 0,
        model,
        choices: if usage.is_some() {
            Vec::new()
        } else {
            vec![choice]
        },
        usage,
    })
}

fn whole_body(shared: &Shared, job: &Job, text: String) -> io::Result<Vec<u8>> {
    let id = job.id.clone();
    let model = shared.options.model.clone();
    let usage = Some(Usage::new(job.prompt_tokens, job.total));
    let finish_reason = Some(job.finish_reason.to_owned());
    if job.is_chat {
        let message = AssistantMessage {
            role: "assistant".to_owned(),
            content: Some(text),
        };
        let choice = ChatChoice {
            index: 0,
            message,
            finish_reason,
        };
        return Ok(serde_json::to_vec(&ChatAnswer {
            id,
            object: "chat.completion".to_owned(),
            created: 0,
            model,
            choices: vec![choice],
            usage,
        })?);
    }
    let choice = CompletionChoice {
        index: 0,
        text,
        finish_reason,
    };
    Ok(serde_json::to_vec(&Completion {
        id,
        object: "text_completion".to_owned(),
        created: 0,
        model,
        choices: vec![choice],
        usage,
    })?)
}
