//! Continuing a broken stream on another engine.

use std::fmt;

/// What to relay of a piece of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Relay the piece without its first `skip_tokens` tokens, which the caller has.
    Pass {
        /// Tokens at the start of the piece to leave out.
        skip_tokens: u64,
    },
    /// The caller has all of it.
    Drop,
}

/// A stream that does not fit what was relayed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// Tokens are missing before the piece.
    Gap {
        /// Tokens relayed so far.
        relayed_tokens: u64,
        /// Position of the piece's first token.
        position_tokens: u64,
    },
    /// More tokens than the request allows.
    TooLong,
    /// The stream ended before its end was announced.
    CutShort,
    /// A piece came after the end.
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
                "the stream goes on at token {position_tokens}, but only {relayed_tokens} came before"
            ),
            Self::TooLong => f.write_str("the stream has more tokens than were asked for"),
            Self::CutShort => f.write_str("the stream ended without its final event"),
            Self::AfterEnd => f.write_str("the stream goes on after its final event"),
        }
    }
}

impl std::error::Error for StreamError {}

/// What to ask of the next engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// Generated tokens that the caller has; the next engine goes on behind them.
    pub from_tokens: u64,
    /// Most tokens that may still be generated.
    pub remaining_output_tokens: u64,
}

/// What becomes of a stream that broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenStream {
    /// It can go on from another engine.
    Continue(Continuation),
    /// Every token has been relayed; only the final event is missing.
    Complete,
    /// The request is not idempotent: the caller gets an error event.
    Fail,
}

/// How far a stream has been relayed to its caller.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    is_idempotent: bool,
    max_output_tokens: u64,
    /// End of what the caller has, as a position in the whole answer.
    relayed_tokens: u64,
    /// Tokens passed on, counted one piece at a time.
    pub(super) passed_tokens: u64,
    is_ended: bool,
}

impl ResumePoint {
    /// The start of a stream of at most `max_output_tokens`.
    pub fn new(is_idempotent: bool, max_output_tokens: u64) -> Self {
        Self {
            is_idempotent,
            max_output_tokens,
            relayed_tokens: 0,
            passed_tokens: 0,
            is_ended: false,
        }
    }

    /// Takes in a piece of `tokens` tokens whose first one stands at `position_tokens` in the whole
    /// answer, counted from 0.
    ///
    /// # Errors
    ///
    /// Reports tokens that are missing or too many; nothing of the piece may be relayed then.
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
            "a token was doubled or lost"
        );
        Ok(RelayAction::Pass { skip_tokens })
    }

    /// The final event has arrived.
    pub fn on_end(&mut self) {
        self.is_ended = true;
    }

    /// The connection ended.
    ///
    /// # Errors
    ///
    /// Reports an end without the final event.
    pub fn on_close(&self) -> Result<(), StreamError> {
        if self.is_ended {
            return Ok(());
        }
        Err(StreamError::CutShort)
    }

    /// What to do after the stream broke.
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

    /// Tokens that the caller has.
    pub fn relayed_tokens(&self) -> u64 {
        self.relayed_tokens
    }
}
