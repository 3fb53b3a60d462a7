//! Load-balancing policies that are compared with the product's router.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde::Serialize;

/// Bound on an engine's load under cache affinity, as a multiple of the mean load.
const MAX_LOAD_TO_MEAN: f64 = 1.25;

/// Rule by which a baseline chooses an engine among the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Choice {
    /// Every engine in turn.
    RoundRobin,
    /// A random engine.
    Random,
    /// The engine with the fewest requests of this instance in flight.
    LeastInFlight,
    /// Of two random engines, the one with fewer requests of this instance in flight.
    TwoChoices,
    /// Rendezvous hashing of the prompt's first block, with bounded loads.
    CacheAffine,
}

/// A policy of load balancing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub(super) enum Policy {
    /// The product's router, queues and retries.
    Ours,
    /// A baseline that sends each request to an engine immediately; the engine queues by priority.
    Baseline {
        choice: Choice,
        /// Whether unbound requests may go to every region; otherwise they leave the instance's own
        /// region only if no engine is usable there.
        is_everywhere: bool,
    },
}

const fn baseline(choice: Choice, is_everywhere: bool) -> Policy {
    Policy::Baseline {
        choice,
        is_everywhere,
    }
}

impl Policy {
    pub(super) const ALL: [Self; 11] = [
        Self::Ours,
        baseline(Choice::RoundRobin, false),
        baseline(Choice::Random, false),
        baseline(Choice::LeastInFlight, false),
        baseline(Choice::TwoChoices, false),
        baseline(Choice::CacheAffine, false),
        baseline(Choice::RoundRobin, true),
        baseline(Choice::Random, true),
        baseline(Choice::LeastInFlight, true),
        baseline(Choice::TwoChoices, true),
        baseline(Choice::CacheAffine, true),
    ];

    pub(super) fn name(self) -> String {
        let Self::Baseline {
            choice,
            is_everywhere,
        } = self
        else {
            return "carobwheel".to_owned();
        };
        let choice = match choice {
            Choice::RoundRobin => "round robin",
            Choice::Random => "random",
            Choice::LeastInFlight => "least in flight",
            Choice::TwoChoices => "two choices",
            Choice::CacheAffine => "cache affine",
        };
        let scope = if is_everywhere { "all" } else { "home" };
        format!("{choice}, {scope}")
    }
}

/// Engine that a baseline may choose.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) engine: usize,
    pub(super) in_flight: u64,
}

/// Chooses one of `candidates`, or none if the list is empty.
pub(super) fn choose(
    choice: Choice,
    candidates: &[Candidate],
    round_robin_counter: &mut usize,
    prefix: u64,
    rng: &mut StdRng,
) -> Option<usize> {
    let in_flight = |candidate: &&Candidate| candidate.in_flight;
    let chosen = match choice {
        Choice::RoundRobin => {
            *round_robin_counter += 1;
            candidates.get(*round_robin_counter % candidates.len().max(1))
        }
        Choice::Random => candidates.choose(rng),
        Choice::LeastInFlight => candidates.iter().min_by_key(in_flight),
        Choice::TwoChoices => candidates.choose_multiple(rng, 2).min_by_key(in_flight),
        Choice::CacheAffine => choose_cache_affine(candidates, prefix),
    };
    Some(chosen?.engine)
}

fn choose_cache_affine(candidates: &[Candidate], prefix: u64) -> Option<&Candidate> {
    let sum: u64 = candidates.iter().map(|candidate| candidate.in_flight).sum();
    let mean = sum as f64 / candidates.len().max(1) as f64;
    let max_in_flight = (mean * MAX_LOAD_TO_MEAN).ceil() as u64 + 1;
    let weight = |candidate: &&Candidate| {
        let mixed = (prefix ^ candidate.engine as u64).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb)
    };
    candidates
        .iter()
        .filter(|candidate| candidate.in_flight <= max_in_flight)
        .max_by_key(weight)
}
