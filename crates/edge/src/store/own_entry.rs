//! Registration of this instance in the store, under a lease.

use super::{backoff::Backoff, task::Context, Commit, Expected, StoreError, StoreEvent, Write};
use crate::member::MemberEntry;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time to live of the lease, for which the entry outlives a crashed instance, in milliseconds.
const LEASE_MS: u64 = 6_000;
/// Interval between renewals of the lease, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 2_000;

/// Lease of the entry.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// Era of the store in which it was granted.
    era: u64,
}

impl Lease {
    /// Whether the store has not been restored since. Afterwards another instance may hold a lease
    /// with the same number.
    fn is_of_era(&self, context: &Context) -> bool {
        (context.ops.era)() == self.era
    }
}

/// Writes the entry and renews its lease until `stop`, then revokes the lease.
pub(super) async fn register(
    context: Context,
    key: String,
    entry: MemberEntry,
    stop: CancellationToken,
) {
    let mut lease = None;
    tokio::select! {
        () = stop.cancelled() => {}
        () = renew(&context, &key, &entry, &mut lease) => {}
    }
    if let Some(lease) = lease.filter(|lease| lease.is_of_era(&context)) {
        if let Err(err) = (context.ops.revoke)(lease.id).await {
            context.send(StoreEvent::LeaseLost(err.to_string())).await;
        }
    }
}

async fn renew(context: &Context, key: &str, entry: &MemberEntry, lease: &mut Option<Lease>) {
    let mut backoff = Backoff::default();
    loop {
        let result = match lease.filter(|lease| lease.is_of_era(context)) {
            None => write(context, key, entry).await,
            Some(held) => (context.ops.renew)(held.id).await.map(|()| held),
        };
        match result {
            Ok(held) if held.is_of_era(context) => {
                *lease = Some(held);
                backoff.succeeded();
                context.reachable().await;
                sleep(Duration::from_millis(RENEW_INTERVAL_MS)).await;
            }
            Ok(_) => {
                *lease = None;
                context
                    .send(StoreEvent::LeaseLost("the store was restored".to_owned()))
                    .await;
            }
            Err(StoreError::NotFound) => {
                *lease = None;
                context
                    .send(StoreEvent::LeaseLost("lease expired".to_owned()))
                    .await;
            }
            // Another write came first: that of an earlier process, or an own one whose answer was lost.
            Err(StoreError::Conflict) => {
                sleep(Duration::from_millis(backoff.failed(rand::random()))).await;
            }
            Err(err) => {
                context.unreachable(&err).await;
                sleep(Duration::from_millis(backoff.failed(rand::random()))).await;
            }
        }
    }
}

/// Writes the entry in place of the one that is there now. Without this condition a write of an earlier
/// process that the network has held up could replace the entry of its successor.
async fn write(context: &Context, key: &str, entry: &MemberEntry) -> Result<Lease, StoreError> {
    let id = (context.ops.grant)(LEASE_MS).await?;
    let era = (context.ops.era)();
    let revision = match (context.ops.get)(key).await {
        Ok(present) => present.revision,
        Err(StoreError::NotFound) => 0,
        Err(err) => return Err(err),
    };
    let value = serde_json::to_vec(entry).map_err(|err| StoreError::Malformed(err.to_string()))?;
    let write = Write {
        key: key.to_owned(),
        value,
        lease: id,
    };
    let expected = Expected {
        key: key.to_owned(),
        revision,
    };
    // A retry after a lost response writes the same entry under a newer lease.
    let commit = Commit {
        expected: vec![expected],
        writes: vec![write],
        ..Commit::default()
    };
    (context.ops.commit)(commit).await?;
    Ok(Lease { id, era })
}
