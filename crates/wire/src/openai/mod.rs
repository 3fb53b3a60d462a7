//! The subset of the OpenAI-compatible API that the gateway interprets.
//!
//! Request bodies are forwarded byte for byte; [`RequestView`] borrows from them only the fields
//! that placement, rate limits and accounting need.

mod de;
mod request;
mod response;

pub use request::{Content, Message, Part, Prompt, RequestView, StreamOptions};
pub use response::{
    AssistantMessage, ChatChoice, ChatChunk, ChatCompletion, ChunkChoice, Completion,
    CompletionChoice, Delta, ErrorDetail, ErrorResponse, ModelEntry, ModelList, Usage,
};

/// Path of chat completion requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of text completion requests.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of the model list.
pub const MODELS_PATH: &str = "/v1/models";

/// Data of the server-sent event that marks the end of a complete stream.
pub const DONE: &str = "[DONE]";
