//! At-most-once execution of non-idempotent actions.
//!
//! An action with an idempotency key is claimed in the store, by a conditional create that succeeds
//! for one writer only, before anything is sent to an upstream. [`Action`] is the state machine of
//! one such request at one instance: it takes events as [`Input`] values and returns [`Effect`]
//! values for the calling module to execute. The store holds one [`ActionRecord`] per key.
//!
//! Without faults an action costs two writes to the store and no read: the create, which returns
//! the existing record if there is one, and the write of the outcome. The record is attached to a
//! lease that is shared by all actions of about one minute ([`LeasePool`]).

mod action;
mod effect;
mod key;
mod lease;
mod record;

pub use action::{Action, ActionSpec, MAX_CLAIM_CALLS, MAX_CONNECT_ATTEMPTS, MAX_PROCESS_PAUSE_MS};
pub use effect::{
    Answer, Effect, Execution, Input, MayHaveRun, NotRun, StoreAnswer, UpstreamEvent,
};
pub use key::{request_hash, KeyError, OnceKey, MAX_IDEMPOTENCY_KEY_BYTES};
pub use lease::{LeaseChoice, LeaseId, LeasePool, LEASE_SHARING_MS};
pub use record::{ActionRecord, Outcome, RecordError, StoredBody, WriterId, MAX_OUTCOME_BYTES};
