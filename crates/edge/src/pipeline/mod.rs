//! Request pipeline: identification, admission, placement, sending and relaying of the response.

mod answer;
mod attempts;
mod context;
mod explain;
mod forward;
mod head_check;
mod hold;
mod identify;
mod large;
mod nearby;
mod reach;
mod refusal;
mod run;
mod send_once;
mod stream;

pub use answer::Answer;
pub use context::{RequestContext, RequestMeta};
pub use explain::{
    explain, AccountCapacity, CandidateView, PlaceExplanation, PlaceOutcome, PlaceQuery,
    PredictionView,
};
pub use identify::{identify, Admission, Identified};
pub use refusal::Refusal;
pub use run::{run_in_allowed_region, run_in_own_region};
