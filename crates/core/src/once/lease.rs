//! Leases of the store, shared between the records of many actions.

use crate::time::Millis;

/// Time during which new records hang on the same lease, in milliseconds.
pub const LEASE_SHARING_MS: u64 = 60_000;

/// Identifier of a lease of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// Which lease a new record hangs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChoice {
    /// A lease that lives long enough.
    Use(LeaseId),
    /// A new lease has to be granted with this time to live, then reported to
    /// [`LeasePool::granted`].
    Grant {
        /// Time to live, in seconds.
        ttl_s: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    ends_at: Millis,
}

/// The leases that an instance holds for records, one for each length of life in use.
///
/// Leases are never renewed: a record lives for at least its own life and at most
/// [`LEASE_SHARING_MS`] and a second longer. One grant then serves all actions of a minute.
#[derive(Clone, Debug, Default)]
pub struct LeasePool {
    leases: Vec<Lease>,
}

impl LeasePool {
    /// The lease for a record that has to live for `life_ms` from `now` on.
    pub fn choose(&self, life_ms: u64, now: Millis) -> LeaseChoice {
        let needed_until = now.plus(life_ms);
        let longest_useful = needed_until.plus(LEASE_SHARING_MS + 1_000);
        let fits = |lease: &&Lease| (needed_until..=longest_useful).contains(&lease.ends_at);
        match self.leases.iter().find(fits) {
            Some(lease) => LeaseChoice::Use(lease.id),
            None => LeaseChoice::Grant {
                ttl_s: (life_ms + LEASE_SHARING_MS).div_ceil(1_000),
            },
        }
    }

    /// Takes note of a lease whose grant was requested at `requested_at`.
    ///
    /// Its life is counted from the request, so that it never seems longer than it is. Leases that
    /// have ended are dropped.
    pub fn granted(&mut self, id: LeaseId, ttl_s: u64, requested_at: Millis) {
        self.leases.retain(|lease| lease.ends_at > requested_at);
        self.leases.push(Lease {
            id,
            ends_at: requested_at.plus(ttl_s * 1_000),
        });
    }

    /// Drops a lease that the store says it does not know.
    pub fn forget(&mut self, id: LeaseId) {
        self.leases.retain(|lease| lease.id != id);
    }
}
