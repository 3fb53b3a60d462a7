//! Planning of the next ownership record.

use super::{rendezvous_score, Ownership, OwnershipRecord, Peer, Role, SHARDS, TOLERATED_PAUSE_MS};
use crate::id::InstanceId;
use std::collections::BTreeSet;

/// Evidence on whether an owner is still alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLiveness {
    /// The live list, read after the owner was last seen, does not contain this run.
    pub is_unlisted: bool,
    /// Time since the owner was last seen by any source, in milliseconds.
    pub silent_ms: u64,
}

impl OwnerLiveness {
    /// Whether the owner is gone, so that other instances may claim its slots.
    pub const fn is_gone(self) -> bool {
        self.is_unlisted && self.silent_ms > TOLERATED_PAUSE_MS
    }
}

/// Inputs for planning at one instance.
pub struct PlanContext<'a> {
    /// This run of this instance.
    pub me: &'a Peer,
    /// This instance is about to stop: it hands over all its slots and claims none.
    pub is_leaving: bool,
    /// All members that are not confirmed gone are reachable. Otherwise a slot that is handed over
    /// would stay empty, because its new owner waits for the audit answer of every such member.
    pub are_all_reachable: bool,
    /// Members of the region that are alive and not leaving, this instance included.
    pub alive: &'a [Peer],
    /// Liveness of an owner that is not in `alive`.
    pub liveness: &'a dyn Fn(&Peer) -> OwnerLiveness,
}

/// The next ownership record, with the slots that this instance hands over and claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipPlan {
    /// Record to write by compare-and-swap against the record that was read.
    pub next: OwnershipRecord,
    /// Slots that this instance hands over. They must not be used once the write is sent, because
    /// it may take effect even if its answer is lost.
    pub handed_over: Vec<(u16, Role)>,
    /// Slots that this instance owns once the write is known to have taken effect.
    pub claimed: Vec<(u16, Role)>,
}

/// Plans the next record from the `record` that was read; returns `None` if nothing changes.
///
/// An instance claims slots without an owner and slots whose owner is gone, if it is the preferred
/// owner among the members alive. It hands over a slot of its own to the preferred owner if it is
/// leaving or all members are reachable. It never claims a slot of an owner that may be alive.
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

/// Members that may own slots: the newest run of each instance alive, without this instance if it
/// is leaving.
fn candidates<'a>(context: &PlanContext<'a>) -> Vec<&'a Peer> {
    let mut seen: BTreeSet<&InstanceId> = BTreeSet::new();
    let mut candidates: Vec<&Peer> = context.alive.iter().collect();
    candidates.retain(|peer| peer.instance != context.me.instance || **peer == *context.me);
    candidates.retain(|peer| !context.is_leaving || **peer != *context.me);
    candidates.sort_by_key(|peer| std::cmp::Reverse(peer.incarnation));
    candidates.retain(|peer| seen.insert(&peer.instance));
    candidates
}

/// Preferred owners of the primary and the backup slot of `shard`. They differ unless there is only
/// one candidate.
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
