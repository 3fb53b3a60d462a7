//! Ownership of account shards by this instance.

use super::{event::SlotsRead, state::State};
use crate::platform::Command;
use carobwheel_core::{
    id::{InstanceId, RegionId},
    member::{MemberState, MemberView},
    slot::{
        LivenessTracker, OwnershipReconciler, OwnershipRecord, OwnershipUpdate, Peer, PlanContext,
        Role, SlotId, SHARDS,
    },
    time::Millis,
};
use rand::Rng as _;
use std::{collections::BTreeMap, mem, sync::atomic::Ordering};

/// Minimum interval between writes of the ownership record, in milliseconds; jitter of up to the
/// same length is added.
const WRITE_PERIOD_MS: u64 = 500;
/// Interval between reads while the slots wait for confirmation by the store, in milliseconds.
const CONFIRM_READ_PERIOD_MS: u64 = 500;

/// Delay after the last membership change before slots move to their preferred owners, in
/// milliseconds.
const HAND_OVER_DELAY_MS: u64 = 10_000;

/// Maximum delay from the start until an instance with a document becomes ready, in milliseconds.
const MAX_READY_DELAY_MS: u64 = 20_000;

/// Slots of this instance and the known owners of all others.
pub(super) struct Slots {
    pub(super) reconciler: OwnershipReconciler,
    pub(super) liveness_tracker: LivenessTracker,
    /// Whether the records of all regions have been read once.
    pub(super) are_loaded: bool,
    /// Whether a pause has invalidated this instance's slots until the store confirms them.
    pub(super) are_invalidated: bool,
    /// Known owners of the slots of all regions.
    pub(super) owners: BTreeMap<SlotId, Peer>,
    /// Whether the own region's record has to be read again.
    is_read_due: bool,
    /// Whether the platform provides a live list.
    pub(super) has_live_list: bool,
    /// Instances on the live list when it was last read, without those that are leaving.
    pub(super) listed: Option<Vec<InstanceId>>,
    records: BTreeMap<RegionId, (u64, OwnershipRecord)>,
    write_at: Millis,
}

impl Slots {
    pub(super) fn new(me: Peer, has_live_list: bool, now: Millis) -> Self {
        Self {
            reconciler: OwnershipReconciler::new(me, now),
            liveness_tracker: LivenessTracker::default(),
            are_loaded: false,
            are_invalidated: false,
            owners: BTreeMap::new(),
            is_read_due: false,
            has_live_list,
            listed: None,
            records: BTreeMap::new(),
            write_at: now,
        }
    }

    /// Returns the owners according to the records of the store.
    pub(super) fn recorded_owners(&self) -> BTreeMap<SlotId, Peer> {
        self.records
            .iter()
            .flat_map(|(region, (_, record))| record.slots(region))
            .collect()
    }
}

impl State {
    /// Invalidates the slots after a pause during which another instance may have taken them.
    pub(super) fn check_for_pause(&mut self, now: Millis) {
        if !self.slots.reconciler.detect_pause(now) {
            return;
        }
        log::warn!("this process was paused: its slots are invalid until the store confirms them");
        self.slots.are_invalidated = true;
        let uncovered = self.charging.limiter.invalidate_slots();
        self.charging.cancel(uncovered);
        self.outputs.command(Command::ReadSlots);
    }

    /// Starts the handover of all slots without waiting for the next write interval.
    pub(super) fn hand_over_slots(&mut self, now: Millis) {
        self.slots.write_at = now;
        self.tick_slots(now);
    }

    /// Records that the store has been read, and reads the own region's key, since only that shows
    /// a region without a record.
    pub(super) fn on_slots_loaded(&mut self) {
        self.slots.are_loaded = true;
        self.outputs.command(Command::ReadSlots);
    }

    /// Applies an ownership record read from the store.
    pub(super) fn on_slot_record(&mut self, read: SlotsRead, now: Millis) {
        if read.region == self.identity.region {
            if !self.has_seen_all_listed(&self.members.snapshot()) {
                // A new owner asks every member which tokens it may still use, so it must have seen
                // all members.
                self.slots.is_read_due = true;
                return;
            }
            self.update_members(now);
            self.slots.liveness_tracker.note_record(&read.record, now);
            let record = read.record.clone();
            match self
                .slots
                .reconciler
                .on_read(read.revision, record, read.began)
            {
                OwnershipUpdate::Unchanged => {}
                OwnershipUpdate::Owned(owned) => {
                    self.charging.limiter.set_slots(&owned, now);
                    self.publish_owned_slots(&owned);
                }
                OwnershipUpdate::Confirmed(owned) => {
                    log::info!("slots confirmed by the store");
                    self.slots.are_invalidated = false;
                    self.charging.limiter.confirm_slots(&owned, now);
                    self.publish_owned_slots(&owned);
                }
            }
        }
        let known = self.slots.records.get(&read.region);
        if known.is_some_and(|(revision, _)| *revision > read.revision) {
            return;
        }
        let entry = (read.revision, read.record);
        self.slots.records.insert(read.region, entry);
        self.update_owners();
    }

    pub(super) fn tick_slots(&mut self, now: Millis) {
        self.update_members(now);
        if now < self.slots.write_at || !self.slots.are_loaded {
            return;
        }
        if !self.has_seen_all_listed(&self.members.snapshot()) {
            return;
        }
        if mem::take(&mut self.slots.is_read_due) {
            self.outputs.command(Command::ReadSlots);
        }
        let jitter_ms = self.rng.random_range(0..WRITE_PERIOD_MS);
        self.slots.write_at = now.plus(WRITE_PERIOD_MS + jitter_ms);
        self.write_slots(now);
    }

    fn write_slots(&mut self, now: Millis) {
        let region = self.identity.region.clone();
        let alive: Vec<Peer> = self
            .members
            .alive_in(&region)
            .into_iter()
            .map(|identity| Peer {
                instance: identity.instance.clone(),
                incarnation: identity.incarnation.0,
            })
            .collect();
        let are_all_reachable = self.are_all_members_stable(now);
        let slots = &mut self.slots;
        let tracker = &slots.liveness_tracker;
        let view = PlanContext {
            me: &self.me,
            is_leaving: self.is_leaving,
            are_all_reachable,
            alive: &alive,
            liveness: &|peer| tracker.liveness(peer, now),
        };
        match slots.reconciler.next_write(&view) {
            Some(write) => {
                self.charging.limiter.suspend(&write.suspended, now);
                self.outputs.command(Command::WriteSlots(Box::new(write)));
            }
            None if slots.are_invalidated => {
                slots.write_at = now.plus(CONFIRM_READ_PERIOD_MS);
                self.outputs.command(Command::ReadSlots);
            }
            None => {}
        }
    }

    /// Whether every member that may still spend tokens is reachable and none has joined or changed
    /// recently. A member that has crashed appears alive until its heartbeats are missed.
    fn are_all_members_stable(&self, now: Millis) -> bool {
        let members = self.members.snapshot();
        members.iter().all(|member| {
            let is_alive = member.state == MemberState::Alive && member.is_reachable;
            let is_steady = now.since(member.changed_at) >= HAND_OVER_DELAY_MS;
            is_alive && is_steady || self.is_confirmed_gone(member, now)
        })
    }

    /// Whether this instance has no slots left to hand over before it stops.
    fn has_handed_over(&self) -> bool {
        let is_alone = self.members.alive_in(&self.identity.region).is_empty();
        let record = self.slots.reconciler.record();
        is_alone || record.owned_by(&self.me).is_empty()
    }

    /// Updates the limiter with the members that may still spend tokens and the revision that all
    /// of them have settled on.
    fn update_members(&mut self, now: Millis) {
        let members = self.members.snapshot();
        let present: Vec<Peer> = members
            .iter()
            .filter(|member| !self.is_confirmed_gone(member, now))
            .map(peer_of)
            .collect();
        if self.is_leaving && self.has_handed_over() {
            self.outputs.has_handed_over.store(true, Ordering::Relaxed);
        }
        let settled = self
            .has_seen_all_listed(&members)
            .then(|| self.fleet_settled_revision(&present))
            .flatten();
        self.charging.limiter.set_members(&present, now);
        if let Some(revision) = settled {
            self.charging.limiter.set_fleet_revision(revision, now);
        }
        self.publish_settled_revision();
        let is_settled = settled.is_some_and(|settled| settled > 0);
        let can_borrow = self.charging.limiter.has_joined(now);
        let can_charge = can_borrow || (is_settled && self.owns_all_slots());
        self.update_readiness(can_charge, now);
    }

    /// Whether every instance on the live list is in the membership table. Otherwise a new instance
    /// would assume that it is the whole fleet.
    fn has_seen_all_listed(&self, members: &[MemberView]) -> bool {
        let Some(listed) = &self.slots.listed else {
            return !self.slots.has_live_list;
        };
        let is_known = |id: &InstanceId| members.iter().any(|m| m.identity.instance == *id);
        listed.iter().all(is_known)
    }

    /// Whether this instance owns every slot of its region and so need not borrow there.
    fn owns_all_slots(&self) -> bool {
        let owned = self.slots.reconciler.record().owned_by(&self.me);
        owned.len() == Role::ALL.len() * usize::from(SHARDS)
    }

    /// Marks the instance ready once it can charge requests, but no later than
    /// [`MAX_READY_DELAY_MS`] after the start, so that a member that never publishes its revision
    /// cannot keep others from serving.
    fn update_readiness(&mut self, can_charge: bool, now: Millis) {
        let Some(in_force) = self.revision() else {
            return;
        };
        let knows_owners = !self.slots.owners.is_empty();
        let is_overdue = now.0 > MAX_READY_DELAY_MS;
        let can_charge = can_charge && knows_owners;
        if (can_charge || is_overdue) && !self.outputs.is_ready.swap(true, Ordering::Relaxed) {
            log::info!(revision = in_force, can_charge; "ready");
        }
    }

    fn is_confirmed_gone(&self, member: &MemberView, now: Millis) -> bool {
        let is_silent = matches!(member.state, MemberState::Gone | MemberState::Leaving);
        is_silent
            && self
                .slots
                .liveness_tracker
                .liveness(&peer_of(member), now)
                .is_gone()
    }
}

/// Returns the instance and incarnation of a member.
pub(super) fn peer_of(member: &MemberView) -> Peer {
    Peer {
        instance: member.identity.instance.clone(),
        incarnation: member.identity.incarnation.0,
    }
}
