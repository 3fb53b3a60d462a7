//! Memory that callers make the process hold, and the bodies that are being received.
//!
//! Bytes are reserved in one account ([`carobwheel_core::memory`]) before they are read. A buffer
//! carries its reservation, which ends when the last clone of the buffer is dropped.

mod arriving;

pub use arriving::{ArrivingBody, GivenUp};

use crate::front::{DropCounters, DropReason};
use bytes::Bytes;
use carobwheel_core::{
    memory::{BodyId, MemoryAccount, MemoryGuard, MemoryLimits, Owner, Shortage, SizeClass, Use},
    time::Clock,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};
use tokio_util::sync::CancellationToken;

type SharedAccount = Arc<Mutex<MemoryAccount>>;
type GiveUpTokens = HashMap<BodyId, CancellationToken>;

/// Reserved bytes, released when the guard is dropped.
pub type Guard = MemoryGuard<SharedAccount>;

/// Memory of the process for its callers.
#[derive(Debug)]
pub struct CallerMemory {
    account: SharedAccount,
    clock: Clock,
    /// Token of each body that is being received, cancelled when the body is given up.
    give_up_tokens: Mutex<GiveUpTokens>,
    drops: Arc<DropCounters>,
}

impl CallerMemory {
    /// Creates the memory of a process, of which nothing is used.
    pub fn new(limits: MemoryLimits, clock: Clock, drops: Arc<DropCounters>) -> Self {
        Self {
            account: Arc::new(Mutex::new(MemoryAccount::new(limits))),
            clock,
            give_up_tokens: Mutex::default(),
            drops,
        }
    }

    /// Reserves `bytes` for a request whose body has `body_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if they exceed what may be used.
    pub fn reserve(
        &self,
        used_for: Use,
        owner: &Owner,
        body_bytes: usize,
        bytes: usize,
    ) -> Result<Guard, Shortage> {
        let reservation = self.with(|account| {
            let class = account.class_of(body_bytes);
            account.reserve(used_for, owner, class, bytes)
        });
        match reservation {
            Ok(reservation) => Ok(MemoryGuard::new(Arc::clone(&self.account), reservation)),
            Err(shortage) => {
                self.drops.add(DropReason::Memory);
                Err(shortage)
            }
        }
    }

    /// Reserves bytes that are in memory already, beyond the limits if need be.
    pub fn charge(&self, used_for: Use, owner: &Owner, bytes: usize) -> Guard {
        let class = SizeClass::Large;
        let reservation = self.with(|account| account.charge(used_for, owner, class, bytes));
        MemoryGuard::new(Arc::clone(&self.account), reservation)
    }

    /// Returns the class of a request or an answer of this size.
    pub fn class_of(&self, bytes: usize) -> SizeClass {
        self.with(|account| account.class_of(bytes))
    }

    /// Returns the reserved bytes by use.
    pub fn used_bytes(&self) -> [(Use, usize); Use::ALL.len()] {
        self.with(|account| Use::ALL.map(|used_for| (used_for, account.used_bytes(used_for))))
    }

    /// Returns the limit on all reserved bytes.
    pub fn limit_bytes(&self) -> usize {
        self.with(|account| account.limits().total_bytes)
    }

    /// Returns the counters of what was dropped.
    pub fn drops(&self) -> &Arc<DropCounters> {
        &self.drops
    }

    // No change of the account panics half-way, so a poisoned one is consistent.
    fn with<T>(&self, change: impl FnOnce(&mut MemoryAccount) -> T) -> T {
        change(&mut self.account.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn give_up_tokens(&self) -> std::sync::MutexGuard<'_, GiveUpTokens> {
        self.give_up_tokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Buffer with the reservation of its memory.
struct HeldBuffer<T> {
    buffer: T,
    _guard: Guard,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBuffer<T> {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}

/// Returns `buffer` as bytes that keep `guard` until the last clone of them is dropped.
pub fn held_bytes<T: AsRef<[u8]> + Send + 'static>(buffer: T, guard: Guard) -> Bytes {
    Bytes::from_owner(HeldBuffer {
        buffer,
        _guard: guard,
    })
}
