//! Leases.

use super::{is_zero, Header};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr, PickFirst};

/// Grants a lease.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Lifetime, in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_s: i64,
    /// Wanted lease number; 0 lets the store choose.
    #[serde(rename = "ID", default, skip_serializing_if = "is_zero")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
}

/// Answer to a [`LeaseGrantRequest`].
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantResponse {
    /// Head of the answer.
    #[serde(default)]
    pub header: Header,
    /// Lease number.
    #[serde(rename = "ID", default)]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
    /// Granted lifetime, in seconds.
    #[serde(rename = "TTL", default)]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_s: i64,
}

/// Renews a lease.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseKeepAliveRequest {
    /// Lease number.
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
}

/// Answer to a [`LeaseKeepAliveRequest`].
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseKeepAliveResponse {
    /// Head of the answer.
    #[serde(default)]
    pub header: Header,
    /// Lease number.
    #[serde(rename = "ID", default)]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
    /// New lifetime, in seconds; 0 when the lease has expired.
    #[serde(rename = "TTL", default, skip_serializing_if = "is_zero")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_s: i64,
}

/// Revokes a lease and deletes its keys.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRevokeRequest {
    /// Lease number.
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
}

/// Answer to a [`LeaseRevokeRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRevokeResponse {
    /// Head of the answer.
    #[serde(default)]
    pub header: Header,
}
