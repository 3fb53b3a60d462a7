//! Input events and effects of the action state machine.

use super::{ActionRecord, OnceKey, Outcome};
use crate::time::Millis;

/// Execution status of a request at the upstreams, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// No upstream ran the request, and none will.
    NotRun,
    /// An upstream may have run the request, or may still run it.
    MayHaveRun,
    /// An upstream ran the request.
    Ran,
}

/// Result of a store call: a create, a read or the write of an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect.
    Written {
        /// Store revision at which the key was written.
        revision: u64,
    },
    /// The key exists; a write had no effect.
    Found {
        /// Record stored under the key.
        record: ActionRecord,
        /// Store revision at which the key was last written.
        revision: u64,
    },
    /// The key exists with a value that is not an action record.
    Unreadable,
    /// The key does not exist; the write of an outcome had no effect.
    Absent,
    /// Unknown whether the call took effect: it timed out or its connection broke.
    Lost,
    /// The call had no effect: there was no connection, or the call budget is exhausted.
    NotSent,
}

/// Event of a dispatch to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// The dispatch failed before the whole response had arrived.
    Failed {
        /// Whether any byte of the request may have reached the upstream.
        may_have_sent_bytes: bool,
    },
    /// The upstream reported that it did not run the request.
    Refused,
    /// The head of the response arrived; the response can be relayed from now on.
    Head,
    /// The whole response arrived.
    Done(Outcome),
}

/// Input event of an action.
///
/// Events carry the number of the call that they belong to. Results of earlier calls, which arrive
/// late or twice, are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A store call completed or failed.
    Store {
        /// Number of the call.
        call: u32,
        /// Result of the call.
        answer: StoreAnswer,
    },
    /// A dispatch to an upstream progressed, completed or failed.
    Upstream {
        /// Number of the call.
        call: u32,
        /// The event.
        event: UpstreamEvent,
    },
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The caller has disconnected; no response is needed.
    CallerGone,
}

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// The claim could not be written: the store is down or slow, or the call budget is exhausted
    /// (503).
    StoreUnavailable,
    /// No upstream could be reached, or the upstream refused the request (503).
    UpstreamUnavailable,
    /// The deadline passed before anything was sent (504).
    DeadlinePassed,
    /// The idempotency key was used for a different request before (422).
    KeyReused,
}

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MayHaveRun {
    /// The dispatch failed after bytes of the request may have been sent (502).
    UpstreamLost,
    /// The deadline passed after bytes of the request may have been sent (504).
    DeadlinePassed,
    /// A request with the same key is in progress, or ended without a recorded outcome (409).
    Unfinished,
    /// The value stored under the key cannot be decoded by this version (500).
    Unreadable,
}

/// Final answer to the caller that is not a relayed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    MayHaveRun(MayHaveRun),
    /// The request ran before; this is its stored response.
    Replay(Outcome),
    /// The request ran before; its response body was too long to store (409).
    ReplayUnavailable {
        /// HTTP status of the original response.
        status: u16,
    },
}

impl Answer {
    /// Returns the execution status that the answer reports.
    pub fn run(&self) -> Execution {
        match self {
            Self::NotRun(_) => Execution::NotRun,
            Self::MayHaveRun(_) => Execution::MayHaveRun,
            Self::Replay(_) | Self::ReplayUnavailable { .. } => Execution::Ran,
        }
    }
}

/// Operation that the caller of the state machine has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Create the key if it does not exist; otherwise return the existing record.
    Create {
        /// Number of the call.
        call: u32,
        /// Key to create.
        key: OnceKey,
        /// Value to write.
        record: ActionRecord,
        /// Minimum lifetime of the record from now, in milliseconds.
        lifetime_ms: u64,
    },
    /// Read the key on a fresh connection.
    ReadBack {
        /// Number of the call.
        call: u32,
        /// Key to read.
        key: OnceKey,
    },
    /// Connect to an upstream, ask [`super::Action::permit_send`], and send the request.
    Dispatch {
        /// Number of the call.
        call: u32,
        /// No byte may be sent at or after this time.
        send_before: Millis,
    },
    /// Start relaying the upstream's response to the caller, with execution status `ran`.
    Relay,
    /// Write the outcome if the key was last written at `revision`; the key keeps its lease.
    WriteOutcome {
        /// Number of the call.
        call: u32,
        /// Key to write.
        key: OnceKey,
        /// Value to write.
        record: ActionRecord,
        /// Store revision of the claim.
        revision: u64,
        /// Earliest time of the call.
        not_before: Millis,
    },
    /// Delete the key if its value still equals `record`; the result is not reported back.
    Release {
        /// Key to delete.
        key: OnceKey,
        /// Value that the key must have to be deleted.
        record: ActionRecord,
    },
    /// Send the answer to the caller.
    Answer(Answer),
    /// The action is complete.
    End,
}
