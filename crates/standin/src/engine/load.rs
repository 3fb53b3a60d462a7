//! The load report and its lag.

use carobwheel_core::time::Millis;
use carobwheel_wire::platform::LoadReport;
use std::collections::VecDeque;

/// The load now and as it stood before.
pub(super) struct Load {
    lag_ms: u64,
    now: LoadReport,
    past: VecDeque<(Millis, LoadReport)>,
}

impl Load {
    pub(super) fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            now: LoadReport::default(),
            past: VecDeque::new(),
        }
    }

    pub(super) fn now(&self) -> LoadReport {
        self.now
    }

    pub(super) fn change(&mut self, now: Millis, change: impl FnOnce(&mut LoadReport)) {
        change(&mut self.now);
        if self.lag_ms > 0 {
            self.past.push_back((now, self.now));
            self.forget(now);
        }
    }

    /// The report that the engine publishes at `now`.
    pub(super) fn published(&mut self, now: Millis) -> LoadReport {
        if self.lag_ms == 0 {
            return self.now;
        }
        self.forget(now);
        let oldest = self.past.front();
        let known = oldest.filter(|(at, _)| now.since(*at) >= self.lag_ms);
        LoadReport {
            age_ms: self.lag_ms,
            ..known.map_or(LoadReport::default(), |(_, load)| *load)
        }
    }

    /// Keeps one state that is older than the lag, and all younger ones.
    fn forget(&mut self, now: Millis) {
        while self.past.len() > 1 && now.since(self.past[1].0) >= self.lag_ms {
            self.past.pop_front();
        }
    }
}
