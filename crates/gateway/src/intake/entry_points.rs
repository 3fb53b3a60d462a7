//! `GET /v1/entry`: which instances callers should use, in order.

use arc_swap::ArcSwap;
use carobwheel_core::{
    document::Account,
    id::{InstanceId, RegionId},
    slot::{shard_of, Role},
};
use serde::Serialize;
use std::sync::Arc;

/// Time for which callers may use an answer, in seconds.
pub const ENTRY_POINTS_LIFETIME_S: u64 = 10;

/// One instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntryPoint {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Base URL for callers.
    pub url: String,
    /// Shards of accounts that the instance counts for, with its role.
    #[serde(skip)]
    pub owned_shards: Vec<(u16, Role)>,
}

/// Instances that callers may use, best first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryPointList {
    /// The instances.
    pub entries: Vec<EntryPoint>,
    /// Time for which the list may be used, in seconds.
    pub lifetime_s: u64,
}

impl EntryPointList {
    /// The list for callers of `account`: only instances of the region that the account is bound
    /// to, and in each region first those that count for the account, so that its requests need
    /// no tokens from elsewhere.
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
        let order: Vec<RegionId> = self.entries.iter().map(|it| it.region.clone()).collect();
        let region_rank = |entry: &EntryPoint| order.iter().position(|it| *it == entry.region);
        entries.sort_by_key(|entry| (region_rank(entry), owner_rank(entry)));
        Self {
            entries,
            lifetime_s: self.lifetime_s,
        }
    }
}

/// The shared place of the list; the deciding thread replaces it.
#[derive(Clone, Debug, Default)]
pub struct SharedEntryPoints {
    list: Arc<ArcSwap<EntryPointList>>,
}

impl SharedEntryPoints {
    /// The newest list.
    pub fn load(&self) -> Arc<EntryPointList> {
        self.list.load_full()
    }

    /// Replaces the list.
    pub(crate) fn store(&self, list: EntryPointList) {
        self.list.store(Arc::new(list));
    }
}
