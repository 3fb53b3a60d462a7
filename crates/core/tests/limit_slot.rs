//! Planning, reading and confirming the record of owners.

use carobwheel_core::slot::{
    plan, LivenessTracker, OwnerLiveness, Ownership, OwnershipReconciler, OwnershipRecord,
    OwnershipUpdate, PauseGuard, Peer, PlanContext, Role, SHARDS, TOLERATED_PAUSE_MS,
};
use carobwheel_core::time::Millis;
use test_case::test_case;

const ALIVE: OwnerLiveness = OwnerLiveness {
    is_unlisted: false,
    silent_ms: 0,
};
const GONE: OwnerLiveness = OwnerLiveness {
    is_unlisted: true,
    silent_ms: TOLERATED_PAUSE_MS + 1,
};

fn peer(name: &str) -> Peer {
    run(name, 1)
}

fn run(name: &str, incarnation: u64) -> Peer {
    Peer {
        instance: name.parse().expect("a valid name"),
        incarnation,
    }
}

/// Lets every member in turn plan until nothing changes, and returns the record.
fn settle(mut record: OwnershipRecord, alive: &[Peer], liveness: OwnerLiveness) -> OwnershipRecord {
    for _ in 0..4 {
        for me in alive {
            let view = PlanContext {
                me,
                is_leaving: false,
                are_all_reachable: true,
                alive,
                liveness: &|_| liveness,
            };
            if let Some(plan) = plan(&record, &view) {
                record = plan.next;
            }
        }
    }
    record
}

fn counts(record: &OwnershipRecord, peers: &[Peer]) -> Vec<(usize, usize)> {
    let count = |peer: &Peer, role| {
        let owners = record.owners(role).values();
        owners.filter(|of| of.owner == *peer).count()
    };
    peers
        .iter()
        .map(|peer| (count(peer, Role::Primary), count(peer, Role::Backup)))
        .collect()
}

#[test]
fn members_divide_all_slots() {
    let alive = ["a", "b", "c"].map(peer);
    let record = settle(OwnershipRecord::default(), &alive, ALIVE);
    let shards = usize::from(SHARDS);
    assert_eq!(
        (record.primary.len(), record.backup.len()),
        (shards, shards)
    );
    let apart =
        (0..SHARDS).all(|shard| record.primary[&shard].owner != record.backup[&shard].owner);
    assert!(apart, "primary and backup of a shard have the same owner");
    insta::assert_compact_debug_snapshot!(counts(&record, &alive), @"[(17, 18), (19, 27), (28, 19)]");
}

#[test]
fn a_lone_member_owns_both_roles() {
    let alive = [peer("a")];
    let record = settle(OwnershipRecord::default(), &alive, ALIVE);
    let shards = usize::from(SHARDS);
    assert_eq!(counts(&record, &alive), [(shards, shards)]);
}

#[test]
fn a_new_member_is_given_its_slots_with_a_new_epoch() {
    let before = settle(OwnershipRecord::default(), &["a", "b"].map(peer), ALIVE);
    let after = settle(before.clone(), &["a", "b", "c"].map(peer), ALIVE);
    for role in Role::ALL {
        for (shard, now) in after.owners(role) {
            let then = &before.owners(role)[shard];
            assert_eq!(now.owner == then.owner, now.epoch == then.epoch);
        }
    }
    assert_ne!(counts(&after, &[peer("c")]), [(0, 0)]);
}

#[test_case(true, TOLERATED_PAUSE_MS + 1 => true; "unlisted and silent")]
#[test_case(false, TOLERATED_PAUSE_MS + 1 => false; "listed")]
#[test_case(true, TOLERATED_PAUSE_MS => false; "silent for no longer than the tolerated pause")]
fn slots_of_an_absent_owner_are_taken(is_unlisted: bool, silent_ms: u64) -> bool {
    let before = settle(OwnershipRecord::default(), &["a", "b"].map(peer), ALIVE);
    let liveness = OwnerLiveness {
        is_unlisted,
        silent_ms,
    };
    let after = settle(before.clone(), &[peer("a")], liveness);
    after != before && !after.peers().contains(&peer("b"))
}

#[test]
fn a_restarted_instance_waits_for_its_past_to_be_gone() {
    let before = settle(OwnershipRecord::default(), &["a", "b"].map(peer), ALIVE);
    let alive = [peer("a"), run("b", 2)];
    assert_eq!(settle(before.clone(), &alive, ALIVE), before);
    let after = settle(before, &alive, GONE);
    assert!(after.peers().contains(&run("b", 2)) && !after.peers().contains(&peer("b")));
}

#[test]
fn a_leaving_owner_gives_everything_away() {
    let record = settle(OwnershipRecord::default(), &["a", "b"].map(peer), ALIVE);
    let me = peer("a");
    let view = PlanContext {
        me: &me,
        is_leaving: true,
        are_all_reachable: true,
        alive: &["a", "b"].map(peer),
        liveness: &|_| ALIVE,
    };
    let plan = plan(&record, &view).expect("a plan");
    assert_eq!(plan.handed_over.len(), record.owned_by(&me).len());
    assert!(plan.claimed.is_empty() && plan.next.owned_by(&me).is_empty());
}

fn owned_by_b() -> OwnershipRecord {
    let owner = peer("b");
    let mut record = OwnershipRecord::default();
    for role in Role::ALL {
        for shard in 0..SHARDS {
            let owner = owner.clone();
            record
                .owners_mut(role)
                .insert(shard, Ownership { owner, epoch: 3 });
        }
    }
    record
}

#[test]
fn a_write_without_an_answer_stays_undecided_until_the_revision_changes() {
    let (me, alive) = (peer("b"), ["a", "b"].map(peer));
    let view = PlanContext {
        me: &me,
        is_leaving: false,
        are_all_reachable: true,
        alive: &alive,
        liveness: &|_| ALIVE,
    };
    let mut keeper = OwnershipReconciler::new(me.clone(), Millis(0));
    keeper.on_read(7, owned_by_b(), Millis(0));
    let write = keeper.next_write(&view).expect("a write");
    assert!(!write.suspended.is_empty());
    // The write may still take effect: it is sent again, and nothing is usable before.
    assert_eq!(
        keeper.on_read(7, owned_by_b(), Millis(1)),
        OwnershipUpdate::Unchanged
    );
    assert_eq!(keeper.next_write(&view), Some(write.clone()));
    let owned = write.next.owned_by(&me);
    assert_eq!(
        keeper.on_read(8, write.next, Millis(2)),
        OwnershipUpdate::Owned(owned)
    );
}

#[test]
fn slots_are_valid_again_once_the_store_holds_a_confirmation_written_after_the_pause() {
    let me = peer("b");
    let alive = [me.clone()];
    let view = PlanContext {
        me: &me,
        is_leaving: false,
        are_all_reachable: true,
        alive: &alive,
        liveness: &|_| ALIVE,
    };
    let mut keeper = OwnershipReconciler::new(me.clone(), Millis(0));
    keeper.on_read(7, owned_by_b(), Millis(0));
    assert!(!keeper.detect_pause(Millis(TOLERATED_PAUSE_MS / 2)));
    let woken = Millis(TOLERATED_PAUSE_MS * 2);
    assert!(keeper.detect_pause(woken));
    assert_eq!(
        keeper.on_read(7, owned_by_b(), woken.plus(1)),
        OwnershipUpdate::Unchanged
    );
    let write = keeper.next_write(&view).expect("a write");
    assert!(write.suspended.is_empty());
    let confirmed = write.next.clone();
    assert_eq!(
        keeper.on_read(8, confirmed.clone(), woken.plus(2)),
        OwnershipUpdate::Confirmed(confirmed.owned_by(&me))
    );
}

#[test]
fn an_answer_to_a_read_from_before_the_pause_confirms_nothing() {
    let mut guard = PauseGuard::new(Millis(0));
    assert!(guard.detect_pause(Millis(40_000)));
    assert!(!guard.confirm_read(Millis(39_999)));
    assert!(guard.are_slots_invalid());
    assert!(guard.confirm_read(Millis(40_000)));
    assert!(!guard.are_slots_invalid());
}

#[test]
fn a_confirmation_in_the_record_is_a_sign_of_life() {
    let owner = peer("b");
    let mut presence = LivenessTracker::default();
    let mut record = owned_by_b();
    presence.note_record(&record, Millis(0));
    presence.note_live_list(&[], Millis(10), Millis(10));
    let late = Millis(TOLERATED_PAUSE_MS + 1);
    assert!(presence.liveness(&owner, late).is_gone());
    record.confirmations.insert(owner.instance.clone(), 1);
    presence.note_record(&record, late);
    presence.note_live_list(&[], late.plus(1), late.plus(1));
    assert!(!presence.liveness(&owner, late.plus(1)).is_gone());
    assert!(presence.liveness(&owner, late.plus(late.0)).is_gone());
}

#[test]
fn an_owner_never_heard_of_is_not_gone() {
    let mut presence = LivenessTracker::default();
    presence.note_live_list(&[], Millis(10), Millis(10));
    let liveness = presence.liveness(&peer("b"), Millis(1_000_000));
    assert!(!liveness.is_gone());
}

/// The new owner of a slot would wait for the member that does not answer.
#[test]
fn nothing_is_handed_over_while_a_member_does_not_answer_unless_the_owner_leaves() {
    let old = peer("a");
    let record = settle(
        OwnershipRecord::default(),
        std::slice::from_ref(&old),
        ALIVE,
    );
    let alive = [old.clone(), peer("b")];
    let planned = |are_all_reachable, is_leaving| {
        let view = PlanContext {
            me: &old,
            is_leaving,
            are_all_reachable,
            alive: &alive,
            liveness: &|_| ALIVE,
        };
        plan(&record, &view).map_or(0, |plan| plan.handed_over.len())
    };
    assert_eq!(planned(false, false), 0);
    assert!(planned(true, false) > 0);
    assert_eq!(planned(false, true), 2 * usize::from(SHARDS));
}
