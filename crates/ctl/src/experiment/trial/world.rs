//! Simulation of one trial: instances that send requests to both versions, and learn of each other's
//! evidence and verdicts late.

use super::case::{Onset, Setting, Version};
use carobwheel_core::time::Millis;
use carobwheel_edge::rollout::{
    OtherVersions, RolloutOrder, RouteEvidence, Trial, TrialBounds, TrialConditions, Verdict,
};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Bounds of the deployments.
const BOUNDS: TrialBounds = TrialBounds { share: 0.1 };
const EXTRA_REQUESTS: f64 = 50.0;
/// Interval at which instances evaluate their evidence, in milliseconds.
const TICK_MS: u64 = 100;
/// Age of the evidence of others, and of their suspicions and verdicts, in milliseconds.
const REPORT_DELAY_MS: u64 = 500;
const URGENT_DELAY_MS: u64 = 300;
/// Time of the onset of a later fault, as a fraction of the duration.
const LATER_FRACTION: f64 = 0.33;
/// Response times in milliseconds: of the fastest and the slowest route, and their spread on a route.
const ROUTE_TIMES_MS: (f64, f64) = (30.0, 300.0);
const TIME_SPREAD: (f64, f64) = (0.4, 1.6);
/// Time to a failure, in milliseconds.
const FAILURE_MS: u64 = 20;

type Routes = HashMap<u32, RouteEvidence>;

/// Outcome of one trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunResult {
    /// Verdict by the end of the duration.
    pub(super) verdict: Verdict,
    /// Requests to the new version by then, and the most that the bounds allow for a bad one.
    pub(super) new_requests: f64,
    pub(super) allowed: f64,
}

/// Request whose outcome is not known yet.
struct Pending {
    ends_at: u64,
    instance: usize,
    route: u32,
    is_new: bool,
    is_failure: bool,
    time_ms: u32,
}

struct World {
    version: Version,
    setting: Setting,
    rng: StdRng,
    trials: Vec<Trial>,
    pending: Vec<Pending>,
    /// Evidence of each instance at earlier ticks, the oldest first.
    reports: VecDeque<Vec<Routes>>,
    /// Time at which the first instance has found the version faulty, and has started the shift.
    suspected_at: Option<u64>,
    shifted_at: Option<u64>,
    /// Verdict that an instance has recorded, and when.
    recorded: Option<(Verdict, u64)>,
}

/// Plays one trial.
pub(super) fn run(version: &Version, setting: &Setting, seed: u64) -> RunResult {
    let order = RolloutOrder {
        service: "service".into(),
        target: "new".into(),
        duration_ms: setting.duration_ms,
    };
    let mut world = World {
        version: *version,
        setting: *setting,
        rng: StdRng::seed_from_u64(seed),
        trials: vec![Trial::new(order, Millis(0)); setting.instances],
        pending: Vec::new(),
        reports: VecDeque::new(),
        suspected_at: None,
        shifted_at: None,
        recorded: None,
    };
    let (mut sent, mut new_requests) = (0.0, 0.0);
    let mut next_ms = world.pause_ms();
    for now in (0..setting.duration_ms).step_by(usize::try_from(TICK_MS).unwrap_or(1)) {
        world.tick(now);
        #[allow(clippy::cast_precision_loss)]
        while next_ms < (now + TICK_MS) as f64 {
            sent += 1.0;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let is_new = world.send(next_ms as u64);
            new_requests += f64::from(u8::from(is_new));
            next_ms += world.pause_ms();
        }
    }
    RunResult {
        verdict: world
            .recorded
            .map_or(Verdict::Active, |(verdict, _)| verdict),
        new_requests,
        allowed: BOUNDS.share * sent + EXTRA_REQUESTS,
    }
}

impl World {
    /// Time to the next request, in milliseconds.
    fn pause_ms(&mut self) -> f64 {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -draw.ln() * 1_000.0 / self.setting.requests_per_s
    }

    fn is_faulty(&self, now: u64) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let elapsed = now as f64 / self.setting.duration_ms as f64;
        match self.version.onset {
            Onset::AtOnce => true,
            Onset::Later => elapsed >= LATER_FRACTION,
            Onset::AtShift => self.shifted_at.is_some(),
        }
    }

    /// Sends a request at a random instance. Returns whether the new version gets it.
    fn send(&mut self, now: u64) -> bool {
        let instance = self.rng.random_range(0..self.setting.instances);
        let route = self.rng.random_range(0..self.setting.routes);
        let is_new = self.rng.random::<f64>() < self.trials[instance].share(BOUNDS);
        let is_faulty = is_new && self.is_faulty(now);
        let fail_share = if is_faulty {
            self.version.fail_share.max(self.version.base_share)
        } else {
            self.version.base_share
        };
        let is_failure = self.rng.random::<f64>() < fail_share;
        let (fastest, slowest) = ROUTE_TIMES_MS;
        let routes = f64::from(self.setting.routes);
        let route_ms = fastest + (slowest - fastest) * f64::from(route) / routes;
        let factor = if is_faulty {
            self.version.time_factor
        } else {
            1.0
        };
        let spread = self.rng.random_range(TIME_SPREAD.0..TIME_SPREAD.1);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let time_ms = (route_ms * factor * spread) as u32;
        let ends_after = if is_failure {
            FAILURE_MS
        } else {
            u64::from(time_ms)
        };
        self.pending.push(Pending {
            ends_at: now + ends_after,
            instance,
            route,
            is_new,
            is_failure,
            time_ms,
        });
        is_new
    }

    fn tick(&mut self, now: u64) {
        self.end_requests(now);
        self.exchange_reports();
        let is_suspect = self
            .suspected_at
            .is_some_and(|at| now >= at + URGENT_DELAY_MS);
        let heard = self
            .recorded
            .filter(|(_, at)| now >= at + URGENT_DELAY_MS)
            .map(|(verdict, _)| verdict);
        let conditions = TrialConditions {
            extra_requests: EXTRA_REQUESTS,
            instances: self.setting.instances,
            has_upstream: true,
            others: OtherVersions::Present,
        };
        for trial in &mut self.trials {
            if let Some(verdict) = heard {
                trial.verdict = verdict;
            }
            if is_suspect {
                trial.mark_suspect();
            }
            trial.set_conditions(conditions, Millis(now));
            trial.advance(Millis(now));
            if trial.is_suspect() {
                self.suspected_at.get_or_insert(now);
            }
            if trial.is_shifting() {
                self.shifted_at.get_or_insert(now);
            }
            if let Some(verdict) = trial.due_verdict(Millis(now)) {
                self.recorded.get_or_insert((verdict, now));
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        let ended = self
            .pending
            .extract_if(.., |request| request.ends_at <= now);
        for request in ended {
            let own = &mut self.trials[request.instance].evidence.own;
            let route = own.entry(request.route).or_default();
            let counts = if request.is_new {
                &mut route.new
            } else {
                &mut route.old
            };
            counts.sent += 1;
            if request.is_failure {
                counts.failed += 1;
            } else {
                counts.answered += 1;
                counts.time_sum_ms += request.time_ms;
            }
        }
    }

    /// Gives each instance the sums of all others, as they were a while ago.
    fn exchange_reports(&mut self) {
        let own = self.trials.iter().map(|trial| trial.evidence.own.clone());
        self.reports.push_back(own.collect());
        if self.reports.len() as u64 <= REPORT_DELAY_MS / TICK_MS {
            return;
        }
        let Some(reports) = self.reports.pop_front() else {
            return;
        };
        let mut sums = Routes::new();
        for (route, evidence) in reports.iter().flatten() {
            let sum = sums.entry(*route).or_default();
            sum.old += evidence.old;
            sum.new += evidence.new;
        }
        let source: Arc<str> = "others".into();
        for (trial, own) in self.trials.iter_mut().zip(&reports) {
            let mut others = sums.clone();
            for (route, evidence) in own {
                if let Some(sum) = others.get_mut(route) {
                    *sum = sum.without(*evidence);
                }
            }
            trial.evidence.update_peer(&source, others);
        }
    }
}
