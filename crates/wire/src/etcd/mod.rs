//! The subset of etcd's v3 JSON gateway API that this project uses.
//!
//! Keys and values are base64-encoded, 64-bit integers are decimal strings, and fields that have
//! their default value are omitted. Deserialization also accepts integers as JSON numbers. A
//! streaming response carries one [`StreamItem`] per line.

mod kv;
mod lease;
mod watch;

pub use kv::{
    Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, KeyValue,
    PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest,
    TxnResponse,
};
pub use lease::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse,
};
pub use watch::{Event, EventKind, WatchCreateRequest, WatchRequest, WatchResponse};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr, PickFirst};

/// Path of a range request.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Path of an unconditional write.
pub const PUT_PATH: &str = "/v3/kv/put";
/// Path of a deletion.
pub const DELETE_RANGE_PATH: &str = "/v3/kv/deleterange";
/// Path of a transaction.
pub const TXN_PATH: &str = "/v3/kv/txn";
/// Path of a lease grant.
pub const LEASE_GRANT_PATH: &str = "/v3/lease/grant";
/// Path of a lease renewal; the response is a stream.
pub const LEASE_KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
/// Path of a lease revocation.
pub const LEASE_REVOKE_PATH: &str = "/v3/lease/revoke";
/// Path of a watch; the response is a stream.
pub const WATCH_PATH: &str = "/v3/watch";

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// Header of every response.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Identifier of the cluster; a cluster that is restored from a snapshot gets a new one.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero_id")]
    pub cluster_id: u64,
    /// Revision of the store at the time of the response.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: i64,
}

/// One line of a streaming response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamItem<T> {
    /// A regular message of the stream.
    Result(T),
    /// An error that ends the stream.
    Error(ErrorBody),
}

/// Body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Human-readable description of the error.
    #[serde(default)]
    pub message: String,
    /// gRPC status code.
    #[serde(default)]
    pub code: i32,
}

/// Returns the exclusive end of the range of all keys that begin with `prefix`.
///
/// No key follows the range of an empty prefix, or of one that consists of 0xff bytes only; `"\0"`
/// then denotes the end of the key space.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn is_zero(value: &i64) -> bool {
    *value == 0
}

fn is_zero_id(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}
