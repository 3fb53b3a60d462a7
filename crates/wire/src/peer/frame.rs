//! Heads of the streams between instances.
//!
//! The side that opens a stream first writes one length-prefixed head, which determines what
//! follows.

use super::CommonEnds;
use carobwheel_core::id::InstanceId;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Maximum size of a stream head without its length prefix, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// First message from the side that opened a connection.
///
/// The receiver verifies the name against the certificate of the connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the instance that opened the connection.
    pub instance: InstanceId,
}

/// Request that opens a bidirectional stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Fetches the document if its revision is higher than `above_revision`. The response is a
    /// [`DocumentHead`] followed by the document's bytes, without those in common with the base.
    Document {
        /// Revision that the requesting side has.
        above_revision: u64,
        /// Revision that the response may be a delta against, or 0 for none.
        base_revision: u64,
    },
    /// Forwards a caller's request. The request's body follows the head; the response is a
    /// [`ForwardHead`] followed by the response's body.
    Forward {
        /// Encoded head of the caller's request.
        head: Vec<u8>,
    },
}

/// Size of the big-endian length prefix of a head, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Encodes a head with its length prefix.
///
/// Returns `None` if the head is larger than [`MAX_HEAD_BYTES`].
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

/// Decodes a head without its length prefix.
///
/// Returns `None` if the bytes are not a valid head of type `T`.
pub fn decode_head<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((head, [])) => Some(head),
        _ => None,
    }
}

/// Head of the response to a [`Request::Document`], followed by the bytes of the document that are
/// not in common with the base.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentHead {
    /// Revision of the document, or 0 if the peer has none above the requested one.
    pub revision: u64,
    /// SHA-256 digest of the whole document.
    pub sha256: [u8; 32],
    /// Common prefix and suffix of the document and the base; empty if the whole document is sent.
    pub common: CommonEnds,
}

/// Head of the response to a [`Request::Forward`], followed by the response's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Encoded head of the response, interpreted by the modules on either side.
    pub head: Vec<u8>,
}
