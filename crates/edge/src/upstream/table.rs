//! Table of upstreams.

use super::{retained::Retained, state::MAX_REPORT_AGE_MS, Upstream, UpstreamEntry};
use carobwheel_core::time::Millis;
use std::{collections::HashMap, sync::Arc};

/// Time for which an entry may be missing after an outage of the store, in milliseconds.
const REAPPEAR_GRACE_MS: u64 = 2_300;

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    /// Upstreams by identifier.
    pub by_id: HashMap<Arc<str>, Upstream>,
    retained: Retained,
}

impl Upstreams {
    /// Adds or updates the entry of an upstream whose KV cache holds `kv_cache_tokens` (0 if it has
    /// none). Returns true if the entry is new, has changed or had been missing.
    pub fn update_entry(
        &mut self,
        entry: UpstreamEntry,
        region: &Arc<str>,
        kv_cache_tokens: u64,
        now: Millis,
    ) -> bool {
        if let Some(known) = self
            .by_id
            .get_mut(&entry.id)
            .filter(|known| known.is_process_of(&entry))
        {
            let is_change = known.entry != entry || known.gone_at.is_some();
            known.update(entry, now);
            return is_change;
        }
        let (id, cold_left_ms) = (Arc::clone(&entry.id), entry.cold_left_ms);
        let mut upstream = match self.retained.take(&entry) {
            Some(mut returned) => {
                returned.update(entry, now);
                returned
            }
            None => Upstream::new(entry, region, kv_cache_tokens, now),
        };
        if let Some(before) = self.by_id.get(&id) {
            upstream.follow(before, cold_left_ms, now);
        }
        if let Some(replaced) = self.by_id.insert(id, upstream) {
            self.retained.keep(replaced, now);
        }
        true
    }

    /// Records that the entry of `id` was removed. After an outage of the store the upstream stays
    /// usable for a short time, in which the entry may reappear.
    pub fn entry_removed(&mut self, id: &str, is_after_outage: bool, now: Millis) {
        let Some(upstream) = self.by_id.get_mut(id) else {
            return;
        };
        if is_after_outage && upstream.leaving_at.is_none() {
            upstream.gone_at.get_or_insert(now.plus(REAPPEAR_GRACE_MS));
        } else {
            upstream.leave(now);
            upstream.gone_at = Some(now);
        }
    }

    /// Removes upstreams that are gone and have no requests of this instance in flight. Returns
    /// their identifiers. What is known of their processes is kept for a while, since an entry may go
    /// although its process lives.
    pub fn sweep(&mut self, now: Millis) -> Vec<Arc<str>> {
        for upstream in self.by_id.values_mut() {
            if upstream.gone_at.is_some_and(|at| now >= at) {
                upstream.leave(now);
            }
            upstream
                .peer_loads
                .retain(|_, (_, at)| now.since(*at) <= MAX_REPORT_AGE_MS);
        }
        let is_removable = |upstream: &Upstream| {
            upstream.gone_at.is_some_and(|at| now >= at) && upstream.own.requests == 0
        };
        let removed: Vec<_> = self
            .by_id
            .values()
            .filter(|upstream| is_removable(upstream))
            .map(|upstream| Arc::clone(&upstream.entry.id))
            .collect();
        for id in &removed {
            if let Some(upstream) = self.by_id.remove(id) {
                self.retained.keep(upstream, now);
            }
        }
        self.retained.expire(now);
        removed
    }

    /// Number of processes without an entry that are remembered.
    pub fn retained_count(&self) -> usize {
        self.retained.len()
    }
}
