//! Store leases shared by the records of many actions.

use crate::time::Millis;

/// Time during which new records are attached to the same lease, in milliseconds.
pub const LEASE_SHARING_MS: u64 = 60_000;

/// Identifier of a store lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// Lease to attach a new record to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChoice {
    /// An existing lease that lasts long enough.
    Use(LeaseId),
    /// A new lease is needed: request it with this time to live, then report it to
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

/// Leases that an instance holds for action records, one per record lifetime in use.
///
/// Leases are never renewed. A record exists for at least its requested lifetime and for at most
/// [`LEASE_SHARING_MS`] plus one second longer, so that one grant serves all actions of one minute.
#[derive(Clone, Debug, Default)]
pub struct LeasePool {
    leases: Vec<Lease>,
}

impl LeasePool {
    /// Chooses the lease for a record that has to exist for `lifetime_ms` from `now`.
    pub fn choose(&self, lifetime_ms: u64, now: Millis) -> LeaseChoice {
        let needed_until = now.plus(lifetime_ms);
        let longest_useful = needed_until.plus(LEASE_SHARING_MS + 1_000);
        let fits = |lease: &&Lease| (needed_until..=longest_useful).contains(&lease.ends_at);
        match self.leases.iter().find(fits) {
            Some(lease) => LeaseChoice::Use(lease.id),
            None => LeaseChoice::Grant {
                ttl_s: (lifetime_ms + LEASE_SHARING_MS).div_ceil(1_000),
            },
        }
    }

    /// Adds a lease whose grant was requested at `requested_at`, and drops expired leases.
    ///
    /// The time to live is counted from the request, so that the lease is never assumed to last
    /// longer than it does.
    pub fn granted(&mut self, id: LeaseId, ttl_s: u64, requested_at: Millis) {
        self.leases.retain(|lease| lease.ends_at > requested_at);
        self.leases.push(Lease {
            id,
            ends_at: requested_at.plus(ttl_s * 1_000),
        });
    }

    /// Removes a lease that the store reports as unknown.
    pub fn forget(&mut self, id: LeaseId) {
        self.leases.retain(|lease| lease.id != id);
    }
}
