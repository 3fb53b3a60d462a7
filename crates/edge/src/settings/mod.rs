//! Settings of one instance: a JSON file that is validated completely before startup.

mod callers;
mod machine;

pub use callers::CallerSettings;
pub use machine::Machine;

use crate::duty::DutyKind;
use carobwheel_core::id::{InstanceId, RegionId};
use serde::Deserialize;
use serde_with::{serde_as, DisplayFromStr};
use std::{collections::BTreeMap, fmt, fs, net::SocketAddr, path::Path};

/// Minimum memory with which an instance starts, in MB: the program and a body of the largest legal size
/// with a forwarded copy have to fit.
const MIN_MEMORY_MB: f64 = 48.0;
/// Minimum number of descriptors with which an instance starts: it has about 30 open without callers.
const MIN_DESCRIPTORS: usize = 128;

/// Error for an invalid settings file, with all faults that were found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub Vec<String>);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl std::error::Error for SettingsError {}

/// Contents of the settings file.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Region of the instance.
    pub region: String,
    /// Region of each data centre.
    pub regions: BTreeMap<String, String>,
    /// Addresses on which the instance listens.
    pub listen: Listen,
    /// Address of the store.
    #[serde_as(as = "DisplayFromStr")]
    pub store: SocketAddr,
    /// Processor of the machine; unknown if it is left out.
    #[serde(default)]
    pub processor: Processor,
    /// Duties of the fleet; none are performed if it is left out.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Memory of the machine, in MB; what the system reports if it is left out.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Open file descriptors that the process may have; what the system reports if it is left out.
    #[serde(default)]
    pub max_descriptors: Option<usize>,
    /// Limits on callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Operational bounds of the deployment.
    pub bounds: Bounds,
}

/// Calls to the platform's control address that one instance at a time makes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DutySettings {
    /// Control address, as host and port.
    pub address: String,
    /// Duties to perform. Kinds that this build does not know are left out.
    pub kinds: Vec<DutyKind>,
    /// Calls a second of all instances together that the platform accepts.
    #[serde(default = "default_calls_per_s")]
    pub calls_per_s: f64,
    /// Time within which an instance does not act again after another one has, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: f64,
    /// Whether the platform rejects tokens that are lower than the highest it has seen. If it is not
    /// known to, new holders wait longer.
    #[serde(default)]
    pub is_fencing_required: bool,
    /// Length of a window of usage reports, in seconds.
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    /// Time after the end of a window in which its report is due, in seconds.
    #[serde(default = "default_late_s")]
    pub late_s: f64,
}

impl DutySettings {
    /// Time within which an instance does not act again after another one has, in milliseconds.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn lease_ms(&self) -> u64 {
        self.lease_ms as u64
    }

    /// Faults of the settings, with their names.
    fn faults(&self) -> Vec<&'static str> {
        let checks = [
            (
                self.has_address(),
                "`duties.address` must be a host and a port",
            ),
            (
                self.calls_per_s > 0.0,
                "`duties.calls_per_s` must be above 0",
            ),
            (
                (500.0..=60_000.0).contains(&self.lease_ms),
                "`duties.lease_ms` must be from 500 to 60000",
            ),
            (
                self.window_s > 0.0 && self.late_s > 0.0,
                "`duties.window_s` and `duties.late_s` must be above 0",
            ),
        ];
        let missed = checks.into_iter().filter(|(is_met, _)| !is_met);
        missed.map(|(_, fault)| fault).collect()
    }

    /// Whether the address is a host and a port.
    fn has_address(&self) -> bool {
        let parts = self.address.rsplit_once(':');
        parts.is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
    }
}

const fn default_calls_per_s() -> f64 {
    1.0
}

const fn default_lease_ms() -> f64 {
    3_000.0
}

const fn default_window_s() -> f64 {
    5.0
}

const fn default_late_s() -> f64 {
    10.0
}

/// Processor time that the instance may use.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Processor {
    /// Share of the time of each core.
    pub share: f64,
    /// Speed in cores.
    pub cores: f64,
}

impl Processor {
    /// Processor time in thousandths of a core.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn millicores(self) -> u32 {
        (self.share * self.cores * 1_000.0).round() as u32
    }
}

/// Listen addresses of an instance.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Listen {
    /// Address for requests of callers.
    #[serde_as(as = "DisplayFromStr")]
    pub callers: SocketAddr,
    /// Address for readiness checks.
    #[serde_as(as = "DisplayFromStr")]
    pub ready: SocketAddr,
    /// Address of the directory, in which callers look up the instances to use.
    #[serde_as(as = "DisplayFromStr")]
    pub directory: SocketAddr,
    /// Address for links between instances (UDP).
    #[serde_as(as = "DisplayFromStr")]
    pub peers: SocketAddr,
    /// Address for metrics as text.
    #[serde_as(as = "DisplayFromStr")]
    pub metrics: SocketAddr,
}

/// Operational bounds that the deployment sets. A deployment leaves out those that it does not limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Bounds {
    /// Time between the stop signal and forced termination, in seconds.
    pub stop_grace_s: f64,
    /// Retries to one service as a share of its requests, over the whole fleet.
    pub retry_share: f64,
    /// Window over which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Retries allowed in a window in addition to the share, over the whole fleet.
    pub retry_extra: f64,
    /// Tokens that an account may use in a window in addition to its limit.
    pub limit_extra_tokens: f64,
    /// Maximum share of a service's requests that a version on trial may get.
    pub trial_share: f64,
    /// Requests that it may get in addition, over the whole fleet.
    pub trial_extra: f64,
    /// Maximum time to live of a directory response, in seconds.
    pub directory_ttl_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_grace_s: 8.0,
            retry_share: 0.1,
            retry_window_s: 10.0,
            retry_extra: 0.0,
            limit_extra_tokens: 0.0,
            trial_share: 0.1,
            trial_extra: 20.0,
            directory_ttl_s: 5.0,
        }
    }
}

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|err| SettingsError(vec![format!("cannot be read: {err}")]))?;
        Self::parse(&text)
    }

    /// Parses and validates settings from `text`.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_str(text)
            .map_err(|err| SettingsError(vec![format!("not valid settings: {err}")]))?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError(faults))
        }
    }

    /// All faults of the settings.
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |is_met: bool, fault: &str| {
            if !is_met {
                faults.push(fault.to_owned());
            }
        };
        require(!self.instance.is_empty(), "`instance` is empty");
        require(
            self.regions.get(&self.data_centre) == Some(&self.region),
            "`regions` does not place `data_centre` in `region`",
        );
        let processor = [self.processor.share, self.processor.cores];
        require(
            processor.iter().all(|value| *value >= 0.0),
            "`processor.share` and `processor.cores` must not be negative",
        );
        require(
            self.memory_mb.is_none_or(|mb| mb >= MIN_MEMORY_MB),
            "`memory_mb` must be 48 or more",
        );
        require(
            self.max_descriptors
                .is_none_or(|most| most >= MIN_DESCRIPTORS),
            "`max_descriptors` must be 128 or more",
        );
        require(
            self.bounds.stop_grace_s >= 1.0,
            "`bounds.stop_grace_s` must be 1 or more",
        );
        require(
            self.bounds.retry_window_s > 0.0,
            "`bounds.retry_window_s` must be above 0",
        );
        require(
            (0.0..=1.0).contains(&self.bounds.retry_share),
            "`bounds.retry_share` must be from 0 to 1",
        );
        require(
            (0.0..=1.0).contains(&self.bounds.trial_share),
            "`bounds.trial_share` must be from 0 to 1",
        );
        require(
            self.bounds.trial_extra >= 0.0,
            "`bounds.trial_extra` must not be negative",
        );
        if let Some(duties) = &self.duties {
            for fault in duties.faults() {
                require(false, fault);
            }
            require(
                self.instance.parse::<InstanceId>().is_ok()
                    && self.region.parse::<RegionId>().is_ok(),
                "`duties` needs an `instance` and a `region` of 1 to 64 letters, digits, `-_.:`",
            );
        }
        for fault in self.callers.faults(self.max_descriptors) {
            require(false, fault);
        }
        faults
    }
}
