//! News between instances and engines: digests, reports, faults and the live list.

use super::{World, FAR_DIGEST_US, NEAR_DIGEST_US, REPORT_US, TICK_US};
use crate::experiment::routing::event::Event;
use carobwheel_core::route::{LeavingSource, UpstreamReport};
use carobwheel_core::time::Millis;

impl World<'_> {
    pub(super) fn send_digest(&mut self, instance: usize, is_far: bool) {
        let from = &mut self.instances[instance];
        from.digests += 1;
        let digest = from.router.digest(from.digests);
        let home = from.spec.region.clone();
        for to in 0..self.instances.len() {
            let is_other_region = self.instances[to].spec.region != home;
            if to == instance || is_other_region != is_far {
                continue;
            }
            let delays = &self.deployment.delays;
            let delay_us = if is_far {
                delays.other_region_us
            } else {
                delays.same_region_us
            };
            let digest = digest.clone();
            let event = Event::Digest {
                from: instance,
                to,
                digest,
            };
            self.events.push(self.now_us + delay_us, event);
        }
        let period_us = if is_far {
            FAR_DIGEST_US
        } else {
            NEAR_DIGEST_US
        };
        let event = Event::SendDigest { instance, is_far };
        self.events.push(self.now_us + period_us, event);
    }

    pub(super) fn report(&mut self) {
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
                registration: engine.life,
            };
            for instance in &mut self.instances {
                instance.router.report(&upstream.id, report, now);
            }
        }
        self.events.push(self.now_us + REPORT_US, Event::Report);
    }

    pub(super) fn tick(&mut self) {
        let now = self.now();
        for index in 0..self.instances.len() {
            self.instances[index].expire(now);
            for entry in self.instances[index].admit.expire(now) {
                self.refuse(entry.item);
            }
            self.drain(index);
        }
        self.events.push(self.now_us + TICK_US, Event::Tick);
    }

    pub(super) fn fault(&mut self, index: usize) {
        let fault = self.case.faults[index];
        let engine = &mut self.engines[fault.engine];
        if fault.is_return {
            engine.is_alive = true;
            engine.life += 1;
            return;
        }
        engine.is_alive = false;
        for job in engine.batch.crash() {
            self.fail_later(fault.engine, job, false);
        }
    }

    pub(super) fn live_list(&mut self, index: usize) {
        let fault = self.case.faults[index];
        let upstream = &self.deployment.document.upstreams[fault.engine].id;
        let life = self.engines[fault.engine].life;
        let now = self.now();
        for instance in &mut self.instances {
            if fault.is_return {
                instance.router.register(upstream, life, now);
            } else {
                let source = LeavingSource::LiveList;
                instance.router.mark_leaving(upstream, source, Some(life));
            }
        }
    }
}
