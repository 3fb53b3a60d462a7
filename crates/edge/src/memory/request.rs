//! Memory of one request.

use super::{Guard, MemoryBudget};
use carobwheel_core::memory::{Owner, Shortage, Use};
use std::rc::Rc;

/// Memory that a request takes until its last task has ended.
#[derive(Debug)]
pub struct RequestMemory {
    budget: Rc<MemoryBudget>,
    owner: Owner,
    /// Held until the request has ended.
    _held: Vec<Guard>,
}

impl RequestMemory {
    /// Memory of a request of `owner`, which takes `held` until it has ended.
    pub fn new(
        budget: &Rc<MemoryBudget>,
        owner: Owner,
        held: impl IntoIterator<Item = Guard>,
    ) -> Rc<Self> {
        Rc::new(Self {
            budget: Rc::clone(budget),
            owner,
            _held: held.into_iter().collect(),
        })
    }

    /// Reserves bytes of the class that their number gives.
    ///
    /// # Errors
    ///
    /// Fails if the bytes exceed what may be used.
    pub fn reserve(&self, used_for: Use, bytes: usize) -> Result<Guard, Shortage> {
        let class = self.budget.class_of(bytes);
        self.budget.reserve(used_for, &self.owner, class, bytes)
    }

    /// Reserves bytes that are in memory already, whether or not they exceed what may be used.
    pub fn charge(&self, used_for: Use, bytes: usize) -> Guard {
        self.budget.charge(used_for, &self.owner, bytes)
    }
}
