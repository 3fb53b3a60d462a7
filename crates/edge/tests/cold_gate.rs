//! What begins and ends the time for which an upstream counts as cold.

#![allow(clippy::unwrap_used)]

use carobwheel_core::time::Millis;
use carobwheel_edge::{
    cold::{own_cold_rate, ColdGate, ColdRate},
    upstream::{Stage, UpstreamEntry, Upstreams},
};
use std::sync::Arc;

const COLD_MS: u64 = 3_000;
const ID: &str = "i-1";

fn entry(cold_left_ms: u64, started_unix_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: ID.into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 64,
        stage: Stage::Ready,
        cold_left_ms,
        time_left_ms: None,
        started_unix_ms: Some(started_unix_ms),
    }
}

struct Known(Upstreams);

impl Known {
    fn new(first: UpstreamEntry) -> Self {
        let mut known = Self(Upstreams::default());
        known.update(first, Millis(0));
        known
    }

    fn update(&mut self, entry: UpstreamEntry, now: Millis) {
        self.0.update_entry(entry, &Arc::from("north"), 0, now);
    }

    fn gate(&mut self) -> &mut ColdGate {
        &mut self.0.by_id.get_mut(ID).unwrap().cold
    }
}

/// Guards against the entry of an earlier process that arrives after the one of the next.
#[test]
fn an_entry_of_an_earlier_process_does_not_end_the_cold_time() {
    let mut known = Known::new(entry(0, 1));
    known.update(entry(COLD_MS, 2), Millis(1_000));
    known.update(entry(0, 1), Millis(1_200));
    assert!(known.gate().is_cold(Millis(3_999)));
    assert!(!known.gate().is_cold(Millis(4_000)));
}

/// Guards against an entry that was written before the upstream became cold.
#[test]
fn an_entry_without_a_cold_time_does_not_end_an_assumed_one() {
    let mut known = Known::new(entry(0, 1));
    assert!(known.gate().assume(COLD_MS, Millis(1_000)));
    known.update(entry(0, 1), Millis(1_200));
    assert!(known.gate().is_cold(Millis(3_999)));
}

#[test]
fn an_entry_with_a_cold_time_replaces_an_assumed_one() {
    let mut known = Known::new(entry(0, 1));
    known.gate().assume(COLD_MS, Millis(1_000));
    known.update(entry(500, 1), Millis(1_200));
    assert!(known.gate().is_cold(Millis(1_699)));
    assert!(!known.gate().is_cold(Millis(1_700)));
}

#[test]
fn a_faulty_cold_time_ends() {
    let mut known = Known::new(entry(u64::MAX, 1));
    assert!(!known.gate().is_cold(Millis(60_000)));
    known.gate().assume(u64::MAX, Millis(60_000));
    assert!(!known.gate().is_cold(Millis(120_000)));
}

/// Guards against a burst by those that learn late that the upstream is cold.
#[test]
fn requests_from_before_the_cold_time_is_known_count() {
    let mut gate = ColdGate::default();
    gate.record_sent(ColdRate { per_s: 2.0 }, Millis(1_000));
    gate.assume(COLD_MS, Millis(1_100));
    assert!(!gate.is_open(Millis(1_499)));
    assert!(gate.is_open(Millis(1_500)));
}

/// Requests a second that a cold upstream takes.
const COLD_PER_S: f64 = 2.0;
/// Requests that it bears in any second: one and a half times as many, and three.
const BEARS_IN_A_SECOND: usize = 6;

/// Instances that start together, or whose entries have run out in a cut, do not know each other at first.
#[test]
fn instances_that_know_nobody_do_not_flood_a_cold_upstream_together() {
    let rate = own_cold_rate(COLD_PER_S);
    let mut gates = [ColdGate::default(); 3];
    let mut sent = Vec::new();
    for now in (0..3_000).step_by(10) {
        for gate in &mut gates {
            if gate.is_open(Millis(now)) {
                gate.record_sent(rate, Millis(now));
                sent.push(now);
            }
        }
    }
    let most = sent
        .iter()
        .map(|from| {
            let second = sent.iter().filter(|at| (*from..from + 1_010).contains(at));
            second.count()
        })
        .max()
        .unwrap();
    assert!(most <= BEARS_IN_A_SECOND, "{most} in a second");
}
