//! Ownership of client account shards within a region.
//!
//! Client accounts hash into a fixed number of shards. A slot is one shard in one region in one
//! role, and its owner holds the bucket parts of the shard's accounts. The ownership record of a
//! region is one key of the store. It is written by compare-and-swap, and only when ownership
//! changes or is confirmed after a pause.

mod liveness;
mod pause;
mod plan;
mod reconciler;

pub use liveness::LivenessTracker;
pub use pause::PauseGuard;
pub use plan::{plan, OwnerLiveness, OwnershipPlan, PlanContext};
pub use reconciler::{OwnershipReconciler, OwnershipUpdate, OwnershipWrite};

use crate::id::{AccountId, InstanceId, RegionId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of client account shards in a region.
pub const SHARDS: u16 = 64;
/// Maximum pause of an owner, in milliseconds, before other instances may claim its slots.
pub const TOLERATED_PAUSE_MS: u64 = 30_000;
/// Schema of the ownership record that this version reads and writes.
pub const RECORD_SCHEMA: u32 = 1;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// One run of one instance: a restarted instance has a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The instance.
    pub instance: InstanceId,
    /// Number of this run of the instance.
    pub incarnation: u64,
}

/// Role of a slot: each shard has two slots in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Slot with three quarters of the region's share.
    Primary,
    /// Slot with one quarter, so that the region can still spend tokens after losing the primary.
    Backup,
}

impl Role {
    /// Both roles.
    pub const ALL: [Self; 2] = [Self::Primary, Self::Backup];

    /// Share of the region's rate and burst, in parts per million.
    pub const fn share_ppm(self) -> u64 {
        match self {
            Self::Primary => 750_000,
            Self::Backup => 250_000,
        }
    }
}

/// Identifier of a slot: one shard in one region in one role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotId {
    /// Region of the slot.
    pub region: RegionId,
    /// Shard number, below [`SHARDS`].
    pub shard: u16,
    /// Role of the slot.
    pub role: Role,
}

/// Ownership of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The run of the instance that owns the slot.
    pub owner: Peer,
    /// Epoch of the ownership; incremented by every change of owner.
    pub epoch: u64,
}

/// Owners of a region's slots, as stored under `slots/<region>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnershipRecord {
    /// Schema of the record; must be [`RECORD_SCHEMA`].
    pub schema: u32,
    /// Owners of the primary slots, by shard.
    pub primary: BTreeMap<u16, Ownership>,
    /// Owners of the backup slots, by shard.
    pub backup: BTreeMap<u16, Ownership>,
    /// Number of times that each instance has confirmed its slots after a pause. A confirmation
    /// shows that the instance is alive, and makes the compare-and-swap of any claim planned before
    /// it fail.
    #[serde(default)]
    pub confirmations: BTreeMap<InstanceId, u64>,
}

impl Default for OwnershipRecord {
    fn default() -> Self {
        Self {
            schema: RECORD_SCHEMA,
            primary: BTreeMap::new(),
            backup: BTreeMap::new(),
            confirmations: BTreeMap::new(),
        }
    }
}

impl OwnershipRecord {
    /// Owners of the slots in `role`, by shard.
    pub fn owners(&self, role: Role) -> &BTreeMap<u16, Ownership> {
        match role {
            Role::Primary => &self.primary,
            Role::Backup => &self.backup,
        }
    }

    /// Mutable owners of the slots in `role`, by shard.
    pub fn owners_mut(&mut self, role: Role) -> &mut BTreeMap<u16, Ownership> {
        match role {
            Role::Primary => &mut self.primary,
            Role::Backup => &mut self.backup,
        }
    }

    /// Set of all owners.
    pub fn peers(&self) -> BTreeSet<Peer> {
        let owners = self.primary.values().chain(self.backup.values());
        owners.map(|ownership| ownership.owner.clone()).collect()
    }

    /// Slots owned by `peer`.
    pub fn owned_by(&self, peer: &Peer) -> Vec<OwnedSlot> {
        let mut owned = Vec::new();
        for role in Role::ALL {
            for (&shard, ownership) in self.owners(role) {
                if ownership.owner == *peer {
                    let epoch = ownership.epoch;
                    owned.push(OwnedSlot { shard, role, epoch });
                }
            }
        }
        owned
    }

    /// All slots of the record with their owners, as slots of `region`.
    pub fn slots(&self, region: &RegionId) -> Vec<(SlotId, Peer)> {
        let mut slots = Vec::new();
        for role in Role::ALL {
            for (&shard, ownership) in self.owners(role) {
                let region = region.clone();
                let slot = SlotId {
                    region,
                    shard,
                    role,
                };
                slots.push((slot, ownership.owner.clone()));
            }
        }
        slots
    }
}

/// Slot that this instance owns in its home region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnedSlot {
    /// Shard number, below [`SHARDS`].
    pub shard: u16,
    /// Role of the slot.
    pub role: Role,
    /// Epoch of the ownership.
    pub epoch: u64,
}

/// Shard of an account. The result must be the same in every version and on every machine.
pub fn shard_of(account: &AccountId) -> u16 {
    let hash = finalize_hash(fnv1a(FNV_OFFSET, account.as_str().as_bytes()));
    let shard = hash % u64::from(SHARDS);
    u16::try_from(shard).unwrap_or(0)
}

/// Rendezvous hash score of an instance for a shard; the instance with the highest is preferred.
pub(crate) fn rendezvous_score(instance: &InstanceId, shard: u16) -> u64 {
    rendezvous_score_of(instance.as_str(), &shard.to_le_bytes())
}

/// Rendezvous hash score of an instance for anything that is named by `bytes`.
pub(crate) fn rendezvous_score_of(instance: &str, bytes: &[u8]) -> u64 {
    let hash = fnv1a(FNV_OFFSET, instance.as_bytes());
    finalize_hash(fnv1a(hash, bytes))
}

/// FNV-1a hash of `bytes`, continuing from `seed`.
fn fnv1a(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// 64-bit finalizer of MurmurHash3, which spreads the bits of an FNV hash.
fn finalize_hash(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
