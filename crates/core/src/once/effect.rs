//! Events that an action takes and effects that it asks for.

use super::{ActionRecord, OnceKey, Outcome};
use crate::time::Millis;

/// Whether a request ran at an upstream, as told to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// No upstream ran the request, and none will.
    NotRun,
    /// An upstream may have run the request or may still run it.
    MayHaveRun,
    /// An upstream ran the request.
    Ran,
}

/// Answer of the store to a create, a read or the write of an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect.
    Written {
        /// Revision of the store at which the key was written.
        revision: u64,
    },
    /// The key is present; the write, if it was one, had no effect.
    Found {
        /// Record under the key.
        record: ActionRecord,
        /// Revision of the store at which the key was last written.
        revision: u64,
    },
    /// The key is present with a value that is not a record.
    Unreadable,
    /// The key is absent; the write of an outcome, if it was one, had no effect.
    Absent,
    /// The call may or may not have taken effect: it timed out or its connection broke.
    Lost,
    /// The call surely had no effect: no connection, or the budget of calls is exhausted.
    NotSent,
}

/// What becomes of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// The dispatch ended before the whole answer was there.
    Failed {
        /// Whether any byte of the request may have reached the upstream.
        may_have_sent_bytes: bool,
    },
    /// The upstream itself says that it did not run the request.
    Refused,
    /// The head of the answer arrived; the answer is relayed from now on.
    Head,
    /// The whole answer arrived.
    Done(Outcome),
}

/// An event that an action takes.
///
/// Events carry the number of the call that they answer. Answers to earlier calls, which arrive
/// late or twice, are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The store answered, or the call ended without an answer.
    Store {
        /// Number of the call.
        call: u32,
        /// The answer.
        answer: StoreAnswer,
    },
    /// News of a dispatch.
    Upstream {
        /// Number of the call.
        call: u32,
        /// The event.
        event: UpstreamEvent,
    },
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The caller has gone; there is nobody to answer.
    CallerGone,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// The claim could not be made: the store is down, slow, or the budget of calls is exhausted
    /// (503).
    StoreUnavailable,
    /// No upstream could be reached, or the upstream refused the request (503).
    UpstreamUnavailable,
    /// The deadline passed before anything was sent (504).
    DeadlinePassed,
    /// The same idempotency key came with another request (422).
    KeyReused,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MayHaveRun {
    /// The dispatch ended after bytes had left (502).
    UpstreamLost,
    /// The deadline passed after bytes had left (504).
    DeadlinePassed,
    /// A request with the same key is running, or ended without a known outcome (409).
    Unfinished,
    /// The store holds something under the key that this version cannot read (500).
    Unreadable,
}

/// The final answer to the caller, other than a relayed one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    MayHaveRun(MayHaveRun),
    /// The request ran before; this is its answer.
    Replay(Outcome),
    /// The request ran before; its answer was too long to keep (409).
    ReplayUnavailable {
        /// Status of the first answer.
        status: u16,
    },
}

impl Answer {
    /// Whether the request ran.
    pub fn run(&self) -> Execution {
        match self {
            Self::NotRun(_) => Execution::NotRun,
            Self::MayHaveRun(_) => Execution::MayHaveRun,
            Self::Replay(_) | Self::ReplayUnavailable { .. } => Execution::Ran,
        }
    }
}

/// What an action asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Create the key unless it is present; return the present record if it is.
    Create {
        /// Number of the call.
        call: u32,
        /// Key to create.
        key: OnceKey,
        /// Value to write.
        record: ActionRecord,
        /// Time for which the record has to live from now on, in milliseconds.
        life_ms: u64,
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
    /// Begin to relay the answer of the upstream to the caller, as run.
    Relay,
    /// Write the outcome if the key was last written at `revision`, keeping its lease.
    WriteOutcome {
        /// Number of the call.
        call: u32,
        /// Key to write.
        key: OnceKey,
        /// Value to write.
        record: ActionRecord,
        /// Revision of the claim.
        revision: u64,
        /// Time before which the call has to wait.
        not_before: Millis,
    },
    /// Delete the key if it still holds exactly `record`; the answer does not matter.
    Release {
        /// Key to delete.
        key: OnceKey,
        /// Value that the key has to hold.
        record: ActionRecord,
    },
    /// Answer the caller.
    Answer(Answer),
    /// The action needs nothing more.
    End,
}
