//! Attempts on engines: dispatch, relayed tokens, failures and the end of requests.

use super::{World, CALLER_DELAY_US, RESUME_TIMEOUT_MS};
use crate::experiment::routing::event::Event;
use crate::experiment::routing::instance::Instance;
use crate::experiment::routing::request_state::{job_id, request_and_attempt, Stage};
use carobwheel_core::retry::{Decision, Failure, RelayAction};
use carobwheel_standin::batch::{BatchRequest, BatchRequestId, Token};

impl World<'_> {
    /// Sends an attempt to an engine.
    pub(super) fn dispatch(&mut self, request: usize, engine: usize) {
        let upstream = &self.deployment.document.upstreams[engine];
        let instance = &mut self.instances[self.arrivals[request].instance];
        let state = &mut self.requests[request];
        state.stage = Stage::InFlight;
        state.attempts += 1;
        state.engine = Some(engine);
        state.is_in_other_region = upstream.region != instance.spec.region;
        instance.in_flight[engine] += 1;
        let job = job_id(request, state.attempts);
        let at_us = self.now_us + instance.one_way_delay_us(self.deployment, upstream);
        self.events.push(at_us, Event::Submit { engine, job });
    }

    pub(super) fn submit(&mut self, engine: usize, job: BatchRequestId) {
        let (request, attempt) = request_and_attempt(job);
        let state = &self.requests[request];
        let arrival = &self.arrivals[request];
        if state.attempts != attempt || state.stage != Stage::InFlight {
            return;
        }
        if !self.engines[engine].is_alive {
            self.schedule_failure(engine, job, true);
            return;
        }
        let class = &self.deployment.document.classes[arrival.class];
        self.engines[engine].batch.submit(BatchRequest {
            id: job,
            prompt_tokens: arrival.prompt_tokens,
            prefix_hashes: arrival.prefix_hashes.clone(),
            output_tokens: arrival.output_tokens,
            resume_from_tokens: state.resume_point.relayed_tokens(),
            priority: class.priority,
        });
        self.begin_step(engine);
    }

    pub(super) fn begin_step(&mut self, engine: usize) {
        let registration = self.engines[engine].registration;
        if let Some(step_us) = self.engines[engine].batch.begin_step() {
            let at_us = self.now_us + step_us;
            self.events.push(
                at_us,
                Event::StepEnd {
                    engine,
                    registration,
                },
            );
        }
    }

    pub(super) fn end_step(&mut self, engine: usize, registration: u64) {
        if self.engines[engine].registration != registration || !self.engines[engine].is_alive {
            return;
        }
        let tokens = self.engines[engine].batch.end_step(self.now_us);
        let mut by_instance = vec![Vec::new(); self.instances.len()];
        for token in tokens {
            let (request, _) = request_and_attempt(token.request_id);
            by_instance[self.arrivals[request].instance].push(token);
        }
        for (instance, tokens) in by_instance.into_iter().enumerate() {
            if !tokens.is_empty() {
                let at_us = self.now_us + self.return_delay_us(instance, engine);
                self.events.push(at_us, Event::Deliver { instance, tokens });
            }
        }
        self.begin_step(engine);
    }

    /// Returns the one-way delay from an engine to an instance, in microseconds.
    pub(super) fn return_delay_us(&self, instance: usize, engine: usize) -> u64 {
        let upstream = &self.deployment.document.upstreams[engine];
        self.instances[instance].one_way_delay_us(self.deployment, upstream)
    }

    pub(super) fn deliver(&mut self, instance: usize, tokens: &[Token]) {
        let mut has_finished = false;
        for token in tokens {
            has_finished |= self.relay_token(token);
        }
        if has_finished {
            self.place_waiting(instance);
        }
    }

    /// Relays one token. Returns whether it was the last of its answer.
    pub(super) fn relay_token(&mut self, token: &Token) -> bool {
        let (request, attempt) = request_and_attempt(token.request_id);
        let arrival = &self.arrivals[request];
        let now = self.now();
        let state = &mut self.requests[request];
        if state.attempts != attempt || state.stage != Stage::InFlight {
            return false;
        }
        let relay = state.resume_point.on_piece(token.position, 1);
        assert_eq!(
            relay,
            Ok(RelayAction::Pass { skip_tokens: 0 }),
            "an answer with missing or repeated tokens"
        );
        let router = &mut self.instances[arrival.instance].router;
        let last_us = state.last_token_at_us.replace(self.now_us);
        if let Some(last_us) = last_us {
            self.measurements.record_gap(arrival, self.now_us - last_us);
        } else {
            let us = self.now_us - arrival.at_us + 2 * CALLER_DELAY_US;
            self.measurements.record_first_token(arrival, us);
        }
        if let Some(attempt_id) = state.attempt_id {
            router.first_token(attempt_id, now);
            router.progress(attempt_id, token.position + 1, now);
        }
        if token.is_last {
            self.finish(request, Stage::Done);
        }
        token.is_last
    }

    /// Ends a request in any stage.
    pub(super) fn finish(&mut self, request: usize, outcome: Stage) {
        let arrival = &self.arrivals[request];
        let now = self.now();
        let state = &mut self.requests[request];
        let instance = &mut self.instances[arrival.instance];
        if let Some(engine) = state.engine.take() {
            instance.in_flight[engine] -= 1;
            if outcome == Stage::Done {
                let upstream = &self.deployment.document.upstreams[engine];
                instance.record_outcome(upstream, false, now);
            }
        }
        if let Some(attempt_id) = state.attempt_id.take() {
            if outcome == Stage::Done {
                instance.router.finish(attempt_id);
            } else {
                instance.router.cancel(attempt_id);
            }
        }
        state.stage = outcome;
        self.unfinished_requests -= 1;
        self.measurements.record_finished(
            arrival,
            outcome,
            state.is_in_other_region,
            state.attempts,
        );
    }

    /// Ends a request without a complete answer: as failed if it has its first token, otherwise as
    /// refused.
    pub(super) fn refuse(&mut self, request: usize) {
        let has_token = self.requests[request].last_token_at_us.is_some();
        let outcome = if has_token {
            Stage::Failed
        } else {
            Stage::Refused
        };
        self.finish(request, outcome);
    }

    pub(super) fn handle_deadline(&mut self, request: usize) {
        let state = &self.requests[request];
        if state.is_finished() || state.last_token_at_us.is_some() {
            return;
        }
        if state.stage == Stage::Queued {
            let instance = &mut self.instances[self.arrivals[request].instance];
            instance
                .admission_queues
                .remove_where(|entry| entry.item == request);
        }
        if let Some(engine) = state.engine {
            let job = job_id(request, state.attempts);
            self.engines[engine].batch.cancel(job);
        }
        self.refuse(request);
    }

    /// Schedules the arrival of a failure at the instance.
    pub(super) fn schedule_failure(
        &mut self,
        engine: usize,
        job: BatchRequestId,
        is_not_run: bool,
    ) {
        let (request, _) = request_and_attempt(job);
        let at_us = self.now_us + self.return_delay_us(self.arrivals[request].instance, engine);
        self.events.push(at_us, Event::Fail { job, is_not_run });
    }

    pub(super) fn handle_failure(&mut self, job: BatchRequestId, is_not_run: bool) {
        let (request, attempt) = request_and_attempt(job);
        let now = self.now();
        let arrival = &self.arrivals[request];
        let state = &mut self.requests[request];
        if state.attempts != attempt || state.stage != Stage::InFlight {
            return;
        }
        let instance = &mut self.instances[arrival.instance];
        if let Some(engine) = state.engine.take() {
            let upstream = &self.deployment.document.upstreams[engine];
            instance.in_flight[engine] -= 1;
            instance.record_outcome(upstream, true, now);
            state.tried.push(upstream.id.clone());
        }
        if let Some(attempt_id) = state.attempt_id.take() {
            instance.router.cancel(attempt_id);
        }
        state.stage = Stage::Idle;
        let failure = if is_not_run {
            Failure::ConnectFailed
        } else {
            Failure::ConnectionLost
        };
        let Instance { retrier, rng, .. } = instance;
        match retrier.decide(true, failure, attempt, RESUME_TIMEOUT_MS, rng) {
            Decision::Retry { after_ms } => {
                let at_us = self.now_us + after_ms * 1_000;
                self.events.push(at_us, Event::Retry(request));
            }
            Decision::GiveUp(_) => self.finish(request, Stage::Failed),
        }
    }
}
