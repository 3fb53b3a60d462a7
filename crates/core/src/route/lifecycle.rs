//! Lifecycle of a placed request, which keeps the accounting of in-flight load up to date.

use super::attempt::{Attempt, AttemptId};
use super::router::Router;
use super::upstream::UpstreamState;
use super::Placement;
use crate::time::Millis;

/// Weight of the newest sample in the moving average of the output share.
const OUTPUT_SHARE_EMA_WEIGHT: f64 = 0.02;

impl Router {
    /// Starts an attempt: from now on its load counts towards the chosen upstream.
    ///
    /// # Panics
    ///
    /// Panics if the placement is stale, that is, if the upstream is no longer known or has started
    /// to leave since.
    pub fn start(&mut self, placement: &Placement, now: Millis) -> AttemptId {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let state = self
            .upstreams
            .get_mut(&placement.upstream)
            .expect("attempt started on an unknown upstream");
        assert!(!state.is_leaving(), "attempt started on a leaving upstream");
        state.own += placement.load;
        state.prefixes.insert(&placement.prefix_hashes);
        let attempt = Attempt {
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
        self.attempts.insert(id, attempt);
        id
    }

    /// Records the arrival of the first token, which completes the prefill.
    pub fn first_token(&mut self, id: AttemptId, now: Millis) {
        let Some((attempt, state)) = self.attempt(id) else {
            return;
        };
        if attempt.has_first_token {
            return;
        }
        attempt.has_first_token = true;
        state.note_output(attempt.started_at, now);
        let measured_ms = now.since(attempt.started_at) as f64 - attempt.network_ms;
        state
            .speed
            .observe_first_token(attempt.uncorrected_ms, measured_ms);
        let mut load = attempt.load;
        load.prompt_tokens = 0;
        load.long_prompt_tokens = 0;
        attempt.set_load(load, state);
        attempt.measured_at = now;
    }

    /// Records the total number of output tokens received so far.
    pub fn progress(&mut self, id: AttemptId, output_tokens: u64, now: Millis) {
        let Some((attempt, state)) = self.attempt(id) else {
            return;
        };
        let new_tokens = output_tokens.saturating_sub(attempt.output_tokens);
        if new_tokens == 0 {
            return;
        }
        state.note_output(attempt.started_at, now);
        let elapsed_ms = now.since(attempt.measured_at) as f64;
        if attempt.has_first_token && attempt.output_tokens > 0 {
            let batch = state.load(now).requests.min(state.slots()) as f64;
            state
                .speed
                .observe_token(batch, elapsed_ms / new_tokens as f64);
        }
        attempt.measured_at = now;
        attempt.output_tokens = output_tokens;
        let mut load = attempt.load;
        load.output_tokens = load.output_tokens.saturating_sub(new_tokens);
        attempt.set_load(load, state);
    }

    /// Ends an attempt whose answer is complete.
    pub fn finish(&mut self, id: AttemptId) {
        let Some(attempt) = self.remove_attempt(id) else {
            return;
        };
        if attempt.max_output_tokens == 0 {
            return;
        }
        let share = attempt.output_tokens as f64 / attempt.max_output_tokens as f64;
        let expected = &mut self.output_share[usize::from(attempt.is_long)];
        *expected += (share.min(1.0) - *expected) * OUTPUT_SHARE_EMA_WEIGHT;
    }

    /// Ends an attempt that failed or was cancelled.
    pub fn cancel(&mut self, id: AttemptId) {
        self.remove_attempt(id);
    }

    fn attempt(&mut self, id: AttemptId) -> Option<(&mut Attempt, &mut UpstreamState)> {
        let attempt = self.attempts.get_mut(&id)?;
        let state = self.upstreams.get_mut(&attempt.upstream)?;
        Some((attempt, state))
    }

    fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let state = self
            .upstreams
            .get_mut(&attempt.upstream)
            .expect("an upstream with attempts in flight was removed");
        state.own -= attempt.load;
        Some(attempt)
    }
}
