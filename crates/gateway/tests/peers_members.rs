//! Tests of membership tables over real links: six instances in three regions, without a store.

mod peers_support;

use bytes::Bytes;
use carobwheel_core::member::MemberState;
use peers_support::instance::{Fleet, NAMES};
use peers_support::wait;

#[test]
fn instances_find_each_other_and_distribute_a_document_without_the_store() {
    let fleet = Fleet::start();
    fleet.wait_until_all_alive();
    fleet.get(4).publish(3, Bytes::from_static(b"third"));
    fleet.wait_for_revision(3);
    fleet.get(0).publish(4, Bytes::from_static(b"fourth"));
    fleet.wait_for_revision(4);
    for instance in fleet.running() {
        let (_, bytes) = instance.view().document.unwrap();
        assert_eq!(bytes, "fourth");
    }
}

#[test]
fn a_new_instance_gets_the_document_from_its_peers() {
    let mut fleet = Fleet::start();
    fleet.get(0).publish(9, Bytes::from_static(b"ninth"));
    fleet.wait_for_revision(9);
    fleet.instances[5] = None;
    fleet.start_one(5, 2);
    fleet.set_live_list();
    fleet.wait_for_revision(9);
    fleet.wait_until_all_alive();
}

#[test]
fn a_stopped_instance_is_gone_and_a_leaving_one_is_leaving() {
    let mut fleet = Fleet::start();
    fleet.wait_until_all_alive();
    fleet.instances[1] = None;
    fleet.get(2).leave();
    let is_seen_as = |state: MemberState, name: &str, incarnation: u64| {
        fleet
            .running()
            .all(|instance| instance.seen_as(state) == [(name.to_owned(), incarnation)])
    };
    wait("the stopped instance is gone", || {
        is_seen_as(MemberState::Gone, "north-2", 1)
    });
    wait("the leaving instance is leaving", || {
        is_seen_as(MemberState::Leaving, "centre-1", 1)
    });
}

#[test]
fn all_instances_restart_at_once() {
    let mut fleet = Fleet::start();
    fleet.wait_until_all_alive();
    fleet.get(3).publish(5, Bytes::from_static(b"fifth"));
    fleet.wait_for_revision(5);
    for instance in &mut fleet.instances {
        *instance = None;
    }
    for at in 0..NAMES.len() {
        fleet.start_one(at, 2);
    }
    fleet.set_live_list();
    fleet.wait_until_all_alive();
    // No instance has the document after the restart until one of them publishes it again.
    fleet.get(1).publish(5, Bytes::from_static(b"fifth"));
    fleet.wait_for_revision(5);
}
