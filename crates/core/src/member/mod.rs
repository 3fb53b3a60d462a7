//! Membership: which instances exist, which of them answer, and which revision each has in force.
//!
//! [`Members`] is the table of one instance. Inside a region every instance probes one other
//! instance each period, asks others to probe on its behalf before it suspects anyone, and
//! piggybacks recent changes on every packet (the SWIM family of protocols). Only instances of
//! the same region judge a member; other regions learn the verdict. Between regions a few
//! delegates on each side exchange the same packets at a lower rate, and a counter for each
//! region tells whether any news from it still arrives.
//!
//! Records merge as a join semilattice: a higher incarnation replaces a lower one; inside an
//! incarnation `leaving` is sticky, the revision only rises, and the highest pair of sequence and
//! health wins. The order in which packets arrive therefore does not matter.

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
/// Time without an acknowledgement after which a probe is repeated directly and through others,
/// in milliseconds.
pub const PROBE_RETRY_MS: u64 = 300;
/// Time for which a suspected member may refute before it counts as gone, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 3_000;
/// Time between two packets of one delegate to one other region, in milliseconds.
pub const REGION_PERIOD_MS: u64 = 3_000;
/// Time between two packets of one delegate to a region that is silent, in milliseconds.
pub const UNREACHABLE_REGION_PERIOD_MS: u64 = 10_000;
/// Time without news after which a region counts as unreachable, in milliseconds.
pub const REGION_TIMEOUT_MS: u64 = 12_000;
/// Time for which a member that is gone is remembered, in milliseconds.
pub const GONE_RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// Largest packet that is meant for one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_000;
