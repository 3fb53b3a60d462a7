//! Chat and text completion requests.

use super::de;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Fields of a chat or text completion request that the gateway reads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestView<'a> {
    /// Name of the model.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of output tokens, under the older field name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Maximum number of output tokens, under the newer field name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Number of choices to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u64>,
    /// Messages of a chat request.
    #[serde(borrow, default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message<'a>>,
    /// Prompt of a text completion request.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<Prompt<'a>>,
    /// Options of a streamed response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// Options of a streamed response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk reports the token usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message<'a> {
    /// Role of the author.
    #[serde(borrow)]
    pub role: Cow<'a, str>,
    /// Content of the message; absent in some messages with tool calls.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Content<'a>>,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Content<'a> {
    /// Plain text.
    Text(Cow<'a, str>),
    /// Content parts with text; others, such as images, are left out when a request is parsed.
    Parts(Vec<Part<'a>>),
}

/// One part of a message's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part<'a> {
    /// Text of the part; absent in parts that are not text.
    #[serde(
        borrow,
        default,
        deserialize_with = "de::optional_text",
        skip_serializing_if = "Option::is_none"
    )]
    pub text: Option<Cow<'a, str>>,
}

/// Prompt of a text completion request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Prompt<'a> {
    /// One text.
    Text(Cow<'a, str>),
    /// Several texts; empty ones are left out when a request is parsed.
    Texts(Vec<Cow<'a, str>>),
    /// One text as token IDs.
    Tokens(Vec<u32>),
}

impl<'a> RequestView<'a> {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a JSON object with a model, or if a known field has the
    /// wrong type.
    pub fn parse(body: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }

    /// Maximum number of output tokens that the request asks for; the newer field takes precedence.
    pub fn max_output_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Calls `visit` with each role and text of the prompt, in order.
    pub fn for_each_text(&self, mut visit: impl FnMut(&str)) {
        for message in &self.messages {
            visit(&message.role);
            match &message.content {
                Some(Content::Text(text)) => visit(text),
                Some(Content::Parts(parts)) => {
                    parts
                        .iter()
                        .filter_map(|part| part.text.as_deref())
                        .for_each(&mut visit);
                }
                None => {}
            }
        }
        match &self.prompt {
            Some(Prompt::Text(text)) => visit(text),
            Some(Prompt::Texts(texts)) => texts.iter().for_each(|text| visit(text)),
            Some(Prompt::Tokens(_)) | None => {}
        }
    }

    /// Length of the prompt's roles and texts, in bytes; a token ID counts as four bytes.
    pub fn prompt_bytes(&self) -> u64 {
        let mut bytes = 0;
        self.for_each_text(|text| bytes += text.len() as u64);
        if let Some(Prompt::Tokens(tokens)) = &self.prompt {
            bytes += 4 * tokens.len() as u64;
        }
        bytes
    }
}
