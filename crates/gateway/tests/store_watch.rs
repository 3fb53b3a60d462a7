//! Tests of watches on a store whose connections fail.

#![allow(clippy::unwrap_used)]

mod store_bench;

use carobwheel_gateway::store::{Change, KeyRange, Watch, WatchUpdate};
use carobwheel_standin::store::StoreOptions;
use store_bench::{bench, bench_with, client, revision_of, value_of, within, Bench};
use test_case::test_case;

/// Collects the values that a watch reports up to `last`, with a deleted key as `-key`.
async fn values_until(watch: &mut Watch, last: &str) -> Vec<String> {
    let mut values = Vec::new();
    while values.last().map(String::as_str) != Some(last) {
        match within(watch.next()).await {
            WatchUpdate::Changes(changes) => values.extend(changes.into_iter().map(text)),
            WatchUpdate::Reset(snapshot) => panic!("watch was reset: {snapshot:?}"),
            WatchUpdate::Lost(_) => {}
        }
    }
    values
}

fn text(change: Change) -> String {
    match change {
        Change::Put(record) => value_of(Some(record)),
        Change::Deleted { key, .. } => format!("-{key}"),
    }
}

fn watch(bench: &Bench) -> Watch {
    bench.client.watch(KeyRange::Prefix("w/".to_owned()), 1)
}

#[tokio::test]
async fn watch_reports_every_change_once_and_in_order() {
    let bench = bench();
    let mut watch = watch(&bench);
    let write = async {
        let first = revision_of(&bench.client.create("w/a", b"1", 0).await);
        revision_of(&bench.client.create("v", b"9", 0).await);
        let second = revision_of(&bench.client.compare_and_swap("w/a", first, b"2").await);
        revision_of(&bench.client.delete_if("w/a", second).await);
    };
    let (values, ()) = tokio::join!(values_until(&mut watch, "-w/a"), write);
    assert_eq!(values, ["1", "2", "-w/a"]);
}

#[test_case(|bench| bench.proxy.freeze_existing(); "connection that goes silent")]
#[test_case(|bench| bench.proxy.close_connections(); "connection that is cut")]
#[test_case(|bench| bench.store.close_connections(); "store that cuts connections")]
#[tokio::test]
async fn watch_reports_every_change_after_a(fault: fn(&Bench)) {
    let bench = bench();
    let mut watch = watch(&bench);
    bench.store.set_value("w/a", b"0");
    assert_eq!(values_until(&mut watch, "0").await, ["0"]);
    let write = async {
        fault(&bench);
        for value in ["1", "2", "3"] {
            bench.store.set_value("w/a", value.as_bytes());
        }
        let other = client(bench.store.url(), "s1.1");
        let revision = revision_of(&other.create("w/b", b"4", 0).await);
        revision_of(&other.delete_if("w/b", revision).await);
    };
    let (values, ()) = tokio::join!(values_until(&mut watch, "-w/b"), write);
    assert_eq!(values, ["1", "2", "3", "4", "-w/b"]);
}

#[tokio::test]
async fn watch_from_a_compacted_revision_starts_over_from_a_snapshot() {
    let bench = bench_with(&StoreOptions {
        max_history: 3,
        ..StoreOptions::default()
    });
    for value in 0..10 {
        bench.store.set_value("w/a", value.to_string().as_bytes());
    }
    let mut watch = bench.client.watch(KeyRange::Key("w/a".to_owned()), 2);
    let update = within(watch.next()).await;
    let WatchUpdate::Reset(snapshot) = update else {
        panic!("not reset: {update:?}");
    };
    assert_eq!(snapshot.records[0].value, b"9");
    assert_eq!(watch.next_revision(), snapshot.revision + 1);
}

#[tokio::test]
async fn watch_of_a_store_reset_to_an_earlier_revision_starts_over_from_a_snapshot() {
    let bench = bench();
    bench.store.set_value("w/a", b"1");
    let mut watch = bench.client.watch(KeyRange::Key("w/a".to_owned()), 1_000);
    let update = within(watch.next()).await;
    assert!(matches!(update, WatchUpdate::Reset(_)), "{update:?}");
}

#[tokio::test]
async fn silent_watch_reports_its_loss_and_reconnects() {
    let bench = bench();
    bench.store.set_watch_silent(true);
    let mut watch = watch(&bench);
    let update = within(watch.next()).await;
    assert!(matches!(update, WatchUpdate::Lost(_)), "{update:?}");
    bench.store.set_watch_silent(false);
    bench.store.set_value("w/a", b"1");
    assert_eq!(values_until(&mut watch, "1").await, ["1"]);
}

#[tokio::test]
async fn idle_watch_moves_to_new_connections_and_closes_old_ones() {
    let bench = bench();
    let mut watch = watch(&bench);
    let wait_for_moves = async {
        while bench.store.counts().watches < 4 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    };
    let moving = async {
        tokio::select! {
            update = watch.next() => panic!("nothing has changed: {update:?}"),
            () = wait_for_moves => {}
        }
    };
    within(moving).await;
    assert!(
        bench.store.counts().open_watches <= 2,
        "old watches are closed"
    );
}

#[tokio::test]
async fn watch_of_a_restored_store_starts_over_though_its_revisions_have_passed_the_old_ones() {
    let bench = bench();
    bench.store.set_value("w/a", b"0");
    let copy = bench.store.copy();
    bench.store.set_value("w/b", b"lost");
    let mut watch = watch(&bench);
    bench.store.set_value("w/a", b"1");
    assert_eq!(values_until(&mut watch, "1").await, ["0", "lost", "1"]);
    bench.store.restore(&copy);
    for number in 0..10 {
        bench.store.set_value("w/a", number.to_string().as_bytes());
    }
    loop {
        match within(watch.next()).await {
            WatchUpdate::Lost(_) => {}
            WatchUpdate::Reset(snapshot) => {
                assert!(snapshot.records.iter().any(|record| record.value == b"9"));
                return;
            }
            WatchUpdate::Changes(changes) => panic!("not reset: {changes:?}"),
        }
    }
}
