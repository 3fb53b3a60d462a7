//! Stored values and their writer marks.
//!
//! Values are stored in an envelope, `{"mark":"<writer>.<n>","value":...}`. Each write has a unique
//! mark, by which the writer recognises its own value. Values of keys under [`PLAIN_PREFIX`] have
//! no envelope, because operators and consoles read and write them too.

use carobwheel_wire::etcd::KeyValue;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Prefix of keys whose values are stored without an envelope.
pub const PLAIN_PREFIX: &str = "config/";

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope<'a> {
    mark: &'a str,
    #[serde(borrow)]
    value: &'a RawValue,
}

/// A key with its value and revisions, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRecord {
    /// The key.
    pub key: String,
    /// The value without its envelope.
    pub value: Vec<u8>,
    /// Mark of the last write; absent if the value has no envelope.
    pub mark: Option<String>,
    /// Revision of the write that created the key.
    pub create_revision: i64,
    /// Revision of the last write, which the next compare-and-swap has to expect.
    pub mod_revision: i64,
    /// Number of writes since the key was created.
    pub version: i64,
    /// Lease that the key is attached to; 0 for none.
    pub lease: i64,
}

impl StoredRecord {
    pub(super) fn new(kv: KeyValue) -> Self {
        let (value, mark) = decode_value(&kv.key, kv.value);
        Self {
            key: String::from_utf8_lossy(&kv.key).into_owned(),
            value,
            mark,
            create_revision: kv.create_revision,
            mod_revision: kv.mod_revision,
            version: kv.version,
            lease: kv.lease,
        }
    }
}

/// Returns the bytes to store for `value`, which has to be JSON if the key takes an envelope.
pub(super) fn encode_value(
    key: &str,
    value: &[u8],
    mark: &str,
) -> Result<Vec<u8>, serde_json::Error> {
    if key.starts_with(PLAIN_PREFIX) {
        return Ok(value.to_vec());
    }
    let value: &RawValue = serde_json::from_slice(value)?;
    serde_json::to_vec(&Envelope { mark, value })
}

fn decode_value(key: &[u8], stored: Vec<u8>) -> (Vec<u8>, Option<String>) {
    if key.starts_with(PLAIN_PREFIX.as_bytes()) {
        return (stored, None);
    }
    let envelope: Result<Envelope<'_>, _> = serde_json::from_slice(&stored);
    let opened = envelope
        .ok()
        .map(|envelope| (envelope.value.get().into(), envelope.mark.to_owned()));
    match opened {
        Some((value, mark)) => (value, Some(mark)),
        None => (stored, None),
    }
}
