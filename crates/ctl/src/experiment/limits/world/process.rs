//! What an instance does by itself: ticks, requests and their ends.

use super::fault::Defect;
use super::flow::Arrival;
use super::node::{Running, Waiting};
use super::oracle::Use;
use super::{Event, Tally, World, ARRIVAL_STEP_MS};
use carobwheel_core::slot::Peer;

impl World {
    pub(super) fn on_tick(&mut self, peer: &Peer) {
        let Some(at) = self.find(peer) else { return };
        if self.is_paused(at) {
            let until = self.processes[at].as_ref().map_or(0, |p| p.paused_until);
            self.schedule(until, Event::Tick(peer.clone()));
            return;
        }
        self.check_pause(at);
        self.end_lost_charges(at);
        self.generate(at);
        self.deliver_held_back(at);
        self.tick_limiter(at);
        self.try_waiting(at, false);
        self.send_heartbeats(at);
        self.call_store(at);
        self.after(self.setup.tick_ms, Event::Tick(peer.clone()));
    }

    /// The pause rule comes before anything else that an instance does after it wakes.
    pub(super) fn check_pause(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let is_planted = self.setup.defect == Defect::PauseCheckDisabled;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        process.paused_from = None;
        let now = process.node.clock(now_ms);
        if !is_planted && process.node.keeper.detect_pause(now) {
            process.node.limiter.invalidate_slots();
            process.awaits_store_until_ms = 0;
            process.next_read_ms = 0;
            self.end_requests(at);
        }
    }

    /// Ends requests whose charge has reached its longest time.
    pub(super) fn end_lost_charges(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let ended = process.node.limiter.take_expired_charges();
        let running = std::mem::take(&mut process.node.running);
        let (lost, kept) = running.into_iter().partition(|r| ended.contains(&r.charge));
        process.node.running = kept;
        self.settle_all(at, lost);
    }

    pub(super) fn end_requests(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let running = std::mem::take(&mut process.node.running);
        self.settle_all(at, running);
    }

    pub(super) fn settle_all(&mut self, at: usize, requests: Vec<Running>) {
        let now_ms = self.now_ms;
        for running in requests {
            let arrival = &running.arrival;
            let used = running.generated_tokens;
            let ledger = self.ledgers.entry(arrival.account.clone()).or_default();
            ledger.admitted.push(Use {
                at_ms: running.admitted_ms,
                tokens: arrival.prompt_tokens + used,
            });
            if let Some(shadow) = self.shadows.get_mut(&arrival.account) {
                shadow.settle(arrival.max_output_tokens, used, now_ms);
            }
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(now_ms);
                process.node.limiter.settle(running.charge, used, now);
            }
        }
    }

    /// Lets running requests generate, and settles those that are done.
    pub(super) fn generate(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let mut done = Vec::new();
        let mut kept = Vec::new();
        for mut running in std::mem::take(&mut process.node.running) {
            let arrival = &running.arrival;
            let elapsed_ms = now_ms - running.admitted_ms;
            let possible = elapsed_ms * arrival.speed_tokens_per_s / 1_000;
            let target = possible.min(arrival.output_tokens);
            let tokens = target - running.generated_tokens;
            if tokens > 0 {
                let ledger = self.ledgers.entry(arrival.account.clone()).or_default();
                ledger.generated.push(Use {
                    at_ms: now_ms,
                    tokens,
                });
                running.generated_tokens = target;
            }
            if running.generated_tokens == arrival.output_tokens {
                done.push(running);
            } else {
                kept.push(running);
            }
        }
        process.node.running = kept;
        self.settle_all(at, done);
    }

    pub(super) fn deliver_held_back(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        for (from, payload) in std::mem::take(&mut process.held_back) {
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

    pub(super) fn try_waiting(&mut self, at: usize, is_urgent: bool) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let shadows = std::cell::RefCell::new(&mut self.shadows);
        let (tallies, ledgers) = (&mut self.tallies, &mut self.ledgers);
        let from_ms = self.tally_from_ms;
        let mut within = |arrival: &Arrival| {
            let tokens = arrival.prompt_tokens + arrival.max_output_tokens;
            let mut shadows = shadows.borrow_mut();
            let shadow = shadows.get_mut(&arrival.account);
            shadow.is_some_and(|shadow| shadow.has(tokens, now_ms))
        };
        let mut decided = |waiting: &Waiting, is_admitted: bool| {
            let arrival = &waiting.arrival;
            let mut nowhere = Tally::default();
            let tally = if arrival.at_ms >= from_ms {
                tallies.entry(arrival.account.clone()).or_default()
            } else {
                &mut nowhere
            };
            if !is_admitted {
                tally.refused += 1;
                tally.wrongful += u64::from(waiting.is_within);
                return;
            }
            tally.admitted += 1;
            tally.used_tokens += arrival.prompt_tokens + arrival.output_tokens;
            let ledger = ledgers.entry(arrival.account.clone()).or_default();
            ledger.generated.push(Use {
                at_ms: now_ms,
                tokens: arrival.prompt_tokens,
            });
            if let Some(shadow) = shadows.borrow_mut().get_mut(&arrival.account) {
                shadow.charge(arrival.prompt_tokens, arrival.max_output_tokens, now_ms);
            }
        };
        let node = &mut process.node;
        let outgoing = node.try_waiting(now_ms, is_urgent, &mut within, &mut decided);
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
            // Callers turn to another instance of the region when theirs does not answer.
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
        self.after(ARRIVAL_STEP_MS, Event::Arrivals);
    }
}
