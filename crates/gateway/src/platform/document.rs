//! Reads the configuration document from the store and follows its changes.

use super::report;
use crate::{
    decide,
    in_force::{ActiveDocument, SharedDocument},
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

/// Where to go on after the document was read.
#[derive(Clone, Copy, Debug)]
struct ReadPosition {
    next_revision: i64,
    /// Whether the store has gone back to revisions below that of the document in force.
    is_restored: bool,
}

/// Reads the document and reports every later revision; never returns.
///
/// The store sends every change as a complete document to each watcher, so only a few instances per
/// region watch. The others receive the new revision number in heartbeats and fetch the difference
/// from a peer; those whose fetches bring nothing watch as well.
pub(super) async fn follow(
    store: &StoreClient,
    decide: &Sender<decide::Event>,
    current: &SharedDocument,
    mut is_watcher: watch::Receiver<bool>,
) {
    loop {
        let position = read(store, decide, current).await;
        if *is_watcher.borrow_and_update() {
            tokio::select! {
                () = watch_from(position, store, decide, current) => {}
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

/// Reads the document, retrying until the store answers, and returns the position to watch from.
async fn read(
    store: &StoreClient,
    decide: &Sender<decide::Event>,
    current: &SharedDocument,
) -> ReadPosition {
    let range = KeyRange::Key(DOCUMENT_KEY.to_owned());
    loop {
        let in_force = current.load();
        match store.read(&range).await {
            Ok(snapshot) => {
                // A read after the document came into force reaches its revision, unless the store
                // was restored from an older copy.
                let is_restored = in_force.as_ref().is_some_and(|in_force| {
                    i64::try_from(in_force.revision).is_ok_and(|known| snapshot.revision < known)
                });
                for record in &snapshot.records {
                    match &in_force {
                        Some(in_force) if is_restored => hold_back(record, in_force),
                        _ => report_document(record, record.mod_revision, decide).await,
                    }
                }
                return ReadPosition {
                    next_revision: snapshot.revision + 1,
                    is_restored,
                };
            }
            Err(err) => log::debug!("cannot read the document from the store: {err}"),
        }
        time::sleep(READ_RETRY_DELAY).await;
    }
}

/// Keeps the document in force instead of one that a restored store holds, which may be older.
fn hold_back(record: &StoredRecord, in_force: &ActiveDocument) {
    if record.value[..] != in_force.bytes[..] {
        log::error!(
            revision = record.mod_revision, in_force = in_force.revision;
            "the store has gone back: its document is not put in force; publish the newest one again"
        );
    }
}

/// Reports changes until the watch has to start over.
async fn watch_from(
    position: ReadPosition,
    store: &StoreClient,
    decide: &Sender<decide::Event>,
    current: &SharedDocument,
) {
    let range = KeyRange::Key(DOCUMENT_KEY.to_owned());
    let mut watch = store.watch(range, position.next_revision);
    loop {
        match watch.next().await {
            WatchUpdate::Changes(changes) => {
                for change in &changes {
                    report_change(change, position, decide, current).await;
                }
            }
            // The document is read again, together with the revision in force.
            WatchUpdate::Reset(_) => return,
            WatchUpdate::Lost(err) => log::debug!("lost the watch on the document: {err}"),
        }
    }
}

async fn report_change(
    change: &Change,
    position: ReadPosition,
    decide: &Sender<decide::Event>,
    current: &SharedDocument,
) {
    match change {
        Change::Put(record) => {
            let mut revision = record.mod_revision;
            if position.is_restored {
                // Written after the restore, so it is newer than what is in force.
                let in_force = current.load().map_or(0, |in_force| in_force.revision);
                let next = i64::try_from(in_force).map_or(i64::MAX, |known| known + 1);
                revision = revision.max(next);
            }
            report_document(record, revision, decide).await;
        }
        // An accepted document stays in force, so the deletion of the key has no effect.
        Change::Deleted { revision, .. } => {
            log::error!(revision = *revision; "document deleted from the store; keeping the last one");
        }
    }
}

/// Validates a document and reports it with a revision. An invalid one is rejected as a whole.
async fn report_document(record: &StoredRecord, revision: i64, decide: &Sender<decide::Event>) {
    let Ok(revision) = u64::try_from(revision) else {
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
