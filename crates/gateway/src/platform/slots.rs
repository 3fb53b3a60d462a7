//! Follows the records of slot owners in the store, and writes the one of the own region.

use super::report;
use crate::{
    decide::{self, SlotsRead},
    ring::Sender,
    store::{Change, Record as Stored, Scope, StoreClient, WatchUpdate, WriteOutcome},
};
use carobwheel_core::{
    id::RegionId,
    slot::{OwnershipRecord, OwnershipWrite},
    time::{Clock, Millis},
};
use std::time::Duration;
use tokio::time;

/// Prefix of the records; the region's name follows.
const PREFIX: &str = "slots/";
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Reads the records of all regions and reports every change, for ever.
pub(super) async fn follow(store: &StoreClient, clock: Clock, decide: &Sender<decide::Event>) {
    let scope = Scope::Prefix(PREFIX.to_owned());
    let (began, snapshot) = loop {
        let began = clock.now();
        match store.read(&scope).await {
            Ok(snapshot) => break (began, snapshot),
            Err(err) => log::debug!("cannot read the owners of slots: {err}"),
        }
        time::sleep(READ_PAUSE).await;
    };
    let mut watch = store.watch(scope, snapshot.revision + 1);
    take_all(&snapshot.records, began, decide).await;
    report(decide::Event::SlotsLoaded, decide).await;
    loop {
        match watch.next().await {
            WatchUpdate::Changes(changes) => {
                for change in &changes {
                    if let Change::Put(stored) = change {
                        // A watch may report late, so this is no proof that a slot is still held.
                        take(stored, Millis::default(), decide).await;
                    }
                }
            }
            WatchUpdate::Reset(snapshot) => {
                take_all(&snapshot.records, Millis::default(), decide).await;
            }
            WatchUpdate::Lost(err) => log::debug!("lost the watch on the slots: {err}"),
        }
    }
}

/// Reads the record of `region` once, if the store answers.
pub(super) async fn read(
    store: &StoreClient,
    clock: Clock,
    region: &RegionId,
    decide: &Sender<decide::Event>,
) {
    let began = clock.now();
    match store.get(&key(region)).await {
        Ok(Some(stored)) => take(&stored, began, decide).await,
        Ok(None) => {
            let read = SlotsRead {
                region: region.clone(),
                revision: 0,
                record: OwnershipRecord::default(),
                began,
            };
            report(decide::Event::Slots(Box::new(read)), decide).await;
        }
        Err(err) => log::debug!("cannot read the owners of slots: {err}"),
    }
}

/// Writes the record of `region` and reads it again, whatever the answer.
pub(super) async fn write(
    store: &StoreClient,
    clock: Clock,
    region: &RegionId,
    write: &OwnershipWrite,
    decide: &Sender<decide::Event>,
) {
    let (Ok(value), Ok(base)) = (
        serde_json::to_vec(&write.next),
        i64::try_from(write.base_revision),
    ) else {
        log::error!("the record of slots cannot be written");
        return;
    };
    match store.compare_and_swap(&key(region), base, &value).await {
        WriteOutcome::Written { revision } => {
            log::info!(revision = revision; "owners of slots written");
        }
        WriteOutcome::Conflict { .. } => log::debug!("another instance has changed the slots"),
        WriteOutcome::NotWritten { cause } | WriteOutcome::Unknown { cause } => {
            log::debug!("cannot write the owners of slots: {cause}");
        }
    }
    read(store, clock, region, decide).await;
}

fn key(region: &RegionId) -> String {
    format!("{PREFIX}{region}")
}

async fn take_all(records: &[Stored], began: Millis, decide: &Sender<decide::Event>) {
    for stored in records {
        take(stored, began, decide).await;
    }
}

async fn take(stored: &Stored, began: Millis, decide: &Sender<decide::Event>) {
    let region = stored
        .key
        .strip_prefix(PREFIX)
        .and_then(|region| region.parse().ok());
    let record = serde_json::from_slice(&stored.value);
    let (Some(region), Ok(record)) = (region, record) else {
        log::error!(key = stored.key.as_str(); "the record of slots cannot be read");
        return;
    };
    let read = SlotsRead {
        region,
        revision: stored.mod_revision.unsigned_abs(),
        record,
        began,
    };
    report(decide::Event::Slots(Box::new(read)), decide).await;
}
