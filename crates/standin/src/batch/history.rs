//! Delayed load reports.

use std::collections::VecDeque;

/// Maximum number of samples in the history.
const MAX_SAMPLES: usize = 4_096;

/// Load of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Time of the measurement, in microseconds.
    pub measured_at_us: u64,
    /// Number of requests in the batch and the queue.
    pub requests: u64,
    /// Number of prompt tokens still to be processed.
    pub prompt_tokens: u64,
}

/// Load of an engine after each of its last steps.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// Appends a sample and drops the oldest one when the history is full.
    pub fn push(&mut self, sample: LoadSample) {
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least `lag_us` old, or the oldest sample if all are
    /// newer, or an empty load if there are no samples. Its time is set to `lag_us` before
    /// `now_us`.
    pub fn report(&self, now_us: u64, lag_us: u64) -> LoadSample {
        let cutoff_us = now_us.saturating_sub(lag_us);
        let count = self
            .samples
            .partition_point(|sample| sample.measured_at_us <= cutoff_us);
        let sample = self.samples.get(count.saturating_sub(1));
        let sample = sample.copied().unwrap_or_default();
        LoadSample {
            measured_at_us: cutoff_us,
            ..sample
        }
    }
}
