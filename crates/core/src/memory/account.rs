//! The account: what is used, by whom, and what may still be reserved.

use super::{
    arriving::{Arriving, BodyId},
    MemoryLimits, Owner, SizeClass, Use,
};
use crate::time::Millis;
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    sync::Arc,
};

/// Reason why bytes cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The memory for all callers is used up.
    Total,
    /// The client account uses its largest part.
    Account,
    /// The client address uses its largest part.
    Address,
}

impl Shortage {
    /// Label in metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Total => "memory_total",
            Self::Account => "memory_of_account",
            Self::Address => "memory_of_address",
        }
    }
}

/// Reserved bytes, which have to be given back with [`MemoryAccount::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the bytes stay reserved until they are released"]
pub struct Reservation {
    pub(super) used_for: Use,
    pub(super) owner: Owner,
    pub(super) class: SizeClass,
    pub(super) bytes: usize,
}

impl Reservation {
    /// Reserved bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Account of the memory that a process uses for its callers.
#[derive(Debug)]
pub struct MemoryAccount {
    limits: MemoryLimits,
    total: usize,
    large: usize,
    by_use: BTreeMap<Use, usize>,
    by_account: HashMap<Arc<str>, usize>,
    by_address: HashMap<IpAddr, usize>,
    arriving: Arriving,
}

impl MemoryAccount {
    /// Account in which nothing is used.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            total: 0,
            large: 0,
            by_use: BTreeMap::new(),
            by_account: HashMap::new(),
            by_address: HashMap::new(),
            arriving: Arriving::default(),
        }
    }

    /// Sizes of the account.
    pub const fn limits(&self) -> &MemoryLimits {
        &self.limits
    }

    /// All reserved bytes.
    pub const fn total_bytes(&self) -> usize {
        self.total
    }

    /// Bytes that are reserved for a use.
    pub fn used_bytes(&self, used_for: Use) -> usize {
        self.by_use.get(&used_for).copied().unwrap_or_default()
    }

    /// Whether more is used than large requests may use, so that something has to be given up.
    pub const fn is_nearly_used_up(&self) -> bool {
        self.total > self.limits.large_bytes()
    }

    /// Class of a request whose body has this size.
    pub const fn class_of(&self, body_bytes: usize) -> SizeClass {
        if body_bytes <= self.limits.small_request_bytes {
            SizeClass::Small
        } else {
            SizeClass::Large
        }
    }

    /// Reserves bytes.
    ///
    /// # Errors
    ///
    /// Fails without a change if the bytes exceed what may be used.
    pub fn reserve(
        &mut self,
        used_for: Use,
        owner: &Owner,
        class: SizeClass,
        bytes: usize,
    ) -> Result<Reservation, Shortage> {
        self.check(owner, class, bytes, bytes)?;
        Ok(self.charge(used_for, owner, class, bytes))
    }

    /// Reserves bytes that are in memory already, whether or not they exceed what may be used.
    pub fn charge(
        &mut self,
        used_for: Use,
        owner: &Owner,
        class: SizeClass,
        bytes: usize,
    ) -> Reservation {
        let mut reservation = Reservation {
            used_for,
            owner: owner.clone(),
            class,
            bytes: 0,
        };
        self.set_bytes(&mut reservation, class, bytes);
        reservation
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    ///
    /// Fails without a change if they exceed what may be used.
    pub fn grow(
        &mut self,
        reservation: &mut Reservation,
        class: SizeClass,
        bytes: usize,
    ) -> Result<(), Shortage> {
        let is_turning_large = class == SizeClass::Large && reservation.class == SizeClass::Small;
        let large_bytes = if is_turning_large {
            reservation.bytes.saturating_add(bytes)
        } else {
            bytes
        };
        self.check(&reservation.owner, class, bytes, large_bytes)?;
        let to = reservation.bytes.saturating_add(bytes);
        self.set_bytes(reservation, class, to);
        Ok(())
    }

    /// Sets the size of a reservation for bytes that are in memory already or were freed.
    pub fn resize(&mut self, reservation: &mut Reservation, bytes: usize) {
        self.set_bytes(reservation, reservation.class, bytes);
    }

    /// Releases reserved bytes.
    pub fn release(&mut self, mut reservation: Reservation) {
        self.set_bytes(&mut reservation, SizeClass::Small, 0);
    }

    /// Begins a body that is being received, with nothing reserved for it yet.
    pub fn open_body(&mut self, owner: &Owner, now: Millis) -> BodyId {
        let reservation = self.charge(Use::Bodies, owner, SizeClass::Small, 0);
        self.arriving.insert(reservation, now)
    }

    /// Reserves `bytes` more for a body that is being received.
    ///
    /// # Errors
    ///
    /// Fails if they exceed what may be used, or if the body was given up.
    pub fn grow_body(&mut self, id: BodyId, bytes: usize, now: Millis) -> Result<(), Shortage> {
        let Some(mut body) = self.arriving.take_reservation(id) else {
            return Err(Shortage::Total);
        };
        let class = self.class_of(body.bytes.saturating_add(bytes));
        let result = self.grow(&mut body, class, bytes);
        // A body that waits for memory is not read meanwhile, which is not its sender's doing.
        self.arriving
            .put_reservation(id, body, result.is_err().then_some(now));
        result
    }

    /// Records that `bytes` bytes of a body have arrived.
    pub fn body_progress(&mut self, id: BodyId, bytes: usize, now: Millis) {
        self.arriving.progress(id, bytes, now);
    }

    /// Ends the reception of a body. Its bytes stay reserved.
    pub fn close_body(&mut self, id: BodyId) -> Option<Reservation> {
        self.arriving.remove(id)
    }

    /// Body to give up for the sake of another one that lacks memory for the given reason: among those
    /// that count towards it, the one with the least recent progress. `None` if all have made progress
    /// a moment ago. The owner has to close the body; it is not named again.
    pub fn body_to_give_up(
        &mut self,
        shortage: Shortage,
        owner: &Owner,
        now: Millis,
    ) -> Option<BodyId> {
        let counts = |other: &Owner| match shortage {
            Shortage::Total => true,
            Shortage::Account => other.account == owner.account,
            Shortage::Address => other.address == owner.address,
        };
        self.arriving.give_up(counts, now)
    }

    /// Number of bodies that are being received.
    pub fn arriving_bodies(&self) -> usize {
        self.arriving.len()
    }

    /// Checks whether `bytes` more may be used, of which `large_bytes` count as those of large requests
    /// if the class is large.
    fn check(
        &self,
        owner: &Owner,
        class: SizeClass,
        bytes: usize,
        large_bytes: usize,
    ) -> Result<(), Shortage> {
        let exceeds = |used: usize, more: usize, limit: usize| used.saturating_add(more) > limit;
        let (is_large_full, extra) = match class {
            SizeClass::Small => (false, self.limits.small_extra_bytes()),
            SizeClass::Large => (
                exceeds(self.large, large_bytes, self.limits.large_bytes()),
                0,
            ),
        };
        if is_large_full || exceeds(self.total, bytes, self.limits.total_bytes) {
            return Err(Shortage::Total);
        }
        let of_account = owner
            .account
            .as_ref()
            .and_then(|it| self.by_account.get(it));
        let of_address = owner
            .address
            .and_then(|it| self.by_address.get(&it).copied());
        let max_account = self.limits.account_bytes.saturating_add(extra);
        let max_address = self.limits.address_bytes.saturating_add(extra);
        if owner.account.is_some()
            && exceeds(of_account.copied().unwrap_or_default(), bytes, max_account)
        {
            return Err(Shortage::Account);
        }
        if owner.address.is_some() && exceeds(of_address.unwrap_or_default(), bytes, max_address) {
            return Err(Shortage::Address);
        }
        Ok(())
    }

    /// Sets class and size of a reservation, and all sums.
    fn set_bytes(&mut self, reservation: &mut Reservation, class: SizeClass, bytes: usize) {
        let before = std::mem::replace(&mut reservation.bytes, bytes);
        if reservation.class == SizeClass::Large {
            self.large -= before;
        }
        if class == SizeClass::Large {
            self.large += bytes;
        }
        reservation.class = class;
        self.total = self.total - before + bytes;
        let of_use = self.by_use.entry(reservation.used_for).or_default();
        *of_use = *of_use - before + bytes;
        if let Some(account) = &reservation.owner.account {
            change(&mut self.by_account, account, before, bytes);
        }
        if let Some(address) = &reservation.owner.address {
            change(&mut self.by_address, address, before, bytes);
        }
    }
}

/// Changes the sum of an owner, and forgets owners without bytes.
fn change<K: Clone + Eq + std::hash::Hash>(
    sums: &mut HashMap<K, usize>,
    owner: &K,
    before: usize,
    bytes: usize,
) {
    let sum = sums.get(owner).copied().unwrap_or_default() - before + bytes;
    if sum == 0 {
        sums.remove(owner);
    } else {
        sums.insert(owner.clone(), sum);
    }
}
