//! Follows the configuration document in the store.

use super::report;
use crate::{
    decide,
    in_force::ActiveDocument,
    ring::Sender,
    store::{Change, Record, Scope, StoreClient, WatchUpdate},
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time};

/// Key of the document. Operators and consoles write it too, so the value stands bare.
pub const DOCUMENT_KEY: &str = "config/document";
/// Time between two reads of an instance that does not watch.
const REREAD_PERIOD: Duration = Duration::from_secs(1_800);
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Reads the document and reports every later one, for ever.
///
/// A change goes to every instance that watches, whole, so only a few in each region do; the
/// others hear of a new revision by heartbeats, fetch from a peer what has changed, and read the
/// store now and then in case that all fails.
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
                () = time::sleep(REREAD_PERIOD) => {}
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

/// Reads the document as soon as the store answers; returns the revision to watch from.
async fn read(store: &StoreClient, decide: &Sender<decide::Event>) -> i64 {
    let scope = Scope::Key(DOCUMENT_KEY.to_owned());
    loop {
        match store.read(&scope).await {
            Ok(snapshot) => {
                for record in &snapshot.records {
                    take(record, decide).await;
                }
                return snapshot.revision + 1;
            }
            Err(err) => log::debug!("cannot read the document: {err}"),
        }
        time::sleep(READ_PAUSE).await;
    }
}

async fn watch_from(revision: i64, store: &StoreClient, decide: &Sender<decide::Event>) {
    let mut watch = store.watch(Scope::Key(DOCUMENT_KEY.to_owned()), revision);
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
    match ActiveDocument::parse(revision, record.value.clone().into()) {
        Ok(in_force) => report(decide::Event::Document(Arc::new(in_force)), decide).await,
        Err(faults) => {
            for fault in faults {
                log::error!(revision = revision; "invalid document: {fault}");
            }
        }
    }
}
