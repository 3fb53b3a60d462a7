//! Reads the configuration document from the store and follows its changes.

use super::report;
use crate::{
    decide,
    in_force::ActiveDocument,
    ring::Sender,
    store::{Change, KeyRange, StoreClient, StoredRecord, WatchUpdate},
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time};

/// Key of the document. Operators and consoles write it too, so its value has no envelope.
pub const DOCUMENT_KEY: &str = "config/document";
/// Interval between reads on an instance that does not watch the document.
const REREAD_INTERVAL: Duration = Duration::from_secs(1_800);
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the document and reports every later revision; never returns.
///
/// The store sends every change as a complete document to each watcher, so only a few instances per
/// region watch. The others receive the new revision number in heartbeats and fetch the difference
/// from a peer; they read the store periodically as a fallback.
pub(super) async fn follow(
    store: &StoreClient,
    decide: &Sender<decide::Event>,
    mut is_watcher: watch::Receiver<bool>,
) {
    loop {
        let next_revision = read(store, decide).await;
        if *is_watcher.borrow_and_update() {
            tokio::select! {
                () = watch_from(next_revision, store, decide) => {}
                () = changed(&mut is_watcher) => {}
            }
        } else {
            tokio::select! {
                () = time::sleep(REREAD_INTERVAL) => {}
                () = changed(&mut is_watcher) => {}
            }
        }
    }
}

async fn changed(is_watcher: &mut watch::Receiver<bool>) {
    if is_watcher.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads the document, retrying until the store answers, and returns the revision to watch from.
async fn read(store: &StoreClient, decide: &Sender<decide::Event>) -> i64 {
    let range = KeyRange::Key(DOCUMENT_KEY.to_owned());
    loop {
        match store.read(&range).await {
            Ok(snapshot) => {
                for record in &snapshot.records {
                    report_document(record, decide).await;
                }
                return snapshot.revision + 1;
            }
            Err(err) => log::debug!("cannot read the document from the store: {err}"),
        }
        time::sleep(READ_RETRY_DELAY).await;
    }
}

async fn watch_from(revision: i64, store: &StoreClient, decide: &Sender<decide::Event>) {
    let mut watch = store.watch(KeyRange::Key(DOCUMENT_KEY.to_owned()), revision);
    loop {
        match watch.next().await {
            WatchUpdate::Changes(changes) => {
                for change in &changes {
                    report_change(change, decide).await;
                }
            }
            WatchUpdate::Reset(snapshot) => {
                for record in &snapshot.records {
                    report_document(record, decide).await;
                }
            }
            WatchUpdate::Lost(err) => log::debug!("lost the watch on the document: {err}"),
        }
    }
}

async fn report_change(change: &Change, decide: &Sender<decide::Event>) {
    match change {
        Change::Put(record) => report_document(record, decide).await,
        // An accepted document stays in force, so the deletion of the key has no effect.
        Change::Deleted { revision, .. } => {
            log::error!(revision = *revision; "document deleted from the store; keeping the last one");
        }
    }
}

/// Validates a document and reports it. An invalid one is rejected as a whole.
async fn report_document(record: &StoredRecord, decide: &Sender<decide::Event>) {
    let Ok(revision) = u64::try_from(record.mod_revision) else {
        return;
    };
    match ActiveDocument::parse(revision, record.value.clone().into()) {
        Ok(in_force) => report(decide::Event::Document(Arc::new(in_force)), decide).await,
        Err(faults) => {
            for fault in faults {
                log::error!(revision = revision; "invalid document: {fault}");
            }
        }
    }
}
