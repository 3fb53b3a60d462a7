//! Responses.

use serde::{Deserialize, Serialize};

/// Token usage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated.
    pub completion_tokens: u64,
    /// Sum of the prompt and generated tokens.
    pub total_tokens: u64,
}

impl Usage {
    /// Creates the usage of a prompt and its completion.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }
}

/// Message generated in a non-streaming chat completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssistantMessage {
    /// Always `assistant`.
    pub role: String,
    /// Generated text.
    #[serde(default)]
    pub content: Option<String>,
}

/// One choice of a non-streaming chat completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Index in the list of choices.
    pub index: u64,
    /// Generated message.
    pub message: AssistantMessage,
    /// Reason for the end of generation, such as `stop` or `length`.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// A non-streaming chat completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Response ID.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// Choices.
    pub choices: Vec<ChatChoice>,
    /// Token usage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Text added by one chunk of a streamed chat completion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Role of the author; in the first chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Generated text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice of a chat completion chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Index in the list of choices.
    pub index: u64,
    /// Text added since the previous chunk.
    pub delta: Delta,
    /// Reason for the end of generation; in the last chunk of a choice only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One event of a streamed chat completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Response ID, the same in all chunks of a response.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// Choices; empty in a chunk that reports usage.
    pub choices: Vec<ChunkChoice>,
    /// Token usage; in the last chunk only, and only if the request asks for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of a text completion, in a non-streaming response or in a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Index in the list of choices.
    pub index: u64,
    /// Generated text.
    pub text: String,
    /// Reason for the end of generation.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// A text completion: a non-streaming response or one event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Response ID.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// Creation time, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// Choices.
    pub choices: Vec<CompletionChoice>,
    /// Token usage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Human-readable message.
    pub message: String,
    /// Error type, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Request field that caused the error.
    #[serde(default)]
    pub param: Option<String>,
    /// Machine-readable code, such as `rate_limit_exceeded`.
    #[serde(default)]
    pub code: Option<String>,
}

impl ErrorResponse {
    /// Creates an error that is not attributed to a request field.
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

/// One model of a [`ModelList`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Creation time of the model, in seconds since the Unix epoch.
    pub created: u64,
    /// Owner of the model.
    pub owned_by: String,
}

/// Response of `/v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// Available models.
    pub data: Vec<ModelEntry>,
}
