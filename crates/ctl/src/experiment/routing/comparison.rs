//! Comparison with each baseline on the measures that a deployment weighs.

use super::measure::Row;
use carobwheel_core::document::Objective;
use serde::Serialize;

/// Relative difference below which two results are even.
const EVEN: f64 = 0.01;

/// How a measure compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Standing {
    Better,
    Even,
    Worse,
}

/// One measure against one baseline.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Comparison {
    pub(super) measure: &'static str,
    pub(super) baseline: String,
    pub(super) ours: f64,
    pub(super) theirs: f64,
    pub(super) standing: Standing,
}

struct Weighed {
    name: &'static str,
    /// The value; smaller is better.
    value: fn(&Row) -> f64,
}

/// Answers missing of the worst-served account, in percent of its requests.
fn worst_account_unserved_pct(row: &Row) -> f64 {
    (1.0 - row.worst_account_served_share) * 100.0
}

const TAIL: [Weighed; 6] = [
    Weighed {
        name: "urgent class, first token p95, ms",
        value: |row| row.classes[0].first_token.p95_ms,
    },
    Weighed {
        name: "urgent class, first token p99, ms",
        value: |row| row.classes[0].first_token.p99_ms,
    },
    Weighed {
        name: "urgent class, between tokens p99, ms",
        value: |row| row.classes[0].between_tokens.p99_ms,
    },
    Weighed {
        name: "long class, first token p99, ms",
        value: |row| row.classes[1].first_token.p99_ms,
    },
    Weighed {
        name: "worst account, first token p95, ms",
        value: |row| row.worst_account_first_token_p95_ms,
    },
    Weighed {
        name: "worst account, unserved, %",
        value: worst_account_unserved_pct,
    },
];

const COST: [Weighed; 2] = [
    Weighed {
        name: "busy engine seconds per 1,000 tokens",
        value: |row| row.busy_s_per_1000_tokens,
    },
    Weighed {
        name: "refused although within share, and cut",
        value: |row| (row.refused_wrongly + row.failed) as f64,
    },
];

/// Compares the first row with each of the others.
pub(super) fn compare(objective: Objective, rows: &[Row]) -> Vec<Comparison> {
    let weighed: &[Weighed] = match objective {
        Objective::TailLatency => &TAIL,
        Objective::Cost => &COST,
    };
    let Some((ours, baselines)) = rows.split_first() else {
        return Vec::new();
    };
    let compare = |measure: &Weighed, baseline: &Row| {
        let (own, theirs) = ((measure.value)(ours), (measure.value)(baseline));
        Comparison {
            measure: measure.name,
            baseline: baseline.policy.clone(),
            ours: own,
            theirs,
            standing: standing(own, theirs),
        }
    };
    weighed
        .iter()
        .flat_map(|measure| baselines.iter().map(move |row| compare(measure, row)))
        .collect()
}

fn standing(ours: f64, theirs: f64) -> Standing {
    if (ours - theirs).abs() <= EVEN * theirs.abs() {
        return Standing::Even;
    }
    if ours < theirs {
        return Standing::Better;
    }
    Standing::Worse
}
