//! Tests of the store client against a store and connections that fail.

#![allow(clippy::unwrap_used)]

mod store_bench;

use carobwheel_gateway::store::{LeaseState, StoreError, WriteOutcome};
use carobwheel_standin::{
    proxy::{Direction, Impairment},
    store::{Availability, StoreOptions},
};
use std::time::Duration;
use store_bench::{bench, bench_with, client, revision_of, value_of, within, ATTEMPT_TIMEOUT_MS};
use test_case::test_case;

const KEY: &str = "once/authority/a-17";

#[tokio::test]
async fn values_are_read_back_as_written_and_marked() {
    let bench = bench();
    let revision = revision_of(&bench.client.create(KEY, br#"{"a":1}"#, 0).await);
    let record = bench.client.get(KEY).await.unwrap().unwrap();
    assert_eq!(record.value, br#"{"a":1}"#);
    assert_eq!(record.mark.as_deref(), Some("n1.1.1"));
    assert_eq!(record.mod_revision, revision);
    let stored = bench.store.value(KEY).unwrap();
    assert_eq!(stored, br#"{"mark":"n1.1.1","value":{"a":1}}"#);
}

#[tokio::test]
async fn document_is_stored_without_an_envelope() {
    const DOCUMENT: &str = "config/document";
    let bench = bench();
    bench.store.set_value(DOCUMENT, b"{ \"schema\": 1 }");
    let record = bench.client.get(DOCUMENT).await.unwrap().unwrap();
    assert_eq!(record.value, b"{ \"schema\": 1 }");
    assert_eq!(record.mark, None);
    let outcome = bench
        .client
        .compare_and_swap(DOCUMENT, record.mod_revision, b"{}")
        .await;
    revision_of(&outcome);
    assert_eq!(bench.store.value(DOCUMENT).unwrap(), b"{}");
}

#[tokio::test]
async fn value_that_is_not_json_is_refused_before_it_is_sent() {
    let bench = bench();
    let outcome = bench.client.create(KEY, b"{", 0).await;
    assert!(matches!(
        outcome,
        WriteOutcome::NotWritten {
            cause: StoreError::Refused { .. }
        }
    ));
    assert_eq!(bench.store.counts().calls(), 0);
}

#[tokio::test]
async fn second_writer_gets_a_conflict_with_the_record_of_the_first() {
    let bench = bench();
    let rival = client(bench.store.url(), "s1.1");
    let (one, two) = tokio::join!(
        bench.client.create(KEY, b"1", 0),
        rival.create(KEY, b"2", 0)
    );
    let (winner, loser) = match (&one, &two) {
        (WriteOutcome::Written { .. }, WriteOutcome::Conflict { current }) => ("1", current),
        (WriteOutcome::Conflict { current }, WriteOutcome::Written { .. }) => ("2", current),
        other => panic!("not exactly one writer succeeded: {other:?}"),
    };
    assert_eq!(value_of(loser.clone()), winner);
}

/// Runs writers that increment one counter by compare-and-swap while answers are lost at random.
/// Every write reported as written counts exactly once, and no write counts twice.
#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[tokio::test]
async fn racing_writers_with_lost_answers_apply_each_write_once(seed: u64) {
    const WRITERS: u64 = 4;
    const WRITES: u64 = 15;
    let bench = bench_with(&StoreOptions {
        seed,
        ..StoreOptions::default()
    });
    revision_of(&bench.client.create("count", b"0", 0).await);
    bench.store.set_lost_answers_ppm(150_000);
    let increment = |writer: u64| {
        let client = client(bench.store.url(), &format!("w{writer}.1"));
        async move {
            let mut written = 0;
            let mut unknown = 0;
            while written + unknown < WRITES {
                let Ok(Some(record)) = client.get("count").await else {
                    continue;
                };
                let count: u64 = serde_json::from_slice(&record.value).unwrap();
                let next = (count + 1).to_string();
                let outcome = client
                    .compare_and_swap("count", record.mod_revision, next.as_bytes())
                    .await;
                match outcome {
                    WriteOutcome::Written { .. } => written += 1,
                    WriteOutcome::Unknown { .. } => unknown += 1,
                    WriteOutcome::Conflict { .. } | WriteOutcome::NotWritten { .. } => {}
                }
            }
            (written, unknown)
        }
    };
    let results = within(futures::future::join_all((0..WRITERS).map(increment))).await;
    let written: u64 = results.iter().map(|(written, _)| written).sum();
    let unknown: u64 = results.iter().map(|(_, unknown)| unknown).sum();
    let count: u64 =
        serde_json::from_slice::<serde_json::Value>(&bench.store.value("count").unwrap()).unwrap()
            ["value"]
            .as_u64()
            .unwrap();
    let is_accounted_for = written <= count && count <= written + unknown;
    assert!(
        is_accounted_for,
        "{written} written + {unknown} unknown, but the count is {count}"
    );
    assert!(written > unknown, "{written} written, {unknown} unknown");
}

#[tokio::test]
async fn write_with_a_lost_answer_is_resolved_as_written_once() {
    let bench = bench();
    bench.store.lose_answers(1);
    let revision = revision_of(&bench.client.create(KEY, b"1", 0).await);
    let record = bench.client.get(KEY).await.unwrap().unwrap();
    assert_eq!((record.version, record.mod_revision), (1, revision));
}

#[tokio::test]
async fn write_with_a_lost_answer_is_found_under_a_later_write() {
    let bench = bench();
    let first = revision_of(&bench.client.create(KEY, b"1", 0).await);
    // The answer is delayed in the proxy while another writer overwrites the value.
    bench
        .proxy
        .set(Direction::ToCaller, Impairment::partitioned());
    let write = bench.client.compare_and_swap(KEY, first, b"2");
    let overwrite = async {
        let rival = client(bench.store.url(), "s1.1");
        let record = loop {
            let record = rival.get(KEY).await.unwrap().unwrap();
            if record.mod_revision > first {
                break record;
            }
        };
        revision_of(&rival.compare_and_swap(KEY, record.mod_revision, b"3").await);
        while bench.proxy.counts().opened < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        bench.proxy.heal();
        record.mod_revision
    };
    let (outcome, revision) = within(async { tokio::join!(write, overwrite) }).await;
    assert_eq!(outcome, WriteOutcome::Written { revision });
    assert_eq!(value_of(bench.client.get(KEY).await.unwrap()), "3");
}

#[tokio::test]
async fn deletion_with_a_lost_answer_is_resolved() {
    let bench = bench();
    let revision = revision_of(&bench.client.create(KEY, b"1", 0).await);
    bench.store.lose_answers(1);
    revision_of(&bench.client.delete_if(KEY, revision).await);
    assert_eq!(bench.client.get(KEY).await.unwrap(), None);
    let outcome = bench.client.delete_if(KEY, revision).await;
    assert_eq!(outcome, WriteOutcome::Conflict { current: None });
}

#[tokio::test]
async fn write_is_unknown_when_no_attempt_is_answered() {
    let bench = bench();
    bench
        .proxy
        .set(Direction::ToCaller, Impairment::partitioned());
    let outcome = within(bench.client.create(KEY, b"1", 0)).await;
    let cause = StoreError::Timeout(ATTEMPT_TIMEOUT_MS);
    assert_eq!(outcome, WriteOutcome::Unknown { cause });
    assert!(bench.store.value(KEY).is_some(), "the write took effect");
}

#[tokio::test]
async fn write_to_a_store_that_refuses_connections_is_not_written() {
    let bench = bench();
    bench.store.set_availability(Availability::Refusing);
    // The change takes effect with a delay.
    let refused = async {
        while tokio::net::TcpStream::connect(bench.store.addr())
            .await
            .is_ok()
        {}
    };
    within(refused).await;
    let direct = client(bench.store.url(), "n2.1");
    let outcome = direct.create(KEY, b"1", 0).await;
    let is_not_written = matches!(
        outcome,
        WriteOutcome::NotWritten {
            cause: StoreError::Connect(_)
        }
    );
    assert!(is_not_written, "{outcome:?}");
    assert!(direct.get(KEY).await.is_err());
}

#[tokio::test]
async fn silent_connection_costs_one_timeout_and_no_write() {
    let bench = bench();
    revision_of(&bench.client.create("warm", b"1", 0).await);
    let opened = bench.proxy.counts().opened;
    bench.proxy.freeze_existing();
    revision_of(&within(bench.client.create(KEY, b"1", 0)).await);
    assert_eq!(
        bench.proxy.counts().opened,
        opened + 1,
        "one fresh connection"
    );
    assert_eq!(bench.client.get(KEY).await.unwrap().unwrap().version, 1);
}

#[test_case(Availability::Hanging)]
#[test_case(Availability::Refusing)]
#[test_case(Availability::Unavailable)]
#[tokio::test]
async fn calls_back_off_during_an_outage_and_recover(outage: Availability) {
    let bench = bench();
    revision_of(&bench.client.create(KEY, b"1", 0).await);
    bench.store.set_availability(outage);
    let until_backing_off = async {
        while !bench.client.is_backing_off() {
            bench.client.get(KEY).await.unwrap_or_default();
        }
    };
    within(until_backing_off).await;
    let before = bench.store.counts().calls();
    let outcome = bench.client.compare_and_swap(KEY, 1, b"2").await;
    let is_backed_off = matches!(
        outcome,
        WriteOutcome::NotWritten {
            cause: StoreError::BackingOff { .. } | StoreError::OverBudget { .. }
        }
    );
    assert!(is_backed_off, "{outcome:?}");
    assert_eq!(bench.store.counts().calls(), before);
    bench.store.set_availability(Availability::Up);
    let record = async {
        loop {
            match bench.client.get(KEY).await {
                Ok(record) => return record,
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    assert_eq!(value_of(within(record).await), "1");
    assert!(!bench.client.is_backing_off());
}

#[tokio::test]
async fn slow_store_answers_within_the_timeout() {
    let bench = bench();
    bench.store.set_delay(0, ATTEMPT_TIMEOUT_MS / 4);
    revision_of(&bench.client.create(KEY, b"1", 0).await);
    assert_eq!(bench.store.counts().writes, 1);
}

#[tokio::test]
async fn write_to_a_store_slower_than_the_timeout_is_unknown() {
    let bench = bench();
    bench.store.set_delay(0, ATTEMPT_TIMEOUT_MS * 4);
    let outcome = within(bench.client.create(KEY, b"1", 0)).await;
    let cause = StoreError::Timeout(ATTEMPT_TIMEOUT_MS);
    assert_eq!(outcome, WriteOutcome::Unknown { cause });
}

#[tokio::test]
async fn lease_is_renewed_and_its_keys_are_deleted_with_it() {
    let bench = bench();
    let lease = bench.client.lease_grant(60).await.unwrap();
    revision_of(&bench.client.create(KEY, b"1", lease).await);
    let state = bench.client.lease_keep_alive(lease).await.unwrap();
    assert_eq!(state, LeaseState::Held { ttl_s: 60 });
    bench.client.lease_revoke(lease).await.unwrap();
    assert_eq!(bench.client.get(KEY).await.unwrap(), None);
    let state = bench.client.lease_keep_alive(lease).await.unwrap();
    assert_eq!(state, LeaseState::Expired);
    bench.client.lease_revoke(lease).await.unwrap();
}

#[tokio::test]
async fn lease_whose_grant_was_lost_is_found_again() {
    let bench = bench();
    bench.store.lose_answers(1);
    let lease = bench.client.lease_grant(60).await.unwrap();
    revision_of(&bench.client.create(KEY, b"1", lease).await);
}

#[tokio::test]
async fn long_range_is_read_in_pages_at_one_revision() {
    const KEYS: usize = 2_500;
    let bench = bench();
    for number in 0..KEYS {
        bench.store.set_value(&format!("slots/{number:05}"), b"1");
    }
    bench.store.set_value("slott", b"1");
    let snapshot = bench.client.range("slots/").await.unwrap();
    assert_eq!(snapshot.records.len(), KEYS);
    assert!(snapshot.records.is_sorted_by(|a, b| a.key < b.key));
    assert_eq!(bench.store.counts().ranges, 3);
}
