//! Stored record of one action.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::fmt;

/// Maximum response body that is stored for replays, in bytes. The store accepts values of up to one
/// megabyte, and hexadecimal encoding doubles the size of a body.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1_024;

/// Random identifier of the writer of a record.
///
/// Each [`super::Action`] has its own identifier. An instance that finds that identifier in the
/// store therefore knows that its create took effect although the response was lost.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriterId(#[serde_as(as = "Hex")] pub [u8; 16]);

/// Stored body of a response.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// A body in UTF-8.
    #[serde(rename = "t")]
    Text(String),
    /// Any other body.
    #[serde(rename = "x")]
    Binary(#[serde_as(as = "Hex")] Vec<u8>),
    /// The body was longer than [`MAX_OUTCOME_BYTES`] and is not stored.
    #[serde(rename = "l")]
    TooLong,
}

impl StoredBody {
    /// Converts a response body to its stored form.
    pub fn new(bytes: Vec<u8>) -> Self {
        if bytes.len() > MAX_OUTCOME_BYTES {
            return Self::TooLong;
        }
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(err) => Self::Binary(err.into_bytes()),
        }
    }

    /// Returns the bytes of the body, or none if it was too long to store.
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Binary(bytes) => Some(bytes),
            Self::TooLong => None,
        }
    }
}

/// Response of an upstream, stored to be replayed when the same request is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Media type of the body.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// Body.
    #[serde(rename = "b")]
    pub body: StoredBody,
}

/// Value stored under the key of an action.
///
/// A record without an outcome is a claim: the action may have run, may still be running, or may
/// never have been sent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRecord {
    /// Writer that holds the claim.
    #[serde(rename = "w")]
    pub writer: WriterId,
    /// Hash of the request, by [`super::request_hash`].
    #[serde_as(as = "Hex")]
    #[serde(rename = "h")]
    pub request_sha256: [u8; 32],
    /// Outcome, present once the upstream's whole response has arrived.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// Error for a stored value that is not an action record.
#[derive(Debug)]
pub struct RecordError(serde_json::Error);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stored value is not an action record: {}", self.0)
    }
}

impl std::error::Error for RecordError {}

impl ActionRecord {
    /// Encodes the record as it is stored.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has only text keys")
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns an error if the value does not have the format of this version. The caller reports
    /// that to the action as [`super::StoreAnswer::Unreadable`].
    pub fn from_json(bytes: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(bytes).map_err(RecordError)
    }
}
