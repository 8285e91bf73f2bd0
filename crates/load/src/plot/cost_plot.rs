use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::plot::palette::LINES;
use crate::report::{Cost, ScenarioReport};

/// Label of a line and its value in microseconds.
type Series = (&'static str, fn(&Cost) -> f64);

/// Draws the p50, mean and p99 cost of placing a task by fleet size, for the queue and fleet alone.
pub(super) fn draw(dir: &Path, reports: &[ScenarioReport]) -> Result<(), Box<dyn Error>> {
    let measured = reports
        .iter()
        .filter(|report| report.scenario == "cost" && report.policy != "shard");
    let points: Vec<(f64, &Cost)> = measured
        .filter_map(|report| Some((*report.figures.get("workers")?, report.costs.first()?)))
        .collect();
    if points.len() < 2 {
        return Ok(());
    }
    let first = points.first().map_or(1.0, |(x, _)| *x);
    let last = points.last().map_or(1.0, |(x, _)| *x);
    let highest = points.iter().map(|(_, cost)| cost.p99).max().unwrap_or(1);
    let path = dir.join("decision-cost.svg");
    let root = SVGBackend::new(&path, (900, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Cost of queueing and placing a task, by fleet size",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d((first..last).log_scale(), 0.0..highest as f64 / 900.0)?;
    chart
        .configure_mesh()
        .x_desc("workers")
        .y_desc("wall-clock time (µs), busy machine")
        .draw()?;
    let series: [Series; 3] = [
        ("p50", |cost| cost.p50 as f64 / 1_000.0),
        ("mean", |cost| cost.mean / 1_000.0),
        ("p99", |cost| cost.p99 as f64 / 1_000.0),
    ];
    for ((label, value), color) in series.into_iter().zip(&LINES) {
        let line = points.iter().map(|(x, cost)| (*x, value(cost)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
