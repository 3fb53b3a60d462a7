//! Storage of action records.

use crate::store::{StoreClient, StoredRecord as Stored, WriteOutcome};
use carobwheel_core::{
    once::{ActionRecord, LeaseChoice, LeaseId, LeasePool, OnceKey, StoreAnswer},
    time::Millis,
};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Client for the action records in the store, with the leases that this instance's records use.
pub(crate) struct ActionRecords {
    store: StoreClient,
    leases: Mutex<LeasePool>,
}

impl ActionRecords {
    pub(crate) fn new(store: StoreClient) -> Self {
        Self {
            store,
            leases: Mutex::default(),
        }
    }

    /// Returns a lease that lasts for at least `lifetime_ms`; `None` if the store grants none.
    pub(super) async fn lease(&self, lifetime_ms: u64, now: Millis) -> Option<LeaseId> {
        let choice = self.leases().choose(lifetime_ms, now);
        match choice {
            LeaseChoice::Use(lease) => Some(lease),
            LeaseChoice::Grant { ttl_s } => {
                let lease = LeaseId(self.store.lease_grant(ttl_s).await.ok()?);
                self.leases().granted(lease, ttl_s, now);
                Some(lease)
            }
        }
    }

    /// Creates the record under `lease` unless the key exists.
    pub(super) async fn create(
        &self,
        key: &OnceKey,
        record: &ActionRecord,
        lease: LeaseId,
    ) -> StoreAnswer {
        let written = self
            .store
            .create(key.as_str(), &record.to_json(), lease.0)
            .await;
        if let WriteOutcome::NotWritten { .. } = &written {
            // The lease may no longer exist in the store, so the next record gets a new one.
            self.leases().forget(lease);
        }
        answer_of(written)
    }

    /// Reads the record of `key`.
    pub(super) async fn read(&self, key: &OnceKey) -> StoreAnswer {
        match self.store.get(key.as_str()).await {
            Ok(Some(stored)) => found(&stored),
            Ok(None) => StoreAnswer::Absent,
            Err(_) => StoreAnswer::Lost,
        }
    }

    /// Replaces the claim of `revision`, which is attached to `lease`, by a record of the outcome.
    pub(super) async fn write(
        &self,
        key: &OnceKey,
        record: &ActionRecord,
        revision: u64,
        lease: LeaseId,
    ) -> StoreAnswer {
        let Ok(expected) = i64::try_from(revision) else {
            return StoreAnswer::NotSent;
        };
        let written = self
            .store
            .put_if(key.as_str(), expected, &record.to_json(), lease.0)
            .await;
        answer_of(written)
    }

    /// Deletes the key if it still holds `record`.
    pub(super) async fn release(&self, key: &OnceKey, record: &ActionRecord) {
        if let Ok(Some(stored)) = self.store.get(key.as_str()).await {
            if ActionRecord::from_json(&stored.value).is_ok_and(|held| held == *record) {
                // A failed deletion is harmless: the claim blocks repeats until its lease expires.
                let _ = self
                    .store
                    .delete_if(key.as_str(), stored.mod_revision)
                    .await;
            }
        }
    }

    fn leases(&self) -> MutexGuard<'_, LeasePool> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer_of(written: WriteOutcome) -> StoreAnswer {
    match written {
        WriteOutcome::Written { revision } => StoreAnswer::Written {
            revision: revision.unsigned_abs(),
        },
        WriteOutcome::Conflict {
            current: Some(stored),
        } => found(&stored),
        WriteOutcome::Conflict { current: None } => StoreAnswer::Absent,
        WriteOutcome::NotWritten { .. } => StoreAnswer::NotSent,
        WriteOutcome::Unknown { .. } => StoreAnswer::Lost,
    }
}

fn found(stored: &Stored) -> StoreAnswer {
    match ActionRecord::from_json(&stored.value) {
        Ok(record) => StoreAnswer::Found {
            record,
            revision: stored.mod_revision.unsigned_abs(),
        },
        Err(_) => StoreAnswer::Unreadable,
    }
}
