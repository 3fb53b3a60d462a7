//! Updates between instances and engines: load digests and reports, faults and the live list.

use super::{
    World, CROSS_REGION_DIGEST_INTERVAL_US, REGION_DIGEST_INTERVAL_US, REPORT_INTERVAL_US,
    TICK_INTERVAL_US,
};
use crate::experiment::routing::event::Event;
use carobwheel_core::route::{LeavingSource, UpstreamReport};
use carobwheel_core::time::Millis;

impl World<'_> {
    pub(super) fn send_digest(&mut self, instance: usize, is_cross_region: bool) {
        let from = &mut self.instances[instance];
        from.digest_sequence += 1;
        let digest = from.router.digest(from.digest_sequence);
        let own_region = from.spec.region.clone();
        for to in 0..self.instances.len() {
            let is_in_other_region = self.instances[to].spec.region != own_region;
            if to == instance || is_in_other_region != is_cross_region {
                continue;
            }
            let delays = &self.deployment.delays;
            let delay_us = if is_cross_region {
                delays.other_region_us
            } else {
                delays.same_region_us
            };
            let digest = digest.clone();
            let event = Event::DeliverDigest {
                from: instance,
                to,
                digest,
            };
            self.events.push(self.now_us + delay_us, event);
        }
        let interval_us = if is_cross_region {
            CROSS_REGION_DIGEST_INTERVAL_US
        } else {
            REGION_DIGEST_INTERVAL_US
        };
        let event = Event::SendDigest {
            instance,
            is_cross_region,
        };
        self.events.push(self.now_us + interval_us, event);
    }

    pub(super) fn report_loads(&mut self) {
        let now = self.now();
        for (engine, upstream) in self.engines.iter().zip(&self.deployment.document.upstreams) {
            if !engine.is_alive {
                continue;
            }
            let lagged = engine.batch.report(self.now_us);
            let report = UpstreamReport {
                measured_at: Millis(lagged.measured_at_us / 1_000),
                requests: lagged.requests,
                prompt_tokens: lagged.prompt_tokens,
                is_leaving: false,
                registration: engine.registration,
            };
            for instance in &mut self.instances {
                instance.router.report(&upstream.id, report, now);
            }
        }
        self.events
            .push(self.now_us + REPORT_INTERVAL_US, Event::ReportLoads);
    }

    pub(super) fn tick(&mut self) {
        let now = self.now();
        for index in 0..self.instances.len() {
            self.instances[index].expire(now);
            for entry in self.instances[index].admission_queues.expire(now) {
                self.refuse(entry.item);
            }
            self.place_waiting(index);
        }
        self.events
            .push(self.now_us + TICK_INTERVAL_US, Event::Tick);
    }

    pub(super) fn apply_fault(&mut self, index: usize) {
        let fault = self.settings.faults[index];
        let engine = &mut self.engines[fault.engine];
        if fault.is_return {
            engine.is_alive = true;
            engine.registration += 1;
            return;
        }
        engine.is_alive = false;
        for job in engine.batch.crash() {
            self.schedule_failure(fault.engine, job, false);
        }
    }

    pub(super) fn update_live_list(&mut self, index: usize) {
        let fault = self.settings.faults[index];
        let upstream = &self.deployment.document.upstreams[fault.engine].id;
        let registration = self.engines[fault.engine].registration;
        let now = self.now();
        for instance in &mut self.instances {
            if fault.is_return {
                instance.router.register(upstream, registration, now);
            } else {
                let source = LeavingSource::LiveList;
                instance
                    .router
                    .mark_leaving(upstream, source, Some(registration));
            }
        }
    }
}
