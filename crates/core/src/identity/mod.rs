//! Callers' keys and the client accounts that they identify.
//!
//! A [`KeyTable`] is built from a document and replaced whole with the next one. It holds digests
//! only. A lookup hashes what the caller presented and compares digests, so its duration says
//! nothing about how many characters of a guessed key are right.

use crate::document::Document;
use crate::id::{AccountId, KeyId};
use sha2::{Digest, Sha256};
use std::{collections::HashMap, fmt};

/// Longest key that is looked at, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// SHA-256 digest of a key.
pub type KeyDigest = [u8; 32];

/// The digest under which a key stands in the document.
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// The holder of a valid key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// Client account that the request runs for.
    pub account: AccountId,
    /// Name of the key.
    pub key: KeyId,
    /// Digest of the key, for checking it again against a later document.
    pub digest: KeyDigest,
}

/// What a presented key says about the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// No key was presented.
    Anonymous,
    /// The key belongs to a client account.
    Known(Credential),
    /// The key is in no account: mistyped, never issued, or withdrawn.
    Unknown,
    /// What was presented cannot be a key: it is empty or longer than [`MAX_KEY_BYTES`].
    Malformed,
}

/// Why a caller is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityRefusal {
    /// The route needs a key and none was presented (401).
    Missing,
    /// The key is in no account (401).
    Unknown,
    /// What was presented cannot be a key (401).
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

/// Who a request runs for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// A request of an open route without a key; charged to no account.
    Open,
    /// A request of a client account.
    Account(Credential),
}

impl Identity {
    /// Admits the caller to a route, which is `open` if it needs no key.
    ///
    /// # Errors
    ///
    /// A wrong key is refused on open routes too, so that a caller never runs without the account
    /// that it believes to be charged.
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

/// Client accounts by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    holders: HashMap<KeyDigest, (AccountId, KeyId)>,
}

impl KeyTable {
    /// The table of all keys of `document`.
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

    /// Looks up the key that a caller presented, without any scheme such as `Bearer`.
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

    /// Whether the key of a caller identified earlier still belongs to the same account.
    ///
    /// Queued requests and open connections are checked with the newest table before they go on.
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

    /// Whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
