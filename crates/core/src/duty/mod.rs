//! Duties that one instance at a time performs: which of them this instance holds, with which token,
//! and whether it may send a call now.
//!
//! A duty is held under a lease of the store ([`DutyLease`]). Its token grows with each holder, also
//! across a restore of the store, and is checked by the receiver when it executes a call.

mod rules;
mod state;
mod token;

pub use rules::DutyRules;
pub use state::{
    CallEnd, Candidacy, DutyEffect, DutyEvent, DutyLease, KeyState, TermEnd, UNREACHABLE_CALLS,
};
pub use token::DutyToken;
