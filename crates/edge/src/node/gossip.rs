//! Gossip between instances: the messages, and what an instance tells of itself.

use super::{digest::FleetReport, limits::KeyedLimitReport, scaling::UnmetLoad, Node};
use crate::{
    cold::ColdReport,
    hash::short_hash,
    place::{JobKind, LatencyForecast},
    rollout::{RouteEvidence, Verdict},
    upstream::Load,
};
use carobwheel_core::{crash::CrashReport, usage::UsageMessage};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, sync::Arc};

/// Upper bound of the values in a [`ForecastReport`].
const MAX_FORECAST_VALUE: f64 = 1_000_000.0;

/// Sender's state of one rollout.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialReport {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the target version's name.
    pub target: u32,
    /// Whether the sender suspects the new version to be bad.
    pub is_suspect: bool,
    /// Verdict known to the sender, if any: true for `complete`, false for `reverted`.
    pub verdict: Option<bool>,
    /// Sender's own evidence, by hash of the route's name.
    pub routes: Vec<(u32, RouteEvidence)>,
}

/// Expected latency of jobs of one kind for a service in the sender's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForecastReport {
    /// Hash of the service's name.
    pub service: u32,
    /// Kind of job.
    pub kind: JobKind,
    /// Expected time to the first token, in milliseconds.
    pub wait_ms: u32,
    /// Expected time per token, in microseconds.
    pub pace_us: u32,
}

impl ForecastReport {
    fn new(service: &str, kind: JobKind, forecast: LatencyForecast) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bounded = |value: f64| value.clamp(0.0, MAX_FORECAST_VALUE) as u32;
        Self {
            service: short_hash(service),
            kind,
            wait_ms: bounded(forecast.wait_ms),
            pace_us: bounded(forecast.time_per_token_ms * 1_000.0),
        }
    }

    pub(super) fn forecast(self) -> LatencyForecast {
        LatencyForecast {
            wait_ms: f64::from(self.wait_ms),
            time_per_token_ms: f64::from(self.pace_us) / 1_000.0,
        }
    }
}

/// Gossip message. Instances of a region exchange loads, instances of different regions forecasts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// Start time of the sender's process, which identifies its lifetime.
    pub life: u64,
    /// Whether the sender takes requests.
    pub is_ready: bool,
    /// Whether the sender has a complete replica and follows the upstreams' entries in the store.
    pub has_store: bool,
    /// Revision of the sender's replica, by index of the prefix.
    pub revisions: Vec<u64>,
    /// Load that the sender has placed on upstreams, by hash of the upstream's id; empty between
    /// regions.
    pub loads: Vec<(u32, Load)>,
    /// Tokens that callers have requested from the sender, by hash of the account's name.
    pub asked: Vec<(u32, u64)>,
    /// Expected latencies in the sender's region; empty within a region.
    pub forecasts: Vec<ForecastReport>,
    /// State of rollouts.
    pub trials: Vec<TrialReport>,
    /// Evidence on prompt parts that crash engines; appended to the encoded message.
    #[serde(skip)]
    pub crashes: CrashReport,
    /// Further parts; appended to the encoded message.
    #[serde(skip)]
    pub additions: Additions,
}

/// Parts of a message that earlier builds do not know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Additions {
    /// Reports about limited upstreams of the region; empty between regions.
    pub limits: Vec<KeyedLimitReport>,
    /// Era of each revision of the sender's replica.
    pub eras: Vec<u64>,
    /// Version of the configuration that the sender has in force; 0 if there is none.
    pub config_version: u64,
    /// Evidence on whole requests that crash upstreams; appended to the encoded message.
    #[serde(skip)]
    pub request_crashes: CrashReport,
    /// Processes of upstreams of the region that have stated that they are leaving; empty between
    /// regions. Appended to the encoded message.
    #[serde(skip)]
    pub leaving: Vec<u32>,
    /// Reports of upstreams of the region that have probably restarted; empty between regions. Appended
    /// to the encoded message.
    #[serde(skip)]
    pub cold: Vec<ColdReport>,
    /// Heartbeat of the sender and, from a delegate, what it has heard; appended to the encoded
    /// message. `None` from builds that keep links to all instances.
    #[serde(skip)]
    pub fleet: Option<FleetReport>,
    /// Input of the duties; appended to the encoded message. `None` if there are no duties, or nothing to
    /// tell.
    #[serde(skip)]
    pub duties: Option<DutyReport>,
    /// Hashes of the names of the services of whose upstreams in its region the sender reaches none; appended
    /// to the encoded message.
    #[serde(skip)]
    pub cut_off: BTreeSet<u32>,
}

/// Part of a message that only instances with duties send.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DutyReport {
    /// Requests by account.
    pub usage: Option<UsageMessage>,
    /// Load that the sender could not place in its region; empty between regions.
    pub unmet: Vec<UnmetLoad>,
}

impl Node {
    /// Interval between two messages to an instance, in milliseconds.
    pub fn gossip_period_ms(&self, is_same_region: bool) -> u64 {
        let state = self.state.borrow();
        state.members.period_ms(&self.region, is_same_region)
    }

    /// Builds what this instance tells of itself to instances of the own region, or of other regions.
    pub(super) fn own_gossip(&self, is_same_region: bool) -> Gossip {
        let is_ready = self.is_ready();
        let services: Vec<Arc<str>> = {
            let state = self.state.borrow();
            state
                .config
                .iter()
                .flat_map(|config| config.services.keys().cloned())
                .filter(|service| !state.cut_off.contains(service))
                .collect()
        };
        let forecasts = services.iter().flat_map(|service| {
            JobKind::ALL.into_iter().filter_map(move |kind| {
                let forecast = self.region_forecast(service, kind)?;
                Some(ForecastReport::new(service, kind, forecast))
            })
        });
        let forecasts = if is_same_region {
            Vec::new()
        } else {
            forecasts.collect()
        };
        let state = self.state.borrow();
        let now = self.now();
        let loads = state.upstreams.by_id.iter();
        let loads = loads.map(|(_, up)| (up.hash, up.own_load(now)));
        let loads = loads.filter(|(_, load)| !load.is_idle());
        let trials = state.trials.values().map(|trial| TrialReport {
            service: short_hash(&trial.order.service),
            target: short_hash(&trial.order.target),
            is_suspect: trial.is_suspect(),
            verdict: match trial.verdict {
                Verdict::Active => None,
                verdict => Some(verdict == Verdict::Complete),
            },
            routes: trial
                .evidence
                .own
                .iter()
                .map(|(route, seen)| (*route, *seen))
                .collect(),
        });
        let positions = state.replica.positions();
        let buckets = state
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.requested_tokens() > 0);
        Gossip {
            life: self.life,
            is_ready,
            has_store: state.follows_upstreams(),
            revisions: positions.iter().map(|at| at.revision).collect(),
            loads: if is_same_region {
                loads.collect()
            } else {
                Vec::new()
            },
            asked: buckets
                .map(|(name, bucket)| (short_hash(name), bucket.requested_tokens()))
                .collect(),
            forecasts,
            trials: trials.collect(),
            crashes: state.crashes.report(now),
            additions: Additions {
                limits: if is_same_region {
                    state.limit_reports(self, now)
                } else {
                    Vec::new()
                },
                eras: positions.iter().map(|at| at.era).collect(),
                config_version: state.config_version(),
                request_crashes: state.request_crashes.report(now),
                leaving: if is_same_region {
                    state.leaving_reports(self)
                } else {
                    Vec::new()
                },
                cold: if is_same_region {
                    state.cold_reports.own(now)
                } else {
                    Vec::new()
                },
                fleet: None,
                duties: None,
                cut_off: state.cut_off_hashes(),
            },
        }
    }
}
