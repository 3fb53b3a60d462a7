//! Encoding of messages.

use super::message::{Message, Opaque};
use super::{MAX_MESSAGE_BYTES, PROTOCOL_VERSIONS};
use serde::{de::DeserializeOwned, Serialize};
use std::{fmt, ops::RangeInclusive};

const KIND_MEMBER: u8 = 1;
const KIND_OPAQUE: u8 = 2;
const KIND_ECHO: u8 = 3;
const KIND_ECHO_REPLY: u8 = 4;
/// Bytes before the body.
const HEAD_BYTES: usize = 2;

/// A message, or one that this build does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A known message.
    Message(Message),
    /// A message of an unknown kind, to be skipped and counted.
    Unknown {
        /// The kind.
        kind: u8,
    },
}

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Fewer bytes than a message has at least.
    TooShort,
    /// This many bytes, more than [`MAX_MESSAGE_BYTES`].
    TooLarge(usize),
    /// A protocol version that this build does not speak.
    Version(u8),
    /// A body that does not fit the kind.
    Body {
        /// The kind.
        kind: u8,
    },
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooShort => write!(f, "message without version and kind"),
            Self::TooLarge(bytes) => {
                write!(
                    f,
                    "message of {bytes} bytes, at most {MAX_MESSAGE_BYTES} are allowed"
                )
            }
            Self::Version(version) => write!(f, "protocol version {version} is not spoken here"),
            Self::Body { kind } => write!(f, "invalid body of a message of kind {kind}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a message for a connection that uses protocol `version`; none if it is larger than
/// [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &Message, version: u8) -> Option<Vec<u8>> {
    let bytes = match message {
        Message::Member(packet) => with_body(version, KIND_MEMBER, packet),
        Message::Opaque(opaque) => with_body(version, KIND_OPAQUE, opaque),
        Message::Echo(number) => with_body(version, KIND_ECHO, number),
        Message::EchoReply(number) => with_body(version, KIND_ECHO_REPLY, number),
    }?;
    (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
}

/// Decodes a message from a peer that speaks one of [`PROTOCOL_VERSIONS`].
///
/// # Errors
///
/// Fails on bytes that are no message of a known version. A kind that is not known is no error.
pub fn decode(bytes: &[u8]) -> Result<Decoded, DecodeError> {
    decode_among(bytes, &PROTOCOL_VERSIONS)
}

fn decode_among(bytes: &[u8], versions: &RangeInclusive<u8>) -> Result<Decoded, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLarge(bytes.len()));
    }
    if bytes.len() < HEAD_BYTES {
        return Err(DecodeError::TooShort);
    }
    let (version, kind, body) = (bytes[0], bytes[1], &bytes[HEAD_BYTES..]);
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
