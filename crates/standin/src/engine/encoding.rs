//! Encoding of answers as JSON and server-sent events.

use super::{completion::CompletionRequest, Shared};
use carobwheel_wire::openai::{
    AssistantMessage, ChatChoice, ChatChunk, ChatCompletion, ChunkChoice, Completion,
    CompletionChoice, Delta, Usage, DONE,
};
use serde::Serialize;
use std::io;

/// Encodes the events that end a stream.
pub(super) fn last_events(shared: &Shared, completion: &CompletionRequest) -> io::Result<Vec<u8>> {
    let mut events = Vec::new();
    push_event(
        &mut events,
        &chunk(
            shared,
            completion,
            None,
            Some(completion.finish_reason),
            None,
        ),
    )?;
    if completion.wants_usage {
        let usage = Usage::new(completion.prompt_tokens, completion.output_tokens);
        push_event(
            &mut events,
            &chunk(shared, completion, None, None, Some(usage)),
        )?;
    }
    events.extend(format!("data: {DONE}\n\n").bytes());
    Ok(events)
}

/// Encodes the event of one token.
pub(super) fn token_event(
    shared: &Shared,
    completion: &CompletionRequest,
    text: String,
) -> io::Result<Vec<u8>> {
    let mut event = Vec::new();
    push_event(
        &mut event,
        &chunk(shared, completion, Some(text), None, None),
    )?;
    Ok(event)
}

/// Event of a chat or a plain completion stream.
#[derive(Serialize)]
#[serde(untagged)]
enum StreamChunk {
    Chat(ChatChunk),
    Plain(Completion),
}

fn push_event(events: &mut Vec<u8>, chunk: &StreamChunk) -> io::Result<()> {
    events.extend(b"data: ");
    serde_json::to_writer(&mut *events, chunk)?;
    events.extend(b"\n\n");
    Ok(())
}

fn chunk(
    shared: &Shared,
    completion: &CompletionRequest,
    text: Option<String>,
    finish_reason: Option<&str>,
    usage: Option<Usage>,
) -> StreamChunk {
    let finish_reason = finish_reason.map(str::to_owned);
    let id = completion.id.clone();
    let model = shared.options.model.clone();
    if completion.is_chat {
        let delta = Delta {
            role: None,
            content: text,
        };
        let choice = ChunkChoice {
            index: 0,
            delta,
            finish_reason,
        };
        return StreamChunk::Chat(ChatChunk {
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
    StreamChunk::Plain(Completion {
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

/// Encodes the body of an answer that is not streamed.
pub(super) fn whole_body(
    shared: &Shared,
    completion: &CompletionRequest,
    text: String,
) -> io::Result<Vec<u8>> {
    let id = completion.id.clone();
    let model = shared.options.model.clone();
    let usage = Some(Usage::new(
        completion.prompt_tokens,
        completion.output_tokens,
    ));
    let finish_reason = Some(completion.finish_reason.to_owned());
    if completion.is_chat {
        let message = AssistantMessage {
            role: "assistant".to_owned(),
            content: Some(text),
        };
        let choice = ChatChoice {
            index: 0,
            message,
            finish_reason,
        };
        return Ok(serde_json::to_vec(&ChatCompletion {
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
