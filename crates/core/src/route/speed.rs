//! Measured speed of an engine.

/// Weight of the newest measurement of a first token.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Weight that older measurements of the token time keep when a new one arrives.
const TOKEN_DECAY: f64 = 0.98;
/// Time between two tokens of an engine that nothing is known of, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 12.0;
/// Growth of the token time for each further request in the batch, in milliseconds.
const INITIAL_SLOPE_MS: f64 = 0.25;
/// Bounds of the correction of predicted first tokens.
const CORRECTION: (f64, f64) = (0.5, 8.0);
/// Variance of the batch size below which no slope is fitted.
const MIN_VARIANCE: f64 = 1.0;

/// Speeds of one engine, learnt from the requests that this instance has on it.
///
/// The time between two tokens is fitted as a line over the batch size, with older measurements
/// fading. Prefill starts from the documented speed and is corrected by the ratio of measured to
/// predicted first tokens.
#[derive(Clone, Debug)]
pub(super) struct Speed {
    prefill_tokens_per_ms: f64,
    correction: f64,
    weight: f64,
    batch: f64,
    token_ms: f64,
    batch_batch: f64,
    batch_token_ms: f64,
}

impl Speed {
    pub(super) fn new(prefill_tokens_per_s: u64) -> Self {
        let mut speed = Self {
            prefill_tokens_per_ms: prefill_tokens_per_s.max(1) as f64 / 1_000.0,
            correction: 1.0,
            weight: 0.0,
            batch: 0.0,
            token_ms: 0.0,
            batch_batch: 0.0,
            batch_token_ms: 0.0,
        };
        for batch in [1.0, 16.0] {
            speed.observe_token(batch, INITIAL_TOKEN_MS + INITIAL_SLOPE_MS * batch);
        }
        speed
    }

    /// Time to read `tokens` of prompt, in milliseconds, without the correction.
    pub(super) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms
    }

    /// Factor by which first tokens come later than predicted.
    pub(super) fn correction(&self) -> f64 {
        self.correction
    }

    /// Time between two tokens in a batch of `batch` requests, in milliseconds.
    pub(super) fn token_ms(&self, batch: f64) -> f64 {
        let mean = self.token_ms / self.weight;
        let mean_batch = self.batch / self.weight;
        (mean + self.slope_ms() * (batch - mean_batch)).max(mean / 4.0)
    }

    /// Growth of the token time for each further request in the batch, in milliseconds.
    pub(super) fn slope_ms(&self) -> f64 {
        let mean_batch = self.batch / self.weight;
        let mean = self.token_ms / self.weight;
        let variance = self.batch_batch / self.weight - mean_batch * mean_batch;
        if variance < MIN_VARIANCE {
            return INITIAL_SLOPE_MS;
        }
        let covariance = self.batch_token_ms / self.weight - mean_batch * mean;
        (covariance / variance).clamp(0.0, mean / 4.0)
    }

    /// Takes in that tokens came `token_ms` apart in a batch of `batch` requests.
    pub(super) fn observe_token(&mut self, batch: f64, token_ms: f64) {
        self.weight = self.weight * TOKEN_DECAY + 1.0;
        self.batch = self.batch * TOKEN_DECAY + batch;
        self.token_ms = self.token_ms * TOKEN_DECAY + token_ms;
        self.batch_batch = self.batch_batch * TOKEN_DECAY + batch * batch;
        self.batch_token_ms = self.batch_token_ms * TOKEN_DECAY + batch * token_ms;
    }

    /// Takes in a first token after `measured_ms` where `predicted_ms` were predicted without the
    /// correction; the network is left out of both.
    pub(super) fn observe_first_token(&mut self, predicted_ms: f64, measured_ms: f64) {
        let ratio = measured_ms.max(1.0) / predicted_ms.max(1.0);
        let ratio = ratio.clamp(CORRECTION.0, CORRECTION.1);
        self.correction += (ratio - self.correction) * FIRST_TOKEN_WEIGHT;
    }
}
