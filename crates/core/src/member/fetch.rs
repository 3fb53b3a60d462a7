//! From which peer to fetch a document of a higher revision.

use super::table::Member;
use super::Members;
use crate::id::InstanceId;
use crate::time::Millis;
use rand::Rng;
use std::net::SocketAddr;

/// Time after which another peer is tried when a fetch has brought nothing, in milliseconds.
const FETCH_RETRY_MS: u64 = 700;

/// The fetch that was last advised.
#[derive(Clone, Debug, Default)]
pub(super) struct Fetch {
    last: Option<(Millis, u64)>,
}

impl Members {
    /// A peer that has a higher revision in force than this instance, preferably of the own
    /// region, with its address. The same revision is advised again only after a while, so the
    /// caller may ask after every packet and tick, and fetches each time it gets an answer.
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
