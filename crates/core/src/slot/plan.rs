//! Planning the next record of owners.

use super::{rendezvous_score, Ownership, OwnershipRecord, Peer, Role, SHARDS, TOLERATED_PAUSE_MS};
use crate::id::InstanceId;
use std::collections::BTreeSet;

/// What is known of an owner that the live list may no longer name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLiveness {
    /// The live list, read after the last sign of life, no longer names this run.
    pub is_unlisted: bool,
    /// Time since the last sign of life from any source, in milliseconds.
    pub silent_ms: u64,
}

impl OwnerLiveness {
    /// The owner is gone: its slots may be taken by another instance.
    pub const fn is_gone(self) -> bool {
        self.is_unlisted && self.silent_ms > TOLERATED_PAUSE_MS
    }
}

/// What an instance knows when it plans.
pub struct PlanContext<'a> {
    /// This run of this instance.
    pub me: &'a Peer,
    /// This instance is about to stop: it hands over everything and claims nothing.
    pub is_leaving: bool,
    /// Every member that is not confirmed gone answers. As long as one does not, a slot that is
    /// handed over stays empty, because its new owner waits for that member's answer.
    pub are_all_reachable: bool,
    /// Members of the region that are alive and not leaving, this instance included.
    pub alive: &'a [Peer],
    /// What is known of an owner that is not alive.
    pub liveness: &'a dyn Fn(&Peer) -> OwnerLiveness,
}

/// The next record and what changes with it for this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipPlan {
    /// The record to write by compare-and-swap on the record that was read.
    pub next: OwnershipRecord,
    /// Slots that this instance gives away. They may not be used from the moment the write is
    /// sent, since its answer may be lost after it took effect.
    pub handed_over: Vec<(u16, Role)>,
    /// Slots that this instance takes once the write is known to have taken effect.
    pub claimed: Vec<(u16, Role)>,
}

/// Plans the next record from the `record` that was read; none when nothing is to change.
///
/// An instance claims slots without an owner and slots whose owner is gone, when it is the
/// preferred one among the members alive. It hands over a slot of its own to the preferred
/// member, when it leaves or every member answers. It never takes a slot from an owner that may be alive.
pub fn plan(record: &OwnershipRecord, context: &PlanContext<'_>) -> Option<OwnershipPlan> {
    let mut plan = OwnershipPlan {
        next: record.clone(),
        handed_over: Vec::new(),
        claimed: Vec::new(),
    };
    let candidates = candidates(context);
    for shard in 0..SHARDS {
        let preferred = preferred(&candidates, shard);
        for (role, preferred) in Role::ALL.into_iter().zip(preferred) {
            let Some(preferred) = preferred else { continue };
            plan_slot(&mut plan, context, shard, role, preferred);
        }
    }
    let is_unchanged = plan.handed_over.is_empty() && plan.claimed.is_empty();
    (!is_unchanged).then_some(plan)
}

fn candidates<'a>(context: &PlanContext<'a>) -> Vec<&'a Peer> {
    let mut seen: BTreeSet<&InstanceId> = BTreeSet::new();
    let mut candidates: Vec<&Peer> = context.alive.iter().collect();
    candidates.retain(|peer| peer.instance != context.me.instance || **peer == *context.me);
    candidates.retain(|peer| !context.is_leaving || **peer != *context.me);
    candidates.sort_by_key(|peer| std::cmp::Reverse(peer.incarnation));
    candidates.retain(|peer| seen.insert(&peer.instance));
    candidates
}

/// The preferred owners of the primary and the backup slot of `shard`.
fn preferred<'a>(candidates: &[&'a Peer], shard: u16) -> [Option<&'a Peer>; 2] {
    let mut ranked: Vec<&Peer> = candidates.to_vec();
    ranked.sort_by_key(|peer| std::cmp::Reverse((rendezvous_score(&peer.instance, shard), *peer)));
    let primary = ranked.first().copied();
    let backup = ranked.get(1).copied().or(primary);
    [primary, backup]
}

fn plan_slot(
    plan: &mut OwnershipPlan,
    context: &PlanContext<'_>,
    shard: u16,
    role: Role,
    preferred: &Peer,
) {
    let owners = plan.next.owners_mut(role);
    let (epoch, may_take) = match owners.get(&shard) {
        None => (1, *preferred == *context.me),
        Some(ownership) if ownership.owner == *preferred => return,
        Some(ownership) if ownership.owner == *context.me => (ownership.epoch + 1, false),
        Some(ownership) => {
            let may_take = *preferred == *context.me && is_gone(context, &ownership.owner);
            (ownership.epoch + 1, may_take)
        }
    };
    let is_mine = owners
        .get(&shard)
        .is_some_and(|ownership| ownership.owner == *context.me);
    if is_mine && (context.are_all_reachable || context.is_leaving) {
        plan.handed_over.push((shard, role));
    } else if may_take {
        plan.claimed.push((shard, role));
    } else {
        return;
    }
    let owner = preferred.clone();
    owners.insert(shard, Ownership { owner, epoch });
}

fn is_gone(context: &PlanContext<'_>, owner: &Peer) -> bool {
    !context.alive.contains(owner) && (context.liveness)(owner).is_gone()
}
