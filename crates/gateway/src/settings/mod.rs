//! Settings of one instance: parsing, validation and defaults.

mod check;
mod limits;

pub use limits::CallerLimits;

use crate::peers::TlsMaterial;
use carobwheel_core::{
    document::Fault,
    id::{DataCentreId, InstanceId, RegionId, UpstreamId},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, path::Path};

/// Maximum size of the settings file, in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 1_000_000;

/// Name and location of the instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Name of the instance, unique in the fleet.
    pub id: InstanceId,
    /// Region that the instance runs in.
    pub region: RegionId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentreId,
}

/// Settings of the listener for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on. `/v1/entry` returns it, so callers have to be able to reach it.
    pub address: SocketAddr,
    /// Number of threads that read requests and write answers (1 to 64).
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Maximum number of requests in flight (1 to 65,536).
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// Maximum bytes of request bodies held in memory, over all requests (1 MB to 16 GB).
    #[serde(default = "default_max_body_bytes_held")]
    pub max_body_bytes_held: usize,
    /// Timeout for receiving a complete request body, in milliseconds (100 to 3,600,000).
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: u64,
    /// Limits for callers that send or read slowly, or open many connections.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Settings of the links to other instances: addresses and material for mutual TLS.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// UDP address to listen on.
    pub address: SocketAddr,
    /// Address that other instances dial, if it differs from `address`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
    /// PEM file with the certificates of the authorities that sign instance certificates.
    pub ca_pem_file: String,
    /// PEM file with the certificate chain of this instance.
    pub certificate_pem_file: String,
    /// PEM file with the private key of this instance.
    pub key_pem_file: String,
}

impl Peers {
    /// Returns the address that other instances dial.
    pub fn dialled_address(&self) -> SocketAddr {
        self.advertised_address.unwrap_or(self.address)
    }

    /// Reads the PEM files for mutual TLS.
    ///
    /// # Errors
    ///
    /// Returns a fault for every file that cannot be read.
    pub fn read_tls(&self) -> Result<TlsMaterial, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut read = |path: &str, file: &str| {
            std::fs::read_to_string(file).unwrap_or_else(|err| {
                faults.push(Fault::new(path, format!("cannot read {file}: {err}")));
                String::new()
            })
        };
        let material = TlsMaterial {
            ca_pem: read("peers.ca_pem_file", &self.ca_pem_file),
            cert_pem: read("peers.certificate_pem_file", &self.certificate_pem_file),
            key_pem: read("peers.key_pem_file", &self.key_pem_file),
        };
        if faults.is_empty() {
            return Ok(material);
        }
        Err(faults)
    }
}

/// Settings of the client of the platform's key-value store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Base URL, such as `http://10.0.0.9:2379`.
    pub url: String,
    /// Timeout of one attempt of a call, in milliseconds (10 to 60,000).
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

/// Settings of the client of the platform's live list and directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL, such as `http://10.0.0.9:8500`.
    pub url: String,
}

/// Settings of the metrics export.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// UDP address of a statsd collector.
    pub statsd_address: SocketAddr,
    /// Prefix of all metric names.
    pub prefix: String,
}

/// Settings of the shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shutdown {
    /// Minimum time between the announcement that the instance is leaving and the closing of its
    /// port, in milliseconds (0 to 600,000).
    pub announce_ms: u64,
    /// Maximum time to wait for running requests to end, in milliseconds (0 to 86,400,000).
    pub drain_ms: u64,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            announce_ms: 3_000,
            drain_ms: 900_000,
        }
    }
}

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and location of the instance.
    pub instance: Identity,
    /// Memory of the machine in MB (64 to 4,000,000); absent for what the system reports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
    /// Limit of file descriptors of the process (256 to 1,048,576); absent for what the system
    /// reports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<u64>,
    /// Listener for callers.
    pub callers: Callers,
    /// Address on which operators read `/status`; absent for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_address: Option<SocketAddr>,
    /// Links to other instances; absent for an instance without peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// Client of the platform's key-value store.
    pub store: Store,
    /// Client of the platform's live list and directory; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<Platform>,
    /// Bearer token for each upstream, by upstream name.
    #[serde(default)]
    pub upstream_credentials: BTreeMap<UpstreamId, String>,
    /// Metrics export; absent for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<Metrics>,
    /// Shutdown timing.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Minimum severity of logged lines: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_threads() -> usize {
    2
}

fn default_max_requests() -> usize {
    4_096
}

fn default_max_body_bytes_held() -> usize {
    512 * 1_024 * 1_024
}

fn default_body_timeout_ms() -> u64 {
    60_000
}

fn default_store_timeout_ms() -> u64 {
    1_000
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all faults found. A syntax error is a single fault at the root.
    pub fn parse(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let settings: Self = serde_json::from_slice(bytes)
            .map_err(|err| vec![Fault::new("", format!("not settings: {err}"))])?;
        let faults = check::faults(&settings);
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(faults)
    }

    /// Reads, parses and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all faults found. An unreadable or oversized file is a single fault at the root.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        let root_fault = |message: String| vec![Fault::new("", message)];
        let size_bytes = std::fs::metadata(path)
            .map_err(|err| root_fault(format!("cannot read {}: {err}", path.display())))?
            .len();
        if size_bytes > MAX_SETTINGS_BYTES {
            let message = format!("{size_bytes} bytes; at most {MAX_SETTINGS_BYTES} are allowed");
            return Err(root_fault(message));
        }
        let bytes = std::fs::read(path)
            .map_err(|err| root_fault(format!("cannot read {}: {err}", path.display())))?;
        Self::parse(&bytes)
    }
}
