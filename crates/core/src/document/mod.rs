//! Configuration document, which operators publish to the whole fleet.
//!
//! The document is JSON under one key of the store. [`Document::parse`] reads and validates the
//! whole document: either it satisfies every rule, or all faults are returned and nothing is
//! applied.

mod fault;
mod validate;

pub use fault::Fault;

use crate::id::{
    AccountId, ClassId, DataCentreId, KeyId, ModelId, RegionId, RolloutId, ServiceId, UpstreamId,
    VersionId,
};
use crate::time::UnixMillis;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Maximum size of a document, in bytes. The store holds values of up to one megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Schema version of the document that this build reads.
pub const SCHEMA: u32 = 1;
/// Parts per million that make up all traffic; traffic shares are integers out of this number.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Optimization objective of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Minimize tail latency and improve the worst-served client account.
    TailLatency,
    /// Minimize cost and wrongful refusals.
    Cost,
}

/// Fleet-wide policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Optimization objective.
    pub objective: Objective,
    /// Maximum retries as a share of requests, in percent (0 to 100).
    pub retry_budget_pct: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
}

/// Region with its data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub id: RegionId,
    /// Data centres of the region.
    pub data_centres: Vec<DataCentreId>,
    /// Relative weight of the region when the rates of unbound accounts are split between regions
    /// (1 or more).
    pub rate_weight: u32,
}

/// API key of a client account, stored only as a digest.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiKey {
    /// Name of the key, by which operators revoke it.
    pub id: KeyId,
    /// SHA-256 digest of the key, as 64 hexadecimal digits.
    #[serde_as(as = "Hex")]
    pub sha256: [u8; 32],
}

/// Client account with its rate limit and keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Rate limit over all instances combined, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// Maximum burst over all instances combined, in tokens.
    pub burst_tokens: u64,
    /// Relative weight in the fair queue (1 or more).
    pub queue_weight: u32,
    /// Region in which all requests of this account have to be served; absent if any region may
    /// serve them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound_region: Option<RegionId>,
    /// API keys that identify the account; may be empty.
    pub keys: Vec<ApiKey>,
}

/// Latency class. A request belongs to the first class whose prompt limit it fits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub id: ClassId,
    /// Maximum prompt length of the class, in tokens.
    pub max_prompt_tokens: u64,
    /// Target time to first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target inter-token latency, in milliseconds.
    pub between_tokens_target_ms: u64,
    /// Maximum time from intake to the first byte of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Priority passed to engines; 0 is the most urgent.
    pub priority: u8,
}

/// Model that callers select by name in their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub id: ModelId,
    /// Version that serves the model unless a rollout is in progress.
    pub version: VersionId,
    /// Maximum output tokens assumed and charged for a request that sets no limit.
    pub default_max_output_tokens: u64,
    /// Largest number of output tokens that a request may ask for.
    pub max_output_tokens: u64,
}

/// Model version or service that an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Serves {
    /// Inference engine with one model version.
    Engine {
        /// Model loaded by the engine.
        model: ModelId,
        /// Version loaded by the engine.
        version: VersionId,
        /// Maximum number of requests in a decode batch.
        batch_slots: u32,
        /// Prefill speed of the engine, in prompt tokens per second.
        prefill_tokens_per_s: u64,
        /// Whether the engine accepts an order only with a current fencing number.
        checks_fencing: bool,
    },
    /// Replica of a plain HTTP service.
    Service {
        /// Service of which the upstream is a replica.
        service: ServiceId,
        /// Maximum number of concurrent requests to the replica.
        request_slots: u32,
        /// Whether the service itself drops a repeated action with the same idempotency key.
        deduplicates: bool,
    },
}

/// Inference engine or replica of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream, under which its credential is found in the settings.
    pub id: UpstreamId,
    /// Region of the upstream.
    pub region: RegionId,
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Base URL without a path, such as `http://10.0.0.7:8000`.
    pub url: String,
    /// Model version or service that the upstream serves.
    pub serves: Serves,
    /// Whether operators have marked the upstream as leaving, so that it gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Route to a plain service, by path prefix and methods.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, starting with `/`. The longest matching prefix applies.
    pub path: String,
    /// HTTP methods in upper case.
    pub methods: Vec<String>,
    /// Service to which requests are routed.
    pub service: ServiceId,
    /// Whether requests may be repeated without a further effect.
    pub idempotent: bool,
    /// Whether requests are accepted without an API key and charged to no account.
    #[serde(default)]
    pub open: bool,
    /// Region in which requests of this route have to be served; absent if the account determines
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound_region: Option<RegionId>,
    /// Maximum time from intake to the first byte of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Number of tokens charged per request.
    pub charge_tokens: u64,
    /// Retention period of the outcome of a non-idempotent action, in seconds.
    pub outcome_kept_s: u64,
}

/// Step of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Time at which the step begins, in milliseconds since the Unix epoch.
    pub at_unix_ms: UnixMillis,
    /// Share of requests that go to the new version from then on, in parts per million.
    pub share_ppm: u32,
}

/// Rollout, which moves the traffic of a model from an old version to a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the rollout, under which its verdict is stored permanently.
    pub id: RolloutId,
    /// Model whose traffic is moved.
    pub model: ModelId,
    /// Old version, from which traffic is moved.
    pub old_version: VersionId,
    /// New version, to which traffic is moved.
    pub new_version: VersionId,
    /// Steps in ascending order of time and share.
    pub steps: Vec<RolloutStep>,
    /// Deadline for the rollout to complete, in milliseconds since the Unix epoch. After it the
    /// rollout is declared done or rolled back.
    pub deadline_unix_ms: UnixMillis,
}

/// Configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Schema version of the document; has to be [`SCHEMA`].
    pub schema: u32,
    /// Fleet-wide policy.
    pub policy: Policy,
    /// Regions.
    pub regions: Vec<Region>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Latency classes in ascending order of prompt length.
    pub classes: Vec<Class>,
    /// Models.
    pub models: Vec<Model>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Plain routes.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Rollouts.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all faults found; a syntax error is a single fault at the root.
    pub fn parse(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let message = format!(
                "{} bytes, at most {MAX_DOCUMENT_BYTES} are allowed",
                bytes.len()
            );
            return Err(vec![Fault::new("", message)]);
        }
        let document: Self = serde_json::from_slice(bytes)
            .map_err(|err| vec![Fault::new("", format!("invalid document: {err}"))])?;
        let faults = validate::faults(&document);
        if faults.is_empty() {
            return Ok(document);
        }
        Err(faults)
    }

    /// Returns the account named `id`.
    pub fn account(&self, id: &AccountId) -> Option<&Account> {
        self.accounts.iter().find(|account| account.id == *id)
    }

    /// Returns the model named `id`.
    pub fn model(&self, id: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.id.as_str() == id)
    }

    /// Returns the class of a prompt of `prompt_tokens` tokens: the first one that it fits, if any.
    pub fn class_of_prompt(&self, prompt_tokens: u64) -> Option<&Class> {
        self.classes
            .iter()
            .find(|class| prompt_tokens <= class.max_prompt_tokens)
    }
}
