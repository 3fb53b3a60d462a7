//! Attempts on engines: dispatch, tokens, failures and the end of a request.

use super::{World, CALLER_US, RESUME_MS};
use crate::experiment::routing::event::Event;
use crate::experiment::routing::instance::Instance;
use crate::experiment::routing::request_state::{job_of, request_of, Stage};
use carobwheel_core::retry::{Decision, Failure, RelayAction};
use carobwheel_standin::batch::{Job, JobId, Token};

impl World<'_> {
    /// Sends an attempt to an engine.
    pub(super) fn dispatch(&mut self, request: usize, engine: usize) {
        let upstream = &self.deployment.document.upstreams[engine];
        let instance = &mut self.instances[self.arrivals[request].instance];
        let live = &mut self.live[request];
        live.stage = Stage::Flying;
        live.attempts += 1;
        live.engine = Some(engine);
        live.is_away = upstream.region != instance.spec.region;
        instance.in_flight[engine] += 1;
        let job = job_of(request, live.attempts);
        let at_us = self.now_us + instance.one_way_us(self.deployment, upstream);
        self.events.push(at_us, Event::Submit { engine, job });
    }

    pub(super) fn submit(&mut self, engine: usize, job: JobId) {
        let (request, attempt) = request_of(job);
        let live = &self.live[request];
        let arrival = &self.arrivals[request];
        if live.attempts != attempt || live.stage != Stage::Flying {
            return;
        }
        if !self.engines[engine].is_alive {
            self.fail_later(engine, job, true);
            return;
        }
        let class = &self.deployment.document.classes[arrival.class];
        self.engines[engine].batch.submit(Job {
            id: job,
            prompt_tokens: arrival.prompt_tokens,
            prefix_hashes: arrival.prefix_hashes.clone(),
            output_tokens: arrival.output_tokens,
            resume_from_tokens: live.resume.relayed_tokens(),
            priority: class.priority,
        });
        self.step(engine);
    }

    pub(super) fn step(&mut self, engine: usize) {
        let life = self.engines[engine].life;
        if let Some(step_us) = self.engines[engine].batch.begin_step() {
            let at_us = self.now_us + step_us;
            self.events.push(at_us, Event::StepEnd { engine, life });
        }
    }

    pub(super) fn step_end(&mut self, engine: usize, life: u64) {
        if self.engines[engine].life != life || !self.engines[engine].is_alive {
            return;
        }
        let tokens = self.engines[engine].batch.end_step(self.now_us);
        let mut by_instance = vec![Vec::new(); self.instances.len()];
        for token in tokens {
            let (request, _) = request_of(token.job);
            by_instance[self.arrivals[request].instance].push(token);
        }
        for (instance, tokens) in by_instance.into_iter().enumerate() {
            if !tokens.is_empty() {
                let at_us = self.now_us + self.back_us(instance, engine);
                self.events.push(at_us, Event::Deliver { instance, tokens });
            }
        }
        self.step(engine);
    }

    pub(super) fn back_us(&self, instance: usize, engine: usize) -> u64 {
        let upstream = &self.deployment.document.upstreams[engine];
        self.instances[instance].one_way_us(self.deployment, upstream)
    }

    pub(super) fn deliver(&mut self, instance: usize, tokens: &[Token]) {
        let mut has_ended = false;
        for token in tokens {
            has_ended |= self.token(token);
        }
        if has_ended {
            self.drain(instance);
        }
    }

    /// Relays one token; true if it was the last of its answer.
    pub(super) fn token(&mut self, token: &Token) -> bool {
        let (request, attempt) = request_of(token.job);
        let arrival = &self.arrivals[request];
        let now = self.now();
        let live = &mut self.live[request];
        if live.attempts != attempt || live.stage != Stage::Flying {
            return false;
        }
        let relay = live.resume.on_piece(token.position, 1);
        assert_eq!(
            relay,
            Ok(RelayAction::Pass { skip_tokens: 0 }),
            "a broken answer"
        );
        let router = &mut self.instances[arrival.instance].router;
        let last_us = live.last_token_at_us.replace(self.now_us);
        if let Some(last_us) = last_us {
            self.measure.gap(arrival, self.now_us - last_us);
        } else {
            let us = self.now_us - arrival.at_us + 2 * CALLER_US;
            self.measure.first_token(arrival, us);
        }
        if let Some(flight) = live.flight {
            router.first_token(flight, now);
            router.progress(flight, token.position + 1, now);
        }
        if token.is_last {
            self.end(request, Stage::Done);
        }
        token.is_last
    }

    /// Ends a request, wherever it is.
    pub(super) fn end(&mut self, request: usize, outcome: Stage) {
        let arrival = &self.arrivals[request];
        let now = self.now();
        let live = &mut self.live[request];
        let instance = &mut self.instances[arrival.instance];
        if let Some(engine) = live.engine.take() {
            instance.in_flight[engine] -= 1;
            if outcome == Stage::Done {
                let upstream = &self.deployment.document.upstreams[engine];
                instance.record(upstream, false, now);
            }
        }
        if let Some(flight) = live.flight.take() {
            if outcome == Stage::Done {
                instance.router.finish(flight);
            } else {
                instance.router.cancel(flight);
            }
        }
        live.stage = outcome;
        self.open -= 1;
        self.measure
            .over(arrival, outcome, live.is_away, live.attempts);
    }

    pub(super) fn refuse(&mut self, request: usize) {
        let has_token = self.live[request].last_token_at_us.is_some();
        let outcome = if has_token {
            Stage::Failed
        } else {
            Stage::Refused
        };
        self.end(request, outcome);
    }

    pub(super) fn deadline(&mut self, request: usize) {
        let live = &self.live[request];
        if live.is_over() || live.last_token_at_us.is_some() {
            return;
        }
        if live.stage == Stage::Queued {
            let instance = &mut self.instances[self.arrivals[request].instance];
            instance.admit.remove_where(|entry| entry.item == request);
        }
        if let Some(engine) = live.engine {
            let job = job_of(request, live.attempts);
            self.engines[engine].batch.cancel(job);
        }
        self.refuse(request);
    }

    pub(super) fn fail_later(&mut self, engine: usize, job: JobId, is_not_run: bool) {
        let (request, _) = request_of(job);
        let at_us = self.now_us + self.back_us(self.arrivals[request].instance, engine);
        self.events.push(at_us, Event::Fail { job, is_not_run });
    }

    pub(super) fn fail(&mut self, job: JobId, is_not_run: bool) {
        let (request, attempt) = request_of(job);
        let now = self.now();
        let arrival = &self.arrivals[request];
        let live = &mut self.live[request];
        if live.attempts != attempt || live.stage != Stage::Flying {
            return;
        }
        let instance = &mut self.instances[arrival.instance];
        if let Some(engine) = live.engine.take() {
            let upstream = &self.deployment.document.upstreams[engine];
            instance.in_flight[engine] -= 1;
            instance.record(upstream, true, now);
            live.tried.push(upstream.id.clone());
        }
        if let Some(flight) = live.flight.take() {
            instance.router.cancel(flight);
        }
        live.stage = Stage::Idle;
        let failure = if is_not_run {
            Failure::ConnectFailed
        } else {
            Failure::ConnectionLost
        };
        let Instance { retrier, rng, .. } = instance;
        match retrier.decide(true, failure, attempt, RESUME_MS, rng) {
            Decision::Retry { after_ms } => {
                let at_us = self.now_us + after_ms * 1_000;
                self.events.push(at_us, Event::Retry(request));
            }
            Decision::GiveUp(_) => self.end(request, Stage::Failed),
        }
    }
}
