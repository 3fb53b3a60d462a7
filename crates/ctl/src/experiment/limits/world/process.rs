//! Periodic work of an instance: ticks, arrivals, generation and settlement of requests.

use super::fault::Defect;
use super::flow::Arrival;
use super::node::{RunningRequest, WaitingRequest};
use super::oracle::TokenUse;
use super::{Event, Tally, World, ARRIVAL_STEP_MS};
use carobwheel_core::slot::Peer;

impl World {
    pub(super) fn on_tick(&mut self, peer: &Peer) {
        let Some(at) = self.locate(peer) else { return };
        if self.is_paused(at) {
            let until = self.processes[at].as_ref().map_or(0, |p| p.paused_until_ms);
            self.schedule(until, Event::Tick(peer.clone()));
            return;
        }
        self.check_pause(at);
        self.end_expired_requests(at);
        self.generate(at);
        self.deliver_deferred(at);
        self.tick_limiter(at);
        self.try_waiting(at, false);
        self.send_heartbeats(at);
        self.call_store(at);
        self.schedule_after(self.setup.tick_ms, Event::Tick(peer.clone()));
    }

    /// Checks for a pause; runs before all other work of an instance that resumes.
    pub(super) fn check_pause(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let is_check_disabled = self.setup.defect == Defect::PauseCheckDisabled;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        process.paused_from_ms = None;
        let now = process.node.clock(now_ms);
        if !is_check_disabled && process.node.reconciler.detect_pause(now) {
            process.node.limiter.invalidate_slots();
            process.store_call_deadline_ms = 0;
            process.next_read_ms = 0;
            self.end_all_requests(at);
        }
    }

    /// Ends requests whose charge has expired.
    pub(super) fn end_expired_requests(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let ended = process.node.limiter.take_expired_charges();
        let running = std::mem::take(&mut process.node.running);
        let (expired, remaining) = running.into_iter().partition(|r| ended.contains(&r.charge));
        process.node.running = remaining;
        self.settle_all(at, expired);
    }

    pub(super) fn end_all_requests(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let running = std::mem::take(&mut process.node.running);
        self.settle_all(at, running);
    }

    pub(super) fn settle_all(&mut self, at: usize, requests: Vec<RunningRequest>) {
        let now_ms = self.now_ms;
        for running in requests {
            let arrival = &running.arrival;
            let used = running.generated_tokens;
            let ledger = self.ledgers.entry(arrival.account.clone()).or_default();
            ledger.admitted.push(TokenUse {
                at_ms: running.admitted_ms,
                tokens: arrival.prompt_tokens + used,
            });
            if let Some(reference) = self.reference_buckets.get_mut(&arrival.account) {
                reference.settle(arrival.max_output_tokens, used, now_ms);
            }
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(now_ms);
                process.node.limiter.settle(running.charge, used, now);
            }
        }
    }

    /// Advances the generation of running requests and settles the completed ones.
    pub(super) fn generate(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let mut completed = Vec::new();
        let mut remaining = Vec::new();
        for mut running in std::mem::take(&mut process.node.running) {
            let arrival = &running.arrival;
            let elapsed_ms = now_ms - running.admitted_ms;
            let possible = elapsed_ms * arrival.speed_tokens_per_s / 1_000;
            let generated_by_now = possible.min(arrival.output_tokens);
            let tokens = generated_by_now - running.generated_tokens;
            if tokens > 0 {
                let ledger = self.ledgers.entry(arrival.account.clone()).or_default();
                ledger.generated.push(TokenUse {
                    at_ms: now_ms,
                    tokens,
                });
                running.generated_tokens = generated_by_now;
            }
            if running.generated_tokens == arrival.output_tokens {
                completed.push(running);
            } else {
                remaining.push(running);
            }
        }
        process.node.running = remaining;
        self.settle_all(at, completed);
    }

    pub(super) fn deliver_deferred(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        for (from, payload) in std::mem::take(&mut process.deferred) {
            self.receive(at, &from, payload);
        }
    }

    pub(super) fn tick_limiter(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let now = process.node.clock(now_ms);
        let outgoing = process.node.limiter.tick(now);
        self.send_loans(at, outgoing);
    }

    pub(super) fn try_waiting(&mut self, at: usize, skips_retry_delay: bool) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let reference_buckets = std::cell::RefCell::new(&mut self.reference_buckets);
        let (tallies, ledgers) = (&mut self.tallies, &mut self.ledgers);
        let from_ms = self.tally_from_ms;
        let mut fits_limit = |arrival: &Arrival| {
            let tokens = arrival.prompt_tokens + arrival.max_output_tokens;
            let mut reference_buckets = reference_buckets.borrow_mut();
            let reference = reference_buckets.get_mut(&arrival.account);
            reference.is_some_and(|reference| reference.can_charge(tokens, now_ms))
        };
        let mut on_decided = |waiting: &WaitingRequest, is_admitted: bool| {
            let arrival = &waiting.arrival;
            let mut discarded = Tally::default();
            let tally = if arrival.at_ms >= from_ms {
                tallies.entry(arrival.account.clone()).or_default()
            } else {
                &mut discarded
            };
            if !is_admitted {
                tally.refused += 1;
                tally.wrongful += u64::from(waiting.is_within_limit);
                return;
            }
            tally.admitted += 1;
            tally.used_tokens += arrival.prompt_tokens + arrival.output_tokens;
            let ledger = ledgers.entry(arrival.account.clone()).or_default();
            ledger.generated.push(TokenUse {
                at_ms: now_ms,
                tokens: arrival.prompt_tokens,
            });
            if let Some(reference) = reference_buckets.borrow_mut().get_mut(&arrival.account) {
                reference.charge(arrival.prompt_tokens, arrival.max_output_tokens, now_ms);
            }
        };
        let node = &mut process.node;
        let outgoing =
            node.try_waiting(now_ms, skips_retry_delay, &mut fits_limit, &mut on_decided);
        self.send_loans(at, outgoing);
    }

    pub(super) fn on_arrivals(&mut self) {
        let (nodes, regions) = (self.setup.nodes, self.setup.regions.len());
        let mut arrivals = Vec::new();
        for flow in &self.setup.flows {
            let of_flow = flow.arrivals(
                self.now_ms,
                ARRIVAL_STEP_MS,
                nodes,
                regions,
                &mut self.load_rng,
            );
            arrivals.extend(of_flow);
        }
        for mut arrival in arrivals {
            // Callers fail over to another instance of the region when theirs does not answer.
            let alternatives = (0..nodes).map(|step| (arrival.node + step * regions) % nodes);
            let mut reachable =
                alternatives.filter(|at| self.processes[*at].is_some() && !self.is_paused(*at));
            let Some(at) = reachable.next() else { continue };
            arrival.node = at;
            self.check_pause(at);
            self.arrivals.push(arrival.clone());
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(self.now_ms);
                process.node.on_arrival(arrival, now);
            }
            self.try_waiting(at, false);
        }
        self.schedule_after(ARRIVAL_STEP_MS, Event::Arrivals);
    }
}
