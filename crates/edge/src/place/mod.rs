//! Placement of requests on upstreams, by predicted cost.
//!
//! Designed for a mix of long prompts, two thirds of which are shared between requests, and short
//! prompts with long outputs. The time to the first token is dominated by queued prefill work, so
//! an upstream that probably has the shared parts cached is preferred until its queue costs more
//! than a repeated prefill. The time per output token is part of the cost, weighted by the length
//! of the output.

mod cache;
mod capacity;
mod choose;
mod destination;
mod forecast;
mod pace;
mod split;

pub use cache::{PrefixCache, PromptPart};
pub use capacity::{has_capacity_for_excess, region_capacity};
pub use choose::{
    choose, Choice, InferenceJob, LimitOutlook, Placement, PlacementRules, NOT_A_USER,
};
pub use destination::{
    choose_destination, margin_ms, network_ms, Destination, OtherRegion, OwnRegion, Reason,
    RequestTimes,
};
pub use forecast::{forecast_region, LatencyForecast};
pub use pace::cost_ms;
pub use split::{engines_for_other_kind, JobKind, JobMix};
