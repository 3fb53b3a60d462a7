//! Lease requests and responses.

use super::{is_zero, Header};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr, PickFirst};

/// Request to grant a lease.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Lifetime, in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_s: i64,
    /// Requested lease ID; 0 lets the store choose one.
    #[serde(rename = "ID", default, skip_serializing_if = "is_zero")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
}

/// Response to a [`LeaseGrantRequest`].
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
    /// Lease ID.
    #[serde(rename = "ID", default)]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
    /// Granted lifetime, in seconds.
    #[serde(rename = "TTL", default)]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_s: i64,
}

/// Request to renew a lease.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseKeepAliveRequest {
    /// Lease ID.
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
}

/// Response to a [`LeaseKeepAliveRequest`].
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseKeepAliveResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
    /// Lease ID.
    #[serde(rename = "ID", default)]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
    /// Lifetime after the renewal, in seconds; 0 if the lease has expired.
    #[serde(rename = "TTL", default, skip_serializing_if = "is_zero")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_s: i64,
}

/// Request to revoke a lease and delete the keys attached to it.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRevokeRequest {
    /// Lease ID.
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
}

/// Response to a [`LeaseRevokeRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRevokeResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
}
