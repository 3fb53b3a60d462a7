//! Metrics and log lines about the memory for callers and what was dropped.

use crate::{
    caller_memory::CallerMemory,
    front::{DropCounters, DropReason},
};
use cadence::{Counted as _, Gauged as _, StatsdClient};
use std::time::{Duration, Instant};

/// Shortest time between two log lines, so that many callers cannot fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Numbers of dropped connections and requests, by reason.
type Counts = [u64; DropReason::ALL.len()];

/// What has been reported of the dropped connections and requests.
#[derive(Default)]
pub(super) struct DropReport {
    sent: Counts,
    logged: Counts,
    logged_at: Option<Instant>,
}

impl DropReport {
    /// Sends the metrics, and logs what was dropped since the last line.
    pub(super) fn publish(&mut self, client: Option<&StatsdClient>, memory: &CallerMemory) {
        let counts = counts(memory.drops());
        if let Some(client) = client {
            send(client, memory, &self.sent, &counts);
        }
        self.sent = counts;
        let is_due = self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if counts != self.logged && is_due {
            self.log(&counts, memory);
        }
    }

    fn log(&mut self, counts: &Counts, memory: &CallerMemory) {
        let new = increases(&self.logged, counts).filter(|(_, count)| *count > 0);
        let dropped: Vec<_> = new
            .map(|(reason, count)| format!("{} {count}", reason.label()))
            .collect();
        let used_bytes: usize = memory.used_bytes().iter().map(|(_, bytes)| bytes).sum();
        let limit_bytes = memory.limit_bytes();
        log::warn!(dropped = dropped.join(", "), used_bytes, limit_bytes; "callers dropped");
        self.logged = *counts;
        self.logged_at = Some(Instant::now());
    }
}

fn counts(drops: &DropCounters) -> Counts {
    DropReason::ALL.map(|reason| drops.get(reason))
}

/// Increases between two readings of the counters, by reason.
fn increases<'a>(
    before: &'a Counts,
    after: &'a Counts,
) -> impl Iterator<Item = (DropReason, u64)> + 'a {
    let pairs = before.iter().zip(after);
    DropReason::ALL
        .into_iter()
        .zip(pairs.map(|(before, after)| after - before))
}

/// Sends the metrics. Metrics that cannot be sent are dropped.
fn send(client: &StatsdClient, memory: &CallerMemory, sent: &Counts, counts: &Counts) {
    for (used_for, bytes) in memory.used_bytes() {
        let gauge = client.gauge_with_tags("caller_memory_bytes", bytes as u64);
        let _ = gauge.with_tag("use", used_for.label()).try_send();
    }
    for (reason, count) in increases(sent, counts).filter(|(_, count)| *count > 0) {
        let counter = client.count_with_tags("callers_dropped", count);
        let _ = counter.with_tag("reason", reason.label()).try_send();
    }
}
