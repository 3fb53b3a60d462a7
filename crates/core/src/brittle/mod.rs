//! Use of an upstream that fails if it has to reject requests too often.
//!
//! Such an upstream states in its responses how many rejections a second it endures from all
//! instances together. While it does, its places are divided among a few instances, chosen by
//! rendezvous hashing: what each of them keeps in flight stays within its share, so that their sum
//! fits whatever they know of each other. Places that the reported load leaves free are lent beyond
//! that, at a rate that the delay of the reports allows.

mod gate;
mod share;
mod statement;

pub use gate::{BrittleGate, Occupancy};
pub use share::{brittle_holders_among, BrittleCapacity, BrittleShare};
pub use statement::{parse_max_rejections, Brittleness, InvalidMaxRejections};
