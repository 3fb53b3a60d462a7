//! `GET /v1/entry`: the instances that callers may use, in order of preference.

use arc_swap::ArcSwap;
use carobwheel_core::{
    document::Account,
    id::{InstanceId, RegionId},
    slot::{shard_of, Role},
};
use serde::Serialize;
use std::sync::Arc;

/// Time for which callers may cache the list, in seconds.
pub const ENTRY_POINTS_LIFETIME_S: u64 = 10;

/// An instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntryPoint {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Base URL for callers.
    pub url: String,
    /// Account shards that the instance owns, with its role.
    #[serde(skip)]
    pub owned_shards: Vec<(u16, Role)>,
}

/// Instances that callers may use, in order of preference.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryPointList {
    /// The instances.
    pub entries: Vec<EntryPoint>,
    /// Time for which callers may cache the list, in seconds.
    pub lifetime_s: u64,
}

impl EntryPointList {
    /// Returns the list for callers of `account`: only instances of the region that the account is
    /// bound to, and in each region first the owners of the account's shard, so that its requests
    /// need no tokens from other instances.
    pub(super) fn for_account(&self, account: &Account) -> Self {
        let shard = shard_of(&account.id);
        let owner_rank = |entry: &EntryPoint| {
            let owns = |role| entry.owned_shards.contains(&(shard, role));
            match () {
                () if owns(Role::Primary) => 0,
                () if owns(Role::Backup) => 1,
                () => 2,
            }
        };
        let is_allowed = |entry: &&EntryPoint| {
            let bound = account.bound_region.as_ref();
            bound.is_none_or(|region| *region == entry.region)
        };
        let mut entries: Vec<EntryPoint> =
            self.entries.iter().filter(is_allowed).cloned().collect();
        let region_order: Vec<RegionId> = self.entries.iter().map(|it| it.region.clone()).collect();
        let region_rank =
            |entry: &EntryPoint| region_order.iter().position(|it| *it == entry.region);
        entries.sort_by_key(|entry| (region_rank(entry), owner_rank(entry)));
        Self {
            entries,
            lifetime_s: self.lifetime_s,
        }
    }
}

/// Shared list of entry points, replaced by the decision thread.
#[derive(Clone, Debug, Default)]
pub struct SharedEntryPoints {
    list: Arc<ArcSwap<EntryPointList>>,
}

impl SharedEntryPoints {
    /// Returns the current list.
    pub fn load(&self) -> Arc<EntryPointList> {
        self.list.load_full()
    }

    /// Replaces the list.
    pub(crate) fn store(&self, list: EntryPointList) {
        self.list.store(Arc::new(list));
    }
}
