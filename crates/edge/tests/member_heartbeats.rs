//! Tests of what heartbeats that delegates pass on say about an instance.

#![allow(clippy::unwrap_used)]

use carobwheel_core::{
    fleet::{Peer, Topology},
    time::Millis,
};
use carobwheel_edge::member::{Heartbeat, LinkReport, MemberEntry, Members};
use std::collections::BTreeSet;

/// Entry of an instance of the region `north`.
fn entry(name: &str) -> MemberEntry {
    MemberEntry {
        name: name.into(),
        life: 1,
        region: "north".into(),
        data_centre: "north-a".into(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        certificate_digest: [0; 32],
        processor_millicores: 0,
    }
}

fn heartbeat(name: &str, beat: u32, is_ready: bool) -> Heartbeat {
    Heartbeat {
        key: entry(name).key(),
        beat,
        is_ready,
        has_store: true,
    }
}

/// Services that an instance does not reach: none.
fn reaching_all() -> BTreeSet<u32> {
    BTreeSet::new()
}

/// Table of the instance `c`, which knows the delegates `a` and `b` and the instance `d`.
fn members() -> Members {
    let mut members = Members::default();
    for name in ["a", "b", "d"] {
        members.update_entry(entry(name), Millis(0));
    }
    choose(&mut members, 0);
    members
}

/// Chooses the links of `c`.
fn choose(members: &mut Members, now: u64) -> Topology {
    let own = Peer {
        name: "c",
        region: "north",
        data_centre: "north-a",
        processor_millicores: 0,
        is_heard: true,
    };
    let topology = members.topology(own, Millis(now));
    members.set_contacts(&topology, Millis(now));
    topology
}

/// Records a message with sums of `name`.
fn hear(members: &mut Members, name: &str, now: u64) {
    let at = Millis(now);
    assert!(members.record_message(name, 1, true, at));
    let link = LinkReport {
        beat: Heartbeat::number(at).max(1),
        has_store: true,
        subscribes: false,
        has_sums: true,
    };
    members.record_link(name, link, at);
}

fn listed(members: &Members, now: u64) -> Vec<String> {
    let mut names: Vec<String> = members
        .up_in("north", Millis(now))
        .map(|member| member.entry.name.to_string())
        .collect();
    names.sort_unstable();
    names
}

#[test]
fn a_repeated_heartbeat_is_no_sign_of_life() {
    let mut members = members();
    for now in (100..=4_000).step_by(100) {
        hear(&mut members, "a", now);
        members.record_heartbeat(heartbeat("d", 5, true), &reaching_all(), Millis(now));
    }
    assert_eq!(listed(&members, 2_000), ["a", "d"]);
    assert_eq!(listed(&members, 4_000), ["a"]);
    members.record_heartbeat(heartbeat("d", 6, true), &reaching_all(), Millis(4_000));
    assert_eq!(listed(&members, 4_000), ["a", "d"]);
}

#[test]
fn an_instance_that_has_ceased_to_be_ready_is_not_listed() {
    let mut members = members();
    assert!(members.record_heartbeat(heartbeat("d", 5, true), &reaching_all(), Millis(100)));
    assert!(members.record_heartbeat(heartbeat("d", 6, false), &reaching_all(), Millis(200)));
    assert!(members.has_state_changed_since(Millis(200)));
    assert!(!members.record_heartbeat(heartbeat("d", 5, true), &reaching_all(), Millis(300)));
    assert!(listed(&members, 300).is_empty());
}

#[test]
fn heartbeats_of_an_earlier_process_do_not_count() {
    let mut members = members();
    let restarted = MemberEntry {
        life: 2,
        ..entry("d")
    };
    members.update_entry(restarted.clone(), Millis(100));
    assert!(!members.record_heartbeat(heartbeat("d", 50, true), &reaching_all(), Millis(200)));
    let of_new = Heartbeat {
        key: restarted.key(),
        ..heartbeat("d", 1, true)
    };
    assert!(members.record_heartbeat(of_new, &reaching_all(), Millis(200)));
}

/// Guards against a restored store whose copy has the entry of an earlier process: the running one was
/// forgotten, and its links were closed with the answers under way on them.
#[test]
fn an_entry_of_an_earlier_process_waits_while_the_later_one_is_heard() {
    let mut members = Members::default();
    let restarted = MemberEntry {
        life: 2,
        ..entry("a")
    };
    assert!(members.update_entry(restarted.clone(), Millis(0)));
    assert!(members.record_message("a", 2, true, Millis(1_000)));
    assert!(!members.update_entry(entry("a"), Millis(1_100)));
    assert_eq!(members.by_name["a"].entry.life, 2);
    assert!(members.due_entries(Millis(3_000)).is_empty());
    // The clock of the machine may have gone back: then the process that is heard no more was the earlier one.
    assert_eq!(members.due_entries(Millis(3_300)), [entry("a")]);
    assert!(members.due_entries(Millis(3_300)).is_empty());
    // Another entry takes the place of one that waits.
    assert!(members.record_message("a", 2, true, Millis(3_400)));
    assert!(!members.update_entry(entry("a"), Millis(3_500)));
    assert!(!members.update_entry(restarted, Millis(3_600)));
    assert!(members.due_entries(Millis(60_000)).is_empty());
}

/// Guards against an instance that counts as a new one since its entry says something else: what it has sent
/// was forgotten.
#[test]
fn another_entry_of_the_same_process_keeps_what_is_known_of_it() {
    let mut members = members();
    hear(&mut members, "a", 1_000);
    let larger = MemberEntry {
        processor_millicores: 500,
        ..entry("a")
    };
    assert!(!members.update_entry(larger, Millis(1_100)));
    assert_eq!(listed(&members, 1_200), ["a"]);
    assert_eq!(members.by_name["a"].entry.processor_millicores, 500);
}

/// Without a delegate nobody can be told from the dead, so nobody is taken off the list at once.
#[test]
fn ages_stand_still_while_no_delegate_is_heard() {
    let mut members = members();
    hear(&mut members, "a", 1_000);
    members.record_heartbeat(heartbeat("d", 5, true), &reaching_all(), Millis(1_000));
    assert_eq!(listed(&members, 4_000), ["a", "d"]);
    assert!(listed(&members, 12_000).is_empty());
}

#[test]
fn delegates_that_fall_silent_are_replaced_by_those_with_heartbeats() {
    let mut members = members();
    for now in (100..=1_000).step_by(100) {
        hear(&mut members, "a", now);
        hear(&mut members, "b", now);
        members.record_heartbeat(
            heartbeat("d", Heartbeat::number(Millis(now)), true),
            &reaching_all(),
            Millis(now),
        );
    }
    let before = choose(&mut members, 1_000);
    assert_eq!(Vec::from_iter(before.gossip), ["a", "b"]);
    assert!(!before.is_delegate);
    let after = choose(&mut members, 3_500);
    assert!(after.is_delegate && after.gossip.contains("d"));
}

#[test]
fn a_message_that_arrives_after_a_later_one_is_outdated() {
    let mut members = members();
    hear(&mut members, "a", 1_000);
    let beat = Heartbeat::number(Millis(1_000));
    assert!(!members.is_outdated("a", 1, beat));
    assert!(members.is_outdated("a", 1, beat - 1));
    // Heartbeats that delegates pass on say nothing about the order of its own messages.
    members.record_heartbeat(
        heartbeat("a", beat + 10, true),
        &reaching_all(),
        Millis(1_100),
    );
    assert!(!members.is_outdated("a", 1, beat + 1));
    // Another process counts anew.
    assert!(!members.is_outdated("a", 2, 1));
}

/// Guards against small machines that watch the store for others because of their names.
#[test]
fn the_largest_instances_of_a_region_watch_the_store() {
    let mut members = Members::default();
    for (name, processor_millicores) in [("10", 120), ("11", 120), ("2", 500)] {
        let entry = MemberEntry {
            processor_millicores,
            ..entry(name)
        };
        let heartbeat = Heartbeat {
            key: entry.key(),
            ..heartbeat(name, 1, true)
        };
        members.update_entry(entry, Millis(0));
        members.record_heartbeat(heartbeat, &reaching_all(), Millis(100));
    }
    let is_watcher = |name, processor_millicores| {
        let own = Peer {
            name,
            region: "north",
            data_centre: "north-a",
            processor_millicores,
            is_heard: true,
        };
        members.is_watcher(own, Millis(200))
    };
    assert!(is_watcher("9", 500));
    assert!(is_watcher("1", 120));
    assert!(!is_watcher("12", 120));
}

/// Guards against instances that are believed to reach a service after they have told otherwise, and against
/// news that wait for the next regular heartbeat.
#[test]
fn an_instance_that_does_not_reach_a_service_says_so_until_a_later_message() {
    let mut members = members();
    let of_d = |members: &Members| members.by_name["d"].cut_off.clone();
    members.record_heartbeat(heartbeat("d", 5, true), &reaching_all(), Millis(100));
    assert!(!members.has_state_changed_since(Millis(150)));
    assert!(members.record_heartbeat(heartbeat("d", 6, true), &[7].into(), Millis(200)));
    assert!(members.has_state_changed_since(Millis(200)));
    // Another delegate repeats an earlier heartbeat.
    assert!(!members.record_heartbeat(heartbeat("d", 5, true), &reaching_all(), Millis(300)));
    assert!(!members.record_heartbeat(heartbeat("d", 7, true), &[7].into(), Millis(300)));
    assert_eq!(of_d(&members), [7].into());
    assert!(members.record_heartbeat(heartbeat("d", 8, true), &reaching_all(), Millis(400)));
    assert!(of_d(&members).is_empty());
}

#[test]
fn a_direct_message_replaces_the_services_that_an_instance_does_not_reach() {
    let mut members = members();
    hear(&mut members, "a", 1_000);
    assert!(members.record_cut_off("a", &[7, 8].into(), Millis(1_000)));
    assert!(members.has_state_changed_since(Millis(1_000)));
    assert!(!members.record_cut_off("a", &[7, 8].into(), Millis(1_100)));
    assert!(members.record_cut_off("a", &reaching_all(), Millis(1_200)));
    assert!(members.by_name["a"].cut_off.is_empty());
    assert!(!members.record_cut_off("nobody", &[7].into(), Millis(1_300)));
}
