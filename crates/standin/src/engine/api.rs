//! HTTP endpoints of the engine.

use super::{
    completion::CompletionRequest, fault::Fault, generate, output, Shared, CRASHES_PATH,
    LEAVING_HEADER, RATE_LIMIT_HEADER, RESUME_HEADER,
};
use crate::{
    http::{ConnectionState, Request, Responder},
    lock,
};
use carobwheel_core::route::prefix_hashes;
use carobwheel_wire::{
    openai::{
        ErrorResponse, ModelEntry, ModelList, RequestView, CHAT_PATH, COMPLETIONS_PATH, MODELS_PATH,
    },
    platform::{LoadReport, LOAD_PATH},
};
use std::sync::Arc;

/// Request header with the priority; 0 is the most urgent.
const PRIORITY_HEADER: &str = "x-priority";
/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Answers one request.
pub(super) async fn answer(
    shared: Arc<Shared>,
    request: Request,
    responder: Responder,
) -> ConnectionState {
    match (request.method.as_str(), request.path()) {
        ("GET", MODELS_PATH) => responder.send_json(200, &models(&shared)).await,
        ("GET", CRASHES_PATH) => {
            let crashes = lock(&shared.counts).crashes;
            responder.send_json(200, &crashes).await
        }
        ("GET", "/health") => responder.send_body(200, "text/plain", b"ok").await,
        ("GET", LOAD_PATH) => {
            let report = published_load(&shared);
            responder.send_json(200, &report).await
        }
        ("POST", CHAT_PATH | COMPLETIONS_PATH) => accept(&shared, request, responder).await,
        _ => refuse(responder, 404, "not_found", "no such path").await,
    }
}

fn published_load(shared: &Shared) -> LoadReport {
    let Some(batch_runner) = &shared.batch_runner else {
        return lock(&shared.load).published(shared.clock.now());
    };
    let (report, now_us) = batch_runner.report();
    let requests = u32::try_from(report.requests).unwrap_or(u32::MAX);
    let running = requests.min(shared.options.batch_slots);
    LoadReport {
        running,
        waiting: requests - running,
        waiting_prefill_tokens: report.prompt_tokens,
        age_ms: (now_us - report.measured_at_us) / 1_000,
        ..LoadReport::default()
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

async fn refuse(responder: Responder, status: u16, code: &str, message: &str) -> ConnectionState {
    let body = ErrorResponse::new("engine_error", code, message);
    responder.send_json(status, &body).await
}

async fn accept(shared: &Shared, request: Request, responder: Responder) -> ConnectionState {
    let number = count_request(shared);
    let is_authorized = is_authorized(shared, &request);
    let parsed = parse(shared, &request, number);
    record_request(shared, request);
    if !is_authorized {
        lock(&shared.counts).unauthorized += 1;
        return refuse(responder, 401, "invalid_credential", "wrong credential").await;
    }
    let completion = match parsed {
        Ok(completion) => completion,
        Err((status, message)) => {
            return refuse(responder, status, "invalid_request", &message).await
        }
    };
    let running = lock(&shared.load).current().running;
    let fault = lock(&shared.faults).choose(running);
    match fault {
        Some(Fault::Status(status)) => {
            lock(&shared.counts).failed += 1;
            return refuse(responder, status, "overloaded", "injected fault").await;
        }
        Some(Fault::CloseBeforeFirstByte) => {
            lock(&shared.counts).failed += 1;
            return ConnectionState::Closed;
        }
        _ => {}
    }
    let responder = responder
        .with_header("x-engine-request", &completion.id)
        .with_header("x-model-version", &shared.options.version);
    let rate_limit_per_s = lock(&shared.faults).rate_limit_per_s;
    let responder = match rate_limit_per_s {
        Some(per_s) => responder.with_header(RATE_LIMIT_HEADER, &per_s.to_string()),
        None => responder,
    };
    let responder = if lock(&shared.faults).is_leaving {
        responder.with_header(LEAVING_HEADER, "1")
    } else {
        responder
    };
    generate::run(shared, &completion, fault, responder).await
}

fn count_request(shared: &Shared) -> u64 {
    let mut counts = lock(&shared.counts);
    counts.requests += 1;
    counts.requests
}

fn record_request(shared: &Shared, request: Request) {
    let mut recorded_requests = lock(&shared.recorded_requests);
    if recorded_requests.len() < shared.options.max_records {
        recorded_requests.push(request);
    }
}

fn is_authorized(shared: &Shared, request: &Request) -> bool {
    let Some(credential) = &shared.options.credential else {
        return true;
    };
    let header = request.header("authorization").unwrap_or_default();
    header.strip_prefix("Bearer ") == Some(credential)
}

fn parse(
    shared: &Shared,
    request: &Request,
    number: u64,
) -> Result<CompletionRequest, (u16, String)> {
    let view = RequestView::parse(&request.body).map_err(|err| (400, err.to_string()))?;
    let options = &shared.options;
    if view.model != options.model {
        return Err((404, format!("model `{}` is not loaded", view.model)));
    }
    let max_output_tokens = view.max_output_tokens().unwrap_or(options.answer_tokens);
    let output_tokens = max_output_tokens.min(options.answer_tokens);
    let resume_from = request.header(RESUME_HEADER).unwrap_or("0");
    let resume_from_tokens = resume_from
        .parse::<u64>()
        .map_err(|err| (400, format!("{RESUME_HEADER}: {err}")))?;
    let priority = request.header(PRIORITY_HEADER).unwrap_or("0");
    let priority = priority
        .parse()
        .map_err(|err| (400, format!("{PRIORITY_HEADER}: {err}")))?;
    let mut text = Vec::new();
    view.for_each_text(|piece| text.extend_from_slice(piece.as_bytes()));
    let crash = lock(&shared.faults).prompt_crash.clone();
    Ok(CompletionRequest {
        crash: crash.filter(|crash| crash.is_caused_by(&text)),
        is_chat: request.path() == CHAT_PATH,
        is_stream: view.stream,
        wants_usage: view
            .stream_options
            .is_some_and(|options| options.include_usage),
        id: format!("{}-{}-{number}", options.model, options.version),
        prompt_hash: output::prompt_hash(&view),
        prompt_tokens: view.prompt_bytes().div_ceil(BYTES_PER_TOKEN),
        prefix_hashes: prefix_hashes("", &text, BYTES_PER_TOKEN),
        priority,
        resume_from_tokens: resume_from_tokens.min(output_tokens),
        output_tokens,
        finish_reason: if max_output_tokens > output_tokens {
            "stop"
        } else {
            "length"
        },
    })
}
