//! At-most-once execution of non-idempotent actions.
//!
//! An action that carries an idempotency key is claimed in the store, by a create that only one
//! writer can win, before anything is sent to an upstream. [`Action`] is the state machine of one
//! such request at one instance: it takes events as [`Input`] values and returns [`Effect`] values
//! for the caller of this module to carry out. The store holds one [`ActionRecord`] for each key.
//!
//! In the ordinary case an action costs two writes of the store and no read: the create, which
//! returns the present record when it loses, and the write of the outcome. Both hang on a lease
//! shared by all actions of about a minute ([`LeasePool`]).

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
