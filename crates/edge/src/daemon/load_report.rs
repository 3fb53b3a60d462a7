//! Periodic log line on the work of the event loop and the links.

use crate::{
    log::Event,
    metrics::{MessageCounter, Metrics},
    node::Node,
};
use carobwheel_core::time::Millis;

/// Interval of the lines, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// Counters at the time of the last line.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
    announced: u64,
    gossip_built_ms: u64,
    gossip_applied_ms: u64,
    store_applied_ms: u64,
    ticks_ms: u64,
}

impl Counts {
    fn of(metrics: &Metrics) -> Self {
        let count = |counter: &MessageCounter| (counter.messages.get(), counter.bytes.get());
        let (sent, sent_bytes) = count(&metrics.gossip_sent);
        let (received, received_bytes) = count(&metrics.gossip_received);
        Self {
            sent,
            sent_bytes,
            received,
            received_bytes,
            announced: metrics.gossip_announced.get(),
            gossip_built_ms: metrics.work.gossip_built.ms(),
            gossip_applied_ms: metrics.work.gossip_applied.ms(),
            store_applied_ms: metrics.work.store_applied.ms(),
            ticks_ms: metrics.work.ticks.ms(),
        }
    }
}

/// Work since the last line.
#[derive(Debug, Default)]
pub(super) struct LoadReport {
    reported_at: Millis,
    max_late_ms: u64,
    counts: Counts,
}

impl LoadReport {
    /// Records by how much the event loop was late, and logs a line if one is due.
    pub(super) fn tick(&mut self, node: &Node, late_ms: u64) {
        self.max_late_ms = self.max_late_ms.max(late_ms);
        let now = node.now();
        if now.since(self.reported_at) < REPORT_INTERVAL_MS {
            return;
        }
        self.reported_at = now;
        let counts = Counts::of(&node.metrics);
        let before = std::mem::replace(&mut self.counts, counts);
        node.log.event(Event::Load {
            is_delegate: node.state.borrow().topology.is_delegate,
            max_late_ms: std::mem::take(&mut self.max_late_ms),
            in_flight: node.in_flight.get(),
            peer_exchanges: node.peer_exchanges.get(),
            gossip_sent: counts.sent - before.sent,
            gossip_sent_bytes: counts.sent_bytes - before.sent_bytes,
            gossip_received: counts.received - before.received,
            gossip_received_bytes: counts.received_bytes - before.received_bytes,
            gossip_announced: counts.announced - before.announced,
            gossip_built_ms: counts.gossip_built_ms - before.gossip_built_ms,
            gossip_applied_ms: counts.gossip_applied_ms - before.gossip_applied_ms,
            store_applied_ms: counts.store_applied_ms - before.store_applied_ms,
            ticks_ms: counts.ticks_ms - before.ticks_ms,
        });
    }
}
