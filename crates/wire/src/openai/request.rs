//! Requests.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// What the gateway reads of a chat or completion request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestView<'a> {
    /// Name of the model.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// The answer comes as a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// Most output tokens, by the older name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Most output tokens, by the newer name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Number of answers wanted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u64>,
    /// Messages of a chat request.
    #[serde(borrow, default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message<'a>>,
    /// Prompt of a completion request.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<Prompt<'a>>,
    /// Settings of the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// Settings of a streamed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// A last chunk reports the tokens used.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message<'a> {
    /// Who speaks.
    #[serde(borrow)]
    pub role: Cow<'a, str>,
    /// What is said; absent in some messages about tools.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Content<'a>>,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content<'a> {
    /// Plain text.
    Text(#[serde(borrow)] Cow<'a, str>),
    /// Parts of several kinds.
    Parts(#[serde(borrow)] Vec<Part<'a>>),
}

/// One part of a message's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part<'a> {
    /// Text of the part; absent in parts of other kinds.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
}

/// Prompt of a completion request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt<'a> {
    /// One text.
    Text(#[serde(borrow)] Cow<'a, str>),
    /// Several texts.
    Texts(Vec<String>),
    /// One text as token numbers.
    Tokens(Vec<u32>),
}

impl<'a> RequestView<'a> {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Fails when the body is not a JSON object with a model, or a known field has another type.
    pub fn parse(body: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }

    /// Most output tokens that the request asks for; the newer name wins.
    pub fn max_output_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Calls `visit` with each piece of the prompt's text, in order.
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

    /// Length of the prompt's text, in bytes. A token number counts as four bytes.
    pub fn prompt_bytes(&self) -> u64 {
        let mut bytes = 0;
        self.for_each_text(|text| bytes += text.len() as u64);
        if let Some(Prompt::Tokens(tokens)) = &self.prompt {
            bytes += 4 * tokens.len() as u64;
        }
        bytes
    }
}
