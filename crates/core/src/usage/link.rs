//! What is sent to one other instance: counters that it is not known to have.

use super::{Counts, Source, UsageTable};
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Shortest interval of messages with counters on a link, in milliseconds.
const MIN_INTERVAL_MS: u64 = 500;
/// Time without an acknowledgement after which a counter is sent again, in milliseconds. Above the interval
/// of messages and the time to another region and back.
const RESEND_MS: u64 = 1_000;
/// Size of the counters in a message, in bytes, unless a single one is larger.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// Largest size of a counter's account in a message, in bytes.
const ENTRY_BYTES: usize = 8;
/// Time after the end of a window at which the sum of the region is first passed on, in milliseconds.
/// Instances tell their counters within it, and each change of the sum would be sent again.
const REGION_DELAY_MS: u64 = 800;
/// Time after the end of a window at which the sums of other regions are passed on within the region, in
/// milliseconds. By then most have come directly.
const RELAY_DELAY_MS: u64 = 1_800;
/// Largest number of acknowledgements in a message.
const MAX_ACKS: usize = 16;
/// Largest number of counters that are taken from a message.
const MAX_COUNTERS: usize = 256;

/// Counter in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Window.
    pub window: u64,
    /// What it covers.
    pub source: Source,
    /// Requests by hash of the account's name, or by its index in the list that the message names.
    pub counts: Vec<(u32, u32)>,
}

/// Part of a message between two instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// Number of the message on its link, for the acknowledgement; 0 if it has no counters.
    pub number: u32,
    /// Numbers of messages that the sender has received.
    pub acks: Vec<u32>,
    /// First window that no holder of the duty has committed, as far as the sender knows.
    pub committed_before: u64,
    /// Checksum of the list of accounts whose indexes identify the accounts; 0 if hashes do.
    pub accounts: u32,
    /// Counters.
    pub counters: Vec<Counter>,
}

/// Role of an instance with regard to the one that sends to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// It gets no counters.
    Nobody,
    /// It collects the counters of the sender's region.
    OwnCollector,
    /// It collects the counters of another region.
    OtherCollector,
}

/// Counter that was sent and not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct Sent {
    number: u32,
    total: u64,
    at: Millis,
}

/// State of the exchange with one process.
#[derive(Clone, Debug, Default)]
pub struct UsageLink {
    last_number: u32,
    last_sent_at: Option<Millis>,
    sent: BTreeMap<(u64, Source), Sent>,
    /// Totals of the counters that the other process has.
    known: BTreeMap<(u64, Source), u64>,
    /// Numbers of received messages that are not acknowledged yet.
    to_ack: Vec<u32>,
}

/// Time and role of the sender when it makes a message.
#[derive(Clone, Copy, Debug)]
struct Occasion {
    true_ms: u64,
    is_collector: bool,
    is_leaving: bool,
}

impl UsageLink {
    /// Next message; `None` if there is nothing to tell. A collector also tells the sums of regions. An
    /// instance that is leaving tells the counter of the open window as well.
    pub fn message(
        &mut self,
        table: &UsageTable,
        recipient: Recipient,
        (is_collector, is_leaving): (bool, bool),
        (true_ms, now): (u64, Millis),
    ) -> Option<UsageMessage> {
        let oldest = table.first_window().unwrap_or(u64::MAX);
        self.sent.retain(|(window, _), _| *window >= oldest);
        self.known.retain(|(window, _), _| *window >= oldest);
        let is_due = self
            .last_sent_at
            .is_none_or(|at| now.since(at) >= MIN_INTERVAL_MS);
        let occasion = Occasion {
            true_ms,
            is_collector,
            is_leaving,
        };
        let counters = if is_due {
            self.due_counters(table, recipient, occasion, now)
        } else {
            Vec::new()
        };
        if counters.is_empty() && self.to_ack.is_empty() {
            return None;
        }
        let mut message = UsageMessage {
            acks: std::mem::take(&mut self.to_ack),
            ..UsageMessage::default()
        };
        if !counters.is_empty() {
            self.last_number = self.last_number.wrapping_add(1).max(1);
            self.last_sent_at = Some(now);
            message.number = self.last_number;
            for (key, counts) in counters {
                let sent = Sent {
                    number: self.last_number,
                    total: counts.total(),
                    at: now,
                };
                self.sent.insert(key, sent);
                message.counters.push(Counter {
                    window: key.0,
                    source: key.1,
                    counts: counts.iter().collect(),
                });
            }
        }
        Some(message)
    }

    /// Counters that the recipient does not have, oldest first, up to the size of a message.
    fn due_counters(
        &self,
        table: &UsageTable,
        recipient: Recipient,
        occasion: Occasion,
        now: Millis,
    ) -> Vec<((u64, Source), Counts)> {
        let mut due = Vec::new();
        let mut bytes = 0;
        for (key, counts) in told_counters(table, recipient, occasion) {
            if !self.is_due(key, counts.total(), now) {
                continue;
            }
            bytes += ENTRY_BYTES * (2 + counts.len());
            if bytes > MAX_MESSAGE_BYTES && !due.is_empty() {
                break;
            }
            due.push((key, counts));
        }
        due
    }

    fn is_due(&self, key: (u64, Source), total: u64, now: Millis) -> bool {
        if self.known.get(&key).is_some_and(|known| *known >= total) {
            return false;
        }
        let sent = self.sent.get(&key);
        sent.is_none_or(|sent| sent.total < total || now.since(sent.at) >= RESEND_MS)
    }

    /// Applies a message of the process, whose region is given by its hash. Returns whether it told anything
    /// new. Processes tell their own counter and sums of regions only.
    pub fn receive(
        &mut self,
        table: &mut UsageTable,
        (process, region): (u32, u32),
        message: &UsageMessage,
    ) -> bool {
        for number in message.acks.iter().take(MAX_ACKS) {
            self.acknowledge(*number);
        }
        if message.number != 0 {
            self.to_ack.push(message.number);
            let excess = self.to_ack.len().saturating_sub(MAX_ACKS);
            self.to_ack.drain(..excess);
        }
        let is_own_region = Source::Region(region) == table.own_region();
        let mut is_news = false;
        for counter in message.counters.iter().take(MAX_COUNTERS) {
            let is_allowed = match counter.source {
                Source::Process(key) => key == process && is_own_region,
                Source::Region(key) => is_own_region || key == region,
            };
            if !is_allowed {
                continue;
            }
            let counts = Counts::new(counter.counts.iter().copied());
            is_news |= table.merge(counter.window, counter.source, &counts);
            let key = (counter.window, counter.source);
            let known = self.known.entry(key).or_default();
            *known = (*known).max(counts.total());
        }
        is_news
    }

    fn acknowledge(&mut self, number: u32) {
        let acked = self.sent.iter().filter(|(_, sent)| sent.number == number);
        let acked: Vec<_> = acked.map(|(key, sent)| (*key, sent.total)).collect();
        for (key, total) in acked {
            self.sent.remove(&key);
            let known = self.known.entry(key).or_default();
            *known = (*known).max(total);
        }
    }
}

/// Counters that the recipient is told, oldest first.
fn told_counters<'a>(
    table: &'a UsageTable,
    recipient: Recipient,
    occasion: Occasion,
) -> impl Iterator<Item = ((u64, Source), Counts)> + 'a {
    let is_collector = occasion.is_collector && recipient != Recipient::Nobody;
    let closed = table.closed_windows();
    let open = occasion.is_leaving.then_some(table.current());
    closed.chain(open).flat_map(move |window| {
        let closed_ms = occasion.true_ms.saturating_sub(table.end_ms(window));
        let own = (recipient == Recipient::OwnCollector)
            .then(|| table.counts(window, table.own_source()).cloned())
            .flatten()
            .map(|counts| ((window, table.own_source()), counts));
        let is_region_told = is_collector && closed_ms >= REGION_DELAY_MS;
        let region =
            is_region_told.then(|| ((window, table.own_region()), table.region_counts(window)));
        let is_relayed =
            is_collector && recipient == Recipient::OwnCollector && closed_ms >= RELAY_DELAY_MS;
        let others = table
            .other_regions(window)
            .filter(move |_| is_relayed)
            .map(move |(region, counts)| ((window, Source::Region(region)), counts.clone()));
        own.into_iter().chain(region).chain(others)
    })
}
