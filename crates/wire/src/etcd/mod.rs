//! The published JSON mapping of the etcd v3 interface, as far as this project uses it.
//!
//! Keys and values are base64, 64-bit integers are decimal strings, and fields with their default
//! value are left out. Readers accept integers as numbers too. A stream answers one
//! [`StreamItem`] a line.

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
/// Path that grants a lease.
pub const LEASE_GRANT_PATH: &str = "/v3/lease/grant";
/// Path that renews a lease; the answer is a stream.
pub const LEASE_KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
/// Path that revokes a lease.
pub const LEASE_REVOKE_PATH: &str = "/v3/lease/revoke";
/// Path of a watch; the answer is a stream.
pub const WATCH_PATH: &str = "/v3/watch";

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// Head of every answer.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the store when it answered.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: i64,
}

/// One line of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamItem<T> {
    /// A regular message of the stream.
    Result(T),
    /// The stream has failed and ends here.
    Error(ErrorBody),
}

/// Body of an answer that reports a failure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    #[serde(default)]
    pub message: String,
    /// The gRPC status code.
    #[serde(default)]
    pub code: i32,
}

/// The end of the range of all keys that begin with `prefix`.
///
/// An empty prefix, or one of 0xff bytes only, has no next sibling; `"\0"` then stands for the end
/// of the key space.
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

fn is_false(value: &bool) -> bool {
    !*value
}
