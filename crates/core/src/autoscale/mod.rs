//! Number of engines of a service in the data centres of one region.
//!
//! Engines cost money for every second, and a new one serves only after its start and a cold phase. Callers
//! that wait or are refused cost more. [`Autoscaler`] therefore follows the expected demand upwards at once,
//! and downwards slowly.

mod demand;
mod divide;
mod scaler;

pub use demand::{DemandHistory, EngineRate, OfferedLoad, TARGET_PREFILL_SHARE, TARGET_SLOT_SHARE};
pub use divide::divide;
pub use scaler::{Autoscaler, ScaleCall, ScaleChange, ScaleInput, ScalingBounds, Site};
