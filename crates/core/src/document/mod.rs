//! The configuration document: the one validated document that operators publish.
//!
//! The document is JSON under one key of the store. [`Document::parse`] reads and validates it
//! whole: either every rule holds, or all faults are returned and nothing is applied.

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

/// Largest document, in bytes. The store holds values up to one megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// The document schema that this version reads.
pub const SCHEMA: u32 = 1;
/// Parts of a whole: shares of traffic are integers out of this number.
pub const WHOLE_PPM: u32 = 1_000_000;

/// What the operators of a deployment weigh more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Tail latency and the worst-served client account.
    TailLatency,
    /// Cost and wrongful refusals.
    Cost,
}

/// Fleet-wide policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// What the deployment weighs more.
    pub objective: Objective,
    /// Retries allowed as a share of requests, in percent (0 to 100).
    pub retry_budget_pct: u32,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
}

/// A region and its data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub id: RegionId,
    /// Data centres inside the region.
    pub data_centres: Vec<DataCentreId>,
    /// Relative weight with which unbound accounts' rates are split between regions (1 or more).
    pub rate_weight: u32,
}

/// A caller's key, stored as a digest only.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiKey {
    /// Name by which operators withdraw the key.
    pub id: KeyId,
    /// SHA-256 digest of the key, as 64 hexadecimal digits.
    #[serde_as(as = "Hex")]
    pub sha256: [u8; 32],
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Rate over all instances together, in tokens a second.
    pub rate_tokens_per_s: u64,
    /// Burst over all instances together, in tokens.
    pub burst_tokens: u64,
    /// Relative weight in the fair queue (1 or more).
    pub queue_weight: u32,
    /// Region that every request of this account has to be served in; absent if any region may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound_region: Option<RegionId>,
    /// Keys that identify the account; may be empty.
    pub keys: Vec<ApiKey>,
}

/// A latency class. A request belongs to the first class whose prompt bound it fits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub id: ClassId,
    /// Longest prompt of the class, in tokens.
    pub max_prompt_tokens: u64,
    /// Target of the time to the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target of the time between two tokens, in milliseconds.
    pub between_tokens_target_ms: u64,
    /// Longest time from intake to the first byte of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Priority passed on to engines; 0 is the most urgent.
    pub priority: u8,
}

/// A model that callers name in their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub id: ModelId,
    /// The version in service when no rollout says otherwise.
    pub version: VersionId,
    /// Output tokens charged when a request names no bound of its own.
    pub default_max_output_tokens: u64,
    /// Most output tokens that a request may ask for.
    pub max_output_tokens: u64,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Serves {
    /// A model engine.
    Engine {
        /// Model that the engine has loaded.
        model: ModelId,
        /// Version that the engine has loaded.
        version: VersionId,
        /// Requests that the engine decodes together at most.
        batch_slots: u32,
        /// Prompt tokens that the engine reads in a second.
        prefill_tokens_per_s: u64,
        /// Accepts an order only with a current fencing number.
        checks_fencing: bool,
    },
    /// A copy of a plain service.
    Service {
        /// Service that the upstream is a copy of.
        service: ServiceId,
        /// Requests that the copy serves at the same time at most.
        request_slots: u32,
        /// Drops a second action with the same idempotency key by itself.
        deduplicates: bool,
    },
}

/// A model engine or one copy of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream; its credential stands under this name in the settings.
    pub id: UpstreamId,
    /// Region that the upstream stands in.
    pub region: RegionId,
    /// Data centre that the upstream stands in.
    pub data_centre: DataCentreId,
    /// Base URL without a path, such as `http://10.0.0.7:8000`.
    pub url: String,
    /// What the upstream serves.
    pub serves: Serves,
    /// Operators have marked the upstream as leaving: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A plain route by path prefix and methods.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, beginning with `/`. The longest matching prefix wins.
    pub path: String,
    /// Methods in capital letters.
    pub methods: Vec<String>,
    /// Service that the route leads to.
    pub service: ServiceId,
    /// Requests may be repeated without a further effect.
    pub idempotent: bool,
    /// Requests run without a key, charged to no account.
    #[serde(default)]
    pub open: bool,
    /// Region that requests of this route have to be served in; absent if the account decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bound_region: Option<RegionId>,
    /// Longest time from intake to the first byte of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens charged for one request.
    pub charge_tokens: u64,
    /// Time for which the outcome of a non-idempotent action is kept, in seconds.
    pub outcome_kept_s: u64,
}

/// One step of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Time at which the step begins, in milliseconds since the Unix epoch.
    pub at_unix_ms: UnixMillis,
    /// Share of requests that go to the new version from then on, out of 1,000,000.
    pub share_ppm: u32,
}

/// Traffic of a model moving from an old version to a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the rollout; its verdict stands under this name for ever.
    pub id: RolloutId,
    /// Model that moves.
    pub model: ModelId,
    /// Version that traffic leaves.
    pub old_version: VersionId,
    /// Version that traffic moves to.
    pub new_version: VersionId,
    /// Steps in order of time and share.
    pub steps: Vec<RolloutStep>,
    /// Time by which the move is declared done or rolled back, in milliseconds since the Unix
    /// epoch.
    pub deadline_unix_ms: UnixMillis,
}

/// The configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Schema of the document; has to be [`SCHEMA`].
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
    /// Reads and validates a document.
    ///
    /// # Errors
    ///
    /// Returns every fault found; a syntax error is one fault at the root.
    pub fn parse(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let message = format!(
                "{} bytes, at most {MAX_DOCUMENT_BYTES} are allowed",
                bytes.len()
            );
            return Err(vec![Fault::new("", message)]);
        }
        let document: Self = serde_json::from_slice(bytes)
            .map_err(|err| vec![Fault::new("", format!("not a document: {err}"))])?;
        let faults = validate::faults(&document);
        if faults.is_empty() {
            return Ok(document);
        }
        Err(faults)
    }

    /// The account with the name `id`.
    pub fn account(&self, id: &AccountId) -> Option<&Account> {
        self.accounts.iter().find(|account| account.id == *id)
    }

    /// The model with the name `id`.
    pub fn model(&self, id: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.id.as_str() == id)
    }

    /// The class of a prompt of `prompt_tokens`: the first that it fits, or none if it fits none.
    pub fn class_of_prompt(&self, prompt_tokens: u64) -> Option<&Class> {
        self.classes
            .iter()
            .find(|class| prompt_tokens <= class.max_prompt_tokens)
    }
}
