//! The forms of answers.

use super::{completion::Job, Shared};
use carobwheel_wire::openai::{
    AssistantMessage, ChatAnswer, ChatChoice, ChatChunk, ChunkChoice, Completion, CompletionChoice,
    Delta, Usage, DONE,
};
use serde::Serialize;
use std::io;

/// The events that end a stream.
pub(super) fn last_events(shared: &Shared, job: &Job) -> io::Result<Vec<u8>> {
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

/// The event of one token.
pub(super) fn token_event(shared: &Shared, job: &Job, text: String) -> io::Result<Vec<u8>> {
    let mut event = Vec::new();
    push_event(&mut event, &chunk(shared, job, Some(text), None, None))?;
    Ok(event)
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

/// The body of a whole answer.
pub(super) fn whole_body(shared: &Shared, job: &Job, text: String) -> io::Result<Vec<u8>> {
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
