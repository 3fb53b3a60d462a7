//! The policies that are compared.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde::Serialize;

/// An engine may exceed the mean load by this factor for the sake of its cache.
const AFFINITY_BOUND: f64 = 1.25;

/// How an engine is chosen among those allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Choice {
    /// Each engine in turn.
    RoundRobin,
    /// Any engine.
    Random,
    /// The engine with the least own work in flight.
    LeastInFlight,
    /// The engine with less own work in flight out of two random ones.
    TwoChoices,
    /// Rendezvous hashing of the prompt's first block with bounded load.
    CacheAffine,
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub(super) enum Policy {
    /// The product's router, queues and retries.
    Ours,
    /// A baseline: sent to an engine at once, which queues by priority.
    Baseline {
        choice: Choice,
        /// Unbound requests go to every region, not only home while any engine is alive there.
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
        let place = if is_everywhere { "all" } else { "home" };
        format!("{choice}, {place}")
    }
}

/// An engine that a baseline may choose.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligible {
    pub(super) engine: usize,
    pub(super) in_flight: u64,
}

/// Chooses one of `options`; none if there are none.
pub(super) fn choose(
    choice: Choice,
    options: &[Eligible],
    turn: &mut usize,
    prefix: u64,
    rng: &mut StdRng,
) -> Option<usize> {
    let less = |option: &&Eligible| option.in_flight;
    let chosen = match choice {
        Choice::RoundRobin => {
            *turn += 1;
            options.get(*turn % options.len().max(1))
        }
        Choice::Random => options.choose(rng),
        Choice::LeastInFlight => options.iter().min_by_key(less),
        Choice::TwoChoices => options.choose_multiple(rng, 2).min_by_key(less),
        Choice::CacheAffine => affine(options, prefix),
    };
    Some(chosen?.engine)
}

fn affine(options: &[Eligible], prefix: u64) -> Option<&Eligible> {
    let sum: u64 = options.iter().map(|option| option.in_flight).sum();
    let mean = sum as f64 / options.len().max(1) as f64;
    let bound = (mean * AFFINITY_BOUND).ceil() as u64 + 1;
    let weight = |option: &&Eligible| {
        let mixed = (prefix ^ option.engine as u64).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb)
    };
    options
        .iter()
        .filter(|option| option.in_flight <= bound)
        .max_by_key(weight)
}
