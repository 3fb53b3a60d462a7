//! Limit on the request rate of an upstream that states one in its responses.
//!
//! The limit applies to the requests of all instances together. A few instances use such an upstream,
//! chosen by rendezvous hashing. Each of them keeps a copy of one token bucket: own requests are taken
//! from it at once, those of the others when they report them, and until then by an estimate. So the
//! rate goes to whichever of them has requests, and what several of them send at the same moment is
//! made up for afterwards.

mod gate;
mod news;

pub use gate::{LimitReport, LimitUsers, RateGate};
pub use news::{parse_rate, InvalidRate, News};

/// Maximum number of instances that use one limited upstream. All of them may send at the same
/// moment, so the number bounds the burst.
pub const MAX_LIMIT_USERS: usize = 4;
