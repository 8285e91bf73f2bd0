use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::plot::palette::LINES;
use crate::report::ScenarioReport;

/// Draws the longest wait by time of arrival and class, for the shard policy during a flood.
pub(super) fn draw(dir: &Path, reports: &[ScenarioReport]) -> Result<(), Box<dyn Error>> {
    let flooded = reports.iter().find(|report| {
        report.scenario == "flood-least"
            && report.policy == "shard"
            && !report.series.is_empty()
            && report.case.ends_with(", flood")
    });
    let Some(report) = flooded else {
        return Ok(());
    };
    let points = || report.series.values().flatten();
    let last = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let highest = points().map(|(_, y)| *y).fold(10.0, f64::max);
    let path = dir.join("wait-during-flood.svg");
    let root = SVGBackend::new(&path, (900, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let caption = format!(
        "Longest wait by time of arrival, {} ({})",
        report.case, report.scenario
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..last, (1.0..highest * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("arrival (s of virtual time)")
        .y_desc("wait before placement (ms)")
        .draw()?;
    for ((class, points), color) in report.series.iter().zip(LINES.iter().cycle()) {
        let line = points.iter().map(|(x, y)| (*x, y.max(1.0)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(class)
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
