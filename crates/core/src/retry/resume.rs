//! Resumption of a broken stream on another engine.

use std::fmt;

/// Action for a received piece of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Relay the piece without its first `skip_tokens` tokens, which were already relayed.
    Pass {
        /// Number of tokens to skip at the start of the piece.
        skip_tokens: u64,
    },
    /// Drop the piece; all of it was already relayed.
    Drop,
}

/// Inconsistency of a stream with what was relayed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// Tokens are missing before the piece.
    Gap {
        /// Number of tokens relayed so far.
        relayed_tokens: u64,
        /// Position of the piece's first token.
        position_tokens: u64,
    },
    /// The stream has more tokens than the request allows.
    TooLong,
    /// The stream ended without its final event.
    CutShort,
    /// A piece arrived after the final event.
    AfterEnd,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap {
                relayed_tokens,
                position_tokens,
            } => write!(
                f,
                "the stream continues at token {position_tokens}, but only {relayed_tokens} were relayed"
            ),
            Self::TooLong => f.write_str("the stream has more tokens than requested"),
            Self::CutShort => f.write_str("the stream ended without its final event"),
            Self::AfterEnd => f.write_str("the stream continues after its final event"),
        }
    }
}

impl std::error::Error for StreamError {}

/// Continuation of a stream to request from another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// Number of generated tokens already relayed, after which the next engine continues.
    pub from_tokens: u64,
    /// Maximum number of further output tokens.
    pub remaining_output_tokens: u64,
}

/// Action for a broken stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenStream {
    /// Continue the stream on another engine.
    Continue(Continuation),
    /// Complete the stream: every token was relayed and at most the final event is missing.
    Complete,
    /// Fail with an error event to the caller, since the request is not idempotent.
    Fail,
}

/// Position up to which a stream has been relayed to its caller.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    is_idempotent: bool,
    max_output_tokens: u64,
    /// Position in the whole answer up to which it has been relayed.
    relayed_tokens: u64,
    /// Number of relayed tokens, summed over the pieces as a cross-check of `relayed_tokens`.
    pub(super) passed_tokens: u64,
    is_ended: bool,
}

impl ResumePoint {
    /// Creates the resume point at the start of a stream of at most `max_output_tokens`.
    pub fn new(is_idempotent: bool, max_output_tokens: u64) -> Self {
        Self {
            is_idempotent,
            max_output_tokens,
            relayed_tokens: 0,
            passed_tokens: 0,
            is_ended: false,
        }
    }

    /// Handles a piece of `tokens` tokens whose first token is at the zero-based position
    /// `position_tokens` in the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error for missing tokens, too many tokens, and tokens after the final event. The
    /// piece must not be relayed then.
    ///
    /// # Panics
    ///
    /// Panics if a token was duplicated or lost, which is a bug.
    pub fn on_piece(
        &mut self,
        position_tokens: u64,
        tokens: u64,
    ) -> Result<RelayAction, StreamError> {
        if self.is_ended {
            return Err(StreamError::AfterEnd);
        }
        if position_tokens > self.relayed_tokens {
            return Err(StreamError::Gap {
                relayed_tokens: self.relayed_tokens,
                position_tokens,
            });
        }
        let end_tokens = position_tokens.saturating_add(tokens);
        if end_tokens > self.max_output_tokens {
            return Err(StreamError::TooLong);
        }
        if end_tokens <= self.relayed_tokens {
            return Ok(RelayAction::Drop);
        }
        let skip_tokens = self.relayed_tokens - position_tokens;
        self.relayed_tokens = end_tokens;
        self.passed_tokens += tokens - skip_tokens;
        assert_eq!(
            self.passed_tokens, self.relayed_tokens,
            "a token was duplicated or lost"
        );
        Ok(RelayAction::Pass { skip_tokens })
    }

    /// Records the final event of the stream.
    pub fn on_end(&mut self) {
        self.is_ended = true;
    }

    /// Checks that the final event had arrived when the connection closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ended without its final event.
    pub fn on_close(&self) -> Result<(), StreamError> {
        if self.is_ended {
            return Ok(());
        }
        Err(StreamError::CutShort)
    }

    /// Returns the action after the stream broke.
    pub fn on_break(&self) -> BrokenStream {
        let remaining_output_tokens = self.max_output_tokens - self.relayed_tokens;
        if self.is_ended || remaining_output_tokens == 0 {
            return BrokenStream::Complete;
        }
        if !self.is_idempotent {
            return BrokenStream::Fail;
        }
        BrokenStream::Continue(Continuation {
            from_tokens: self.relayed_tokens,
            remaining_output_tokens,
        })
    }

    /// Returns the number of tokens relayed to the caller.
    pub fn relayed_tokens(&self) -> u64 {
        self.relayed_tokens
    }
}
