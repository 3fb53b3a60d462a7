//! Liveness of slot owners.

use super::{OwnerLiveness, OwnershipRecord, Peer};
use crate::id::InstanceId;
use crate::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Tracks when owners were last seen and whether the live list contains them.
///
/// An owner counts as seen when it sends a heartbeat, appears on the live list, or confirms its
/// slots in the ownership record. An owner that appears in a record for the first time counts as
/// seen at that moment.
#[derive(Clone, Debug, Default)]
pub struct LivenessTracker {
    last_seen: BTreeMap<Peer, Millis>,
    listed: BTreeSet<Peer>,
    list_read_began: Option<Millis>,
    confirmations: BTreeMap<InstanceId, u64>,
}

impl LivenessTracker {
    /// Records a heartbeat, or any other message that `peer` must have sent recently.
    pub fn note_heartbeat(&mut self, peer: &Peer, now: Millis) {
        self.last_seen.insert(peer.clone(), now);
    }

    /// Records the live list from a read that began at `read_began`.
    pub fn note_live_list(&mut self, listed: &[Peer], read_began: Millis, now: Millis) {
        for peer in listed {
            self.last_seen.insert(peer.clone(), now);
        }
        self.listed = listed.iter().cloned().collect();
        self.list_read_began = Some(read_began);
    }

    /// Records the owners of an ownership record and their confirmations.
    pub fn note_record(&mut self, record: &OwnershipRecord, now: Millis) {
        for owner in record.peers() {
            let confirmations = record.confirmations.get(&owner.instance);
            let confirmations = confirmations.copied().unwrap_or(0);
            let known = self.confirmations.get(&owner.instance).copied();
            if known != Some(confirmations) {
                self.last_seen.insert(owner.clone(), now);
            }
            self.last_seen.entry(owner).or_insert(now);
        }
        self.confirmations.clone_from(&record.confirmations);
        for owner in record.peers() {
            self.confirmations.entry(owner.instance).or_insert(0);
        }
    }

    /// Liveness evidence of a peer. A peer that was never seen counts as seen right now.
    pub fn liveness(&self, peer: &Peer, now: Millis) -> OwnerLiveness {
        let Some(last_seen) = self.last_seen.get(peer) else {
            return OwnerLiveness {
                is_unlisted: false,
                silent_ms: 0,
            };
        };
        let is_list_newer = self.list_read_began.is_some_and(|began| began > *last_seen);
        OwnerLiveness {
            is_unlisted: is_list_newer && !self.listed.contains(peer),
            silent_ms: now.since(*last_seen),
        }
    }
}
