//! Placement requests and their results.

use super::{Hop, Hops, Prediction};
use crate::document::Class;
use crate::id::{ModelId, RegionId, RequestId, ServiceId, UpstreamId, VersionId};
use std::fmt;

/// Model version or service that a request needs from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement<'a> {
    /// Version of a model.
    Model {
        /// Name of the model.
        model: &'a ModelId,
        /// Name of the version.
        version: &'a VersionId,
    },
    /// Replica of a plain HTTP service.
    Service(&'a ServiceId),
}

/// Latency target of a request, set by its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTarget {
    /// Target time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target inter-token latency, in milliseconds.
    pub between_tokens_ms: u64,
    /// Time left until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the request's class has long prompts. Such requests are limited to a share of each
    /// engine's slots.
    pub is_long: bool,
}

impl LatencyTarget {
    /// Returns the target of `class` with `remaining_ms` left until the deadline. All classes
    /// except the most urgent one are treated as long.
    pub fn of_class(class: &Class, remaining_ms: u64) -> Self {
        Self {
            first_token_ms: class.first_token_target_ms,
            between_tokens_ms: class.between_tokens_target_ms,
            remaining_ms,
            is_long: class.priority > 0,
        }
    }

    /// Returns the target of a call to a plain service, which produces no tokens.
    pub fn of_service(remaining_ms: u64) -> Self {
        Self {
            first_token_ms: remaining_ms,
            between_tokens_ms: u64::MAX,
            remaining_ms,
            is_long: false,
        }
    }
}

/// Request to be placed on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Identifier of the request.
    pub id: &'a RequestId,
    /// Model version or service that the request needs.
    pub requirement: Requirement<'a>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_output_tokens: u64,
    /// Hashes of the prompt's prefixes, one per block; see [`super::prefix_hashes`].
    pub prefix_hashes: &'a [u64],
    /// Latency target of the request.
    pub target: LatencyTarget,
    /// Region in which the request has to be served, if it is bound to one.
    pub bound_region: Option<&'a RegionId>,
    /// Forwarding history of the request, including this instance.
    pub hops: &'a Hops,
    /// Upstreams already tried, which are excluded from placement.
    pub tried: &'a [UpstreamId],
}

/// Upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Chosen upstream.
    pub upstream: UpstreamId,
    /// Region of the upstream.
    pub region: RegionId,
    /// [`Hop::AcrossRegions`] if the upstream is in another region.
    pub hop: Option<Hop>,
    /// Hops to send along, including the hop of this placement.
    pub hops: Hops,
    /// Prediction on which the placement is based.
    pub prediction: Prediction,
    pub(super) load: super::Load,
    pub(super) is_long: bool,
    pub(super) max_output_tokens: u64,
    pub(super) prefix_hashes: Vec<u64>,
}

/// Reason why a request cannot be placed now. The request has not run in any of these cases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is bound to a region other than this instance's; the caller has to send it
    /// there.
    OutsideBoundRegion(RegionId),
    /// No eligible upstream serves the model version or service.
    NoUpstream,
    /// All eligible upstreams are full; the request may wait in the queue.
    Full {
        /// Predicted time until an upstream has room, in milliseconds.
        wait_ms: u64,
    },
    /// No eligible upstream can answer before the deadline.
    TooLate {
        /// Predicted time to first token, in milliseconds.
        first_token_ms: u64,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutsideBoundRegion(region) => {
                write!(
                    f,
                    "the request is bound to region `{region}`, this instance is not in it"
                )
            }
            Self::NoUpstream => f.write_str("no upstream serves the request here"),
            Self::Full { wait_ms } => write!(f, "every upstream is full for about {wait_ms} ms"),
            Self::TooLate { first_token_ms } => {
                write!(
                    f,
                    "the first token would come in {first_token_ms} ms, past the deadline"
                )
            }
        }
    }
}

impl std::error::Error for Refusal {}
