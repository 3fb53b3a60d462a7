//! The platform's live list and directory, and the load report of model engines.
//!
//! `GET /instances` returns an [`InstanceList`], which lags behind the actual state of the
//! instances. `PUT /directory/<instance>` with a [`DirectoryEntry`] registers an instance for
//! callers, `DELETE /directory/<instance>` removes it, and `GET /directory` returns a
//! [`Directory`].

use carobwheel_core::id::{DataCentreId, InstanceId, RegionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of the live list.
pub const INSTANCES_PATH: &str = "/instances";
/// Path of the directory; the entry of an instance is one path segment below.
pub const DIRECTORY_PATH: &str = "/directory";

/// State of an instance as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is being stopped.
    Leaving,
}

/// One instance in the live list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// UDP address for other instances.
    pub peer_address: SocketAddr,
    /// TCP address for callers.
    pub caller_address: SocketAddr,
    /// State of the instance as reported by the platform.
    pub state: InstanceState,
    /// Number that increases with each start of the instance, if the platform reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
}

/// Response of the live list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances, ordered by name.
    pub instances: Vec<LiveInstance>,
}

/// An instance's entry in the directory for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name of the instance.
    pub id: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// TCP address for callers.
    pub caller_address: SocketAddr,
    /// Time until the entry expires unless it is renewed, in seconds.
    pub ttl_s: u64,
}

/// Response of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Entries, ordered by instance name.
    pub entries: Vec<DirectoryEntry>,
}

/// Path of the load report of a model engine.
pub const LOAD_PATH: &str = "/load";

/// Load of a model engine, measured `age_ms` before the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the decode phase.
    pub running: u32,
    /// Number of requests waiting for a batch slot.
    pub waiting: u32,
    /// Prompt tokens of waiting requests that still have to be prefilled.
    pub waiting_prefill_tokens: u64,
    /// Output tokens that running requests may still generate.
    pub remaining_output_tokens: u64,
    /// Number of KV cache blocks in use.
    pub used_cache_blocks: u64,
    /// Total number of KV cache blocks.
    pub cache_blocks: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}
