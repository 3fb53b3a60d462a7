//! Memory use of a limiter at the target size of the fleet.

use super::scenario;
use carobwheel_core::document::{Account, Document, Region};
use carobwheel_core::id::RegionId;
use carobwheel_core::limit::Limiter;
use carobwheel_core::slot::{OwnedSlot, Peer, Role, SlotId, SHARDS};
use carobwheel_core::time::Millis;
use serde::Serialize;

/// Number of client accounts at the target size.
const ACCOUNTS: usize = 1_500;
/// Number of regions at the target size.
const REGIONS: usize = 11;
/// Number of slots owned by one instance in a region of 34 instances.
const OWNED_SLOTS: u16 = 4;
/// Number of limiters to build; enough that their memory exceeds the allocator's noise.
const LIMITERS: usize = 50;
const PAGE_BYTES: u64 = 4_096;

/// Memory use of one limiter.
#[derive(Clone, Debug, Serialize)]
pub struct Memory {
    /// Number of client accounts in the document.
    pub accounts: usize,
    /// Resident memory of one limiter, in bytes.
    pub limiter_bytes: u64,
    /// Resident memory per account, in bytes.
    pub account_bytes: u64,
}

/// Builds limiters at the target size and measures the growth of the process's resident memory.
///
/// # Errors
///
/// Fails if the resident memory of the process cannot be read from `/proc`.
pub(super) fn measure() -> anyhow::Result<Memory> {
    let document = document();
    let before = resident_bytes()?;
    let limiters: Vec<Limiter> = (0..LIMITERS).map(|_| limiter(&document)).collect();
    let growth = resident_bytes()?.saturating_sub(before);
    let limiter_bytes = growth / limiters.len() as u64;
    Ok(Memory {
        accounts: ACCOUNTS,
        limiter_bytes,
        account_bytes: limiter_bytes / ACCOUNTS as u64,
    })
}

fn limiter(document: &Document) -> Limiter {
    let now = Millis(0);
    let me = peer("me");
    let mut limiter = Limiter::new(me, document.regions[0].id.clone());
    limiter.apply_document(1, document, now);
    limiter.set_fleet_revision(1, now);
    let owner = peer("other");
    let slots = document.regions.iter().flat_map(|region| slots(&region.id));
    limiter.set_owners(slots.map(|slot| (slot, owner.clone())));
    let owned: Vec<OwnedSlot> = (0..OWNED_SLOTS)
        .map(|shard| OwnedSlot {
            shard,
            role: Role::Primary,
            epoch: 1,
        })
        .collect();
    limiter.set_slots(&owned, now);
    limiter
}

fn slots(region: &RegionId) -> Vec<SlotId> {
    let of_shard = |shard| {
        Role::ALL.map(|role| SlotId {
            region: region.clone(),
            shard,
            role,
        })
    };
    (0..SHARDS).flat_map(of_shard).collect()
}

fn peer(name: &str) -> Peer {
    Peer {
        instance: name.parse().expect("a valid identifier"),
        incarnation: 1,
    }
}

fn document() -> Document {
    let mut document = scenario::document();
    document.regions = (0..REGIONS)
        .map(|at| Region {
            id: format!("r{at}").parse().expect("a valid identifier"),
            data_centres: Vec::new(),
            rate_weight: 1,
        })
        .collect();
    let sample = document.accounts[0].clone();
    document.accounts = (0..ACCOUNTS)
        .map(|at| Account {
            id: format!("account-{at}").parse().expect("a valid identifier"),
            ..sample.clone()
        })
        .collect();
    document
}

fn resident_bytes() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}
