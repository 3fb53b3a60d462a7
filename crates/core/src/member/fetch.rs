//! Choice of the peer from which to fetch a newer document revision.

use super::table::Member;
use super::Members;
use crate::id::InstanceId;
use crate::time::Millis;
use rand::Rng;
use std::net::SocketAddr;

/// Time after which a fetch of the same revision is advised again, in milliseconds.
const FETCH_RETRY_MS: u64 = 700;

/// Time and revision of the last fetch that was advised.
#[derive(Clone, Debug, Default)]
pub(super) struct LastFetch {
    last: Option<(Millis, u64)>,
}

impl Members {
    /// Chooses a random peer, with its address, that has the highest revision in force if that is
    /// higher than this instance's; peers of the own region are preferred. The same revision is
    /// advised again, perhaps from another peer, only after a retry delay. The caller may
    /// therefore ask after every packet and tick, and fetches whenever a peer is returned.
    pub fn choose_fetch_peer(&mut self, now: Millis) -> Option<(InstanceId, SocketAddr)> {
        let own_revision = self.own_member().status.revision;
        let newer = |m: &&Member| m.status.revision > own_revision;
        let highest = self
            .table
            .present()
            .filter(newer)
            .map(|m| m.status.revision);
        let highest = highest.max()?;
        if let Some((at, revision)) = self.fetch.last {
            if highest <= revision && now.since(at) < FETCH_RETRY_MS {
                return None;
            }
        }
        let mut candidates: Vec<&Member> = self
            .table
            .present()
            .filter(|m| m.status.revision == highest)
            .collect();
        let is_local = |m: &&Member| m.identity.region == self.own_region;
        if candidates.iter().any(is_local) {
            candidates.retain(is_local);
        }
        let chosen = candidates[self.rng.random_range(0..candidates.len())];
        self.fetch.last = Some((now, highest));
        Some((chosen.identity.instance.clone(), chosen.identity.peer_addr))
    }
}
