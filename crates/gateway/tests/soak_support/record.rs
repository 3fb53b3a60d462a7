//! Records of callers' requests and their outcomes.

use std::time::Instant;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestKind {
    NonStreamedChat,
    StreamedChat,
    KeyedAction,
    KeylessAction,
    Plain,
}

/// Outcome of a request from the caller's point of view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// The complete response to this request.
    Completed,
    /// A refusal stating that the request did not run, with its status.
    NotRun(u16),
    /// A refusal or a broken response: the request has run or may have run.
    Ambiguous(u16),
    /// No connection was established, so nothing was sent.
    Unsent,
    /// The connection broke before the response headers.
    ConnectionBroken,
    /// No complete response within the caller's timeout.
    TimedOut,
    /// A success with an unexpected response, or a response that does not state its outcome.
    Wrong(String),
}

/// Record of one request of one caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) kind: RequestKind,
    pub(crate) account: String,
    /// Instance that the request was sent to.
    pub(crate) instance: String,
    /// Text unique to the request; repetitions of an action share it.
    pub(crate) marker: String,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
}
