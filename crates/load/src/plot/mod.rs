//! SVG plots of results.

mod cost_plot;
mod flood_plot;
mod palette;

use std::error::Error;
use std::path::Path;

use crate::report::ScenarioReport;

/// Draws the plots that the reports contain data for: waits during a flood, and decision cost by fleet size.
pub(crate) fn draw(dir: &Path, reports: &[ScenarioReport]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(dir)?;
    flood_plot::draw(dir, reports)?;
    cost_plot::draw(dir, reports)
}
