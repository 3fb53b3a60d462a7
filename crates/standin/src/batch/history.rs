//! Load reports with a lag.

use std::collections::VecDeque;

/// Samples kept.
const MAX_SAMPLES: usize = 4_096;

/// The load of an engine at an earlier time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// When it was measured, in microseconds.
    pub measured_at_us: u64,
    /// Requests running or queued.
    pub requests: u64,
    /// Prompt tokens that wait to be read.
    pub prompt_tokens: u64,
}

/// The load of an engine over the last steps.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// Adds the current load.
    pub fn push(&mut self, sample: LoadSample) {
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The newest load that is at least `lag_us` old; the oldest known one if all are newer, and no
    /// load if none is known.
    pub fn report(&self, now_us: u64, lag_us: u64) -> LoadSample {
        let newest_us = now_us.saturating_sub(lag_us);
        let count = self
            .samples
            .partition_point(|sample| sample.measured_at_us <= newest_us);
        let sample = self.samples.get(count.saturating_sub(1));
        let sample = sample.copied().unwrap_or_default();
        LoadSample {
            measured_at_us: newest_us,
            ..sample
        }
    }
}
