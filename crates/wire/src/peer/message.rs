//! Kinds of messages between instances.

use carobwheel_core::member::Packet;
use serde::{Deserialize, Serialize};

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A packet of the membership protocol.
    Member(Packet),
    /// A message of another module, which decodes the bytes itself.
    Opaque(Opaque),
    /// Requests a [`Message::EchoReply`], to check that a link in use still carries traffic.
    Echo(u32),
    /// Reply to a [`Message::Echo`], with the same number.
    EchoReply(u32),
}

/// Bytes that only the module registered for `channel` interprets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opaque {
    /// Channel number, which identifies the module.
    pub channel: u8,
    /// Encoded message of the module.
    pub bytes: Vec<u8>,
}

impl Message {
    /// Creates a message for the module registered for `channel`.
    pub const fn opaque(channel: u8, bytes: Vec<u8>) -> Self {
        Self::Opaque(Opaque { channel, bytes })
    }

    /// Whether the receiver always replies, so that a missing reply means a lost message or link.
    pub const fn expects_reply(&self) -> bool {
        match self {
            Self::Member(packet) => packet.body.expects_reply(),
            Self::Echo(_) => true,
            Self::Opaque(_) | Self::EchoReply(_) => false,
        }
    }
}
