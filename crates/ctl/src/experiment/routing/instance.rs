//! The decisions of one instance.

use super::baseline::Eligible;
use super::deployment::{Deployment, InstanceSpec};
use carobwheel_core::admit::{AdmissionQueues, AdmissionSettings};
use carobwheel_core::document::Upstream;
use carobwheel_core::id::RegionId;
use carobwheel_core::retry::{
    EjectionChange, OutlierDetector, Retrier, RetrySettings, UpstreamGroup,
};
use carobwheel_core::route::{Router, RouterSettings};
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::SeedableRng;

/// One instance: its own view of the engines, its queues and its retry budget.
pub(super) struct Instance {
    pub(super) spec: InstanceSpec,
    pub(super) router: Router,
    pub(super) admit: AdmissionQueues<usize>,
    pub(super) retrier: Retrier,
    pub(super) outliers: OutlierDetector,
    /// Requests that the instance itself has on each engine, which baselines choose by.
    pub(super) in_flight: Vec<u64>,
    pub(super) turn: usize,
    pub(super) rng: StdRng,
    pub(super) digests: u64,
}

impl Instance {
    pub(super) fn new(deployment: &Deployment, index: usize, seed: u64) -> Self {
        let spec = deployment.instances[index].clone();
        let document = &deployment.document;
        let settings = RouterSettings {
            region: spec.region.clone(),
            data_centre: spec.data_centre.clone(),
            delays: deployment.delays,
        };
        let mut outliers = OutlierDetector::default();
        let group = |upstream: &Upstream| UpstreamGroup {
            region: upstream.region.clone(),
            serves: "m/v1".to_owned(),
        };
        let members = document.upstreams.iter().map(|u| (u.id.clone(), group(u)));
        outliers.set_upstreams(members);
        let retries = RetrySettings::with_budget_pct(document.policy.retry_budget_pct);
        Self {
            router: Router::new(settings, document, Millis(0)),
            admit: AdmissionQueues::new(AdmissionSettings::default()),
            retrier: Retrier::new(retries),
            outliers,
            in_flight: vec![0; document.upstreams.len()],
            turn: index,
            rng: StdRng::seed_from_u64(seed ^ (index as u64 + 1) << 32),
            digests: 0,
            spec,
        }
    }

    /// One-way delay to an upstream, in microseconds.
    pub(super) fn one_way_us(&self, deployment: &Deployment, upstream: &Upstream) -> u64 {
        let delays = &deployment.delays;
        if upstream.data_centre == self.spec.data_centre {
            return delays.same_data_centre_us;
        }
        if upstream.region == self.spec.region {
            return delays.same_region_us;
        }
        delays.other_region_us
    }

    /// Counts the outcome of an attempt and leaves out an upstream that fails.
    pub(super) fn record(&mut self, upstream: &Upstream, is_error: bool, now: Millis) {
        let ejection = self.outliers.record(&upstream.id, is_error, now);
        if let Some(EjectionChange::Ejected { upstream, .. }) = ejection {
            self.router.set_ejected(&upstream, true, now);
        }
    }

    /// Brings back upstreams whose ejection has ended, and forgets silent peers.
    pub(super) fn expire(&mut self, now: Millis) {
        self.router.expire(now);
        for ejection in self.outliers.expire(now) {
            if let EjectionChange::Readmitted(upstream) = ejection {
                self.router.set_ejected(&upstream, false, now);
            }
        }
    }

    /// The engines that a baseline may choose: home while any is usable there, otherwise or if
    /// `is_everywhere` all, unless the request is bound.
    pub(super) fn eligible(
        &self,
        upstreams: &[Upstream],
        bound_region: Option<&RegionId>,
        tried: &[carobwheel_core::id::UpstreamId],
        is_everywhere: bool,
    ) -> Vec<Eligible> {
        let is_usable = |upstream: &Upstream| {
            !tried.contains(&upstream.id)
                && !self.router.is_leaving(&upstream.id)
                && !self.outliers.is_ejected(&upstream.id)
        };
        let in_region = |region: Option<&RegionId>| -> Vec<Eligible> {
            let upstreams = upstreams.iter().enumerate();
            upstreams
                .filter(|(_, u)| is_usable(u) && region.is_none_or(|r| *r == u.region))
                .map(|(engine, _)| Eligible {
                    engine,
                    in_flight: self.in_flight[engine],
                })
                .collect()
        };
        if bound_region.is_some() {
            return in_region(bound_region);
        }
        let home = in_region(Some(&self.spec.region));
        if is_everywhere || home.is_empty() {
            return in_region(None);
        }
        home
    }
}
