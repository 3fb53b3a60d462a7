//! Answers.

use serde::{Deserialize, Serialize};

/// Tokens that a request has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Tokens of both.
    pub total_tokens: u64,
}

impl Usage {
    /// The usage of a prompt and its answer.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }
}

/// What the assistant says in a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssistantMessage {
    /// Always `assistant`.
    pub role: String,
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

/// One choice of a whole chat answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Place among the choices.
    pub index: u64,
    /// The answer.
    pub message: AssistantMessage,
    /// Why the answer ended, such as `stop` or `length`.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// A whole chat answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Name of the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Time of the answer, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// The choices.
    pub choices: Vec<ChatChoice>,
    /// Tokens used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// New text of a streamed chat answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Who speaks; in the first chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Place among the choices.
    pub index: u64,
    /// New text.
    pub delta: Delta,
    /// Why the answer ended; in the last chunk of a choice only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One event of a streamed chat answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Name of the answer; the same in all its chunks.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Time of the answer, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// The choices; empty in a chunk that reports usage.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used, in the last chunk when the request asks for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of a plain completion, whole or as a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Place among the choices.
    pub index: u64,
    /// The text.
    pub text: String,
    /// Why the answer ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// A plain completion, whole or as one event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Name of the answer.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// Time of the answer, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// The choices.
    pub choices: Vec<CompletionChoice>,
    /// Tokens used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Body of a refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For people.
    pub message: String,
    /// Kind of error, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Field of the request at fault.
    #[serde(default)]
    pub param: Option<String>,
    /// For programs, such as `rate_limit_exceeded`.
    #[serde(default)]
    pub code: Option<String>,
}

impl ErrorResponse {
    /// An error without a field at fault.
    pub fn new(kind: &str, code: &str, message: impl Into<String>) -> Self {
        Self {
            error: ErrorDetail {
                message: message.into(),
                kind: kind.to_owned(),
                param: None,
                code: Some(code.to_owned()),
            },
        }
    }
}

/// One model in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Time of the model, in seconds since the Unix epoch.
    pub created: u64,
    /// Who offers the model.
    pub owned_by: String,
}

/// Answer of `/v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelEntry>,
}
