//! Store keys of action records, and request hashes.

use crate::id::AccountId;
use sha2::{Digest, Sha256};
use std::fmt;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Error for an invalid idempotency key (HTTP status 400).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters"
        )
    }
}

impl std::error::Error for KeyError {}

/// Store key of the record of one action.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OnceKey(String);

impl OnceKey {
    /// Builds the key `once/<account>/<idempotency key>`.
    ///
    /// # Errors
    ///
    /// Returns an error unless the idempotency key consists of 1 to [`MAX_IDEMPOTENCY_KEY_BYTES`]
    /// visible ASCII characters.
    pub fn new(account: &AccountId, idempotency_key: &str) -> Result<Self, KeyError> {
        let is_length_valid = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&idempotency_key.len());
        let is_visible = idempotency_key.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_length_valid || !is_visible {
            return Err(KeyError);
        }
        Ok(Self(format!("once/{account}/{idempotency_key}")))
    }

    /// Returns the key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Hashes method, path with query, and body. Requests with equal hashes are the same action.
pub fn request_hash(method: &str, path_and_query: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
