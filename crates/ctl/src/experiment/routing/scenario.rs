//! Scenarios: load, its distribution over regions, and faults.

use super::deployment::Deployment;
use clap::ValueEnum;
use serde::Serialize;

/// Divisor of the duration that gives the warm-up time, in which nothing is measured.
const WARM_UP_DIVISOR: u64 = 8;

/// Scenario of load and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// All scenarios.
    All,
    /// Load of two fifths of the capacity, so that engines have free slots.
    Room,
    /// Load of three quarters of the capacity.
    Peak,
    /// The regions have their peaks of demand one after the other.
    OffsetPeaks,
    /// One account sends five times its share of the load.
    FiveTimes,
    /// A region loses half of its engines and the requests in flight on them.
    HalfRegionLost,
    /// A region's engines return with cold caches.
    ColdReturn,
    /// Half of all attempts fail.
    RetryStorm,
}

impl Scenario {
    /// Returns the scenarios that the argument selects.
    pub(super) fn expand(self) -> Vec<Self> {
        match self {
            Self::All => vec![
                Self::Room,
                Self::Peak,
                Self::OffsetPeaks,
                Self::FiveTimes,
                Self::HalfRegionLost,
                Self::ColdReturn,
                Self::RetryStorm,
            ],
            single => vec![single],
        }
    }
}

/// Crash or return of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fault {
    pub(super) at_us: u64,
    pub(super) engine: usize,
    /// Whether the engine returns; otherwise it crashes.
    pub(super) is_return: bool,
}

/// Load and faults of a scenario in a deployment.
#[derive(Clone, Debug)]
pub(super) struct ScenarioSettings {
    /// Arrival rate as a share of the rate that all engines can serve with cold caches.
    pub(super) load: f64,
    /// Amplitude of the daily variation of each region's demand, as a share of the mean.
    pub(super) demand_amplitude: f64,
    /// Account that exceeds its share of the load by `greedy_factor`.
    pub(super) greedy_account: Option<usize>,
    pub(super) greedy_factor: f64,
    pub(super) faults: Vec<Fault>,
    pub(super) measured_from_us: u64,
    pub(super) duration_us: u64,
}

impl ScenarioSettings {
    pub(super) fn new(scenario: Scenario, deployment: &Deployment, duration_s: u64) -> Self {
        let duration_us = duration_s * 1_000_000;
        let base = Self {
            load: 0.6,
            demand_amplitude: 0.0,
            greedy_account: None,
            greedy_factor: 1.0,
            faults: Vec::new(),
            measured_from_us: duration_us / WARM_UP_DIVISOR,
            duration_us,
        };
        let half_us = duration_us / 2;
        match scenario {
            Scenario::All | Scenario::RetryStorm => base,
            Scenario::Room => Self { load: 0.4, ..base },
            Scenario::Peak => Self { load: 0.75, ..base },
            Scenario::OffsetPeaks => Self {
                demand_amplitude: 0.8,
                ..base
            },
            Scenario::FiveTimes => Self {
                load: 0.7,
                greedy_account: Some(deployment.account_shares.len() - 1),
                greedy_factor: 5.0,
                ..base
            },
            Scenario::HalfRegionLost => {
                let engines = first_region_engines(deployment);
                let lost = engines.len().div_ceil(2);
                Self {
                    faults: engines[..lost].iter().map(|e| crash(*e, half_us)).collect(),
                    measured_from_us: half_us,
                    ..base
                }
            }
            Scenario::ColdReturn => {
                let engines = first_region_engines(deployment);
                let crashes = engines.iter().map(|engine| crash(*engine, 0));
                let returns = engines.iter().map(|engine| Fault {
                    is_return: true,
                    ..crash(*engine, half_us)
                });
                Self {
                    faults: crashes.chain(returns).collect(),
                    measured_from_us: half_us,
                    ..base
                }
            }
        }
    }
}

fn crash(engine: usize, at_us: u64) -> Fault {
    Fault {
        at_us,
        engine,
        is_return: false,
    }
}

/// Returns the engines of the first region.
fn first_region_engines(deployment: &Deployment) -> Vec<usize> {
    let region = &deployment.document.regions[0].id;
    let upstreams = deployment.document.upstreams.iter().enumerate();
    upstreams
        .filter(|(_, upstream)| upstream.region == *region)
        .map(|(index, _)| index)
        .collect()
}
