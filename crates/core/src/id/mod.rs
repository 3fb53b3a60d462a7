//! Typed identifiers.
//!
//! Each identifier is a short shared string. Cloning one copies a pointer, and the type keeps an
//! account from being passed where a region is meant.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

/// Longest identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Why a string is not an identifier.
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
    /// A client account: the tenant that rates and keys belong to.
    AccountId
);
id_type!(
    /// A latency class of requests, such as short questions.
    ClassId
);
id_type!(
    /// A data centre inside a region.
    DataCentreId
);
id_type!(
    /// One process of the gateway.
    InstanceId
);
id_type!(
    /// A caller's key, by the name that operators use; never the key itself.
    KeyId
);
id_type!(
    /// A model that callers ask for by name.
    ModelId
);
id_type!(
    /// A region.
    RegionId
);
id_type!(
    /// One request, as reported to callers in `x-request-id`.
    RequestId
);
id_type!(
    /// A rollout of a model version.
    RolloutId
);
id_type!(
    /// A plain service that stands beside the model engines.
    ServiceId
);
id_type!(
    /// One upstream: a model engine or one copy of a plain service.
    UpstreamId
);
id_type!(
    /// A version of a model.
    VersionId
);
