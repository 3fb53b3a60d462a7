//! Account of the memory that a process uses for its callers.
//!
//! Bytes are reserved before they are read and released when they are freed. The account decides what
//! may still be reserved, and which body that is being received is given up when there is too little:
//! see [`MemoryAccount`]. Without threads and clocks; [`MemoryGuard`] releases a reservation when it
//! is dropped, for an account in an `Rc<RefCell<_>>` or in an `Arc<Mutex<_>>`.

mod account;
mod arriving;
mod guard;
mod limits;
mod owner;

pub use account::{MemoryAccount, Reservation, Shortage};
pub use arriving::BodyId;
pub use guard::{AccountCell, MemoryGuard};
pub use limits::MemoryLimits;
pub use owner::{Owner, SizeClass, Use};
