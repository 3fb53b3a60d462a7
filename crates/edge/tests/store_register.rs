//! Registration of an instance that was restarted while a write of its earlier process was still on its
//! way to the store.

#![allow(clippy::unwrap_used)]

use carobwheel_edge::{
    member::MemberEntry,
    rollout::Verdict,
    store::{
        client, Changes, Commit, Decoder, Item, Listing, StoreError, StoreKeys, StoreOps,
        StoreResult, StoreSettings, StoreUpdate, WatchedPrefix,
    },
};
use futures::FutureExt as _;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use test_case::test_case;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const KEY: &str = "members/north-1";

/// Items with the revisions of their last changes.
#[derive(Default)]
struct Items {
    revision: u64,
    by_key: HashMap<String, (Vec<u8>, u64)>,
}

/// Store that takes in each commit after a delay, whether or not its sender still runs.
#[derive(Clone, Default)]
struct SlowStore(Arc<Mutex<Items>>);

impl SlowStore {
    fn apply(&self, commit: &Commit) -> StoreResult<u64> {
        let mut items = self.0.lock().unwrap();
        for expected in &commit.expected {
            let known = items.by_key.get(&expected.key);
            if known.map_or(0, |(_, revision)| *revision) != expected.revision {
                return Err(StoreError::Conflict);
            }
        }
        items.revision += 1;
        let revision = items.revision;
        for write in &commit.writes {
            let item = (write.value.clone(), revision);
            items.by_key.insert(write.key.clone(), item);
        }
        Ok(revision)
    }

    fn get(&self, key: &str) -> StoreResult<Item> {
        let items = self.0.lock().unwrap();
        let (value, revision) = items.by_key.get(key).ok_or(StoreError::NotFound)?;
        Ok(Item {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        })
    }

    /// Process whose entry is in the store.
    fn registered_life(&self) -> Option<u64> {
        let item = self.get(KEY).ok()?;
        let entry: MemberEntry = serde_json::from_slice(&item.value).unwrap();
        Some(entry.life)
    }

    fn ops(&self, commit_delay_ms: u64) -> StoreOps {
        let (committer, getter) = (self.clone(), self.clone());
        StoreOps {
            list: Box::new(|_, _| async { Ok(Listing::default()) }.boxed()),
            watch: Box::new(|_, _, _| {
                async {
                    sleep(Duration::from_secs(1)).await;
                    Ok(Changes::default())
                }
                .boxed()
            }),
            get: Box::new(move |key| {
                let item = getter.get(key);
                async { item }.boxed()
            }),
            commit: Box::new(move |commit| {
                let store = committer.clone();
                let applied = tokio::spawn(async move {
                    sleep(Duration::from_millis(commit_delay_ms)).await;
                    store.apply(&commit)
                });
                async { applied.await.unwrap() }.boxed()
            }),
            grant: Box::new(|_| async { Ok(1) }.boxed()),
            era: Box::new(|| 0),
            renew: Box::new(|_| async { Ok(()) }.boxed()),
            revoke: Box::new(|_| async { Ok(()) }.boxed()),
        }
    }

    /// Runs the store's client of one process until the returned task is aborted.
    fn start(&self, life: u64, commit_delay_ms: u64) -> tokio::task::JoinHandle<()> {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let store = self.clone();
        let settings = StoreSettings {
            connect: Box::new(move |_| store.ops(commit_delay_ms)),
            address,
            decoder: Decoder {
                written: |key, _| StoreUpdate::Ignored(key.to_owned(), String::new()),
                removed: |_| None,
                encode_verdict: |_, _: Verdict| Vec::new(),
            },
            keys: StoreKeys {
                watched: vec![WatchedPrefix {
                    prefix: "config/".to_owned(),
                    is_urgent: true,
                }],
                members: "members/".to_owned(),
                verdicts: "verdicts/".to_owned(),
            },
            entry: MemberEntry {
                name: "north-1".into(),
                life,
                region: "north".into(),
                data_centre: "north-a".into(),
                callers: address,
                peers: address,
                certificate_digest: [0; 32],
                processor_millicores: 0,
            },
        };
        let (handle, running) = client(settings, CancellationToken::new());
        tokio::spawn(async move {
            let _handle = handle;
            running.await;
        })
    }
}

/// The late write replaced the entry of the running process, and then ran out with its lease: the
/// instance stayed unknown to the others.
#[test_case(1_000, 4; "a write that arrives after the successor's")]
#[test_case(40, 400; "a write that arrives before the successor's")]
fn a_late_write_of_a_killed_process_does_not_replace_its_successors_entry(
    late_ms: u64,
    successor_ms: u64,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let store = SlowStore::default();
        let first = store.start(1, late_ms);
        sleep(Duration::from_millis(20)).await;
        first.abort();
        let _second = store.start(2, successor_ms);
        sleep(Duration::from_millis(6_000)).await;
        assert_eq!(store.registered_life(), Some(2));
    });
}
