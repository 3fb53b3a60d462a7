//! Results as a text table.

use super::comparison::{Comparison, Standing};
use super::measure::PolicyRow;
use super::ScenarioResults;
use std::fmt::Write;

/// Renders the results of one scenario and the comparisons in which a baseline was better.
pub(super) fn render(scenario_results: &ScenarioResults) -> String {
    let mut text = String::new();
    let (deployment, scenario) = (scenario_results.deployment, scenario_results.scenario);
    let requests = scenario_results.rows.first().map_or(0, |row| row.requests);
    let _ = writeln!(
        text,
        "\n{deployment:?}, {scenario:?}, seed {}, {} s, {requests} requests",
        scenario_results.seed, scenario_results.duration_s
    );
    let Some(first) = scenario_results.rows.first() else {
        return text;
    };
    let _ = write!(text, "{:<22}", "policy");
    for class in &first.classes {
        let name = &class.class;
        let _ = write!(
            text,
            " | {:>22} {:>20}",
            format!("{name} first 50/95/99"),
            "between 50/95/99"
        );
    }
    let _ = writeln!(
        text,
        " | {:>8} {:>7} | {:>7} {:>7} {:>5} | {:>6} {:>7} {:>6} | {:>7} {:>7}",
        "worst95",
        "served",
        "refused",
        "wrongly",
        "cut",
        "away",
        "busy/k",
        "cache",
        "<480ms",
        "<30ms"
    );
    for row in &scenario_results.rows {
        render_row(&mut text, row);
    }
    render_comparisons(&mut text, &scenario_results.verdict);
    text
}

fn render_row(text: &mut String, row: &PolicyRow) {
    let _ = write!(text, "{:<22}", row.policy);
    for class in &row.classes {
        let (first, between) = (&class.first_token, &class.between_tokens);
        let first = format!(
            "{:.0}/{:.0}/{:.0}",
            first.p50_ms, first.p95_ms, first.p99_ms
        );
        let between = format!(
            "{:.1}/{:.1}/{:.1}",
            between.p50_ms, between.p95_ms, between.p99_ms
        );
        let _ = write!(text, " | {first:>22} {between:>20}");
    }
    let pct = |share: f64| format!("{:.1}%", share * 100.0);
    let _ = writeln!(
        text,
        " | {:>8.0} {:>7} | {:>7} {:>7} {:>5} | {:>6} {:>7.3} {:>6} | {:>7} {:>7}",
        row.worst_account_first_token_p95_ms,
        pct(row.worst_account_served_share),
        row.refused,
        row.refused_wrongly,
        row.failed,
        pct(row.away_share),
        row.busy_s_per_1000_tokens,
        pct(row.cache_hit_ratio),
        pct(row.first_token_in_aim_share),
        pct(row.between_in_aim_share),
    );
}

fn render_comparisons(text: &mut String, comparisons: &[Comparison]) {
    let count = |standing| {
        let same = comparisons.iter().filter(|c| c.standing == standing);
        same.count()
    };
    let _ = writeln!(
        text,
        "weighed measures: better {}, even {}, worse {}",
        count(Standing::Better),
        count(Standing::Even),
        count(Standing::Worse)
    );
    for comparison in comparisons.iter().filter(|c| c.standing == Standing::Worse) {
        let _ = writeln!(
            text,
            "  worse than {} on {}: {:.3} against {:.3}",
            comparison.baseline, comparison.measure, comparison.ours, comparison.theirs
        );
    }
}
