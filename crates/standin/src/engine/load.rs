//! Delayed load report of an engine.

use carobwheel_core::time::Millis;
use carobwheel_wire::platform::LoadReport;
use std::collections::VecDeque;

/// Current load of an engine and its recent history.
pub(super) struct LaggedLoad {
    lag_ms: u64,
    current: LoadReport,
    history: VecDeque<(Millis, LoadReport)>,
}

impl LaggedLoad {
    pub(super) fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            current: LoadReport::default(),
            history: VecDeque::new(),
        }
    }

    pub(super) fn current(&self) -> LoadReport {
        self.current
    }

    pub(super) fn update(&mut self, now: Millis, update: impl FnOnce(&mut LoadReport)) {
        update(&mut self.current);
        if self.lag_ms > 0 {
            self.history.push_back((now, self.current));
            self.discard_old(now);
        }
    }

    /// Returns the load report that the engine publishes at `now`, delayed by the lag.
    pub(super) fn published(&mut self, now: Millis) -> LoadReport {
        if self.lag_ms == 0 {
            return self.current;
        }
        self.discard_old(now);
        let oldest = self.history.front();
        let published = oldest.filter(|(at, _)| now.since(*at) >= self.lag_ms);
        LoadReport {
            age_ms: self.lag_ms,
            ..published.map_or(LoadReport::default(), |(_, load)| *load)
        }
    }

    /// Drops all states older than the lag except the newest of them.
    fn discard_old(&mut self, now: Millis) {
        while self.history.len() > 1 && now.since(self.history[1].0) >= self.lag_ms {
            self.history.pop_front();
        }
    }
}
