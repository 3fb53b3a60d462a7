//! Counts of the open connections, in all and by address.

use super::{ConnectionLimits, DropReason};
use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError},
};

#[derive(Debug, Default)]
struct Counts {
    total: usize,
    by_address: HashMap<IpAddr, usize>,
}

/// Open connections of one server.
#[derive(Debug)]
pub(super) struct Connections {
    max_connections: usize,
    max_per_address: usize,
    counts: Mutex<Counts>,
}

/// Guard of one open connection, which counts until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    connections: Arc<Connections>,
    address: IpAddr,
}

impl Connections {
    pub(super) fn new(limits: &ConnectionLimits) -> Self {
        Self {
            max_connections: limits.max_connections,
            max_per_address: limits.max_per_address,
            counts: Mutex::default(),
        }
    }

    /// Counts a connection from `address`.
    ///
    /// # Errors
    ///
    /// Returns the reason to close it if there are too many.
    pub(super) fn open(self: &Arc<Self>, address: IpAddr) -> Result<ConnectionGuard, DropReason> {
        let mut counts = self.lock();
        if counts.total >= self.max_connections {
            return Err(DropReason::Connections);
        }
        let of_address = counts.by_address.entry(address).or_default();
        if *of_address >= self.max_per_address {
            return Err(DropReason::ConnectionsOfAddress);
        }
        *of_address += 1;
        counts.total += 1;
        Ok(ConnectionGuard {
            connections: Arc::clone(self),
            address,
        })
    }

    // No change of the counts panics half-way, so poisoned ones are consistent.
    fn lock(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut counts = self.connections.lock();
        counts.total -= 1;
        if let Some(of_address) = counts.by_address.get_mut(&self.address) {
            *of_address -= 1;
            if *of_address == 0 {
                counts.by_address.remove(&self.address);
            }
        }
    }
}
