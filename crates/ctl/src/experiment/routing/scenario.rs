//! The scenarios: load, its distribution over regions, and faults.

use super::deployment::Deployment;
use clap::ValueEnum;
use serde::Serialize;

/// Time at the start that is not measured, as a part of the whole.
const WARM_UP_PART: u64 = 8;

/// A scenario of load and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// All of the scenarios.
    All,
    /// Two fifths of the capacity: engines have room.
    Room,
    /// Three quarters of the capacity.
    Peak,
    /// The regions' peaks follow each other.
    OffsetPeaks,
    /// One account sends five times its share.
    FiveTimes,
    /// A region loses half of its engines, with the work on them.
    HalfRegionLost,
    /// A region's engines return with cold caches.
    ColdReturn,
    /// Half of all attempts fail.
    RetryStorm,
}

impl Scenario {
    /// The scenarios that this one stands for.
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
            one => vec![one],
        }
    }
}

/// A change of an engine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fault {
    pub(super) at_us: u64,
    pub(super) engine: usize,
    /// The engine returns, rather than crashes.
    pub(super) is_return: bool,
}

/// A scenario worked out for a deployment.
#[derive(Clone, Debug)]
pub(super) struct Case {
    /// Arrivals as a share of what all engines can serve with cold caches.
    pub(super) load: f64,
    /// Amplitude of the regions' daily rhythm, as a share of their mean.
    pub(super) rhythm: f64,
    /// Account that sends a multiple of its share.
    pub(super) greedy_account: Option<usize>,
    pub(super) greedy_factor: f64,
    pub(super) faults: Vec<Fault>,
    pub(super) measured_from_us: u64,
    pub(super) duration_us: u64,
}

impl Case {
    pub(super) fn new(scenario: Scenario, deployment: &Deployment, duration_s: u64) -> Self {
        let duration_us = duration_s * 1_000_000;
        let calm = Self {
            load: 0.6,
            rhythm: 0.0,
            greedy_account: None,
            greedy_factor: 1.0,
            faults: Vec::new(),
            measured_from_us: duration_us / WARM_UP_PART,
            duration_us,
        };
        let half_us = duration_us / 2;
        match scenario {
            Scenario::All | Scenario::RetryStorm => calm,
            Scenario::Room => Self { load: 0.4, ..calm },
            Scenario::Peak => Self { load: 0.75, ..calm },
            Scenario::OffsetPeaks => Self {
                rhythm: 0.8,
                ..calm
            },
            Scenario::FiveTimes => Self {
                load: 0.7,
                greedy_account: Some(deployment.account_shares.len() - 1),
                greedy_factor: 5.0,
                ..calm
            },
            Scenario::HalfRegionLost => {
                let home = home_engines(deployment);
                let lost = home.len().div_ceil(2);
                Self {
                    faults: home[..lost].iter().map(|e| crash(*e, half_us)).collect(),
                    measured_from_us: half_us,
                    ..calm
                }
            }
            Scenario::ColdReturn => {
                let home = home_engines(deployment);
                let crashes = home.iter().map(|engine| crash(*engine, 0));
                let returns = home.iter().map(|engine| Fault {
                    is_return: true,
                    ..crash(*engine, half_us)
                });
                Self {
                    faults: crashes.chain(returns).collect(),
                    measured_from_us: half_us,
                    ..calm
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

/// Engines of the first region.
fn home_engines(deployment: &Deployment) -> Vec<usize> {
    let region = &deployment.document.regions[0].id;
    let upstreams = deployment.document.upstreams.iter().enumerate();
    upstreams
        .filter(|(_, upstream)| upstream.region == *region)
        .map(|(index, _)| index)
        .collect()
}
