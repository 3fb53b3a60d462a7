//! Grants, renews and revokes leases.

use super::{CallKind, StoreClient, StoreError};
use carobwheel_wire::etcd::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse, StreamItem, LEASE_GRANT_PATH, LEASE_KEEP_ALIVE_PATH,
    LEASE_REVOKE_PATH,
};
use rand::Rng;

/// HTTP status of the answer to a call about a lease that does not exist.
const NOT_FOUND: u16 = 404;

/// State of a lease after a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease is valid for `ttl_s` from the time the call was sent.
    Held {
        /// Time to live, in seconds.
        ttl_s: u64,
    },
    /// The lease has expired and its keys are deleted.
    Expired,
}

impl StoreClient {
    /// Grants a lease with a time to live of `ttl_s` seconds and returns its identifier.
    ///
    /// # Errors
    ///
    /// Fails when neither of two attempts is answered. A lease whose grant was not answered
    /// expires by itself.
    pub async fn lease_grant(&self, ttl_s: u64) -> Result<i64, StoreError> {
        // With an identifier chosen by the client, a retry finds the lease of the first attempt.
        let id = super::lock(&self.inner.rng).random_range(1..i64::MAX);
        let request = LeaseGrantRequest {
            ttl_s: i64::try_from(ttl_s).unwrap_or(i64::MAX),
            id,
        };
        let granted: Result<LeaseGrantResponse, _> =
            self.call(CallKind::Write, LEASE_GRANT_PATH, &request).await;
        match granted {
            Ok(granted) => Ok(granted.id),
            Err(StoreError::Refused { message, .. }) if message.contains("already exists") => {
                Ok(id)
            }
            Err(err) => Err(err),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails when neither of two attempts is answered; the lease may have been renewed.
    pub async fn lease_keep_alive(&self, id: i64) -> Result<LeaseState, StoreError> {
        let request = LeaseKeepAliveRequest { id };
        let item: StreamItem<LeaseKeepAliveResponse> = self
            .call(CallKind::Write, LEASE_KEEP_ALIVE_PATH, &request)
            .await?;
        match item {
            StreamItem::Result(renewed) => match u64::try_from(renewed.ttl_s) {
                Ok(ttl_s) if ttl_s > 0 => Ok(LeaseState::Held { ttl_s }),
                _ => Ok(LeaseState::Expired),
            },
            StreamItem::Error(err) => Err(StoreError::Unavailable {
                status: 200,
                message: err.message,
            }),
        }
    }

    /// Revokes a lease, which deletes its keys. A lease that does not exist counts as revoked.
    ///
    /// # Errors
    ///
    /// Fails when neither of two attempts is answered; the lease may have been revoked.
    pub async fn lease_revoke(&self, id: i64) -> Result<(), StoreError> {
        let request = LeaseRevokeRequest { id };
        let revoked: Result<LeaseRevokeResponse, _> = self
            .call(CallKind::Write, LEASE_REVOKE_PATH, &request)
            .await;
        match revoked {
            Ok(_)
            | Err(StoreError::Refused {
                status: NOT_FOUND, ..
            }) => Ok(()),
            Err(err) => Err(err),
        }
    }
}
