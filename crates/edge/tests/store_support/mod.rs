//! Store on a simulated clock that loses the answers to calls made in some windows.

use carobwheel_edge::{
    member::MemberEntry,
    rollout::Verdict,
    store::{
        client, Change, Changes, Decoder, Item, Listing, Position, StoreError, StoreEvent,
        StoreHandle, StoreKeys, StoreOps, StoreResult, StoreSettings, StoreUpdate, WatchedPrefix,
    },
};
use futures::FutureExt as _;
use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{sleep, sleep_until, Instant},
};
use tokio_util::sync::CancellationToken;

/// Timeout of calls other than watches, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_500;
/// Time that a watch may take beyond its own timeout, in milliseconds.
const WATCH_MARGIN_MS: u64 = 2_000;
/// Time that the store takes to answer, in milliseconds.
const ANSWER_MS: u64 = 5;

/// The prefixes that hold the configuration, the upstreams and the instances.
pub(crate) const PREFIXES: [&str; 3] = ["config/", "upstreams/", "members/"];

/// Store whose changes are all known to the test.
pub(crate) struct SimulatedStore {
    started_at: Instant,
    /// Spans in milliseconds in which calls are accepted and never answered.
    silent_ms: Vec<Range<u64>>,
    /// Time in milliseconds and key of each change; its revision is its position, from 1 on.
    changes: Mutex<Vec<(u64, String)>>,
    changed: Notify,
    watches: Mutex<usize>,
}

impl SimulatedStore {
    /// Store that is silent in the given spans.
    pub(crate) fn new(silent_ms: &[Range<u64>]) -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            silent_ms: silent_ms.to_vec(),
            changes: Mutex::default(),
            changed: Notify::new(),
            watches: Mutex::default(),
        })
    }

    /// Time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap()
    }

    /// Waits until a time since the start, in milliseconds.
    pub(crate) async fn wait_until(&self, at_ms: u64) {
        sleep_until(self.started_at + Duration::from_millis(at_ms)).await;
    }

    /// Writes a key.
    pub(crate) fn write(&self, key: &str) {
        let change = (self.now_ms(), key.to_owned());
        self.changes.lock().unwrap().push(change);
        self.changed.notify_waiters();
    }

    /// Times of all writes in milliseconds, by key.
    pub(crate) fn written_ms(&self) -> HashMap<String, u64> {
        let changes = self.changes.lock().unwrap();
        changes.iter().map(|(at, key)| (key.clone(), *at)).collect()
    }

    /// Number of watch calls that were made.
    pub(crate) fn watches(&self) -> usize {
        *self.watches.lock().unwrap()
    }

    fn is_silent(&self) -> bool {
        let now_ms = self.now_ms();
        self.silent_ms.iter().any(|span| span.contains(&now_ms))
    }

    fn revision(&self) -> u64 {
        self.changes.lock().unwrap().len() as u64
    }

    fn items(&self, prefix: &str, after: u64) -> Vec<Item> {
        let changes = self.changes.lock().unwrap();
        let all = changes.iter().zip(1..);
        all.filter(|((_, key), revision)| *revision > after && key.starts_with(prefix))
            .map(|((_, key), revision)| Item {
                key: key.clone(),
                value: Vec::new(),
                revision,
            })
            .collect()
    }

    fn at(&self) -> Position {
        Position {
            era: 0,
            revision: self.revision(),
        }
    }

    /// Runs a call; its answer is lost if it was made while the store is silent.
    async fn answer<T>(
        self: Arc<Self>,
        timeout_ms: u64,
        answer: impl Future<Output = T>,
    ) -> StoreResult<T> {
        if self.is_silent() {
            sleep(Duration::from_millis(timeout_ms)).await;
            return Err(StoreError::NoAnswer("timeout".to_owned()));
        }
        sleep(Duration::from_millis(ANSWER_MS)).await;
        Ok(answer.await)
    }

    async fn watch(&self, prefix: &str, after: u64, timeout_ms: u64) -> Changes {
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        loop {
            let changed = self.changed.notified();
            let items = self.items(prefix, after);
            if !items.is_empty() || Instant::now() >= end {
                return Changes {
                    changes: items.into_iter().map(Change::Written).collect(),
                    at: self.at(),
                };
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(end) => {}
            }
        }
    }

    fn ops(self: &Arc<Self>) -> StoreOps {
        let number = |store: &Arc<Self>| {
            let store = Arc::clone(store);
            move || Arc::clone(&store).answer(CALL_TIMEOUT_MS, async { 1 })
        };
        let nothing = |store: &Arc<Self>| {
            let store = Arc::clone(store);
            move || Arc::clone(&store).answer(CALL_TIMEOUT_MS, async {})
        };
        let (lister, watcher) = (Arc::clone(self), Arc::clone(self));
        let (commit, grant) = (number(self), number(self));
        let (renew, revoke) = (nothing(self), nothing(self));
        StoreOps {
            list: Box::new(move |prefix, _| {
                let (store, prefix) = (Arc::clone(&lister), prefix.to_owned());
                let answering = Arc::clone(&store);
                let listing = async move {
                    Listing {
                        items: store.items(&prefix, 0),
                        at: store.at(),
                    }
                };
                answering.answer(CALL_TIMEOUT_MS, listing).boxed()
            }),
            watch: Box::new(move |prefix, after, timeout_ms| {
                let (store, prefix) = (Arc::clone(&watcher), prefix.to_owned());
                *store.watches.lock().unwrap() += 1;
                let answering = Arc::clone(&store);
                let changes = async move { store.watch(&prefix, after, timeout_ms).await };
                let limit_ms = timeout_ms + WATCH_MARGIN_MS;
                answering.answer(limit_ms, changes).boxed()
            }),
            get: Box::new(|_| async { Err(StoreError::NotFound) }.boxed()),
            commit: Box::new(move |_| commit().boxed()),
            grant: Box::new(move |_| grant().boxed()),
            era: Box::new(|| 0),
            renew: Box::new(move |_| renew().boxed()),
            revoke: Box::new(move |_| revoke().boxed()),
        }
    }

    /// Runs a client of this store until the returned handle is dropped.
    pub(crate) fn connect(self: &Arc<Self>) -> StoreHandle {
        let decoder = Decoder {
            written: |key, _| StoreUpdate::Ignored(key.to_owned(), String::new()),
            removed: |_| None,
            encode_verdict: |_, _: Verdict| Vec::new(),
        };
        let watched = |prefix: &str, is_urgent| WatchedPrefix {
            prefix: prefix.to_owned(),
            is_urgent,
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let store = Arc::clone(self);
        let settings = StoreSettings {
            connect: Box::new(move |_| store.ops()),
            address,
            decoder,
            keys: StoreKeys {
                watched: vec![watched(PREFIXES[0], true), watched(PREFIXES[1], false)],
                members: PREFIXES[2].to_owned(),
                verdicts: "verdicts/".to_owned(),
            },
            entry: MemberEntry {
                name: "north-1".into(),
                life: 1,
                region: "north".into(),
                data_centre: "north-a".into(),
                callers: address,
                peers: address,
                certificate_digest: [0; 32],
                processor_millicores: 0,
            },
        };
        let (handle, running) = client(settings, CancellationToken::new());
        tokio::spawn(running);
        handle
    }

    /// Collects the times in milliseconds at which each key became known, until a time since the
    /// start.
    pub(crate) async fn known_ms(
        &self,
        handle: &mut StoreHandle,
        until_ms: u64,
    ) -> HashMap<String, u64> {
        let mut known = HashMap::new();
        loop {
            let event = tokio::select! {
                event = handle.events.recv() => event.unwrap(),
                () = self.wait_until(until_ms) => return known,
            };
            let keys: Vec<String> = match event {
                StoreEvent::Listed(_, listing) => {
                    listing.items.into_iter().map(|item| item.key).collect()
                }
                StoreEvent::Changed(_, changes) => changes
                    .changes
                    .into_iter()
                    .filter_map(|change| match change {
                        Change::Written(item) => Some(item.key),
                        Change::Removed { .. } => None,
                    })
                    .collect(),
                _ => Vec::new(),
            };
            for key in keys {
                known.entry(key).or_insert_with(|| self.now_ms());
            }
        }
    }
}
