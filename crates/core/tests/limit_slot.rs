//! Planning, reading and confirmation of the ownership record, and liveness of slot owners.

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
        instance: name.parse().expect("a valid identifier"),
        incarnation,
    }
}

/// Applies the plans of all members in turn, four times over, and returns the record.
fn settle(mut record: OwnershipRecord, alive: &[Peer], liveness: OwnerLiveness) -> OwnershipRecord {
    for _ in 0..4 {
        for me in alive {
            let context = PlanContext {
                me,
                is_leaving: false,
                are_all_reachable: true,
                alive,
                liveness: &|_| liveness,
            };
            if let Some(plan) = plan(&record, &context) {
                record = plan.next;
            }
        }
    }
    record
}

fn counts(record: &OwnershipRecord, peers: &[Peer]) -> Vec<(usize, usize)> {
    let count = |peer: &Peer, role| {
        let owners = record.owners(role).values();
        owners.filter(|ownership| ownership.owner == *peer).count()
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
    let are_distinct =
        (0..SHARDS).all(|shard| record.primary[&shard].owner != record.backup[&shard].owner);
    assert!(
        are_distinct,
        "primary and backup of a shard have the same owner"
    );
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
fn a_new_member_receives_its_slots_with_a_new_epoch() {
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
fn slots_of_a_gone_owner_are_claimed(is_unlisted: bool, silent_ms: u64) -> bool {
    let before = settle(OwnershipRecord::default(), &["a", "b"].map(peer), ALIVE);
    let liveness = OwnerLiveness {
        is_unlisted,
        silent_ms,
    };
    let after = settle(before.clone(), &[peer("a")], liveness);
    after != before && !after.peers().contains(&peer("b"))
}

#[test]
fn a_restarted_instance_claims_slots_only_after_its_former_run_is_gone() {
    let before = settle(OwnershipRecord::default(), &["a", "b"].map(peer), ALIVE);
    let alive = [peer("a"), run("b", 2)];
    assert_eq!(settle(before.clone(), &alive, ALIVE), before);
    let after = settle(before, &alive, GONE);
    assert!(after.peers().contains(&run("b", 2)) && !after.peers().contains(&peer("b")));
}

#[test]
fn a_leaving_owner_hands_over_all_slots() {
    let record = settle(OwnershipRecord::default(), &["a", "b"].map(peer), ALIVE);
    let me = peer("a");
    let context = PlanContext {
        me: &me,
        is_leaving: true,
        are_all_reachable: true,
        alive: &["a", "b"].map(peer),
        liveness: &|_| ALIVE,
    };
    let plan = plan(&record, &context).expect("a plan");
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
fn a_write_without_an_answer_stays_pending_until_the_revision_changes() {
    let (me, alive) = (peer("b"), ["a", "b"].map(peer));
    let context = PlanContext {
        me: &me,
        is_leaving: false,
        are_all_reachable: true,
        alive: &alive,
        liveness: &|_| ALIVE,
    };
    let mut reconciler = OwnershipReconciler::new(me.clone(), Millis(0));
    reconciler.on_read(7, owned_by_b(), Millis(0));
    let write = reconciler.next_write(&context).expect("a write");
    assert!(!write.suspended.is_empty());
    // The write may still take effect, so it is sent again, and its slots stay suspended until
    // then.
    assert_eq!(
        reconciler.on_read(7, owned_by_b(), Millis(1)),
        OwnershipUpdate::Unchanged
    );
    assert_eq!(reconciler.next_write(&context), Some(write.clone()));
    let owned = write.next.owned_by(&me);
    assert_eq!(
        reconciler.on_read(8, write.next, Millis(2)),
        OwnershipUpdate::Owned(owned)
    );
}

#[test]
fn slots_are_valid_again_once_a_confirmation_written_after_the_pause_is_read() {
    let me = peer("b");
    let alive = [me.clone()];
    let context = PlanContext {
        me: &me,
        is_leaving: false,
        are_all_reachable: true,
        alive: &alive,
        liveness: &|_| ALIVE,
    };
    let mut reconciler = OwnershipReconciler::new(me.clone(), Millis(0));
    reconciler.on_read(7, owned_by_b(), Millis(0));
    assert!(!reconciler.detect_pause(Millis(TOLERATED_PAUSE_MS / 2)));
    let resumed_at = Millis(TOLERATED_PAUSE_MS * 2);
    assert!(reconciler.detect_pause(resumed_at));
    assert_eq!(
        reconciler.on_read(7, owned_by_b(), resumed_at.plus(1)),
        OwnershipUpdate::Unchanged
    );
    let write = reconciler.next_write(&context).expect("a write");
    assert!(write.suspended.is_empty());
    let confirmed = write.next.clone();
    assert_eq!(
        reconciler.on_read(8, confirmed.clone(), resumed_at.plus(2)),
        OwnershipUpdate::Confirmed(confirmed.owned_by(&me))
    );
}

#[test]
fn a_read_that_began_before_the_pause_confirms_nothing() {
    let mut guard = PauseGuard::new(Millis(0));
    assert!(guard.detect_pause(Millis(40_000)));
    assert!(!guard.confirm_read(Millis(39_999)));
    assert!(guard.are_slots_invalid());
    assert!(guard.confirm_read(Millis(40_000)));
    assert!(!guard.are_slots_invalid());
}

#[test]
fn a_confirmation_in_the_record_shows_that_an_owner_is_alive() {
    let owner = peer("b");
    let mut tracker = LivenessTracker::default();
    let mut record = owned_by_b();
    tracker.note_record(&record, Millis(0));
    tracker.note_live_list(&[], Millis(10), Millis(10));
    let late = Millis(TOLERATED_PAUSE_MS + 1);
    assert!(tracker.liveness(&owner, late).is_gone());
    record.confirmations.insert(owner.instance.clone(), 1);
    tracker.note_record(&record, late);
    tracker.note_live_list(&[], late.plus(1), late.plus(1));
    assert!(!tracker.liveness(&owner, late.plus(1)).is_gone());
    assert!(tracker.liveness(&owner, late.plus(late.0)).is_gone());
}

#[test]
fn an_owner_that_was_never_seen_is_not_gone() {
    let mut tracker = LivenessTracker::default();
    tracker.note_live_list(&[], Millis(10), Millis(10));
    let liveness = tracker.liveness(&peer("b"), Millis(1_000_000));
    assert!(!liveness.is_gone());
}

/// Guards against an empty slot: its new owner would wait for the audit answer of the unreachable
/// member.
#[test]
fn slots_are_not_handed_over_while_a_member_is_unreachable_unless_the_owner_leaves() {
    let old = peer("a");
    let record = settle(
        OwnershipRecord::default(),
        std::slice::from_ref(&old),
        ALIVE,
    );
    let alive = [old.clone(), peer("b")];
    let planned = |are_all_reachable, is_leaving| {
        let context = PlanContext {
            me: &old,
            is_leaving,
            are_all_reachable,
            alive: &alive,
            liveness: &|_| ALIVE,
        };
        plan(&record, &context).map_or(0, |plan| plan.handed_over.len())
    };
    assert_eq!(planned(false, false), 0);
    assert!(planned(true, false) > 0);
    assert_eq!(planned(false, true), 2 * usize::from(SHARDS));
}
