//! Key-value requests and responses: range, put, delete and transaction.

use super::{is_false, is_zero, Header};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as, DisplayFromStr, PickFirst};

/// A key with its value, revisions and lease.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub key: Vec<u8>,
    /// Revision of the write that created the key.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub create_revision: i64,
    /// Revision of the last write.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub mod_revision: i64,
    /// Number of writes since the key was created.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub version: i64,
    /// The value.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub value: Vec<u8>,
    /// ID of the lease that the key is attached to; 0 for none.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Request to read a key or a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The key, or the first key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Exclusive end of the range; empty for a single key.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
    /// Maximum number of keys to return; 0 for no limit.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit: i64,
    /// Revision to read at; 0 for the latest.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: i64,
}

/// Response to a [`RangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
    /// Keys in the range, in ascending order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than the limit allows.
    #[serde(default, skip_serializing_if = "is_false")]
    pub more: bool,
    /// Total number of keys in the range.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub count: i64,
}

/// Request to write a key.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub value: Vec<u8>,
    /// ID of the lease to attach the key to; 0 for none.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Response to a [`PutRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
}

/// Request to delete a key or a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeRequest {
    /// The key, or the first key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Exclusive end of the range; empty for a single key.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
}

/// Response to a [`DeleteRangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
    /// Number of keys deleted.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub deleted: i64,
}

/// Relation between the stored and the given value that a [`Compare`] requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The stored value equals the given one.
    #[default]
    Equal,
    /// The stored value is greater than the given one.
    Greater,
    /// The stored value is less than the given one.
    Less,
    /// The stored value differs from the given one.
    NotEqual,
}

/// Property of a key that a [`Compare`] compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of writes since the key was created.
    #[default]
    Version,
    /// Revision of the write that created the key.
    Create,
    /// Revision of the last write.
    Mod,
    /// The value.
    Value,
    /// ID of the lease.
    Lease,
}

/// One condition of a transaction.
///
/// The version, the revisions and the lease of an absent key are 0.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Relation required for the condition to hold.
    #[serde(default)]
    pub result: CompareResult,
    /// Property that is compared.
    #[serde(default)]
    pub target: CompareTarget,
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Version to compare with, for [`CompareTarget::Version`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<i64>,
    /// Creation revision to compare with, for [`CompareTarget::Create`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<i64>,
    /// Modification revision to compare with, for [`CompareTarget::Mod`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<i64>,
    /// Value to compare with, for [`CompareTarget::Value`].
    #[serde_as(as = "Option<Base64>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Vec<u8>>,
    /// Lease ID to compare with, for [`CompareTarget::Lease`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<i64>,
}

impl Compare {
    /// Creates the condition that `key` was last written at revision `mod_revision`, or that it is
    /// absent if `mod_revision` is 0.
    pub fn mod_revision_is(key: &[u8], mod_revision: i64) -> Self {
        Self {
            target: CompareTarget::Mod,
            key: key.to_vec(),
            mod_revision: Some(mod_revision),
            ..Self::default()
        }
    }
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOp {
    /// Reads keys.
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    /// Writes a key.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// Deletes keys.
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRangeRequest),
}

/// Response to one [`RequestOp`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseOp {
    /// Result of a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Result of a write.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Result of a deletion.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Request for a transaction, which atomically runs `success` if every condition in `compare`
/// holds, and `failure` otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Operations to run if all conditions hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Operations to run if a condition does not hold.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Response to a [`TxnRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
    /// Whether all conditions held.
    #[serde(default, skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Responses to the operations that ran, in the same order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}
