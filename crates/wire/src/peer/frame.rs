//! Heads of the streams between instances.
//!
//! The side that opens a stream writes one length-prefixed head first. What follows depends on the
//! head.

use super::CommonEnds;
use carobwheel_core::id::InstanceId;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Largest head of a stream, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// First words of the side that opened a connection. The receiver verifies the name against the
/// certificate of the connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the instance that opened the connection.
    pub instance: InstanceId,
}

/// What a bidirectional stream asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The document, if its revision is higher than this one. The answer is a
    /// [`DocumentHead`] and the document's bytes.
    Document {
        /// Revision that the asking side has.
        above_revision: u64,
        /// Revision of the document that the answer may build on, or 0 for none.
        base_revision: u64,
    },
    /// A request of a caller, forwarded. The request's body follows the head; the answer is a
    /// [`ForwardHead`] and the answer's body.
    Forward {
        /// Head of the request.
        head: Vec<u8>,
    },
}

/// Bytes of the length before a head, a big-endian number.
pub const LENGTH_BYTES: usize = 4;

/// Encodes a head with its length before it; none if it is larger than [`MAX_HEAD_BYTES`].
pub fn encode_head<T: Serialize>(head: &T) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_extend(head, vec![0; LENGTH_BYTES]).ok()?;
    let length = bytes.len() - LENGTH_BYTES;
    if length > MAX_HEAD_BYTES {
        return None;
    }
    let length = u32::try_from(length).ok()?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}

/// Decodes a head without its length; none if the bytes are not such a head.
pub fn decode_head<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((head, [])) => Some(head),
        _ => None,
    }
}

/// What answers a [`Request::Document`]; the bytes that are not in common with the base follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentHead {
    /// Revision of the document, or 0 if the peer has none above the one asked for.
    pub revision: u64,
    /// SHA-256 digest of the whole document.
    pub sha256: [u8; 32],
    /// What the document has in common with the base; nothing if it comes whole.
    pub common: CommonEnds,
}

/// What answers a [`Request::Forward`]; the answer's body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Head of the answer, read by the modules on either side.
    pub head: Vec<u8>,
}
