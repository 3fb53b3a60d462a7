//! The life of a placed request, which keeps the work in flight true.

use super::attempt::{AttemptId, Flight};
use super::router::Router;
use super::upstream::UpstreamState;
use super::Placement;
use crate::time::Millis;

/// Weight of the newest answer's length in the expected length.
const OUTPUT_WEIGHT: f64 = 0.02;

impl Router {
    /// The request goes out to its place: its work counts from now on.
    ///
    /// # Panics
    ///
    /// Panics if the placement is stale: the upstream has begun to leave since.
    pub fn start(&mut self, placement: &Placement, now: Millis) -> AttemptId {
        let id = AttemptId(self.next_flight);
        self.next_flight += 1;
        let state = self
            .upstreams
            .get_mut(&placement.upstream)
            .expect("started on an unknown upstream");
        assert!(!state.is_leaving(), "started on a leaving upstream");
        state.own += placement.load;
        state.prefixes.insert(&placement.prefix_hashes);
        let flight = Flight {
            upstream: placement.upstream.clone(),
            load: placement.load,
            is_long: placement.is_long,
            max_output_tokens: placement.max_output_tokens,
            output_tokens: 0,
            started_at: now,
            measured_at: now,
            has_first_token: false,
            uncorrected_ms: placement.prediction.uncorrected_ms,
            network_ms: placement.prediction.network_ms,
        };
        self.flights.insert(id, flight);
        id
    }

    /// The first token has arrived: the prompt is read.
    pub fn first_token(&mut self, id: AttemptId, now: Millis) {
        let Some((flight, state)) = self.flight(id) else {
            return;
        };
        if flight.has_first_token {
            return;
        }
        flight.has_first_token = true;
        let measured_ms = now.since(flight.started_at) as f64 - flight.network_ms;
        state
            .speed
            .observe_first_token(flight.uncorrected_ms, measured_ms);
        let mut load = flight.load;
        load.prompt_tokens = 0;
        load.long_prompt_tokens = 0;
        flight.set_load(load, state);
        flight.measured_at = now;
    }

    /// So many output tokens have arrived in all.
    pub fn progress(&mut self, id: AttemptId, output_tokens: u64, now: Millis) {
        let Some((flight, state)) = self.flight(id) else {
            return;
        };
        let new_tokens = output_tokens.saturating_sub(flight.output_tokens);
        if new_tokens == 0 {
            return;
        }
        let elapsed_ms = now.since(flight.measured_at) as f64;
        if flight.has_first_token && flight.output_tokens > 0 {
            let batch = state.load(now).requests.min(state.slots()) as f64;
            state
                .speed
                .observe_token(batch, elapsed_ms / new_tokens as f64);
        }
        flight.measured_at = now;
        flight.output_tokens = output_tokens;
        let mut load = flight.load;
        load.output_tokens = load.output_tokens.saturating_sub(new_tokens);
        flight.set_load(load, state);
    }

    /// The answer is complete.
    pub fn finish(&mut self, id: AttemptId) {
        let Some(flight) = self.remove_flight(id) else {
            return;
        };
        if flight.max_output_tokens == 0 {
            return;
        }
        let share = flight.output_tokens as f64 / flight.max_output_tokens as f64;
        let expected = &mut self.output_share[usize::from(flight.is_long)];
        *expected += (share.min(1.0) - *expected) * OUTPUT_WEIGHT;
    }

    /// The attempt has failed or was cancelled.
    pub fn cancel(&mut self, id: AttemptId) {
        self.remove_flight(id);
    }

    fn flight(&mut self, id: AttemptId) -> Option<(&mut Flight, &mut UpstreamState)> {
        let flight = self.flights.get_mut(&id)?;
        let state = self.upstreams.get_mut(&flight.upstream)?;
        Some((flight, state))
    }

    fn remove_flight(&mut self, id: AttemptId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        let state = self
            .upstreams
            .get_mut(&flight.upstream)
            .expect("an upstream with work in flight was forgotten");
        state.own -= flight.load;
        Some(flight)
    }
}
