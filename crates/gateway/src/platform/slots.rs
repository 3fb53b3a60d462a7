//! Follows the slot ownership records in the store and writes the one of this instance's region.

use super::report;
use crate::{
    decide::{self, SlotsRead},
    ring::Sender,
    store::{Change, KeyRange, StoreClient, StoredRecord as Stored, WatchUpdate, WriteOutcome},
};
use carobwheel_core::{
    id::RegionId,
    slot::{OwnershipRecord, OwnershipWrite},
    time::{Clock, Millis},
};
use std::time::Duration;
use tokio::time;

/// Prefix of the keys of ownership records, followed by the name of the region.
const KEY_PREFIX: &str = "slots/";
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the ownership records of all regions and reports every change; never returns.
pub(super) async fn follow(store: &StoreClient, clock: Clock, decide: &Sender<decide::Event>) {
    let range = KeyRange::Prefix(KEY_PREFIX.to_owned());
    let (began, snapshot) = loop {
        let began = clock.now();
        match store.read(&range).await {
            Ok(snapshot) => break (began, snapshot),
            Err(err) => log::debug!("cannot read slot ownership: {err}"),
        }
        time::sleep(READ_RETRY_DELAY).await;
    };
    let mut watch = store.watch(range, snapshot.revision + 1);
    report_records(&snapshot.records, began, decide).await;
    report(decide::Event::SlotsLoaded, decide).await;
    loop {
        match watch.next().await {
            WatchUpdate::Changes(changes) => {
                for change in &changes {
                    if let Change::Put(stored) = change {
                        // A watch may report late, so its records do not prove that a slot is still
                        // owned.
                        report_record(stored, Millis::default(), decide).await;
                    }
                }
            }
            WatchUpdate::Reset(snapshot) => {
                report_records(&snapshot.records, Millis::default(), decide).await;
            }
            WatchUpdate::Lost(err) => log::debug!("lost the watch on slot ownership: {err}"),
        }
    }
}

/// Reads the ownership record of `region` once and reports it if the store answers.
pub(super) async fn read(
    store: &StoreClient,
    clock: Clock,
    region: &RegionId,
    decide: &Sender<decide::Event>,
) {
    let began = clock.now();
    match store.get(&key(region)).await {
        Ok(Some(stored)) => report_record(&stored, began, decide).await,
        Ok(None) => {
            let read = SlotsRead {
                region: region.clone(),
                revision: 0,
                record: OwnershipRecord::default(),
                began,
            };
            report(decide::Event::Slots(Box::new(read)), decide).await;
        }
        Err(err) => log::debug!("cannot read slot ownership: {err}"),
    }
}

/// Writes the ownership record of `region` and reads it back, whatever the outcome.
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
        log::error!("cannot encode the slot ownership record");
        return;
    };
    match store.compare_and_swap(&key(region), base, &value).await {
        WriteOutcome::Written { revision } => {
            log::info!(revision = revision; "slot ownership written");
        }
        WriteOutcome::Conflict { .. } => log::debug!("slot ownership changed by another instance"),
        WriteOutcome::NotWritten { cause } | WriteOutcome::Unknown { cause } => {
            log::debug!("cannot write slot ownership: {cause}");
        }
    }
    read(store, clock, region, decide).await;
}

fn key(region: &RegionId) -> String {
    format!("{KEY_PREFIX}{region}")
}

async fn report_records(records: &[Stored], began: Millis, decide: &Sender<decide::Event>) {
    for stored in records {
        report_record(stored, began, decide).await;
    }
}

async fn report_record(stored: &Stored, began: Millis, decide: &Sender<decide::Event>) {
    let region = stored
        .key
        .strip_prefix(KEY_PREFIX)
        .and_then(|region| region.parse().ok());
    let record = serde_json::from_slice(&stored.value);
    let (Some(region), Ok(record)) = (region, record) else {
        log::error!(key = stored.key.as_str(); "cannot parse the slot ownership record");
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
