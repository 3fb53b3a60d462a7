//! Which upstream takes a request, and whether any can take it in time.
//!
//! The load this answers: long prompts of which two thirds are shared between requests, beside
//! short questions with long answers. The time to the first event is ruled by the prompts that
//! wait to be read, so an upstream that probably holds the shared parts is preferred until its
//! queue costs more than reading them again. Long answers look at the pace of engines as well.

mod cache;
mod choose;
mod forecast;
mod pace;
mod split;

pub use cache::{PrefixCache, PromptPart};
pub use choose::{choose, Choice, InferenceJob, Placement, PlacementRules};
pub use forecast::{forecast_region, LatencyForecast};
pub use pace::cost_ms;
pub use split::{engines_for_other_kind, JobKind, JobMix};
