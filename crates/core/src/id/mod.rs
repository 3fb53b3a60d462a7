//! Typed identifiers.
//!
//! Each identifier is a short shared string. Cloning one copies a pointer, and distinct types
//! prevent an account identifier from being passed as a region identifier.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Error for a string that is not a valid identifier; holds the start of the string.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdError(pub String);

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not an identifier: 1 to {MAX_ID_BYTES} letters, digits, `-`, `_`, `.` or `:` are allowed",
            self.0
        )
    }
}

impl std::error::Error for IdError {}

fn is_id(text: &str) -> bool {
    let is_id_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(is_id_byte)
}

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                if !is_id(text) {
                    return Err(IdError(text.chars().take(MAX_ID_BYTES).collect()));
                }
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

id_type!(
    /// Identifier of a client account: the tenant to which rate limits and keys belong.
    AccountId
);
id_type!(
    /// Identifier of a latency class of requests, such as short interactive prompts.
    ClassId
);
id_type!(
    /// Identifier of a data centre within a region.
    DataCentreId
);
id_type!(
    /// Identifier of an instance: one process of the gateway.
    InstanceId
);
id_type!(
    /// Identifier of a caller's key, as used by operators; never the key itself.
    KeyId
);
id_type!(
    /// Identifier of a model, as named in requests.
    ModelId
);
id_type!(
    /// Identifier of a region.
    RegionId
);
id_type!(
    /// Identifier of a request, as reported to callers in `x-request-id`.
    RequestId
);
id_type!(
    /// Identifier of a model version rollout.
    RolloutId
);
id_type!(
    /// Identifier of a plain service, which is not a model engine.
    ServiceId
);
id_type!(
    /// Identifier of an upstream: a model engine or one replica of a plain service.
    UpstreamId
);
id_type!(
    /// Identifier of a model version.
    VersionId
);
