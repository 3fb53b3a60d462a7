//! Report of the measurement, with extrapolation to the target size.

use super::fleet::Cost;
use serde::Serialize;

/// Number of instances of the target fleet.
const TARGET_MEMBERS: f64 = 370.0;
/// Cost targets of the control plane per instance, at the target size.
const TARGET_SENT_BYTES_PER_S: f64 = 2_000.0;
const TARGET_PROCESSOR_PCT: f64 = 2.0;
const TARGET_MEMORY_BYTES: f64 = 32e6;
const BYTES_PER_MB: f64 = 1e6;

/// Measurements of one fleet size.
#[derive(Clone, Debug, Serialize)]
pub(super) struct FleetRow {
    members: usize,
    regions: usize,
    sent_bytes_per_s: f64,
    most_sent_bytes_per_s: f64,
    received_bytes_per_s: f64,
    processor_pct: f64,
    memory_bytes: f64,
    links: f64,
    dials_per_s: f64,
    in_force_median_ms: f64,
    in_force_most_ms: f64,
    sent_bytes_per_revision: f64,
}

/// Linear regression over fleet sizes, and its value at the target size.
#[derive(Clone, Copy, Debug, Serialize)]
struct LinearFit {
    per_member: f64,
    at_target: f64,
    target: f64,
    is_met: bool,
}

/// Measurements of all fleet sizes and their extrapolations.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    lines: Vec<FleetRow>,
    sent_bytes_per_s: Option<LinearFit>,
    most_sent_bytes_per_s: Option<LinearFit>,
    processor_pct: Option<LinearFit>,
    memory_bytes: Option<LinearFit>,
}

impl FleetRow {
    pub(super) fn new(
        members: usize,
        regions: usize,
        cost: Cost,
        mut propagation_ms: Vec<f64>,
        sent_bytes_per_revision: f64,
    ) -> Self {
        propagation_ms.sort_by(f64::total_cmp);
        Self {
            members,
            regions,
            sent_bytes_per_s: cost.sent_bytes_per_s,
            most_sent_bytes_per_s: cost.most_sent_bytes_per_s,
            received_bytes_per_s: cost.received_bytes_per_s,
            processor_pct: cost.processor_pct,
            memory_bytes: cost.memory_bytes,
            links: cost.links,
            dials_per_s: cost.dials_per_s,
            in_force_median_ms: propagation_ms[propagation_ms.len() / 2],
            in_force_most_ms: propagation_ms[propagation_ms.len() - 1],
            sent_bytes_per_revision,
        }
    }
}

impl Report {
    pub(super) fn new(lines: Vec<FleetRow>) -> Self {
        let fit = |value: fn(&FleetRow) -> f64, target| {
            let points: Vec<_> = lines.iter().map(|l| (l.members as f64, value(l))).collect();
            fit(&points, target)
        };
        Self {
            sent_bytes_per_s: fit(|l| l.sent_bytes_per_s, TARGET_SENT_BYTES_PER_S),
            most_sent_bytes_per_s: fit(|l| l.most_sent_bytes_per_s, TARGET_SENT_BYTES_PER_S),
            processor_pct: fit(|l| l.processor_pct, TARGET_PROCESSOR_PCT),
            memory_bytes: fit(|l| l.memory_bytes, TARGET_MEMORY_BYTES),
            lines,
        }
    }

    pub(super) fn print(&self, is_json: bool) -> anyhow::Result<()> {
        if is_json {
            println!("{}", serde_json::to_string_pretty(self)?);
            return Ok(());
        }
        println!(
            "instances regions | sent B/s  most | received B/s | core %  | MB    | links dials/s | in force ms median most | sent B/revision"
        );
        for line in &self.lines {
            println!(
                "{:>9} {:>7} | {:>8.0} {:>5.0} | {:>12.0} | {:>6.3}  | {:>5.2} | {:>5.1} {:>7.3} | {:>18.0} {:>4.0} | {:>15.0}",
                line.members,
                line.regions,
                line.sent_bytes_per_s,
                line.most_sent_bytes_per_s,
                line.received_bytes_per_s,
                line.processor_pct,
                line.memory_bytes / BYTES_PER_MB,
                line.links,
                line.dials_per_s,
                line.in_force_median_ms,
                line.in_force_most_ms,
                line.sent_bytes_per_revision,
            );
        }
        print_fit("sent B/s", self.sent_bytes_per_s, 1.0);
        print_fit("most sent B/s", self.most_sent_bytes_per_s, 1.0);
        print_fit("core %", self.processor_pct, 1.0);
        print_fit("MB", self.memory_bytes, BYTES_PER_MB);
        Ok(())
    }
}

fn print_fit(name: &str, fit: Option<LinearFit>, unit: f64) {
    let Some(fit) = fit else {
        return;
    };
    let verdict = if fit.is_met { "met" } else { "not met" };
    println!(
        "{name}: {:+.5} for each instance, {:.3} at {TARGET_MEMBERS} instances, target {} ({verdict})",
        fit.per_member / unit,
        fit.at_target / unit,
        fit.target / unit,
    );
}

/// Fits a least-squares line through the points; `None` unless they have two different sizes.
fn fit(points: &[(f64, f64)], target: f64) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let variance_sum: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if variance_sum == 0.0 || points.is_empty() {
        return None;
    }
    let covariance_sum: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let per_member = covariance_sum / variance_sum;
    let at_target = mean_y + per_member * (TARGET_MEMBERS - mean_x);
    Some(LinearFit {
        per_member,
        at_target,
        target,
        is_met: at_target <= target,
    })
}
