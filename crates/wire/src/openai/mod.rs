//! The OpenAI-compatible interface, as far as the gateway has to understand it.
//!
//! Requests are relayed as the bytes that came in; [`RequestView`] borrows from them only what
//! placement, limits and accounting need.

mod request;
mod response;

pub use request::{Content, Message, Part, Prompt, RequestView, StreamOptions};
pub use response::{
    AssistantMessage, ChatChoice, ChatChunk, ChatCompletion, ChunkChoice, Completion,
    CompletionChoice, Delta, ErrorDetail, ErrorResponse, ModelEntry, ModelList, Usage,
};

/// Path of chat requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of plain completion requests.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of the list of models.
pub const MODELS_PATH: &str = "/v1/models";

/// Data of the server-sent event that ends a complete stream.
pub const DONE: &str = "[DONE]";
