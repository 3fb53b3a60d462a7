//! What a caller sent and what it was told.

use std::time::Instant;

/// What kind of request it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    WholeChat,
    StreamedChat,
    KeyedAction,
    KeylessAction,
    Plain,
}

/// What the caller knows at the end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// The whole answer to its own request.
    Whole,
    /// A refusal saying that the request did not run.
    NotRun(u16),
    /// A refusal or a broken answer: it may have run, or has run.
    Ambiguous(u16),
    /// No connection, so nothing was sent.
    Unsent,
    /// The connection broke before the head of an answer.
    Cut,
    /// Nothing within the caller's patience.
    Lost,
    /// A success that is not the answer to this request, or one that says nothing.
    Wrong(String),
}

/// One request of one caller.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) kind: Kind,
    pub(crate) account: String,
    /// Instance that was asked.
    pub(crate) instance: String,
    /// Text that no other action or question contains; repeats of an action share it.
    pub(crate) mark: String,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
}
