//! State exchanged with peers besides heartbeats: slots, revisions, load, loans and evidence.

use super::{slots::peer_of, state::State};
use carobwheel_core::{
    evidence::EvidenceDigest,
    id::InstanceId,
    limit::LoanMessage,
    route::{LoadDigest, DIGEST_LIFETIME_MS},
    slot::{OwnedSlot, Peer, Role, SlotId, SHARDS},
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Channel of loan messages.
pub(super) const LOAN_CHANNEL: u8 = 1;
/// Channel of rollout evidence.
pub(super) const EVIDENCE_CHANNEL: u8 = 2;
/// Channel of evidence on prompt parts that crash engines.
pub(super) const CRASH_CHANNEL: u8 = 3;
/// Channel of reports about limited upstreams.
pub(super) const LIMIT_CHANNEL: u8 = 4;
/// Channel of reports about upstreams that may have restarted.
pub(super) const RESTART_CHANNEL: u8 = 5;
/// Topic of the settled revision, sent to the whole fleet.
const SETTLED_TOPIC: u8 = 1;
/// Topic of the slots that a member owns, sent to the whole fleet.
const OWNED_SLOTS_TOPIC: u8 = 2;
/// Topic of the load in flight, sent within the region only.
const LOAD_TOPIC: u8 = 200;
const _: () = assert!(LOAD_TOPIC > carobwheel_core::member::MAX_FLEET_TOPIC);
/// Interval at which an unchanged load digest is sent again, in milliseconds.
const LOAD_REFRESH_MS: u64 = 3_000;
const _: () = assert!(DIGEST_LIFETIME_MS > LOAD_REFRESH_MS);

/// Slots that one member owns, as one bit per shard and role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OwnedSlots {
    primary: u64,
    backup: u64,
}

const _: () = assert!(SHARDS as u32 <= u64::BITS);

impl OwnedSlots {
    fn insert(&mut self, role: Role, shard: u16) {
        match role {
            Role::Primary => self.primary |= 1 << shard,
            Role::Backup => self.backup |= 1 << shard,
        }
    }

    fn iter(self) -> impl Iterator<Item = (Role, u16)> {
        let bits = [(Role::Primary, self.primary), (Role::Backup, self.backup)];
        bits.into_iter().flat_map(|(role, bits)| {
            (0..SHARDS)
                .filter(move |shard| bits >> shard & 1 == 1)
                .map(move |shard| (role, shard))
        })
    }
}

impl State {
    /// Publishes local changes to peers and applies the changes received from them.
    pub(super) fn gossip(&mut self, now: Millis) {
        self.publish_load(now);
        self.update_owners();
        self.apply_load_digests(now);
        self.send_evidence(now);
        self.repeat_crash_report(now);
    }

    /// Publishes the revision that the local limiter has settled on, if it has changed.
    pub(super) fn publish_settled_revision(&mut self) {
        let revision = self.charging.limiter.settled_revision();
        if revision != self.last_sent_settled_revision {
            self.last_sent_settled_revision = revision;
            self.publish_entry(SETTLED_TOPIC, &revision);
        }
    }

    /// Publishes the slots that this instance owns.
    pub(super) fn publish_owned_slots(&mut self, owned: &[OwnedSlot]) {
        let mut announced = OwnedSlots::default();
        for slot in owned {
            announced.insert(slot.role, slot.shard);
        }
        self.publish_entry(OWNED_SLOTS_TOPIC, &announced);
    }

    /// Updates the owners of all slots. Slots that members announce themselves take precedence over
    /// the store's records, which this instance may be unable to read during an outage.
    pub(super) fn update_owners(&mut self) {
        let mut owners = self.slots.recorded_owners();
        for entry in self.members.entries(OWNED_SLOTS_TOPIC) {
            let announced = postcard::from_bytes::<OwnedSlots>(entry.bytes);
            let (Ok(announced), Some(member)) = (announced, self.members.member(entry.origin))
            else {
                continue;
            };
            for (role, shard) in announced.iter() {
                let slot = SlotId {
                    region: member.identity.region.clone(),
                    shard,
                    role,
                };
                owners.insert(slot, peer_of(&member));
            }
        }
        if owners != self.slots.owners {
            self.charging.limiter.set_owners(owners.clone());
            self.slots.owners = owners;
        }
    }

    /// Publishes the load in flight to the region if it has changed, or before the peers' copy
    /// expires.
    fn publish_load(&mut self, now: Millis) {
        let Some(configured) = &self.configured else {
            return;
        };
        let digest = configured.router.digest(self.digest_sequence + 1);
        let is_same = digest.entries == self.last_sent_load.entries
            && digest.leaving == self.last_sent_load.leaving;
        let is_idle = digest.entries.is_empty() && digest.leaving.is_empty();
        let is_fresh = now.since(self.load_sent_at) < LOAD_REFRESH_MS;
        if is_same && (is_idle || is_fresh) {
            return;
        }
        self.digest_sequence += 1;
        self.publish_entry(LOAD_TOPIC, &digest);
        self.last_sent_load = digest;
        self.load_sent_at = now;
    }

    fn publish_entry<T: Serialize>(&mut self, topic: u8, value: &T) {
        let encoded = postcard::to_stdvec(value);
        let Ok(bytes) = encoded else {
            return;
        };
        if let Err(err) = self.members.set_entry(topic, &bytes) {
            log::warn!(topic = topic; "cannot publish gossip entry: {err}");
        }
    }

    fn apply_load_digests(&mut self, now: Millis) {
        let Some(configured) = &mut self.configured else {
            return;
        };
        for entry in self.members.entries(LOAD_TOPIC) {
            if *entry.origin == self.identity.id {
                continue;
            }
            if let Ok(digest) = postcard::from_bytes::<LoadDigest>(entry.bytes) {
                configured.router.apply_digest(entry.origin, &digest, now);
            }
        }
    }

    /// Returns the lowest settled revision of all `present` members; none while one is missing.
    pub(super) fn fleet_settled_revision(&self, present: &[Peer]) -> Option<u64> {
        let mut lowest = self.charging.limiter.settled_revision();
        let announced: HashMap<_, u64> = self
            .members
            .entries(SETTLED_TOPIC)
            .filter_map(|entry| Some((entry.origin, postcard::from_bytes(entry.bytes).ok()?)))
            .collect();
        for peer in present {
            if *peer != self.me {
                lowest = lowest.min(*announced.get(&peer.instance)?);
            }
        }
        Some(lowest)
    }

    /// Whether `instance` has announced that it has a document in force.
    pub(super) fn has_announced_document(&self, instance: &InstanceId) -> bool {
        *instance == self.identity.id && self.configured.is_some()
            || self
                .members
                .entries(SETTLED_TOPIC)
                .any(|entry| entry.origin == instance)
    }

    /// Handles a message of a module other than membership.
    pub(super) fn on_opaque(&mut self, from: &InstanceId, channel: u8, bytes: &[u8], now: Millis) {
        match channel {
            LOAN_CHANNEL => self.on_loan_bytes(from, bytes, now),
            EVIDENCE_CHANNEL => match postcard::from_bytes::<EvidenceDigest>(bytes) {
                Ok(digest) => self.on_digest(from, &digest, now),
                Err(_) => log::warn!(from = from.as_str(); "malformed rollout evidence ignored"),
            },
            CRASH_CHANNEL => self.on_crash_report(from, bytes, now),
            LIMIT_CHANNEL => self.on_limit_reports(from, bytes, now),
            RESTART_CHANNEL => self.on_restart_reports(from, bytes, now),
            _ => log::debug!(channel = channel; "message on unknown channel ignored"),
        }
    }

    fn on_loan_bytes(&mut self, from: &InstanceId, bytes: &[u8], now: Millis) {
        let Ok((incarnation, message)) = postcard::from_bytes::<(u64, LoanMessage)>(bytes) else {
            log::warn!(from = from.as_str(); "malformed loan message ignored");
            return;
        };
        let is_current = self
            .members
            .member(from)
            .is_some_and(|member| peer_of(&member).incarnation == incarnation);
        if is_current {
            let from = Peer {
                instance: from.clone(),
                incarnation,
            };
            self.on_loan_message(&from, &message, now);
        }
    }
}
