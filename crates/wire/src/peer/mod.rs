//! Messages between instances.
//!
//! A message is encoded as one byte for the protocol version, one byte for the message kind, and
//! the body in `postcard` format. Both sides of a connection offer the versions that they support
//! and use the highest common one. A receiver skips and counts messages of an unknown kind, so a
//! newer instance may send new kinds to an older one. The body format of a kind never changes; a
//! changed body gets a new kind.

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

/// Protocol versions that this build supports.
pub const PROTOCOL_VERSIONS: RangeInclusive<u8> = 1..=1;
/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1_024;
/// Maximum size of a message sent as a datagram, in bytes; larger messages use a stream.
pub const MAX_DATAGRAM_BYTES: usize = 1_120;
