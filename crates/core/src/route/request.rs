//! What a router is asked and what it answers.

use super::{Hop, Hops, Prediction};
use crate::document::Class;
use crate::id::{ModelId, RegionId, RequestId, ServiceId, UpstreamId, VersionId};
use std::fmt;

/// What a request needs from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement<'a> {
    /// A version of a model.
    Model {
        /// The model.
        model: &'a ModelId,
        /// The version.
        version: &'a VersionId,
    },
    /// A copy of a plain service.
    Service(&'a ServiceId),
}

/// The latency that a request's class asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTarget {
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Time left until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The request is of a class with long prompts, which may take a part of an engine only.
    pub is_long: bool,
}

impl LatencyTarget {
    /// The target of `class` with `remaining_ms` left; every class but the most urgent is long.
    pub fn of_class(class: &Class, remaining_ms: u64) -> Self {
        Self {
            first_token_ms: class.first_token_target_ms,
            between_tokens_ms: class.between_tokens_target_ms,
            remaining_ms,
            is_long: class.priority > 0,
        }
    }

    /// The target of a call to a plain service, which has no tokens.
    pub fn of_service(remaining_ms: u64) -> Self {
        Self {
            first_token_ms: remaining_ms,
            between_tokens_ms: u64::MAX,
            remaining_ms,
            is_long: false,
        }
    }
}

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the request.
    pub id: &'a RequestId,
    /// What the request needs.
    pub requirement: Requirement<'a>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub max_output_tokens: u64,
    /// Hashes of the prompt's prefixes, one a block; see [`super::prefix_hashes`].
    pub prefix_hashes: &'a [u64],
    /// Latency that the class asks for.
    pub target: LatencyTarget,
    /// Region that the request has to be served in, if it is bound.
    pub bound_region: Option<&'a RegionId>,
    /// The way the request has taken, this instance included.
    pub hops: &'a Hops,
    /// Upstreams that have been tried; they are not placed on again.
    pub tried: &'a [UpstreamId],
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's region.
    pub region: RegionId,
    /// [`Hop::AcrossRegions`] when the upstream stands in another region.
    pub hop: Option<Hop>,
    /// The hops to send along, with this placement's hop counted.
    pub hops: Hops,
    /// What the placement was decided on.
    pub prediction: Prediction,
    pub(super) load: super::Load,
    pub(super) is_long: bool,
    pub(super) max_output_tokens: u64,
    pub(super) prefix_hashes: Vec<u64>,
}

/// Why a request has no place now. In every case it has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is bound to a region that this instance is not in; callers go there.
    OutsideBoundRegion(RegionId),
    /// No allowed upstream serves what the request needs.
    NoUpstream,
    /// Every allowed upstream is full: the request may wait in the queue.
    Full {
        /// Shortest predicted time until one has room, in milliseconds.
        wait_ms: u64,
    },
    /// No allowed upstream can answer before the deadline.
    TooLate {
        /// Shortest predicted time to the first token, in milliseconds.
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
