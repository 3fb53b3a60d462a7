//! Results as an SVG plot.

use super::ScenarioResults;
use plotters::prelude::*;
use std::path::Path;

const SIZE_PX: (u32, u32) = (1_200, 700);
/// Upper end of the axis, in milliseconds; higher values are drawn there.
const MAX_PLOTTED_MS: f64 = 20_000.0;
/// Lower end of the axis, in milliseconds; lower values are drawn there.
const MIN_PLOTTED_MS: f64 = 10.0;

/// Plots the 95th percentile of the time to the first token in the class of highest priority, with
/// one line per policy over the scenarios.
pub(super) fn write(path: &Path, results: &[ScenarioResults]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let last = results.len().max(2) as f64 - 1.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "First token, 95th percentile, urgent class",
            ("sans-serif", 24),
        )
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..last, (MIN_PLOTTED_MS..MAX_PLOTTED_MS).log_scale())?;
    let scenario = |x: &f64| {
        let scenario_results = results.get(x.round() as usize);
        scenario_results.map_or(String::new(), |r| format!("{:?}", r.scenario))
    };
    chart
        .configure_mesh()
        .y_desc("milliseconds")
        .x_labels(results.len().max(2))
        .x_label_formatter(&scenario)
        .draw()?;
    let policies = results
        .first()
        .map_or(0, |scenario_results| scenario_results.rows.len());
    for policy in 0..policies {
        let colour = Palette99::pick(policy).to_rgba();
        let point = |(x, scenario_results): (usize, &ScenarioResults)| {
            let p95_ms = scenario_results.rows[policy].classes[0].first_token.p95_ms;
            (x as f64, p95_ms.clamp(MIN_PLOTTED_MS, MAX_PLOTTED_MS))
        };
        let points = results.iter().enumerate().map(point);
        let width = if policy == 0 { 4 } else { 1 };
        let style = colour.stroke_width(width);
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(results[0].rows[policy].policy.clone())
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
