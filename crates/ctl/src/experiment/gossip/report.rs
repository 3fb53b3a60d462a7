//! The report: a table, and the extrapolation to the target.

use super::fleet::Cost;
use serde::Serialize;

/// Instances of the target.
const TARGET_MEMBERS: f64 = 370.0;
/// What control may cost an instance at the target.
const TARGET_SENT_BYTES_PER_S: f64 = 2_000.0;
const TARGET_PROCESSOR_PCT: f64 = 2.0;
const TARGET_MEMORY_BYTES: f64 = 32e6;
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// Figures of one size of fleet.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Line {
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

/// A straight line through the figures, and its value at the target.
#[derive(Clone, Copy, Debug, Serialize)]
struct Fit {
    per_member: f64,
    at_target: f64,
    target: f64,
    is_met: bool,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    lines: Vec<Line>,
    sent_bytes_per_s: Option<Fit>,
    most_sent_bytes_per_s: Option<Fit>,
    processor_pct: Option<Fit>,
    memory_bytes: Option<Fit>,
}

impl Line {
    pub(super) fn new(
        members: usize,
        regions: usize,
        cost: Cost,
        mut spreads_ms: Vec<f64>,
        sent_bytes_per_revision: f64,
    ) -> Self {
        spreads_ms.sort_by(f64::total_cmp);
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
            in_force_median_ms: spreads_ms[spreads_ms.len() / 2],
            in_force_most_ms: spreads_ms[spreads_ms.len() - 1],
            sent_bytes_per_revision,
        }
    }
}

impl Report {
    pub(super) fn new(lines: Vec<Line>) -> Self {
        let fit = |value: fn(&Line) -> f64, target| {
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
                line.memory_bytes / MEGABYTE,
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
        print_fit("MB", self.memory_bytes, MEGABYTE);
        Ok(())
    }
}

fn print_fit(name: &str, fit: Option<Fit>, unit: f64) {
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

/// The least-squares line through at least two points.
fn fit(points: &[(f64, f64)], target: f64) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if spread == 0.0 || points.is_empty() {
        return None;
    }
    let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let per_member = joint / spread;
    let at_target = mean_y + per_member * (TARGET_MEMBERS - mean_x);
    Some(Fit {
        per_member,
        at_target,
        target,
        is_met: at_target <= target,
    })
}
