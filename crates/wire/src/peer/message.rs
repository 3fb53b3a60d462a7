//! The kinds of message.

use carobwheel_core::member::Packet;
use serde::{Deserialize, Serialize};

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A packet of the membership table.
    Member(Packet),
    /// A message of another module, which reads the bytes itself.
    Opaque(Opaque),
    /// Asks for an [`Message::EchoReply`]; proves that a link in use still carries traffic.
    Echo(u32),
    /// Answers an [`Message::Echo`] with its number.
    EchoReply(u32),
}

/// Bytes that only the module behind `channel` reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opaque {
    /// Number of the module.
    pub channel: u8,
    /// Content.
    pub bytes: Vec<u8>,
}

impl Message {
    /// A message of the module behind `channel`.
    pub const fn opaque(channel: u8, bytes: Vec<u8>) -> Self {
        Self::Opaque(Opaque { channel, bytes })
    }

    /// Whether the receiver answers in every case, so that silence means a lost message or link.
    pub const fn expects_reply(&self) -> bool {
        match self {
            Self::Member(packet) => packet.body.expects_reply(),
            Self::Echo(_) => true,
            Self::Opaque(_) | Self::EchoReply(_) => false,
        }
    }
}
