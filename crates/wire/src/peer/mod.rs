//! Messages between instances.
//!
//! A message is encoded as one byte of protocol version, one byte of kind, and the body in
//! `postcard`. Both sides of a connection offer the versions that they speak and use the highest
//! common one. A kind that the receiver does not know is skipped and counted, so a newer instance
//! may send new kinds to an older one. The body of a kind never changes; a changed body gets a new
//! kind.

mod codec;
mod delta;
mod frame;
mod message;
#[cfg(test)]
mod tests;

pub use codec::{decode, encode, DecodeError, Decoded};
pub use delta::{apply_delta, changed_middle, common_ends, CommonEnds};
pub use frame::{
    decode_head, encode_head, DocumentHead, ForwardHead, Hello, Request, LENGTH_BYTES,
    MAX_HEAD_BYTES,
};
pub use message::{Message, Opaque};

use std::ops::RangeInclusive;

/// Protocol versions that this build speaks.
pub const PROTOCOL_VERSIONS: RangeInclusive<u8> = 1..=1;
/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1_024;
/// Largest message that is sent as a datagram, in bytes; larger ones take a stream.
pub const MAX_DATAGRAM_BYTES: usize = 1_120;
