//! Requests to a simulated engine and the tokens that it generates.

/// Identifier of a request, unique within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchRequestId(pub u64);

/// Request to a simulated engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRequest {
    /// Identifier of the request.
    pub id: BatchRequestId,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes, one per cache block.
    pub prefix_hashes: Vec<u64>,
    /// Length of the complete answer, in tokens.
    pub output_tokens: u64,
    /// Number of answer tokens that the caller already has from another engine. They need prefill
    /// like a prompt.
    pub resume_from_tokens: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Token that an engine has generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Request that the token belongs to.
    pub request_id: BatchRequestId,
    /// Position of the token in the complete answer, from 0.
    pub position: u64,
    /// True for the last token of the answer.
    pub is_last: bool,
}

/// Request in the batch, with its progress.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    pub(super) request: BatchRequest,
    pub(super) remaining_prefill_tokens: u64,
    pub(super) generated_tokens: u64,
    pub(super) step_prefill_tokens: u64,
}

impl ActiveRequest {
    pub(super) fn is_decoding(&self) -> bool {
        self.remaining_prefill_tokens == 0
    }
}
