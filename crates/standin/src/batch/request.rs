//! Requests to an engine and the tokens that it gives.

/// Name of a request within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchRequestId(pub u64);

/// A request to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRequest {
    /// Name of the request.
    pub id: BatchRequestId,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes, one a block.
    pub prefix_hashes: Vec<u64>,
    /// Length of the whole answer, in tokens.
    pub output_tokens: u64,
    /// Tokens of the answer that the caller has from another engine; read like a prompt.
    pub resume_from_tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// A token that an engine has generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The request that it belongs to.
    pub request_id: BatchRequestId,
    /// Its position in the whole answer, from 0.
    pub position: u64,
    /// It is the last one of the answer.
    pub is_last: bool,
}

/// A request that the engine holds.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) job: BatchRequest,
    pub(super) unread_tokens: u64,
    pub(super) made_tokens: u64,
    pub(super) step_read_tokens: u64,
}

impl Running {
    pub(super) fn is_decoding(&self) -> bool {
        self.unread_tokens == 0
    }
}
