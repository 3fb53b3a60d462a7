//! Registration of this instance in the store, under a lease.

use super::{backoff::Backoff, task::Context, Commit, StoreError, StoreEvent, Write};
use crate::member::MemberEntry;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time to live of the lease, for which the entry outlives a crashed instance, in milliseconds.
const LEASE_MS: u64 = 6_000;
/// Interval between renewals of the lease, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 2_000;

/// Writes the entry and renews its lease until `stop`, then revokes the lease.
pub(super) async fn register(
    context: Context,
    key: String,
    entry: MemberEntry,
    stop: CancellationToken,
) {
    let mut lease = 0;
    tokio::select! {
        () = stop.cancelled() => {}
        () = renew(&context, &key, &entry, &mut lease) => {}
    }
    if lease != 0 {
        if let Err(err) = (context.ops.revoke)(lease).await {
            context.send(StoreEvent::LeaseLost(err.to_string())).await;
        }
    }
}

async fn renew(context: &Context, key: &str, entry: &MemberEntry, lease: &mut u64) {
    let mut backoff = Backoff::default();
    loop {
        let result = match *lease {
            0 => write(context, key, entry).await,
            held => (context.ops.renew)(held).await.map(|()| held),
        };
        match result {
            Ok(held) => {
                *lease = held;
                backoff.succeeded();
                context.reachable().await;
                sleep(Duration::from_millis(RENEW_INTERVAL_MS)).await;
            }
            Err(StoreError::NotFound) => {
                *lease = 0;
                context
                    .send(StoreEvent::LeaseLost("lease expired".to_owned()))
                    .await;
            }
            Err(err) => {
                context.unreachable(&err).await;
                sleep(Duration::from_millis(backoff.failed(rand::random()))).await;
            }
        }
    }
}

async fn write(context: &Context, key: &str, entry: &MemberEntry) -> Result<u64, StoreError> {
    let lease = (context.ops.grant)(LEASE_MS).await?;
    let value = serde_json::to_vec(entry).map_err(|err| StoreError::Malformed(err.to_string()))?;
    let write = Write {
        key: key.to_owned(),
        value,
        lease,
    };
    // A retry after a lost response writes the same entry under a newer lease.
    let commit = Commit {
        writes: vec![write],
        ..Commit::default()
    };
    (context.ops.commit)(commit).await?;
    Ok(lease)
}
