//! Membership: known instances, their liveness, and the document revision in force at each.
//!
//! [`Members`] is the table of one instance. Within a region every instance probes one other
//! instance per period, asks others to probe on its behalf before it suspects a member, and
//! piggybacks recent changes on its packets (a SWIM-style protocol). Only instances of the same
//! region decide whether a member is suspected or gone; other regions receive the result by
//! gossip. Between regions a few delegates on each side exchange the same packets at a lower rate,
//! and a heartbeat counter per region shows whether that region is still reachable.
//!
//! Records merge as a join semilattice: a higher incarnation replaces a lower one; within an
//! incarnation `leaving` is sticky, the revision only increases, and the highest pair of sequence
//! and health wins. The result therefore does not depend on the order in which packets arrive.

mod detect;
mod entry;
mod event;
mod fetch;
mod gossip;
mod live_list;
mod members;
mod packet;
mod receive;
mod record;
mod region;
mod rumor;
mod size;
mod sync;
mod table;

pub use entry::{EntryError, EntryView, MAX_ENTRIES, MAX_ENTRY_BYTES, MAX_FLEET_TOPIC};
pub use event::MemberEvent;
pub use live_list::LiveListEntry;
pub use members::{MemberView, Members, Outgoing, RevisionRange};
pub use packet::{KeyedEntry, Packet, PacketBody, RegionHeartbeat, RevisionUpdate, Update};
pub use record::{Health, Identity, Incarnation, MemberRecord, MemberState, Status};

/// Time between two probes of one instance, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// Time without an acknowledgement after which a probe is retried, directly and through relays, in
/// milliseconds.
pub const PROBE_RETRY_MS: u64 = 300;
/// Time within which a suspected member can refute before it counts as gone, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 3_000;
/// Mean time between two probes by one delegate of one other region, in milliseconds.
pub const REGION_PERIOD_MS: u64 = 3_000;
/// The same for a region that is unreachable, in milliseconds.
pub const UNREACHABLE_REGION_PERIOD_MS: u64 = 10_000;
/// Time without a packet or a new heartbeat after which a region counts as unreachable, in
/// milliseconds.
pub const REGION_TIMEOUT_MS: u64 = 12_000;
/// Time for which a member that is gone stays in the table, in milliseconds.
pub const GONE_RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// Maximum size of a packet that is sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_000;
