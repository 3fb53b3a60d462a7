//! Guards that release their reservation when they are dropped.

use super::{MemoryAccount, Reservation, Shortage, SizeClass};
use std::{
    cell::RefCell,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
};

/// Shared access to an account.
pub trait AccountCell: Clone {
    /// Calls `change` with the account.
    fn with<T>(&self, change: impl FnOnce(&mut MemoryAccount) -> T) -> T;
}

impl AccountCell for Rc<RefCell<MemoryAccount>> {
    fn with<T>(&self, change: impl FnOnce(&mut MemoryAccount) -> T) -> T {
        change(&mut self.borrow_mut())
    }
}

impl AccountCell for Arc<Mutex<MemoryAccount>> {
    fn with<T>(&self, change: impl FnOnce(&mut MemoryAccount) -> T) -> T {
        // No change of the account panics half-way, so a poisoned one is consistent.
        change(&mut self.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Releases a reservation when it is dropped.
#[derive(Debug)]
#[must_use = "dropping the guard releases the bytes"]
pub struct MemoryGuard<C: AccountCell> {
    account: C,
    /// `None` only while it is released.
    reservation: Option<Reservation>,
}

impl<C: AccountCell> MemoryGuard<C> {
    /// Guard of a reservation in `account`.
    pub const fn new(account: C, reservation: Reservation) -> Self {
        Self {
            account,
            reservation: Some(reservation),
        }
    }

    /// Reserved bytes.
    pub fn bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, Reservation::bytes)
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    ///
    /// Fails without a change if they exceed what may be used.
    pub fn grow(&mut self, class: SizeClass, bytes: usize) -> Result<(), Shortage> {
        match &mut self.reservation {
            Some(reservation) => {
                let grow = |account: &mut MemoryAccount| account.grow(reservation, class, bytes);
                self.account.with(grow)
            }
            None => Ok(()),
        }
    }

    /// Sets the size for bytes that are in memory already or were freed.
    pub fn resize(&mut self, bytes: usize) {
        if let Some(reservation) = &mut self.reservation {
            self.account
                .with(|account| account.resize(reservation, bytes));
        }
    }
}

impl<C: AccountCell> Drop for MemoryGuard<C> {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.account.with(|account| account.release(reservation));
        }
    }
}
