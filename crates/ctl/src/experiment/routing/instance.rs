//! State of one instance of the gateway.

use super::baseline::Candidate;
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

/// Instance with its own view of the engines, admission queues and retry budget.
pub(super) struct Instance {
    pub(super) spec: InstanceSpec,
    pub(super) router: Router,
    pub(super) admission_queues: AdmissionQueues<usize>,
    pub(super) retrier: Retrier,
    pub(super) outlier_detector: OutlierDetector,
    /// Requests of this instance in flight on each engine, by which the baselines choose.
    pub(super) in_flight: Vec<u64>,
    /// Position of the round-robin baseline; starts at the instance's index.
    pub(super) round_robin_counter: usize,
    pub(super) rng: StdRng,
    /// Sequence number of the last load digest sent.
    pub(super) digest_sequence: u64,
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
        let mut outlier_detector = OutlierDetector::default();
        let group = |upstream: &Upstream| UpstreamGroup {
            region: upstream.region.clone(),
            serves: "m/v1".to_owned(),
        };
        let members = document.upstreams.iter().map(|u| (u.id.clone(), group(u)));
        outlier_detector.set_upstreams(members);
        let retries = RetrySettings::with_budget_pct(document.policy.retry_budget_pct);
        Self {
            router: Router::new(settings, document, Millis(0)),
            admission_queues: AdmissionQueues::new(AdmissionSettings::default()),
            retrier: Retrier::new(retries),
            outlier_detector,
            in_flight: vec![0; document.upstreams.len()],
            round_robin_counter: index,
            rng: StdRng::seed_from_u64(seed ^ (index as u64 + 1) << 32),
            digest_sequence: 0,
            spec,
        }
    }

    /// Returns the one-way delay to an upstream, in microseconds.
    pub(super) fn one_way_delay_us(&self, deployment: &Deployment, upstream: &Upstream) -> u64 {
        let delays = &deployment.delays;
        if upstream.data_centre == self.spec.data_centre {
            return delays.same_data_centre_us;
        }
        if upstream.region == self.spec.region {
            return delays.same_region_us;
        }
        delays.other_region_us
    }

    /// Records the outcome of an attempt, and ejects the upstream if it fails too often.
    pub(super) fn record_outcome(&mut self, upstream: &Upstream, is_error: bool, now: Millis) {
        let ejection = self.outlier_detector.record(&upstream.id, is_error, now);
        if let Some(EjectionChange::Ejected { upstream, .. }) = ejection {
            self.router.set_ejected(&upstream, true, now);
        }
    }

    /// Readmits upstreams whose ejection has ended, and removes the load of silent peers.
    pub(super) fn expire(&mut self, now: Millis) {
        self.router.expire(now);
        for ejection in self.outlier_detector.expire(now) {
            if let EjectionChange::Readmitted(upstream) = ejection {
                self.router.set_ejected(&upstream, false, now);
            }
        }
    }

    /// Returns the engines that a baseline may choose.
    ///
    /// A bound request may use only its region. Any other may use the instance's own region, or all
    /// regions if `is_everywhere` is set or no engine of the own region is usable.
    pub(super) fn candidates(
        &self,
        upstreams: &[Upstream],
        bound_region: Option<&RegionId>,
        tried: &[carobwheel_core::id::UpstreamId],
        is_everywhere: bool,
    ) -> Vec<Candidate> {
        let is_usable = |upstream: &Upstream| {
            !tried.contains(&upstream.id)
                && !self.router.is_leaving(&upstream.id)
                && !self.outlier_detector.is_ejected(&upstream.id)
        };
        let in_region = |region: Option<&RegionId>| -> Vec<Candidate> {
            let upstreams = upstreams.iter().enumerate();
            upstreams
                .filter(|(_, u)| is_usable(u) && region.is_none_or(|r| *r == u.region))
                .map(|(engine, _)| Candidate {
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
