//! Table of members and the merge of received records.

use super::entry::{is_fleet_topic, Entry};
use super::{
    Health, Identity, Incarnation, MemberRecord, MemberState, Status, MAX_ENTRIES, MAX_ENTRY_BYTES,
};
use crate::id::{InstanceId, RegionId};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Number of hash buckets of a table in a digest.
pub(super) const BUCKETS: usize = 64;
/// Maximum number of members; further ones are ignored.
const MAX_MEMBERS: usize = 4_096;
/// Minimum time for which a member has to be suspected here before another instance's report that
/// it is gone is accepted, in milliseconds.
const MIN_SUSPECT_BEFORE_GONE_MS: u64 = 1_000;

/// Stored state of one member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) identity: Identity,
    pub(super) status: Status,
    pub(super) entries: BTreeMap<u8, Entry>,
    /// Whether a packet or gossip has confirmed the member, not the live list alone.
    pub(super) is_confirmed: bool,
    /// Time of the last packet from the member itself.
    pub(super) last_packet_at: Option<Millis>,
    /// Time at which sequence or health last changed.
    pub(super) changed_at: Millis,
    pub(super) key: [u8; 4],
}

impl Member {
    pub(super) fn new(identity: Identity, status: Status, now: Millis) -> Self {
        let key = member_key(&identity.instance, identity.incarnation);
        Self {
            identity,
            status,
            entries: BTreeMap::new(),
            is_confirmed: false,
            last_packet_at: None,
            changed_at: now,
            key,
        }
    }

    pub(super) fn state(&self) -> MemberState {
        MemberState::of(&self.status)
    }

    /// Returns whether the member is known to run.
    pub(super) fn is_present(&self) -> bool {
        self.is_confirmed && self.status.health != Health::Gone
    }

    pub(super) fn record(&self) -> MemberRecord {
        let entries = self
            .entries
            .iter()
            .filter(|(topic, _)| is_fleet_topic(**topic))
            .map(|(topic, entry)| (*topic, entry.version, entry.bytes.clone()))
            .collect();
        MemberRecord {
            identity: self.identity.clone(),
            status: self.status,
            entries,
        }
    }

    /// Stores an entry if it is newer than the known one; returns whether it was stored.
    pub(super) fn put_entry(&mut self, topic: u8, version: u64, bytes: &[u8]) -> bool {
        let known = self.entries.get(&topic);
        let is_newer = known.is_none_or(|entry| entry.version < version);
        let has_room = known.is_some() || self.entries.len() < MAX_ENTRIES;
        if !is_newer || !has_room || bytes.len() > MAX_ENTRY_BYTES {
            return false;
        }
        let bytes = bytes.to_vec();
        self.entries.insert(topic, Entry { version, bytes });
        true
    }

    fn hash(&self, salt: u16) -> u64 {
        let status = &self.status;
        let mut hash = Fnv::new();
        hash.write(&salt.to_le_bytes());
        hash.write(self.identity.instance.as_str().as_bytes());
        hash.write(&self.identity.incarnation.0.to_le_bytes());
        hash.write(&status.sequence.to_le_bytes());
        hash.write(&[status.health as u8, u8::from(status.is_leaving)]);
        hash.write(&status.revision.to_le_bytes());
        for (topic, entry) in &self.entries {
            if is_fleet_topic(*topic) {
                hash.write(&[*topic]);
                hash.write(&entry.version.to_le_bytes());
            }
        }
        hash.finish()
    }
}

/// Changes made by a merge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct MergeResult {
    /// The incarnation was not known or not confirmed before.
    pub(super) is_new: bool,
    /// Sequence, health or the leaving flag changed.
    pub(super) is_status_changed: bool,
    /// The revision increased.
    pub(super) is_revision_changed: bool,
    /// Previous and new state, if they differ.
    pub(super) states: Option<(MemberState, MemberState)>,
}

impl MergeResult {
    pub(super) const fn is_change(&self) -> bool {
        self.is_new || self.is_status_changed || self.is_revision_changed
    }
}

/// Members by name, including this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub(super) members: BTreeMap<InstanceId, Member>,
}

impl Table {
    pub(super) fn get(&self, instance: &InstanceId) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Merges a received record.
    pub(super) fn merge_record(&mut self, record: &MemberRecord, now: Millis) -> MergeResult {
        let identity = &record.identity;
        let known = self.members.get(&identity.instance);
        let has_room = known.is_some() || self.members.len() < MAX_MEMBERS;
        let is_newer = known.is_none_or(|m| m.identity.incarnation < identity.incarnation);
        if is_newer && has_room {
            self.insert(record, now);
            let states = known_state_change(None, MemberState::of(&record.status));
            return MergeResult {
                is_new: true,
                is_status_changed: true,
                is_revision_changed: true,
                states,
            };
        }
        self.merge_status(
            &identity.instance,
            identity.incarnation,
            &record.status,
            now,
        )
    }

    fn insert(&mut self, record: &MemberRecord, now: Millis) {
        let identity = record.identity.clone();
        let mut member = Member::new(identity, record.status, now);
        member.is_confirmed = true;
        self.members
            .insert(member.identity.instance.clone(), member);
    }

    /// Merges a received status. A status of an unknown incarnation is ignored; a digest exchange
    /// delivers the record.
    pub(super) fn merge_status(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        status: &Status,
        now: Millis,
    ) -> MergeResult {
        let Some(member) = self.members.get_mut(instance) else {
            return MergeResult::default();
        };
        if member.identity.incarnation != incarnation {
            return MergeResult::default();
        }
        let was_confirmed = member.is_confirmed;
        member.is_confirmed = true;
        let incoming = defer_gone(member, status, was_confirmed, now);
        let mut merged = join(member, &incoming, now);
        merged.is_new = !was_confirmed;
        merged
    }

    /// Returns the members that are known to run.
    pub(super) fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.is_present())
    }

    pub(super) fn present_in<'a>(
        &'a self,
        region: &'a RegionId,
    ) -> impl Iterator<Item = &'a Member> {
        self.present().filter(move |m| m.identity.region == *region)
    }

    /// Returns the member with this key, or none if no member or several members have it.
    pub(super) fn by_key(&self, key: [u8; 4]) -> Option<InstanceId> {
        let mut found = self.members.values().filter(|m| m.key == key);
        let first = found.next()?;
        match found.next() {
            Some(_) => None,
            None => Some(first.identity.instance.clone()),
        }
    }

    /// Returns the hash of all members that are known to run.
    pub(super) fn hash(&self, salt: u16) -> u32 {
        let hash = self.present().fold(0, |hash, m| hash ^ m.hash(salt));
        (hash ^ (hash >> 32)) as u32
    }

    /// Returns the hashes per bucket of all members that are known to run.
    pub(super) fn bucket_hashes(&self, salt: u16) -> Vec<u16> {
        let mut hashes = vec![0u64; BUCKETS];
        for member in self.present() {
            hashes[bucket_of(&member.identity.instance)] ^= member.hash(salt);
        }
        let fold = |hash: u64| (hash ^ (hash >> 16) ^ (hash >> 32) ^ (hash >> 48)) as u16;
        hashes.into_iter().map(fold).collect()
    }

    /// Returns the records of all confirmed members in the buckets of a bit set. Members that are
    /// gone are included, so that this status reaches other instances.
    pub(super) fn records_in(&self, buckets: u64) -> Vec<MemberRecord> {
        let is_in = |m: &&Member| buckets & (1 << bucket_of(&m.identity.instance)) != 0;
        self.members
            .values()
            .filter(|m| m.is_confirmed)
            .filter(is_in)
            .map(Member::record)
            .collect()
    }
}

/// Downgrades a received `gone` status to a suspicion, unless the member has been suspected here
/// for [`MIN_SUSPECT_BEFORE_GONE_MS`]. After a partition has healed, members on this side can
/// therefore refute before other instances on this side consider them gone.
fn defer_gone(member: &Member, incoming: &Status, was_confirmed: bool, now: Millis) -> Status {
    let mut deferred = *incoming;
    let may_become_gone = match member.status.health {
        Health::Alive => false,
        Health::Suspect => now.since(member.changed_at) >= MIN_SUSPECT_BEFORE_GONE_MS,
        Health::Gone => true,
    };
    if was_confirmed && !may_become_gone && incoming.health == Health::Gone {
        deferred.health = Health::Suspect;
    }
    deferred
}

/// Merges `incoming` into the member's status.
pub(super) fn join(member: &mut Member, incoming: &Status, now: Millis) -> MergeResult {
    let before = member.status;
    member.status.join(incoming);
    let after = member.status;
    let states = known_state_change(Some(MemberState::of(&before)), MemberState::of(&after));
    let is_health_changed = before.health != after.health || before.sequence != after.sequence;
    if is_health_changed {
        member.changed_at = now;
    }
    MergeResult {
        is_new: false,
        is_status_changed: is_health_changed || before.is_leaving != after.is_leaving,
        is_revision_changed: before.revision != after.revision,
        states,
    }
}

fn known_state_change(
    from: Option<MemberState>,
    to: MemberState,
) -> Option<(MemberState, MemberState)> {
    let from = from?;
    (from != to).then_some((from, to))
}

/// Returns the bucket of a member.
fn bucket_of(instance: &InstanceId) -> usize {
    (hash_text(instance.as_str()) % BUCKETS as u64) as usize
}

/// Short hash that identifies an incarnation in packets.
pub(super) fn member_key(instance: &InstanceId, incarnation: Incarnation) -> [u8; 4] {
    let mut hash = Fnv::new();
    hash.write(instance.as_str().as_bytes());
    hash.write(&incarnation.0.to_le_bytes());
    fold32(hash.finish()).to_le_bytes()
}

/// Short hash that identifies a region in packets.
pub(super) fn region_key(region: &RegionId) -> [u8; 4] {
    fold32(hash_text(region.as_str())).to_le_bytes()
}

/// Hashes an ordered pair of strings.
pub(super) fn hash_pair(first: &str, second: &str) -> u64 {
    let mut hash = Fnv::new();
    hash.write(first.as_bytes());
    hash.write(&[0]);
    hash.write(second.as_bytes());
    hash.finish()
}

fn hash_text(text: &str) -> u64 {
    let mut hash = Fnv::new();
    hash.write(text.as_bytes());
    hash.finish()
}

const fn fold32(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}

/// FNV-1a hash with a finaliser; its value is the same on all platforms and in all versions.
struct Fnv(u64);

impl Fnv {
    const fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    const fn finish(&self) -> u64 {
        let mut hash = self.0;
        hash ^= hash >> 33;
        hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash ^= hash >> 33;
        hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        hash ^ (hash >> 33)
    }
}
