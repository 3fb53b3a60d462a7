//! Settings of one instance: read, checked whole and turned into plain structs.

mod check;

use crate::peers::TlsMaterial;
use carobwheel_core::{
    document::Fault,
    id::{DataCentreId, InstanceId, RegionId, UpstreamId},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, path::Path};

/// Largest settings file, in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 1_000_000;

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Name of the instance, unique in the fleet.
    pub id: InstanceId,
    /// Region that the instance stands in.
    pub region: RegionId,
    /// Data centre that the instance stands in.
    pub data_centre: DataCentreId,
}

/// Where callers reach this instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on; `/v1/entry` names it, so it has to be one that callers can reach.
    pub address: SocketAddr,
    /// Threads that read requests and write answers (1 to 64).
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Requests in flight at most (1 to 65,536).
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// Bytes of request bodies held at most, over all requests (1 MB to 16 GB).
    #[serde(default = "default_max_body_bytes_held")]
    pub max_body_bytes_held: usize,
    /// Longest time in which a request body has to arrive, in milliseconds (100 to 3,600,000).
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: u64,
}

/// Where other instances reach this one, and the material of mutual TLS.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// UDP address to listen on.
    pub address: SocketAddr,
    /// Address that other instances dial, where it is not the one listened on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
    /// File with the certificates of the authorities that sign instances, as PEM.
    pub ca_pem_file: String,
    /// File with this instance's certificate chain, as PEM.
    pub certificate_pem_file: String,
    /// File with this instance's private key, as PEM.
    pub key_pem_file: String,
}

impl Peers {
    /// Address that other instances dial.
    pub fn dialled_address(&self) -> SocketAddr {
        self.advertised_address.unwrap_or(self.address)
    }

    /// Reads the files of the material for mutual TLS.
    ///
    /// # Errors
    ///
    /// Names every file that cannot be read.
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

/// The platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Base URL, such as `http://10.0.0.9:2379`.
    pub url: String,
    /// Deadline of one call, in milliseconds (10 to 60,000).
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

/// The platform's live list and directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL, such as `http://10.0.0.9:8500`.
    pub url: String,
}

/// Where metrics go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// UDP address of a statsd collector.
    pub statsd_address: SocketAddr,
    /// Prefix of each metric's name.
    pub prefix: String,
}

/// How the instance stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shutdown {
    /// Time between the announcement that the instance leaves and the closing of its port, in
    /// milliseconds (0 to 600,000).
    pub announce_ms: u64,
    /// Longest time for which running requests are waited for, in milliseconds (0 to 86,400,000).
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
    /// Who this instance is.
    pub instance: Identity,
    /// Where callers reach it.
    pub callers: Callers,
    /// Address on which operators read `/status`; absent for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_address: Option<SocketAddr>,
    /// Links to other instances; absent for an instance that stands alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// The platform's key-value service.
    pub store: Store,
    /// The platform's live list and directory; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<Platform>,
    /// Credential that each upstream expects as a bearer token, by upstream name.
    #[serde(default)]
    pub upstream_credentials: BTreeMap<UpstreamId, String>,
    /// Metrics; absent for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<Metrics>,
    /// How the instance stops.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Least severe level logged: `error`, `warn`, `info`, `debug` or `trace`.
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
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every fault found; a syntax error is one fault at the root.
    pub fn parse(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        let settings: Self = serde_json::from_slice(bytes)
            .map_err(|err| vec![Fault::new("", format!("not settings: {err}"))])?;
        let faults = check::faults(&settings);
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(faults)
    }

    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every fault found; an unreadable or oversized file is one fault at the root.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        let root_fault = |message: String| vec![Fault::new("", message)];
        let size_bytes = std::fs::metadata(path)
            .map_err(|err| root_fault(format!("cannot read {}: {err}", path.display())))?
            .len();
        if size_bytes > MAX_SETTINGS_BYTES {
            let message = format!("{size_bytes} bytes, at most {MAX_SETTINGS_BYTES} are allowed");
            return Err(root_fault(message));
        }
        let bytes = std::fs::read(path)
            .map_err(|err| root_fault(format!("cannot read {}: {err}", path.display())))?;
        Self::parse(&bytes)
    }
}
