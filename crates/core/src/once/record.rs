//! The record of one action in the store.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::fmt;

/// Longest body that is kept for repeats, in bytes. The store holds values up to one megabyte,
/// and a body in hexadecimal digits doubles.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1_024;

/// Random mark that tells one writer's create from every other one's.
///
/// A mark is drawn for each [`super::Action`], so that an instance that finds its own mark in the
/// store knows that its create took effect although the answer was lost.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriterId(#[serde_as(as = "Hex")] pub [u8; 16]);

/// A kept body.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// A body in UTF-8.
    #[serde(rename = "t")]
    Text(String),
    /// Any other body.
    #[serde(rename = "x")]
    Binary(#[serde_as(as = "Hex")] Vec<u8>),
    /// The body was longer than [`MAX_OUTCOME_BYTES`] and is not kept.
    #[serde(rename = "l")]
    TooLong,
}

impl StoredBody {
    /// The body to keep of an answer of `bytes`.
    pub fn new(bytes: Vec<u8>) -> Self {
        if bytes.len() > MAX_OUTCOME_BYTES {
            return Self::TooLong;
        }
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(err) => Self::Binary(err.into_bytes()),
        }
    }

    /// The bytes of the body, or none if it is not kept.
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Binary(bytes) => Some(bytes),
            Self::TooLong => None,
        }
    }
}

/// The answer of an upstream, kept for repeats of the same request.
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

/// Value of the store under the key of an action.
///
/// A record without an outcome is a claim: the action may have run, may be running, or may never
/// have been sent.
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
    /// Outcome, once the upstream has answered in full.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// A value of the store that is not a record.
#[derive(Debug)]
pub struct RecordError(serde_json::Error);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a record of an action: {}", self.0)
    }
}

impl std::error::Error for RecordError {}

impl ActionRecord {
    /// The record as stored.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has only text keys")
    }

    /// Reads a stored record.
    ///
    /// # Errors
    ///
    /// Fails on a value that this version did not write; the caller reports it to the action as
    /// [`super::StoreAnswer::Unreadable`].
    pub fn from_json(bytes: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(bytes).map_err(RecordError)
    }
}
