//! Tests of when an instance that was just started counts as part of its fleet.

#![allow(clippy::unwrap_used)]

use carobwheel_core::time::Millis;
use carobwheel_edge::member::{MemberEntry, Members};

/// Entry of another instance.
fn entry() -> MemberEntry {
    MemberEntry {
        name: "north-1".into(),
        life: 1,
        region: "north".into(),
        data_centre: "north-a".into(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        certificate_digest: [0; 32],
        processor_millicores: 0,
    }
}

#[test]
fn an_instance_is_not_ready_before_it_has_heard_which_parts_are_held() {
    let mut members = Members::default();
    assert!(members.has_joined(Millis(0)));
    members.update_entry(entry(), Millis(300));
    assert!(!members.has_joined(Millis(300)));
    assert!(members.record_message("north-1", 1, true, Millis(900)));
    assert!(members.has_joined(Millis(900)));
}

#[test]
fn an_instance_becomes_ready_if_no_other_answers() {
    let mut members = Members::default();
    members.update_entry(entry(), Millis(300));
    assert!(members.has_joined(Millis(2_000)));
}

#[test]
fn an_instance_stays_ready_when_the_only_other_one_restarts() {
    let mut members = Members::default();
    members.update_entry(entry(), Millis(300));
    assert!(members.record_message("north-1", 1, true, Millis(400)));
    members.update_entry(MemberEntry { life: 2, ..entry() }, Millis(500));
    assert!(members.has_joined(Millis(500)));
}
