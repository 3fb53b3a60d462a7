//! Counters and histograms, served as text on the metrics address.

use crate::duty::DutyMetrics;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write as _,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

/// Value of a counter or gauge.
#[derive(Debug, Default)]
pub struct MetricValue(Cell<u64>);

impl MetricValue {
    /// Adds `n` to the value.
    pub fn add(&self, n: u64) {
        self.0.set(self.0.get() + n);
    }

    /// Sets the value to `n`.
    pub fn set(&self, n: u64) {
        self.0.set(n);
    }

    /// Current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Number of messages, and their size.
#[derive(Debug, Default)]
pub struct MessageCounter {
    /// Messages.
    pub messages: MetricValue,
    /// Sum of their sizes, in bytes.
    pub bytes: MetricValue,
}

impl MessageCounter {
    /// Counts a message of `bytes` bytes.
    pub fn add(&self, bytes: usize) {
        self.messages.add(1);
        self.bytes.add(bytes as u64);
    }
}

/// Time that a part of the event loop's work has taken.
#[derive(Debug, Default)]
pub struct TimeCounter(Cell<Duration>);

impl TimeCounter {
    /// Does the work and adds the time that it takes.
    pub fn measure<T>(&self, work: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let result = work();
        self.0.set(self.0.get() + started_at.elapsed());
        result
    }

    /// Sum of the times, in milliseconds.
    pub fn ms(&self) -> u64 {
        u64::try_from(self.0.get().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Times of the event loop's work that is not done for single requests.
#[derive(Debug, Default)]
pub struct WorkTimes {
    /// Building gossip.
    pub gossip_built: TimeCounter,
    /// Applying gossip.
    pub gossip_applied: TimeCounter,
    /// Applying changes in the store.
    pub store_applied: TimeCounter,
    /// Periodic work.
    pub ticks: TimeCounter,
}

/// Counting and reports of usage.
#[derive(Debug, Default)]
pub struct UsageMetrics {
    /// Requests counted by this instance.
    pub requests: MetricValue,
    /// Counters that it keeps, of itself and others.
    pub counters: MetricValue,
    /// Copies of counters that were left out since there were too many.
    pub left_out: MetricValue,
    /// Windows whose report was confirmed.
    pub reported: MetricValue,
    /// Those of them that were late.
    pub late: MetricValue,
    /// Windows that were skipped.
    pub skipped: MetricValue,
}

impl UsageMetrics {
    fn write(&self, text: &mut String) {
        let numbers = [
            ("carobwheel_usage_requests_total", &self.requests),
            ("carobwheel_usage_counters", &self.counters),
            ("carobwheel_usage_left_out_total", &self.left_out),
            ("carobwheel_usage_windows_reported_total", &self.reported),
            ("carobwheel_usage_windows_late_total", &self.late),
            ("carobwheel_usage_windows_skipped_total", &self.skipped),
        ];
        // Deployments without usage reports have none of these.
        if numbers.iter().all(|(_, value)| value.get() == 0) {
            return;
        }
        for (name, value) in numbers {
            let _ = writeln!(text, "{name} {}", value.get());
        }
    }
}

/// Numbers of upstreams of scaled services, by service and data centre.
#[derive(Debug, Default)]
pub struct ScalingMetrics(RefCell<BTreeMap<SiteName, SiteNumbers>>);

/// Service and data centre.
type SiteName = (Arc<str>, Arc<str>);

#[derive(Clone, Copy, Debug)]
struct SiteNumbers {
    /// Requested by this instance; `None` while another one holds the duty.
    desired: Option<u32>,
    present: u32,
}

impl ScalingMetrics {
    /// Replaces the requested and the present numbers of a service in each data centre.
    pub fn set(
        &self,
        service: &Arc<str>,
        numbers: impl Iterator<Item = (Arc<str>, Option<u32>, u32)>,
    ) {
        let mut all = self.0.borrow_mut();
        all.retain(|(known, _), _| known != service);
        for (data_centre, desired, present) in numbers {
            let key = (Arc::clone(service), data_centre);
            all.insert(key, SiteNumbers { desired, present });
        }
    }

    fn write(&self, text: &mut String) {
        for ((service, data_centre), numbers) in self.0.borrow().iter() {
            let labels = format!("service=\"{service}\",data_centre=\"{data_centre}\"");
            if let Some(desired) = numbers.desired {
                let _ = writeln!(text, "carobwheel_engines_requested{{{labels}}} {desired}");
            }
            let present = numbers.present;
            let _ = writeln!(text, "carobwheel_engines_present{{{labels}}} {present}");
        }
    }
}

/// Upper bounds of the histogram buckets, in milliseconds.
const BOUNDS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];
/// Maximum number of label combinations of a metric; further ones are counted as `other`.
const MAX_LABEL_SETS: usize = 512;

#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: [u64; BOUNDS_MS.len()],
    count: u64,
    sum_ms: u64,
}

/// Connections and requests dropped for one reason.
#[derive(Clone, Copy, Debug, Default)]
struct Dropped {
    count: u64,
    /// Part of them that the log has told.
    logged: u64,
}

/// Metrics of one instance.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Version of the configuration in force.
    pub config_version: MetricValue,
    /// Connections opened to upstreams.
    pub connections_opened: MetricValue,
    /// Requests forwarded to other instances.
    pub forwarded: MetricValue,
    /// Those of them that were forwarded inside the region because no upstream was reached here.
    pub forwarded_cut_off: MetricValue,
    /// Gossip sent on all links.
    pub gossip_sent: MessageCounter,
    /// Gossip received on all links.
    pub gossip_received: MessageCounter,
    /// Wake-ups of the senders of gossip before their next message was due.
    pub gossip_announced: MetricValue,
    /// Suspicions that the process of an upstream has ended.
    pub restarts_suspected: MetricValue,
    /// Health checks for such suspicions.
    pub restart_checks: MetricValue,
    /// Reports to other instances that an upstream has probably restarted.
    pub restarts_reported: MetricValue,
    /// Reports of other instances that a delegate has passed on and that were news.
    pub reports_applied: MetricValue,
    /// Times of work that is not done for single requests.
    pub work: WorkTimes,
    /// Requests that waited for their first output when their engine's connection broke.
    pub crashes_seen: MetricValue,
    /// Requests refused because of a held or suspected prompt part.
    pub hold_refusals: MetricValue,
    /// Services of whose upstreams in the own region none is in reach.
    pub services_cut_off: MetricValue,
    /// Times at which a service was cut off.
    pub cut_offs: MetricValue,
    /// Probes of upstreams that may be out of reach.
    pub reach_probes: MetricValue,
    /// Usage reports.
    pub usage: UsageMetrics,
    /// Numbers of upstreams.
    pub scaling: ScalingMetrics,
    /// Duties.
    pub duties: Rc<DutyMetrics>,
    /// Connections and requests dropped because of the limits on callers, by reason.
    dropped: RefCell<BTreeMap<&'static str, Dropped>>,
    /// Open connections by endpoint.
    connections: RefCell<BTreeMap<&'static str, u64>>,
    /// Prompt tokens of sent requests.
    pub prompt_tokens: MetricValue,
    /// Prompt tokens of sent requests that were predicted to be cached.
    pub cached_tokens: MetricValue,
    placements: RefCell<BTreeMap<&'static str, u64>>,
    outcomes: RefCell<BTreeMap<(String, String, String), u64>>,
    first_byte_ms: RefCell<BTreeMap<(String, String), Histogram>>,
}

impl Metrics {
    /// Counts the end of a request by account, route and outcome.
    pub fn count_request(&self, account: &str, route: &str, outcome: &str) {
        let mut outcomes = self.outcomes.borrow_mut();
        let mut labels = (account.to_owned(), route.to_owned(), outcome.to_owned());
        if outcomes.len() >= MAX_LABEL_SETS && !outcomes.contains_key(&labels) {
            labels = ("other".to_owned(), "other".to_owned(), outcome.to_owned());
        }
        *outcomes.entry(labels).or_default() += 1;
    }

    /// Counts a request that was sent to a home of its prompt's subject, or elsewhere for a reason.
    pub fn count_placement(&self, home: &'static str) {
        *self.placements.borrow_mut().entry(home).or_default() += 1;
    }

    /// Records the time to the first byte of a response, in milliseconds.
    pub fn record_first_byte(&self, account: &str, route: &str, ms: u64) {
        let mut times = self.first_byte_ms.borrow_mut();
        let mut labels = (account.to_owned(), route.to_owned());
        if times.len() >= MAX_LABEL_SETS && !times.contains_key(&labels) {
            labels = ("other".to_owned(), "other".to_owned());
        }
        let histogram = times.entry(labels).or_default();
        for (bucket, bound_ms) in histogram.buckets.iter_mut().zip(BOUNDS_MS) {
            *bucket += u64::from(ms <= bound_ms);
        }
        histogram.count += 1;
        histogram.sum_ms += ms;
    }

    /// Counts a connection or request that is dropped because of the limits on callers.
    pub fn count_dropped(&self, reason: &'static str) {
        self.dropped.borrow_mut().entry(reason).or_default().count += 1;
    }

    /// Reasons for which something was dropped since the last call, and how often.
    pub fn take_dropped(&self) -> Vec<(&'static str, u64)> {
        let mut dropped = self.dropped.borrow_mut();
        let mut news = Vec::new();
        for (reason, dropped) in dropped.iter_mut() {
            let more = dropped.count - std::mem::replace(&mut dropped.logged, dropped.count);
            if more > 0 {
                news.push((*reason, more));
            }
        }
        news
    }

    /// Records the number of open connections at an endpoint.
    pub fn set_connections(&self, endpoint: &'static str, count: usize) {
        let mut connections = self.connections.borrow_mut();
        connections.insert(endpoint, count as u64);
    }

    /// Open connections by endpoint.
    pub fn connections(&self) -> BTreeMap<&'static str, u64> {
        self.connections.borrow().clone()
    }

    /// Formats all metrics as text, together with `gauges` by name.
    pub fn text(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        let numbers = [
            ("carobwheel_config_version", self.config_version.get()),
            (
                "carobwheel_upstream_connections_total",
                self.connections_opened.get(),
            ),
            ("carobwheel_forwarded_total", self.forwarded.get()),
            (
                "carobwheel_forwarded_cut_off_total",
                self.forwarded_cut_off.get(),
            ),
            (
                "carobwheel_gossip_sent_total",
                self.gossip_sent.messages.get(),
            ),
            (
                "carobwheel_gossip_sent_bytes_total",
                self.gossip_sent.bytes.get(),
            ),
            (
                "carobwheel_gossip_received_total",
                self.gossip_received.messages.get(),
            ),
            (
                "carobwheel_gossip_received_bytes_total",
                self.gossip_received.bytes.get(),
            ),
            (
                "carobwheel_gossip_announced_total",
                self.gossip_announced.get(),
            ),
            (
                "carobwheel_restarts_suspected_total",
                self.restarts_suspected.get(),
            ),
            ("carobwheel_restart_checks_total", self.restart_checks.get()),
            (
                "carobwheel_restarts_reported_total",
                self.restarts_reported.get(),
            ),
            (
                "carobwheel_reports_applied_total",
                self.reports_applied.get(),
            ),
            (
                "carobwheel_gossip_built_ms_total",
                self.work.gossip_built.ms(),
            ),
            (
                "carobwheel_gossip_applied_ms_total",
                self.work.gossip_applied.ms(),
            ),
            (
                "carobwheel_store_applied_ms_total",
                self.work.store_applied.ms(),
            ),
            ("carobwheel_ticks_ms_total", self.work.ticks.ms()),
            ("carobwheel_engine_crashes_total", self.crashes_seen.get()),
            ("carobwheel_hold_refusals_total", self.hold_refusals.get()),
            ("carobwheel_services_cut_off", self.services_cut_off.get()),
            ("carobwheel_cut_offs_total", self.cut_offs.get()),
            ("carobwheel_reach_probes_total", self.reach_probes.get()),
            ("carobwheel_prompt_tokens_total", self.prompt_tokens.get()),
            (
                "carobwheel_cached_tokens_predicted_total",
                self.cached_tokens.get(),
            ),
        ];
        for (name, value) in numbers.iter().chain(gauges) {
            let _ = writeln!(text, "{name} {value}");
        }
        self.usage.write(&mut text);
        self.scaling.write(&mut text);
        self.duties.write(&mut text);
        for (home, value) in self.placements.borrow().iter() {
            let _ = writeln!(
                text,
                "carobwheel_placements_total{{home=\"{home}\"}} {value}"
            );
        }
        for ((account, route, outcome), value) in self.outcomes.borrow().iter() {
            let _ = writeln!(
                text,
                "carobwheel_requests_total{{account=\"{account}\",route=\"{route}\",outcome=\"{outcome}\"}} {value}"
            );
        }
        for (reason, dropped) in self.dropped.borrow().iter() {
            let _ = writeln!(
                text,
                "carobwheel_callers_dropped_total{{reason=\"{reason}\"}} {}",
                dropped.count
            );
        }
        for ((account, route), histogram) in self.first_byte_ms.borrow().iter() {
            histogram.write(
                &mut text,
                &format!("account=\"{account}\",route=\"{route}\""),
            );
        }
        text
    }
}

impl Histogram {
    fn write(&self, text: &mut String, labels: &str) {
        const NAME: &str = "carobwheel_first_byte_ms";
        for (bucket, bound_ms) in self.buckets.iter().zip(BOUNDS_MS) {
            let _ = writeln!(text, "{NAME}_bucket{{{labels},le=\"{bound_ms}\"}} {bucket}");
        }
        let _ = writeln!(text, "{NAME}_bucket{{{labels},le=\"+Inf\"}} {}", self.count);
        let _ = writeln!(text, "{NAME}_sum{{{labels}}} {}", self.sum_ms);
        let _ = writeln!(text, "{NAME}_count{{{labels}}} {}", self.count);
    }
}
