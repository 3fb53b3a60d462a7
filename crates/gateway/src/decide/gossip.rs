//! What this instance tells its peers besides heartbeats, and what it hears from them.

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

/// Channel of messages about loans.
pub(super) const LOAN_CHANNEL: u8 = 1;
/// Channel of evidence about rollouts.
pub(super) const EVIDENCE_CHANNEL: u8 = 2;
/// Topic of the settled revision; travels to the whole fleet.
const SETTLED_TOPIC: u8 = 1;
/// Topic of the slots that a member owns; travels to the whole fleet.
const OWNED_TOPIC: u8 = 2;
/// Topic of the work in flight; stays inside the region.
const LOAD_TOPIC: u8 = 200;
const _: () = assert!(LOAD_TOPIC > carobwheel_core::member::MAX_FLEET_TOPIC);
/// Time after which unchanged work is told again, in milliseconds.
const LOAD_REPEAT_MS: u64 = 3_000;
const _: () = assert!(DIGEST_LIFETIME_MS > LOAD_REPEAT_MS);

/// The slots that one member owns: a bit for each shard.
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
    /// Tells the peers what has changed here, and takes in what has changed there.
    pub(super) fn gossip(&mut self, now: Millis) {
        self.tell_load(now);
        self.hear_owners();
        self.hear_loads(now);
        self.tell_evidence(now);
    }

    /// Tells the fleet which revision the limits here have settled on, if that is news.
    pub(super) fn tell_settled_revision(&mut self) {
        let revision = self.charging.limiter.settled_revision();
        if revision != self.told_settled_revision {
            self.told_settled_revision = revision;
            self.set_entry(SETTLED_TOPIC, &revision);
        }
    }

    /// Tells the fleet which slots this instance owns.
    pub(super) fn tell_owned(&mut self, owned: &[OwnedSlot]) {
        let mut told = OwnedSlots::default();
        for slot in owned {
            told.insert(slot.role, slot.shard);
        }
        self.set_entry(OWNED_TOPIC, &told);
    }

    /// Takes in which slots the members own. Their own word counts more than the records of the
    /// store, which an outage may keep from this instance.
    pub(super) fn hear_owners(&mut self) {
        let mut owners = self.slots.recorded_owners();
        for entry in self.members.entries(OWNED_TOPIC) {
            let told = postcard::from_bytes::<OwnedSlots>(entry.bytes);
            let (Ok(told), Some(member)) = (told, self.members.member(entry.origin)) else {
                continue;
            };
            for (role, shard) in told.iter() {
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

    /// Tells the region which work this instance has in flight, if that is news or the peers are
    /// about to forget it.
    fn tell_load(&mut self, now: Millis) {
        let Some(configured) = &self.configured else {
            return;
        };
        let digest = configured.router.digest(self.digest_sequence + 1);
        let is_same =
            digest.entries == self.told_load.entries && digest.leaving == self.told_load.leaving;
        let is_idle = digest.entries.is_empty() && digest.leaving.is_empty();
        let is_fresh = now.since(self.told_load_at) < LOAD_REPEAT_MS;
        if is_same && (is_idle || is_fresh) {
            return;
        }
        self.digest_sequence += 1;
        self.set_entry(LOAD_TOPIC, &digest);
        self.told_load = digest;
        self.told_load_at = now;
    }

    fn set_entry<T: Serialize>(&mut self, topic: u8, value: &T) {
        let encoded = postcard::to_stdvec(value);
        let Ok(bytes) = encoded else {
            return;
        };
        if let Err(err) = self.members.set_entry(topic, &bytes) {
            log::warn!(topic = topic; "gossip entry left out: {err}");
        }
    }

    fn hear_loads(&mut self, now: Millis) {
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

    /// The lowest settled revision of all `present` members; none as long as one has said nothing.
    pub(super) fn fleet_settled_revision(&self, present: &[Peer]) -> Option<u64> {
        let mut lowest = self.charging.limiter.settled_revision();
        let told: HashMap<_, u64> = self
            .members
            .entries(SETTLED_TOPIC)
            .filter_map(|entry| Some((entry.origin, postcard::from_bytes(entry.bytes).ok()?)))
            .collect();
        for peer in present {
            if *peer != self.me {
                lowest = lowest.min(*told.get(&peer.instance)?);
            }
        }
        Some(lowest)
    }

    /// Whether `instance` has told that it has a document in force.
    pub(super) fn has_settled(&self, instance: &InstanceId) -> bool {
        *instance == self.identity.id && self.configured.is_some()
            || self
                .members
                .entries(SETTLED_TOPIC)
                .any(|entry| entry.origin == instance)
    }

    /// Takes a message that another module of a peer has sent.
    pub(super) fn on_opaque(&mut self, from: &InstanceId, channel: u8, bytes: &[u8], now: Millis) {
        match channel {
            LOAN_CHANNEL => self.on_loan_bytes(from, bytes, now),
            EVIDENCE_CHANNEL => match postcard::from_bytes::<EvidenceDigest>(bytes) {
                Ok(digest) => self.on_digest(from, &digest, now),
                Err(_) => log::warn!(from = from.as_str(); "malformed evidence skipped"),
            },
            _ => log::debug!(channel = channel; "message of an unknown channel skipped"),
        }
    }

    fn on_loan_bytes(&mut self, from: &InstanceId, bytes: &[u8], now: Millis) {
        let Ok((incarnation, message)) = postcard::from_bytes::<(u64, LoanMessage)>(bytes) else {
            log::warn!(from = from.as_str(); "malformed message about loans skipped");
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
            self.on_loans(&from, &message, now);
        }
    }
}
