//! Limit on the request rate of an upstream that states one in its responses.
//!
//! The limit applies to the requests of all instances together. A few instances use such an upstream,
//! chosen by rendezvous hashing. Each of them keeps a copy of one token bucket: own requests are taken
//! from it at once, those of the others when they report them, and until then by an estimate. So the
//! rate goes to whichever of them has requests, and what several of them send at the same moment is
//! made up for afterwards.

mod gate;
mod news;
mod users;

pub use gate::{LimitReport, RateGate};
pub use news::{parse_rate, InvalidRate, News};
pub use users::{limit_users_among, LimitUsers, MAX_LIMIT_USERS};
