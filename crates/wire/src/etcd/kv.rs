//! Reading and writing keys.

use super::{is_false, is_zero, Header};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as, DisplayFromStr, PickFirst};

/// A key with its value and history numbers.
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
    /// Lease that the key hangs on; 0 for none.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Reads a key or a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The key, or the first key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// First key after the range; empty for a single key.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
    /// Most keys to answer with; 0 for all.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit: i64,
    /// Revision to read at; 0 for the newest.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: i64,
}

/// Answer to a [`RangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Head of the answer.
    #[serde(default)]
    pub header: Header,
    /// Keys found, in ascending order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Further keys exist beyond the limit.
    #[serde(default, skip_serializing_if = "is_false")]
    pub more: bool,
    /// Number of keys in the range.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub count: i64,
}

/// Writes a key.
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
    /// Lease to hang the key on; 0 for none.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Answer to a [`PutRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutResponse {
    /// Head of the answer.
    #[serde(default)]
    pub header: Header,
}

/// Deletes a key or a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeRequest {
    /// The key, or the first key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// First key after the range; empty for a single key.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
}

/// Answer to a [`DeleteRangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeResponse {
    /// Head of the answer.
    #[serde(default)]
    pub header: Header,
    /// Number of keys deleted.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub deleted: i64,
}

/// How a [`Compare`] relates the stored number to the given one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Stored and given are equal.
    #[default]
    Equal,
    /// Stored is greater than given.
    Greater,
    /// Stored is less than given.
    Less,
    /// Stored and given differ.
    NotEqual,
}

/// What a [`Compare`] looks at.
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
    /// The lease.
    Lease,
}

/// One condition of a transaction. All numbers of an absent key are 0.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Relation that has to hold.
    #[serde(default)]
    pub result: CompareResult,
    /// What is compared.
    #[serde(default)]
    pub target: CompareTarget,
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Given version, with [`CompareTarget::Version`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<i64>,
    /// Given creation revision, with [`CompareTarget::Create`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<i64>,
    /// Given revision, with [`CompareTarget::Mod`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<i64>,
    /// Given value, with [`CompareTarget::Value`].
    #[serde_as(as = "Option<Base64>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Vec<u8>>,
    /// Given lease, with [`CompareTarget::Lease`].
    #[serde_as(as = "Option<PickFirst<(DisplayFromStr, _)>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<i64>,
}

impl Compare {
    /// The condition that the last write of `key` has the revision `mod_revision`; with 0, that
    /// the key is absent.
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
    /// Reads.
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    /// Writes.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// Deletes.
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRangeRequest),
}

/// Answer to one [`RequestOp`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseOp {
    /// Keys read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// A key was written.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Keys were deleted.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Runs `success` when all of `compare` hold, and `failure` otherwise, as one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Operations when all conditions hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Operations when a condition fails.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Answer to a [`TxnRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Head of the answer.
    #[serde(default)]
    pub header: Header,
    /// All conditions held.
    #[serde(default, skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Answers to the operations that ran, in their order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}
