//! Watches of a store that loses the answers to the calls of some spans.

#![allow(clippy::unwrap_used)]

mod store_support;

use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::ops::Range;
use store_support::{SimulatedStore, PREFIXES};
use test_case::test_case;

/// Time after its last disturbance from which the store counts as stable, in milliseconds.
const STABLE_MS: u64 = 6_000;
/// Time from the confirmation by a stable store until a change is in force, in milliseconds.
const APPLY_MS: u64 = 4_000;
/// Length of a random run, in milliseconds.
const RUN_MS: u64 = 90_000;
/// Seeds of random runs.
const SEEDS: Range<u64> = 0..50;

/// Span of silence from `start_ms` to `end_ms`.
fn span(start_ms: u64, end_ms: u64) -> Range<u64> {
    start_ms..end_ms
}

/// Latest time at which a change has to be known, in milliseconds: `APPLY_MS` after its
/// confirmation by a store that is stable all the while.
fn due_ms(written_ms: u64, silent_ms: &[Range<u64>]) -> u64 {
    let mut due = written_ms + APPLY_MS;
    for span in silent_ms {
        if span.start < due {
            due = due.max(span.end + STABLE_MS + APPLY_MS);
        }
    }
    due
}

/// Writes keys at the given times while a client follows the store. Fails if one is known too late.
async fn check_known_in_time(silent_ms: &[Range<u64>], writes_ms: &[u64], until_ms: u64) {
    let store = SimulatedStore::new(silent_ms);
    let mut handle = store.connect();
    let writing = async {
        for (index, at) in writes_ms.iter().enumerate() {
            store.wait_until(*at).await;
            store.write(&format!("{}{index}", PREFIXES[index % PREFIXES.len()]));
        }
    };
    let (known, ()) = tokio::join!(store.known_ms(&mut handle, until_ms), writing);
    for (key, written) in store.written_ms() {
        let due = due_ms(written, silent_ms);
        let at = known.get(&key).copied();
        assert!(
            due >= until_ms || at.is_some_and(|at| at <= due),
            "{key}, written at {written} ms, due at {due} ms, known at {at:?}, silent {silent_ms:?}"
        );
    }
}

/// Watches made in a short outage waited 27 s for answers that were lost, unnoticed by other calls.
#[test_case(&[span(12_000, 16_500)], 11_600; "one outage after a change")]
#[test_case(&[span(12_000, 14_000), span(14_600, 16_600)], 11_900; "two outages in a row")]
#[test_case(&[span(12_100, 13_600)], 12_000; "an outage between two renewals of the lease")]
#[test_case(&[span(12_000, 12_700)], 11_500; "an outage shorter than any timeout")]
#[tokio::test(start_paused = true)]
async fn changes_after_a_silent_outage_are_known_in_time(silent_ms: &[Range<u64>], before_ms: u64) {
    let back = silent_ms.last().unwrap().end;
    let mut writes = vec![before_ms; PREFIXES.len()];
    writes.extend([back + STABLE_MS + 200; PREFIXES.len()]);
    check_known_in_time(silent_ms, &writes, 60_000).await;
}

/// As above, with outages, changes and their moments at random.
#[tokio::test(start_paused = true)]
async fn changes_beside_random_silent_outages_are_known_in_time() {
    for seed in SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut silent = Vec::new();
        let mut at = rng.random_range(1_000..10_000);
        while at < RUN_MS / 2 {
            let end = at + rng.random_range(100..7_000);
            silent.push(at..end);
            at = end + rng.random_range(100..14_000);
        }
        let mut writes: Vec<u64> = (0..60).map(|_| rng.random_range(0..RUN_MS)).collect();
        writes.sort_unstable();
        check_known_in_time(&silent, &writes, RUN_MS).await;
    }
}

/// The watches of all prefixes waited for lost answers after another call had shown the outage.
#[tokio::test(start_paused = true)]
async fn an_outage_that_one_call_has_noticed_ends_all_waiting_watches() {
    let silent = [span(12_000, 16_500)];
    let store = SimulatedStore::new(&silent);
    let mut handle = store.connect();
    // The renewal that fails last ends 2.5 s after the outage at most, its back-off 2 s later.
    let checked_ms = silent[0].end + 4_700;
    let writing = async {
        store.wait_until(11_900).await;
        PREFIXES.iter().for_each(|prefix| store.write(prefix));
        store.wait_until(checked_ms).await;
        for prefix in PREFIXES {
            store.write(&format!("{prefix}later"));
        }
    };
    let (known, ()) = tokio::join!(store.known_ms(&mut handle, checked_ms + 1_000), writing);
    for prefix in PREFIXES {
        let key = format!("{prefix}later");
        assert!(known.contains_key(&key), "{key} is not known: {known:?}");
    }
}

/// Each watch call is priced and counts towards the rate that all instances share.
#[tokio::test(start_paused = true)]
async fn watches_of_a_calm_store_are_few() {
    let store = SimulatedStore::new(&[]);
    let mut handle = store.connect();
    store.known_ms(&mut handle, 60_000).await;
    let per_prefix = store.watches() / PREFIXES.len();
    assert!(per_prefix <= 20, "{per_prefix} watches of a prefix in 60 s");
}
