//! Encoding and decoding of messages.

use super::message::{Message, Opaque};
use super::{MAX_MESSAGE_BYTES, PROTOCOL_VERSIONS};
use serde::{de::DeserializeOwned, Serialize};
use std::{fmt, ops::RangeInclusive};

const KIND_MEMBER: u8 = 1;
const KIND_OPAQUE: u8 = 2;
const KIND_ECHO: u8 = 3;
const KIND_ECHO_REPLY: u8 = 4;
/// Bytes of version and kind that precede the body.
const MESSAGE_HEAD_BYTES: usize = 2;

/// Result of decoding bytes that have the form of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A message of a known kind.
    Message(Message),
    /// A message of an unknown kind, which the receiver skips and counts.
    Unknown {
        /// Kind of the message.
        kind: u8,
    },
}

/// Reason for a failure to decode a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Fewer bytes than the version and the kind take.
    TooShort,
    /// More than [`MAX_MESSAGE_BYTES`] bytes, with the actual number.
    TooLarge(usize),
    /// A protocol version that this build does not support.
    Version(u8),
    /// A body that is not valid for its kind.
    Body {
        /// Kind of the message.
        kind: u8,
    },
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooShort => write!(f, "message too short to hold a version and a kind"),
            Self::TooLarge(bytes) => {
                write!(
                    f,
                    "message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
                )
            }
            Self::Version(version) => write!(f, "unsupported protocol version {version}"),
            Self::Body { kind } => write!(f, "invalid body in a message of kind {kind}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a message for a connection that uses protocol `version`.
///
/// Returns `None` if the encoded message is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &Message, version: u8) -> Option<Vec<u8>> {
    let bytes = match message {
        Message::Member(packet) => with_body(version, KIND_MEMBER, packet),
        Message::Opaque(opaque) => with_body(version, KIND_OPAQUE, opaque),
        Message::Echo(number) => with_body(version, KIND_ECHO, number),
        Message::EchoReply(number) => with_body(version, KIND_ECHO_REPLY, number),
    }?;
    (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
}

/// Decodes a message of one of the [`PROTOCOL_VERSIONS`].
///
/// # Errors
///
/// Returns an error if the bytes are not a message of a supported version. An unknown kind is not
/// an error.
pub fn decode(bytes: &[u8]) -> Result<Decoded, DecodeError> {
    decode_among(bytes, &PROTOCOL_VERSIONS)
}

fn decode_among(bytes: &[u8], versions: &RangeInclusive<u8>) -> Result<Decoded, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLarge(bytes.len()));
    }
    if bytes.len() < MESSAGE_HEAD_BYTES {
        return Err(DecodeError::TooShort);
    }
    let (version, kind, body) = (bytes[0], bytes[1], &bytes[MESSAGE_HEAD_BYTES..]);
    if !versions.contains(&version) {
        return Err(DecodeError::Version(version));
    }
    let message = match kind {
        KIND_MEMBER => Message::Member(read_body(kind, body)?),
        KIND_OPAQUE => Message::Opaque(read_body::<Opaque>(kind, body)?),
        KIND_ECHO => Message::Echo(read_body(kind, body)?),
        KIND_ECHO_REPLY => Message::EchoReply(read_body(kind, body)?),
        _ => return Ok(Decoded::Unknown { kind }),
    };
    Ok(Decoded::Message(message))
}

fn with_body<T: Serialize>(version: u8, kind: u8, body: &T) -> Option<Vec<u8>> {
    postcard::to_extend(body, vec![version, kind]).ok()
}

fn read_body<T: DeserializeOwned>(kind: u8, body: &[u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(DecodeError::Body { kind }),
    }
}
