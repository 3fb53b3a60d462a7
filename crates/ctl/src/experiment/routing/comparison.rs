//! Comparison of the product's router with each baseline by the measures of the deployment's
//! objective.

use super::measure::PolicyRow;
use carobwheel_core::document::Objective;
use serde::Serialize;

/// Relative difference up to which two results count as even.
const EVEN_TOLERANCE: f64 = 0.01;

/// Result of the product's router relative to a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Standing {
    Better,
    Even,
    Worse,
}

/// Comparison of one measure with one baseline.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Comparison {
    pub(super) measure: &'static str,
    pub(super) baseline: String,
    pub(super) ours: f64,
    pub(super) theirs: f64,
    pub(super) standing: Standing,
}

/// Measure by which policies are compared.
struct ComparedMeasure {
    name: &'static str,
    /// Returns the measured value; smaller is better.
    value: fn(&PolicyRow) -> f64,
}

/// Requests of the worst-served account that were not answered, in percent.
fn worst_account_unserved_pct(row: &PolicyRow) -> f64 {
    (1.0 - row.worst_account_served_share) * 100.0
}

const TAIL_LATENCY_MEASURES: [ComparedMeasure; 6] = [
    ComparedMeasure {
        name: "urgent class, first token p95, ms",
        value: |row| row.classes[0].first_token.p95_ms,
    },
    ComparedMeasure {
        name: "urgent class, first token p99, ms",
        value: |row| row.classes[0].first_token.p99_ms,
    },
    ComparedMeasure {
        name: "urgent class, between tokens p99, ms",
        value: |row| row.classes[0].between_tokens.p99_ms,
    },
    ComparedMeasure {
        name: "long class, first token p99, ms",
        value: |row| row.classes[1].first_token.p99_ms,
    },
    ComparedMeasure {
        name: "worst account, first token p95, ms",
        value: |row| row.worst_account_first_token_p95_ms,
    },
    ComparedMeasure {
        name: "worst account, unserved, %",
        value: worst_account_unserved_pct,
    },
];

const COST_MEASURES: [ComparedMeasure; 2] = [
    ComparedMeasure {
        name: "busy engine seconds per 1,000 tokens",
        value: |row| row.busy_s_per_1000_tokens,
    },
    ComparedMeasure {
        name: "refused although within share, and cut",
        value: |row| (row.refused_wrongly + row.failed) as f64,
    },
];

/// Compares the first row, which is the product's router, with each of the others.
pub(super) fn compare(objective: Objective, rows: &[PolicyRow]) -> Vec<Comparison> {
    let measures: &[ComparedMeasure] = match objective {
        Objective::TailLatency => &TAIL_LATENCY_MEASURES,
        Objective::Cost => &COST_MEASURES,
    };
    let Some((ours, baselines)) = rows.split_first() else {
        return Vec::new();
    };
    let compare = |measure: &ComparedMeasure, baseline: &PolicyRow| {
        let (own, theirs) = ((measure.value)(ours), (measure.value)(baseline));
        Comparison {
            measure: measure.name,
            baseline: baseline.policy.clone(),
            ours: own,
            theirs,
            standing: standing(own, theirs),
        }
    };
    measures
        .iter()
        .flat_map(|measure| baselines.iter().map(move |row| compare(measure, row)))
        .collect()
}

fn standing(ours: f64, theirs: f64) -> Standing {
    if (ours - theirs).abs() <= EVEN_TOLERANCE * theirs.abs() {
        return Standing::Even;
    }
    if ours < theirs {
        return Standing::Better;
    }
    Standing::Worse
}
