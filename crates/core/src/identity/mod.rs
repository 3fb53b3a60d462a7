//! Identification of client accounts by callers' API keys.
//!
//! A [`KeyTable`] is built from a configuration document and replaced as a whole by the next one.
//! It holds only digests. A lookup hashes the presented key and compares digests, so its duration
//! does not reveal how many characters of a guessed key are correct.

use crate::document::Document;
use crate::id::{AccountId, KeyId};
use sha2::{Digest, Sha256};
use std::{collections::HashMap, fmt};

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// SHA-256 digest of a key.
pub type KeyDigest = [u8; 32];

/// Digest that represents a key in the document.
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// Account and key that a caller has been identified with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// Client account of the key.
    pub account: AccountId,
    /// Identifier of the key.
    pub key: KeyId,
    /// Digest of the key, for validation against later documents.
    pub digest: KeyDigest,
}

/// Result of looking up the key that a caller presented.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// No key was presented.
    Anonymous,
    /// The key belongs to a client account.
    Known(Credential),
    /// The key belongs to no account: mistyped, never issued, or withdrawn.
    Unknown,
    /// The presented key is empty or longer than [`MAX_KEY_BYTES`].
    Malformed,
}

/// Reason why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityRefusal {
    /// The route requires a key and none was presented (401).
    Missing,
    /// The key belongs to no account (401).
    Unknown,
    /// The presented key is malformed (401).
    Malformed,
}

impl fmt::Display for IdentityRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "a key is needed",
            Self::Unknown => "the key is unknown or withdrawn",
            Self::Malformed => "the key is malformed",
        })
    }
}

impl std::error::Error for IdentityRefusal {}

/// Caller of an admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Caller without a key on an open route; not charged to any account.
    Open,
    /// Caller of a client account.
    Account(Credential),
}

impl Identity {
    /// Admits the caller to a route, which is `open` if it requires no key.
    ///
    /// # Errors
    ///
    /// Fails if the route requires a key and none was presented, or if the key is unknown or
    /// malformed. A wrong key is refused on open routes too, so that a request never runs uncharged
    /// although its caller expects it to be charged to an account.
    pub fn admit(self, open: bool) -> Result<Caller, IdentityRefusal> {
        match self {
            Self::Known(credential) => Ok(Caller::Account(credential)),
            Self::Anonymous if open => Ok(Caller::Open),
            Self::Anonymous => Err(IdentityRefusal::Missing),
            Self::Unknown => Err(IdentityRefusal::Unknown),
            Self::Malformed => Err(IdentityRefusal::Malformed),
        }
    }
}

/// Client accounts and key identifiers by key digest.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    holders: HashMap<KeyDigest, (AccountId, KeyId)>,
}

impl KeyTable {
    /// Creates the table of all keys in `document`.
    pub fn new(document: &Document) -> Self {
        let mut holders = HashMap::with_capacity(document.accounts.len());
        for account in &document.accounts {
            for key in &account.keys {
                let holder = (account.id.clone(), key.id.clone());
                let former = holders.insert(key.sha256, holder);
                assert!(former.is_none(), "a key identifies one account");
            }
        }
        Self { holders }
    }

    /// Looks up a presented key, which must not include a scheme such as `Bearer`.
    pub fn identify(&self, presented: Option<&str>) -> Identity {
        let Some(key) = presented else {
            return Identity::Anonymous;
        };
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Identity::Malformed;
        }
        let digest = digest(key);
        match self.holders.get(&digest) {
            None => Identity::Unknown,
            Some((account, key)) => Identity::Known(Credential {
                account: account.clone(),
                key: key.clone(),
                digest,
            }),
        }
    }

    /// Whether the key of a previously identified caller still belongs to the same account.
    ///
    /// Queued requests and open connections are checked against the newest table before they
    /// proceed.
    pub fn is_valid(&self, caller: &Caller) -> bool {
        let Caller::Account(credential) = caller else {
            return true;
        };
        self.holders
            .get(&credential.digest)
            .is_some_and(|(account, _)| *account == credential.account)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
