//! Memory budget of the event loop: the account of [`carobwheel_core::memory`] with guards that release
//! by themselves, and bodies that can be given up while they are being received.

mod arriving;
mod request;

pub use arriving::ArrivingBody;
pub use request::RequestMemory;

use carobwheel_core::{
    memory::{BodyId, MemoryAccount, MemoryGuard, MemoryLimits, Owner, Shortage, SizeClass, Use},
    time::Clock,
};
use std::{cell::RefCell, collections::HashMap, rc::Rc};
use tokio_util::sync::CancellationToken;

/// Account that all tasks of the event loop share.
pub type SharedAccount = Rc<RefCell<MemoryAccount>>;
/// Reserved bytes, which are released when the guard is dropped.
pub type Guard = MemoryGuard<SharedAccount>;

/// Memory budget of an instance.
#[derive(Debug)]
pub struct MemoryBudget {
    account: SharedAccount,
    /// Token of each body that is being received, cancelled when the body is given up.
    give_up_tokens: RefCell<HashMap<BodyId, CancellationToken>>,
    /// Cloned by each body that waits for memory.
    waiting: Rc<()>,
    clock: Clock,
}

impl MemoryBudget {
    /// Budget of which nothing is used.
    pub fn new(limits: MemoryLimits, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            account: Rc::new(RefCell::new(MemoryAccount::new(limits))),
            give_up_tokens: RefCell::default(),
            waiting: Rc::default(),
            clock,
        })
    }

    /// Reserves bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes exceed what may be used.
    pub fn reserve(
        &self,
        used_for: Use,
        owner: &Owner,
        class: SizeClass,
        bytes: usize,
    ) -> Result<Guard, Shortage> {
        let reserved = self
            .account
            .borrow_mut()
            .reserve(used_for, owner, class, bytes);
        Ok(Guard::new(Rc::clone(&self.account), reserved?))
    }

    /// Reserves bytes that are in memory already, whether or not they exceed what may be used.
    pub fn charge(&self, used_for: Use, owner: &Owner, bytes: usize) -> Guard {
        let class = SizeClass::Large;
        let charged = self
            .account
            .borrow_mut()
            .charge(used_for, owner, class, bytes);
        Guard::new(Rc::clone(&self.account), charged)
    }

    /// Class of a request whose body has this size.
    pub fn class_of(&self, body_bytes: usize) -> SizeClass {
        self.account.borrow().class_of(body_bytes)
    }

    /// Begins a body that is being received.
    pub fn open_body(self: &Rc<Self>, owner: &Owner) -> ArrivingBody {
        let now = self.clock.now();
        let id = self.account.borrow_mut().open_body(owner, now);
        let given_up = CancellationToken::new();
        let mut tokens = self.give_up_tokens.borrow_mut();
        tokens.insert(id, given_up.clone());
        ArrivingBody::new(Rc::clone(self), id, owner.clone(), given_up)
    }

    /// Gives up the body with the least recent progress that counts towards the shortage. Returns
    /// false if there is none.
    pub fn give_up_body(&self, shortage: Shortage, owner: &Owner) -> bool {
        let now = self.clock.now();
        let mut account = self.account.borrow_mut();
        let Some(id) = account.body_to_give_up(shortage, owner, now) else {
            return false;
        };
        if let Some(given_up) = self.give_up_tokens.borrow().get(&id) {
            given_up.cancel();
        }
        true
    }

    /// Whether so much is used that something has to be given up.
    pub fn is_nearly_used_up(&self) -> bool {
        self.account.borrow().is_nearly_used_up()
    }

    /// Bytes that may be used.
    pub fn limit_bytes(&self) -> usize {
        self.account.borrow().limits().total_bytes
    }

    /// Used bytes by use.
    pub fn used_bytes(&self) -> [(Use, usize); Use::ALL.len()] {
        let account = self.account.borrow();
        Use::ALL.map(|used_for| (used_for, account.used_bytes(used_for)))
    }
}
