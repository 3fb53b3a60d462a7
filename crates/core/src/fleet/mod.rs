//! Which instances keep links to each other, and how news of one instance reach the others.
//!
//! An instance that kept a link to every other one would cost more with each instance that is added.
//! So in each data centre a few instances are delegates. An instance sends its state to the delegates of
//! its region; a delegate adds up what it has heard, and returns the sums together with the liveness of
//! all instances. Delegates of different regions exchange the sums of their regions. All instances
//! choose the delegates by the same rule from the same registration entries, so there is no election.

mod forward_target;
mod topology;

pub use forward_target::{choose_target, target_contacts, ForwardTarget};
pub use topology::{
    delegates_of, role_order, Peer, Topology, DELEGATES_PER_DATA_CENTRE, DELEGATE_CONTACTS,
    FORWARD_CONTACTS,
};
