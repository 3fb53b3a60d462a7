//! Test bench: a store, a proxy in front of it, and a client that connects through the proxy.

#![allow(clippy::unwrap_used, dead_code)]

use carobwheel_gateway::store::{
    BackoffOptions, StoreClient, StoreClientOptions, StoredRecord, WriteOutcome,
};
use carobwheel_standin::{
    proxy::{self, Proxy, ProxyOptions},
    store::{self, Store, StoreOptions},
};
use std::{future::Future, time::Duration};
use tokio::time::timeout;

/// Timeout of every wait; reaching it fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one attempt of a call, in milliseconds.
pub(crate) const ATTEMPT_TIMEOUT_MS: u64 = 1_000;

/// Maximum back-off delay, in milliseconds.
const BACKOFF_DELAY_MS: u64 = 4_000;

pub(crate) struct Bench {
    pub(crate) store: Store,
    pub(crate) proxy: Proxy,
    pub(crate) client: StoreClient,
}

pub(crate) fn client(url: String, writer: &str) -> StoreClient {
    let options = StoreClientOptions {
        attempt_timeout_ms: ATTEMPT_TIMEOUT_MS,
        watch_idle_timeout_ms: 300,
        backoff: BackoffOptions {
            max_first_delay_ms: BACKOFF_DELAY_MS,
            max_delay_ms: BACKOFF_DELAY_MS,
            ..BackoffOptions::default()
        },
        seed: 1,
        ..StoreClientOptions::new(url, writer)
    };
    StoreClient::new(options).unwrap()
}

pub(crate) fn bench() -> Bench {
    bench_with(&StoreOptions::default())
}

pub(crate) fn bench_with(options: &StoreOptions) -> Bench {
    let store = store::start(options).unwrap();
    let proxy = proxy::start_tcp(ProxyOptions::new(store.addr())).unwrap();
    let client = client(format!("http://{}", proxy.addr()), "n1.1");
    Bench {
        store,
        proxy,
        client,
    }
}

pub(crate) async fn within<T>(future: impl Future<Output = T>) -> T {
    timeout(TEST_TIMEOUT, future).await.unwrap()
}

pub(crate) fn revision_of(outcome: &WriteOutcome) -> i64 {
    match outcome {
        WriteOutcome::Written { revision } => *revision,
        other => panic!("not written: {other:?}"),
    }
}

pub(crate) fn value_of(record: Option<StoredRecord>) -> String {
    String::from_utf8(record.unwrap().value).unwrap()
}
