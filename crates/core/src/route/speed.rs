//! Speed model of an engine, fitted to measurements.

/// Weight of the newest sample in the moving average of the first-token correction.
const FIRST_TOKEN_EMA_WEIGHT: f64 = 0.1;
/// Decay factor applied to older inter-token measurements for each new one.
const TOKEN_DECAY: f64 = 0.98;
/// Inter-token latency assumed before any measurement, extrapolated to an empty batch, in
/// milliseconds.
const INITIAL_TOKEN_MS: f64 = 12.0;
/// Increase of the inter-token latency per request in the batch assumed before any measurement, in
/// milliseconds.
const INITIAL_SLOPE_MS: f64 = 0.25;
/// Minimum and maximum ratio of the measured to the predicted time to first token.
const CORRECTION_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Minimum variance of the batch size for fitting a slope.
const MIN_BATCH_VARIANCE: f64 = 1.0;

/// Prefill and decode speed of one engine, learnt from this instance's requests.
///
/// The inter-token latency is a linear function of the batch size, fitted by least squares with
/// exponential decay of older measurements. The prefill speed is the configured one, corrected by
/// the ratio of the measured to the predicted time to first token.
#[derive(Clone, Debug)]
pub(super) struct EngineSpeed {
    prefill_tokens_per_ms: f64,
    correction: f64,
    weight: f64,
    batch: f64,
    token_ms: f64,
    batch_squared: f64,
    batch_times_token_ms: f64,
}

impl EngineSpeed {
    pub(super) fn new(prefill_tokens_per_s: u64) -> Self {
        let mut speed = Self {
            prefill_tokens_per_ms: prefill_tokens_per_s.max(1) as f64 / 1_000.0,
            correction: 1.0,
            weight: 0.0,
            batch: 0.0,
            token_ms: 0.0,
            batch_squared: 0.0,
            batch_times_token_ms: 0.0,
        };
        for batch in [1.0, 16.0] {
            speed.observe_token(batch, INITIAL_TOKEN_MS + INITIAL_SLOPE_MS * batch);
        }
        speed
    }

    /// Predicts the time to prefill `tokens` prompt tokens, in milliseconds, without the
    /// correction.
    pub(super) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms
    }

    /// Average ratio of the measured to the predicted time to first token.
    pub(super) fn correction(&self) -> f64 {
        self.correction
    }

    /// Predicts the inter-token latency in a batch of `batch` requests, in milliseconds.
    pub(super) fn token_ms(&self, batch: f64) -> f64 {
        let mean = self.token_ms / self.weight;
        let mean_batch = self.batch / self.weight;
        (mean + self.slope_ms() * (batch - mean_batch)).max(mean / 4.0)
    }

    /// Increase of the inter-token latency per additional request in the batch, in milliseconds.
    pub(super) fn slope_ms(&self) -> f64 {
        let mean_batch = self.batch / self.weight;
        let mean = self.token_ms / self.weight;
        let variance = self.batch_squared / self.weight - mean_batch * mean_batch;
        if variance < MIN_BATCH_VARIANCE {
            return INITIAL_SLOPE_MS;
        }
        let covariance = self.batch_times_token_ms / self.weight - mean_batch * mean;
        (covariance / variance).clamp(0.0, mean / 4.0)
    }

    /// Adds a measured inter-token latency of `token_ms` in a batch of `batch` requests.
    pub(super) fn observe_token(&mut self, batch: f64, token_ms: f64) {
        self.weight = self.weight * TOKEN_DECAY + 1.0;
        self.batch = self.batch * TOKEN_DECAY + batch;
        self.token_ms = self.token_ms * TOKEN_DECAY + token_ms;
        self.batch_squared = self.batch_squared * TOKEN_DECAY + batch * batch;
        self.batch_times_token_ms = self.batch_times_token_ms * TOKEN_DECAY + batch * token_ms;
    }

    /// Adds a measured time to first token, together with its prediction without the correction.
    /// Neither includes the network.
    pub(super) fn observe_first_token(&mut self, predicted_ms: f64, measured_ms: f64) {
        let ratio = measured_ms.max(1.0) / predicted_ms.max(1.0);
        let ratio = ratio.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
        self.correction += (ratio - self.correction) * FIRST_TOKEN_EMA_WEIGHT;
    }
}
