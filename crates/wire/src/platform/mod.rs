//! The platform's live list and directory.
//!
//! `GET /instances` answers an [`InstanceList`]. The list lags behind what has happened.
//! `PUT /directory/<instance>` with a [`DirectoryEntry`] enters an instance for callers,
//! `DELETE /directory/<instance>` takes it out, and `GET /directory` answers a [`Directory`].

use carobwheel_core::id::{DataCentreId, InstanceId, RegionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of the live list.
pub const INSTANCES_PATH: &str = "/instances";
/// Path of the directory; an instance's entry stands one segment below.
pub const DIRECTORY_PATH: &str = "/directory";

/// What the platform says about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is being stopped.
    Leaving,
}

/// One instance in the live list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Region that the instance stands in.
    pub region: RegionId,
    /// Data centre that the instance stands in.
    pub data_centre: DataCentreId,
    /// UDP address for other instances.
    pub peer_address: SocketAddr,
    /// TCP address for callers.
    pub caller_address: SocketAddr,
    /// What the platform says about the instance.
    pub state: InstanceState,
    /// Number that grows with each start of the instance, where the platform knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
}

/// Answer of the live list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances in order of their names.
    pub instances: Vec<LiveInstance>,
}

/// An instance's entry in the directory for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name of the instance.
    pub id: InstanceId,
    /// Region that the instance stands in.
    pub region: RegionId,
    /// TCP address for callers.
    pub caller_address: SocketAddr,
    /// Time for which the entry holds unless it is renewed, in seconds.
    pub ttl_s: u64,
}

/// Answer of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Entries in order of the instances' names.
    pub entries: Vec<DirectoryEntry>,
}

/// Path of a model engine's load report.
pub const LOAD_PATH: &str = "/load";

/// A model engine's load, as it stood some time before the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the engine decodes.
    pub running: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Prompt tokens that waiting requests still have to be read.
    pub waiting_prefill_tokens: u64,
    /// Output tokens that running requests may still generate.
    pub remaining_output_tokens: u64,
    /// Blocks of the prefix cache in use.
    pub used_cache_blocks: u64,
    /// Blocks of the prefix cache.
    pub cache_blocks: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}
