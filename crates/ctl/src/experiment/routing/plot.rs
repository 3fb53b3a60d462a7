//! Results as a plot.

use super::Outcome;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (1_200, 700);
/// First tokens above this are drawn at the edge, in milliseconds.
const MAX_MS: f64 = 20_000.0;
const MIN_MS: f64 = 10.0;

/// Draws the 95th percentile of the urgent class's first token, one line for each policy over the
/// scenarios.
pub(super) fn write(path: &Path, outcomes: &[Outcome]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let last = outcomes.len().max(2) as f64 - 1.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "First token, 95th percentile, urgent class",
            ("sans-serif", 24),
        )
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..last, (MIN_MS..MAX_MS).log_scale())?;
    let scenario = |x: &f64| {
        let outcome = outcomes.get(x.round() as usize);
        outcome.map_or(String::new(), |o| format!("{:?}", o.scenario))
    };
    chart
        .configure_mesh()
        .y_desc("milliseconds")
        .x_labels(outcomes.len().max(2))
        .x_label_formatter(&scenario)
        .draw()?;
    let policies = outcomes.first().map_or(0, |outcome| outcome.rows.len());
    for policy in 0..policies {
        let colour = Palette99::pick(policy).to_rgba();
        let point = |(x, outcome): (usize, &Outcome)| {
            let p95_ms = outcome.rows[policy].classes[0].first_token.p95_ms;
            (x as f64, p95_ms.clamp(MIN_MS, MAX_MS))
        };
        let points = outcomes.iter().enumerate().map(point);
        let width = if policy == 0 { 4 } else { 1 };
        let style = colour.stroke_width(width);
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(outcomes[0].rows[policy].policy.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], style));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
