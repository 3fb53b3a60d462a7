//! Tests of the encoding of gossip between builds with and without crash reports.

#![allow(clippy::unwrap_used)]

use carobwheel_core::crash::{CrashReport, HeldPart};
use carobwheel_edge::{
    node::Gossip,
    peers::{decode, encode},
};

/// Message with these crash reports.
fn gossip(crashes: CrashReport) -> Gossip {
    Gossip {
        life: 7,
        is_ready: true,
        has_store: true,
        revisions: vec![3, 4],
        loads: Vec::new(),
        asked: vec![(9, 10)],
        forecasts: Vec::new(),
        trials: Vec::new(),
        crashes,
    }
}

/// Report of one held part.
fn report() -> CrashReport {
    CrashReport {
        held: vec![HeldPart {
            part: 5,
            age_ms: 100,
            left_ms: 900,
        }],
        ..CrashReport::default()
    }
}

#[test]
fn crash_reports_survive_the_encoding() {
    let decoded = decode(&encode(&gossip(report())).unwrap()).unwrap();
    assert_eq!(decoded.crashes, report());
    assert_eq!((decoded.life, decoded.asked), (7, vec![(9, 10)]));
}

#[test]
fn a_message_of_a_build_without_crash_reports_is_understood() {
    let old = postcard::to_stdvec(&gossip(CrashReport::default())).unwrap();
    let decoded = decode(&old).unwrap();
    assert_eq!((decoded.life, decoded.revisions), (7, vec![3, 4]));
    assert_eq!(decoded.crashes, CrashReport::default());
}

#[test]
fn a_build_without_crash_reports_understands_a_message_with_one() {
    let bytes = encode(&gossip(report())).unwrap();
    let old: Gossip = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(
        (old.life, old.revisions, old.asked),
        (7, vec![3, 4], vec![(9, 10)])
    );
}
