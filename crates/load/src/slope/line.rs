use crate::report::ScenarioReport;

/// Measured points of a quantity that is expected to grow linearly.
#[derive(Debug, Default)]
pub(crate) struct Line(Vec<(f64, f64)>);

impl Line {
    pub(crate) fn add(&mut self, x: f64, y: f64) {
        self.0.push((x, y));
    }

    /// Returns the slope of the least-squares regression line.
    pub(crate) fn slope(&self) -> f64 {
        let count = self.0.len().max(1) as f64;
        let mean_x = self.0.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.0.iter().map(|(_, y)| y).sum::<f64>() / count;
        let product = self.0.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let square = self.0.iter().map(|(x, _)| (x - mean_x).powi(2));
        product.sum::<f64>() / square.sum::<f64>().max(f64::MIN_POSITIVE)
    }

    /// Adds the slope and the points to a report.
    pub(crate) fn report_slope(self, name: &str, report: &mut ScenarioReport) {
        report.figures.insert(name.to_owned(), self.slope());
        report.series.insert(name.to_owned(), self.0);
    }

    /// Adds the points to a report, with the value of the last point as the figure.
    pub(crate) fn report_last(self, name: &str, report: &mut ScenarioReport) {
        let last = self.0.last().map_or(0.0, |(_, y)| *y);
        report.figures.insert(name.to_owned(), last);
        report.series.insert(name.to_owned(), self.0);
    }
}
