//! Follows the configuration document in the store.

use super::report;
use crate::{
    decide,
    in_force::InForce,
    ring::Sender,
    store::{Change, Record, Scope, StoreClient, WatchUpdate},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Key of the document. Operators and consoles write it too, so the value stands bare.
pub const DOCUMENT_KEY: &str = "config/document";
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Reads the document and reports every later one, for ever.
pub(super) async fn follow(store: &StoreClient, decide: &Sender<decide::Event>) {
    let scope = Scope::Key(DOCUMENT_KEY.to_owned());
    let snapshot = loop {
        match store.read(&scope).await {
            Ok(snapshot) => break snapshot,
            Err(err) => log::debug!("cannot read the document: {err}"),
        }
        time::sleep(READ_PAUSE).await;
    };
    for record in &snapshot.records {
        take(record, decide).await;
    }
    let mut watch = store.watch(scope, snapshot.revision + 1);
    loop {
        match watch.next().await {
            WatchUpdate::Changes(changes) => {
                for change in &changes {
                    take_change(change, decide).await;
                }
            }
            WatchUpdate::Reset(snapshot) => {
                for record in &snapshot.records {
                    take(record, decide).await;
                }
            }
            WatchUpdate::Lost(err) => log::debug!("lost the watch on the document: {err}"),
        }
    }
}

async fn take_change(change: &Change, decide: &Sender<decide::Event>) {
    match change {
        Change::Put(record) => take(record, decide).await,
        // An accepted document never reverts, so a deleted key changes nothing.
        Change::Deleted { revision, .. } => {
            log::error!(revision = *revision; "the document was deleted; the last one stays");
        }
    }
}

/// Validates a document and hands it on. An invalid one is left out as a whole.
async fn take(record: &Record, decide: &Sender<decide::Event>) {
    let Ok(revision) = u64::try_from(record.mod_revision) else {
        return;
    };
    match InForce::parse(revision, record.value.clone().into()) {
        Ok(in_force) => report(decide::Event::Document(Arc::new(in_force)), decide).await,
        Err(faults) => {
            for fault in faults {
                log::error!(revision = revision; "invalid document: {fault}");
            }
        }
    }
}
